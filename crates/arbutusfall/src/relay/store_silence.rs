//! Silence of the store: one call without an answer shows that other connections may be silent too.

use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::lock::lock;
use crate::relay::waiters::Waiters;

/// Tells long reads that another call to the store got no answer in time.
#[derive(Debug, Default)]
pub(super) struct StoreSilence {
    /// Tasks to be woken at the next silence.
    waiters: Mutex<Waiters>,
}

impl StoreSilence {
    fn waiters(&self) -> MutexGuard<'_, Waiters> {
        lock(&self.waiters)
    }

    /// Reports a call that got no answer in time.
    pub(super) fn report(&self) {
        self.waiters().wake_all();
    }

    /// Waits for the next report.
    pub(super) async fn reported(&self) {
        let reported = self.waiters().add();
        reported.await;
    }
}
