//! Turns of the tests on real processes.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

static TURN: Mutex<()> = Mutex::new(());

/// Waits until no other test runs a fleet: each starts some twenty processes, whose timeouts hold on a free machine.
pub(crate) fn take() -> MutexGuard<'static, ()> {
    // A test that failed leaves nothing behind.
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}
