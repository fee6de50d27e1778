//! Decides when an answer is ended because its caller reads nothing of it, or too little while memory is short.

use std::time::Duration;

/// Least pace at which an answer must be read while memory is short, in bytes per second: half of what the slowest mobile links carry.
const MIN_BYTES_PER_S: f64 = 4.0 * 1024.0;

/// How slowly an answer may be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadLimits {
    /// Time after which an answer is ended of which nothing is read.
    pub unread: Duration,
    /// Whether one is also ended of which too little is read in that time: memory is short.
    pub ends_slow: bool,
}

/// Why an answer is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlowRead {
    /// Nothing of it was read for this time.
    Nothing {
        /// The time.
        duration: Duration,
    },
    /// Too little of it was read in this time.
    Little {
        /// The time.
        duration: Duration,
        /// Bytes that were read.
        bytes: usize,
    },
}

/// Progress of an answer that waits for its caller to read.
#[derive(Debug, Clone, Copy)]
struct WaitingAnswer {
    /// When bytes were last read, or the wait began.
    last_read_at: Duration,
    /// Begin of the time for which the pace is measured.
    measured_since: Duration,
    /// Bytes read since then.
    bytes: usize,
}

/// How fast a caller reads the answer on its connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerPace {
    waiting: Option<WaitingAnswer>,
}

impl AnswerPace {
    /// Records that the connection has taken bytes.
    pub fn on_read(&mut self, bytes: usize, now: Duration) {
        if let Some(waiting) = &mut self.waiting {
            waiting.last_read_at = now;
            waiting.bytes = waiting.bytes.saturating_add(bytes);
        }
    }

    /// Records that the connection has taken all that there is of the answer: what follows may be late for other reasons.
    pub fn on_all_read(&mut self) {
        self.waiting = None;
    }

    /// Records that bytes wait for the caller to read; returns why the answer is to be ended, if it is.
    pub fn on_waiting(&mut self, now: Duration, limits: UnreadLimits) -> Option<SlowRead> {
        let waiting = self.waiting.get_or_insert(WaitingAnswer {
            last_read_at: now,
            measured_since: now,
            bytes: 0,
        });
        let unread = now.saturating_sub(waiting.last_read_at);
        if unread >= limits.unread {
            return Some(SlowRead::Nothing { duration: unread });
        }
        let measured = now.saturating_sub(waiting.measured_since);
        if measured < limits.unread {
            return None;
        }
        let bytes = std::mem::take(&mut waiting.bytes);
        waiting.measured_since = now;
        let is_slow = (bytes as f64) < MIN_BYTES_PER_S * measured.as_secs_f64();
        (is_slow && limits.ends_slow).then_some(SlowRead::Little {
            duration: measured,
            bytes,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const USUAL: UnreadLimits = UnreadLimits {
        unread: Duration::from_secs(4),
        ends_slow: false,
    };
    const SHORT: UnreadLimits = UnreadLimits {
        unread: Duration::from_secs(1),
        ends_slow: true,
    };
    const INTERVAL: Duration = Duration::from_millis(500);

    /// Reads so many bytes in each interval for a minute; returns when the answer is ended, and why.
    fn play(bytes: usize, limits: UnreadLimits) -> Option<(Duration, SlowRead)> {
        let mut pace = AnswerPace::default();
        (0..120).find_map(|step| {
            let now = INTERVAL * step;
            if bytes > 0 {
                pace.on_read(bytes, now);
            }
            pace.on_waiting(now, limits).map(|slow| (now, slow))
        })
    }

    // Guards against callers that read nothing and keep the memory of their answers.
    #[test]
    fn answer_of_which_nothing_is_read_ends() {
        for limits in [USUAL, SHORT] {
            let duration = limits.unread;
            let nothing = SlowRead::Nothing { duration };
            assert_eq!(play(0, limits), Some((duration, nothing)));
        }
    }

    // Guards against callers that read a few bytes from time to time and so keep the memory of their answers while it is short.
    #[test]
    fn answer_of_which_little_is_read_ends_while_memory_is_short() {
        for bytes in [1, 100, 1_500] {
            let (ended_at, slow) = play(bytes, SHORT).expect("it ends");
            assert_eq!(ended_at, SHORT.unread);
            assert!(matches!(slow, SlowRead::Little { .. }), "{slow:?}");
        }
    }

    // Guards against callers on slow links that are cut off: at any pace while memory is not short, and at that of a mobile link otherwise.
    #[test]
    fn answer_to_a_slow_link_goes_on() {
        assert_eq!(play(1, USUAL), None);
        assert_eq!(play(3_000, SHORT), None);
    }

    // Guards against a caller that is cut off because memory has just become short, although it reads fast enough, and against one that
    // reads too little going on then.
    #[test]
    fn pace_of_before_counts_once_memory_is_short() {
        for (bytes, ends) in [(100, true), (3_000, false)] {
            let mut pace = AnswerPace::default();
            for step in 0..6 {
                pace.on_read(bytes, INTERVAL * step);
                assert_eq!(pace.on_waiting(INTERVAL * step, USUAL), None);
            }
            pace.on_read(bytes, INTERVAL * 6);
            let slow = pace.on_waiting(INTERVAL * 6, SHORT);
            assert_eq!(slow.is_some(), ends, "{slow:?}");
        }
    }

    // Guards against a stream that is cut off because its engine sends little.
    #[test]
    fn stream_that_is_read_completely_goes_on() {
        let mut pace = AnswerPace::default();
        for step in 0..120 {
            assert_eq!(pace.on_waiting(INTERVAL * step, SHORT), None);
            pace.on_read(20, INTERVAL * step);
            pace.on_all_read();
        }
    }
}
