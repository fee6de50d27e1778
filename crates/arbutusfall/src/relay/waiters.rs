//! Tasks that wait until something happens.

use std::convert::Infallible;

use async_channel::Sender;

/// Tasks that wait for the same thing.
#[derive(Debug, Default)]
pub(super) struct Waiters {
    /// Senders whose channels close when the tasks are woken.
    senders: Vec<Sender<Infallible>>,
}

impl Waiters {
    /// Adds a task, which the returned future lets wait until the next [`Self::wake_all`].
    pub(super) fn add(&mut self) -> impl Future<Output = ()> + use<> {
        let (sender, receiver) = async_channel::bounded(1);
        self.senders.retain(|waiter| !waiter.is_closed());
        self.senders.push(sender);
        async move {
            // Nothing is ever sent; this returns when the channel closes.
            let _ = receiver.recv().await;
        }
    }

    /// Wakes all tasks.
    pub(super) fn wake_all(&mut self) {
        self.senders.clear();
    }
}
