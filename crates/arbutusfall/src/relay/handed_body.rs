//! Bodies of requests that endpoints have not read yet.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::Work;
use arbutusfall_wire::Name;

use crate::http::BodyMemory;
use crate::relay::handle::RelayHandle;

/// Longest time for which a request waits until its endpoint has read enough of earlier ones.
const TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which a body that waits for its endpoint checks whether it may be sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The body of a request that an endpoint has not read; counts towards the limit of the endpoint until it is dropped.
#[derive(Debug)]
pub(super) struct HandedBody {
    memory: Arc<BodyMemory>,
    endpoint: Name,
    bytes: usize,
}

impl HandedBody {
    /// Waits until a body may be handed to an endpoint; returns `None` if it may not in time.
    async fn wait(memory: &Arc<BodyMemory>, endpoint: &Name, bytes: usize) -> Option<Self> {
        let mut waited = Duration::ZERO;
        loop {
            let is_handed = memory.budget().try_hand_over(endpoint, bytes);
            if is_handed {
                return Some(Self {
                    memory: memory.clone(),
                    endpoint: endpoint.clone(),
                    bytes,
                });
            }
            if waited >= TIMEOUT {
                return None;
            }
            async_io::Timer::after(CHECK_INTERVAL).await;
            waited += CHECK_INTERVAL;
        }
    }
}

impl Drop for HandedBody {
    fn drop(&mut self) {
        let mut budget = self.memory.budget();
        budget.on_handed_over(&self.endpoint, self.bytes);
    }
}

/// Waits until a request may be sent to its endpoint, and counts it as not read until what this returns is dropped.
///
/// # Errors
///
/// [`ExchangeFailure::EndpointFull`] if the endpoint has not read enough of earlier requests in time.
pub(super) async fn hand_over(
    relay: &impl RelayHandle,
    command: &SendCommand,
    body_bytes: u64,
) -> Result<Option<HandedBody>, ExchangeFailure> {
    if matches!(command.work, Work::Forward(_)) {
        // The other VM counts it for the endpoint.
        return Ok(None);
    }
    let memory = &relay.io().body_memory;
    let bytes = usize::try_from(body_bytes).unwrap_or(usize::MAX);
    let handed = HandedBody::wait(memory, &command.instance, bytes).await;
    if handed.is_none() {
        memory.budget().on_endpoint_full();
        return Err(ExchangeFailure::EndpointFull);
    }
    Ok(handed)
}
