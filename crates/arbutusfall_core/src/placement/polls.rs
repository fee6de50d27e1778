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
        let prefill_endpoints = self
            .pools
            .prefill_endpoints
            .iter()
            .map(|endpoint| &endpoint.name);
        let decode_endpoints = self
            .pools
            .decode_endpoints
            .iter()
            .map(|endpoint| &endpoint.name);
        for name in prefill_endpoints.chain(decode_endpoints) {
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
        for prefill_endpoint in &self.pools.prefill_endpoints {
            if let Some(endpoint) = site.endpoints.get(&prefill_endpoint.name) {
                ctx.push(Effect::ReadCache {
                    endpoint: prefill_endpoint.name.clone(),
                    address: endpoint.address,
                    from: prefill_endpoint.next_cache_event,
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
                if let Some(prefill_endpoint) = self.pools.prefill(endpoint) {
                    prefill_endpoint.load_tokens = u64::from(*queued_tokens);
                }
                if let Some(decode_endpoint) = self.pools.decode(endpoint) {
                    decode_endpoint.load_requests = u64::from(*running) + u64::from(*queued);
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
        let Some(prefill_endpoint) = self.pools.prefill(endpoint) else {
            return;
        };
        if next < prefill_endpoint.next_cache_event {
            // The engine restarted, with an empty cache.
            prefill_endpoint.prefixes.clear();
        }
        prefill_endpoint.next_cache_event = next;
        prefill_endpoint.prefixes.record_cached(stored, now);
        prefill_endpoint.prefixes.discard(removed);
    }
}
