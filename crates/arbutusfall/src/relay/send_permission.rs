//! Permission to send the request of an exchange whose connection is open.

use std::time::Duration;

use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::SendPermission;

use crate::relay::handle::RelayHandle;

/// Interval at which a request that waits for an overdue read of the endpoint list looks whether it has ended.
const LIST_READ_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns whether an exchange may send its request now that its connection is open; waits for a read of the endpoint list that is
/// overdue, which succeeds or fails within the timeout of a read.
pub(super) async fn may_send(relay: &impl RelayHandle, exchange: ExchangeId) -> bool {
    loop {
        match relay.send_permission(exchange) {
            SendPermission::Granted => return true,
            SendPermission::Withdrawn => return false,
            SendPermission::ListOverdue => {}
        }
        async_io::Timer::after(LIST_READ_POLL_INTERVAL).await;
    }
}
