//! How often an answer that waits for room checks for it.

use std::time::Duration;

/// Shortest interval between two checks.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// Longest interval between two checks.
const MAX_INTERVAL: Duration = Duration::from_millis(50);

/// Divisor of the time waited so far that gives the interval between two checks.
const WAIT_DIVISOR: u32 = 4;

/// Returns the time until the next check for room, after `waited`. If callers read, room is free within milliseconds, so the first checks are
/// frequent; later ones are rarer, so that many waiting answers cost little processor time.
pub(super) fn next_room_check(waited: Duration) -> Duration {
    (waited / WAIT_DIVISOR).clamp(MIN_INTERVAL, MAX_INTERVAL)
}
