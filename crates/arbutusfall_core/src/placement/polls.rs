//! Polled engine state: load reports, which lag, and prefix-cache changes, which lag and may have gaps.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::Effect;
use crate::EngineEvent;
use crate::config::SiteConfig;
use crate::context::Context;
use crate::placement::shard::Shard;

impl Shard {
    /// Requests the load of all engines.
    pub(crate) fn read_loads(&self, site: &SiteConfig, ctx: &mut Context<'_>) {
        let prefills = self.pools.prefills.iter().map(|endpoint| &endpoint.name);
        let decodes = self.pools.decodes.iter().map(|endpoint| &endpoint.name);
        for name in prefills.chain(decodes) {
            if let Some(endpoint) = site.endpoints.get(name) {
                ctx.push(Effect::ReadLoad {
                    endpoint: name.clone(),
                    address: endpoint.address,
                });
            }
        }
    }

    /// Requests the prefill engines' cache changes since the last known event.
    pub(crate) fn read_caches(&self, site: &SiteConfig, ctx: &mut Context<'_>) {
        for known in &self.pools.prefills {
            if let Some(endpoint) = site.endpoints.get(&known.name) {
                ctx.push(Effect::ReadCache {
                    endpoint: known.name.clone(),
                    address: endpoint.address,
                    from: known.next_cache_event,
                });
            }
        }
    }

    /// Applies a load or cache report.
    pub(crate) fn on_engine(&mut self, event: &EngineEvent, now: Duration) {
        match event {
            EngineEvent::Load {
                endpoint,
                running,
                queued,
                queued_tokens,
            } => {
                if let Some(known) = self.pools.prefill(endpoint) {
                    known.load_tokens = u64::from(*queued_tokens);
                }
                if let Some(known) = self.pools.decode(endpoint) {
                    known.load_requests = u64::from(*running) + u64::from(*queued);
                }
            }
            EngineEvent::CacheChanged {
                endpoint,
                next,
                stored,
                removed,
            } => self.on_cache_changed(endpoint, *next, stored, removed, now),
            _ => {}
        }
    }

    fn on_cache_changed(
        &mut self,
        endpoint: &Name,
        next: u64,
        stored: &[u64],
        removed: &[u64],
        now: Duration,
    ) {
        let Some(known) = self.pools.prefill(endpoint) else {
            return;
        };
        if next < known.next_cache_event {
            // The engine restarted, with an empty cache.
            known.prefixes.clear();
        }
        known.next_cache_event = next;
        known.prefixes.record_cached(stored, now);
        known.prefixes.record_evicted(removed);
    }
}
