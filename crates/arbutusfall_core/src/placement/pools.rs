//! The prefill and decode pools of a shard, updated from the configuration.

use std::sync::Arc;

use arbutusfall_wire::Name;
use arbutusfall_wire::ShardId;

use crate::config::Role;
use crate::config::SiteConfig;
use crate::placement::decode_endpoint::DecodeEndpoint;
use crate::placement::prefill_endpoint::PrefillEndpoint;
use crate::placement::shard_endpoints;

/// Endpoints of a shard, sorted by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pools {
    /// Configuration from which the pools were built.
    site: Option<Arc<SiteConfig>>,
    pub(crate) prefill_endpoints: Vec<PrefillEndpoint>,
    pub(crate) decode_endpoints: Vec<DecodeEndpoint>,
}

impl Pools {
    /// Rebuilds the pools if the configuration changed; the state of remaining endpoints is kept.
    pub(crate) fn refresh(&mut self, id: &ShardId, site: &Arc<SiteConfig>) {
        if self
            .site
            .as_ref()
            .is_some_and(|previous_site| Arc::ptr_eq(previous_site, site))
        {
            return;
        }
        self.site = Some(site.clone());
        let mut previous = std::mem::take(&mut self.prefill_endpoints);
        for (name, endpoint) in shard_endpoints(site, id, Role::Prefill) {
            let position = previous.iter().position(|state| state.name == *name);
            let state = position.map(|position| previous.swap_remove(position));
            let mut state = state.unwrap_or_else(|| PrefillEndpoint::new(name.clone()));
            state.leaving = endpoint.leaving;
            state.link_bytes_per_s = endpoint.link_bytes_per_s;
            self.prefill_endpoints.push(state);
        }
        let mut previous = std::mem::take(&mut self.decode_endpoints);
        for (name, endpoint) in shard_endpoints(site, id, Role::Decode) {
            let position = previous.iter().position(|state| state.name == *name);
            let state = position.map(|position| previous.swap_remove(position));
            let mut state = state.unwrap_or_else(|| DecodeEndpoint::new(name.clone()));
            state.leaving = endpoint.leaving;
            state.slots = endpoint.slots as usize;
            self.decode_endpoints.push(state);
        }
    }

    pub(crate) fn prefill(&mut self, name: &Name) -> Option<&mut PrefillEndpoint> {
        let mut prefill_endpoints = self.prefill_endpoints.iter_mut();
        prefill_endpoints.find(|endpoint| endpoint.name == *name)
    }

    pub(crate) fn decode(&mut self, name: &Name) -> Option<&mut DecodeEndpoint> {
        let mut decode_endpoints = self.decode_endpoints.iter_mut();
        decode_endpoints.find(|endpoint| endpoint.name == *name)
    }

    /// Returns the number of slots in the decode pool.
    pub(crate) fn slots(&self) -> usize {
        self.decode_endpoints
            .iter()
            .map(|endpoint| endpoint.slots)
            .sum()
    }
}
