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
    pub(crate) prefills: Vec<PrefillEndpoint>,
    pub(crate) decodes: Vec<DecodeEndpoint>,
}

impl Pools {
    /// Rebuilds the pools if the configuration changed; the state of remaining endpoints is kept.
    pub(crate) fn refresh(&mut self, id: &ShardId, site: &Arc<SiteConfig>) {
        if self
            .site
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, site))
        {
            return;
        }
        self.site = Some(site.clone());
        let mut known = std::mem::take(&mut self.prefills);
        for (name, endpoint) in shard_endpoints(site, id, Role::Prefill) {
            let position = known.iter().position(|kept| kept.name == *name);
            let kept = position.map(|position| known.swap_remove(position));
            let mut kept = kept.unwrap_or_else(|| PrefillEndpoint::new(name.clone()));
            kept.leaving = endpoint.leaving;
            kept.link_bytes_per_s = endpoint.link_bytes_per_s;
            self.prefills.push(kept);
        }
        let mut known = std::mem::take(&mut self.decodes);
        for (name, endpoint) in shard_endpoints(site, id, Role::Decode) {
            let position = known.iter().position(|kept| kept.name == *name);
            let kept = position.map(|position| known.swap_remove(position));
            let mut kept = kept.unwrap_or_else(|| DecodeEndpoint::new(name.clone()));
            kept.leaving = endpoint.leaving;
            kept.slots = endpoint.slots as usize;
            self.decodes.push(kept);
        }
    }

    pub(crate) fn prefill(&mut self, name: &Name) -> Option<&mut PrefillEndpoint> {
        let mut prefills = self.prefills.iter_mut();
        prefills.find(|endpoint| endpoint.name == *name)
    }

    pub(crate) fn decode(&mut self, name: &Name) -> Option<&mut DecodeEndpoint> {
        let mut decodes = self.decodes.iter_mut();
        decodes.find(|endpoint| endpoint.name == *name)
    }

    /// Returns the number of slots in the decode pool.
    pub(crate) fn slots(&self) -> usize {
        self.decodes.iter().map(|endpoint| endpoint.slots).sum()
    }
}
