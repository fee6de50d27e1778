//! What calls to the store show to the tasks that make others: that connections are silent, or that the store answers again.

use std::sync::Mutex;

use crate::lock::lock;
use crate::relay::waiters::Waiters;

/// Tells waiting tasks that a call to the store had an outcome of one kind.
#[derive(Debug, Default)]
pub(super) struct StoreSignal {
    /// Tasks to be woken at the next such call.
    waiters: Mutex<Waiters>,
}

impl StoreSignal {
    /// Reports a call of the kind.
    pub(super) fn report(&self) {
        lock(&self.waiters).wake_all();
    }

    /// Waits for the next report.
    pub(super) async fn reported(&self) {
        let reported = lock(&self.waiters).add();
        reported.await;
    }
}
