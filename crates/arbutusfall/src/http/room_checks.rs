//! How often an answer that waits for room checks for it.

use std::time::Duration;

/// Shortest interval between two checks.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// Longest interval between two checks.
const MAX_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two checks as a fraction of the time waited so far: one of this many.
const WAIT_DIVISOR: u32 = 4;

/// Returns the time until the next check of one that has waited for so long. Callers that read free room within milliseconds; the others
/// must not use the processor by the number of those that wait.
pub(super) fn next_room_check(waited: Duration) -> Duration {
    (waited / WAIT_DIVISOR).clamp(MIN_INTERVAL, MAX_INTERVAL)
}
