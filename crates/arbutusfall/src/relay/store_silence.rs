//! Silence of the store: one call without an answer shows that other connections may be silent too.

use std::sync::Mutex;
use std::sync::PoisonError;

use async_channel::Sender;

/// Tells long reads that another call to the store got no answer in time.
#[derive(Debug, Default)]
pub(super) struct StoreSilence {
    /// Senders that are closed at the next silence.
    waiters: Mutex<Vec<Sender<()>>>,
}

impl StoreSilence {
    /// Reports a call that got no answer in time.
    pub(super) fn report(&self) {
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.clear();
    }

    /// Waits for the next report.
    pub(super) async fn reported(&self) {
        let (sender, receiver) = async_channel::bounded(1);
        {
            let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
            waiters.retain(|waiter| !waiter.is_closed());
            waiters.push(sender);
        }
        // Nothing is ever sent; this returns when the channel closes.
        let _ = receiver.recv().await;
    }
}
