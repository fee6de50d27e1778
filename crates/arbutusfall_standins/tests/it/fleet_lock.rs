//! Lock for tests that start a fleet; the tests in `claims` run beside them without it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Waits until no other test holds the lock. A fleet has up to about twenty processes, whose timeouts only hold on an
/// otherwise idle machine.
pub(crate) fn acquire() -> MutexGuard<'static, ()> {
    // The lock guards no data, and a failed test ends its processes, so poisoning is ignored.
    FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
