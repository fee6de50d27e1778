//! How a VM that has no facts, or has lost its positions, looks for a stronger VM that passes all newest records on.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;

/// Longest time for an answer at a start: all newest records over a narrow link.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for an answer to a VM that serves and has lost its positions: what it knows becomes too old meanwhile.
const SERVING_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a VM that serves and has lost its positions reads the store itself.
const SERVING_SEARCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a VM whose stronger VMs do not answer reads the store itself: they may have been removed.
const UNANSWERED_SEARCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a VM whose stronger VMs answer, but pass nothing on, reads the store itself: they start as well, or serve others.
const DECLINED_SEARCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Largest fraction of these times that is added at random, so that VMs which started at the same moment do not all read the
/// store at once.
const SEARCH_TIMEOUT_SPREAD: f64 = 0.4;

/// Time after which a VM is asked again; doubles with each consecutive refusal.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Upper limit of [`RETRY_INTERVAL`] when doubled.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(1_200);

/// What a VM does next for the newest records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextNewest {
    /// Ask a VM.
    Ask {
        /// The VM.
        vm: Name,
        /// Where it listens for other VMs.
        address: SocketAddr,
        /// Longest time for its answer.
        timeout: Duration,
    },
    /// Wait, then decide again.
    Wait {
        /// Until when.
        until: Duration,
    },
    /// Read the store.
    ReadStore,
}

/// A VM of a stronger class that may be asked.
#[derive(Debug, Clone, PartialEq)]
struct Stronger {
    vm: Name,
    address: SocketAddr,
    /// Consecutive questions that brought nothing.
    refusals: u32,
    /// Instant from which it may be asked again.
    not_before: Duration,
}

/// Search for a stronger VM that passes all newest records on; ends by itself after a bounded time.
#[derive(Debug, Clone, PartialEq)]
pub struct NewestSearch {
    started_at: Duration,
    /// Random factor of the time after which this VM reads the store, from 1 to 1 + [`SEARCH_TIMEOUT_SPREAD`].
    spread: f64,
    /// Whether this VM serves by what it knew before.
    is_serving: bool,
    /// Whether any VM has answered.
    has_answer: bool,
    stronger: Vec<Stronger>,
}

impl NewestSearch {
    /// Begins a search among VMs, best first; `random` is from 0 to 1.
    pub fn new(vms: Vec<(Name, SocketAddr)>, now: Duration, random: f64, is_serving: bool) -> Self {
        let stronger = vms.into_iter().map(|(vm, address)| Stronger {
            vm,
            address,
            refusals: 0,
            not_before: now,
        });
        Self {
            started_at: now,
            spread: 1.0 + random * SEARCH_TIMEOUT_SPREAD,
            is_serving,
            has_answer: false,
            stronger: stronger.collect(),
        }
    }

    /// Returns when the search ends at the latest.
    fn deadline(&self) -> Duration {
        let timeout = match (self.is_serving, self.has_answer) {
            (true, _) => SERVING_SEARCH_TIMEOUT,
            (false, true) => DECLINED_SEARCH_TIMEOUT,
            (false, false) => UNANSWERED_SEARCH_TIMEOUT,
        };
        self.started_at + timeout.mul_f64(self.spread)
    }

    /// Returns what to do now; a question that brought nothing is followed by [`Self::on_refused`].
    pub fn next(&self, now: Duration) -> NextNewest {
        let first = self.stronger.iter().min_by_key(|vm| vm.not_before);
        let Some(first) = first.filter(|_| now < self.deadline()) else {
            return NextNewest::ReadStore;
        };
        if first.not_before > now {
            let until = first.not_before.min(self.deadline());
            return NextNewest::Wait { until };
        }
        NextNewest::Ask {
            vm: first.vm.clone(),
            address: first.address,
            timeout: if self.is_serving {
                SERVING_ANSWER_TIMEOUT
            } else {
                ANSWER_TIMEOUT
            },
        }
    }

    /// Records that a VM passed nothing on; `has_answered` says whether it answered at all.
    pub fn on_refused(&mut self, vm: &Name, has_answered: bool, now: Duration) {
        self.has_answer |= has_answered;
        if let Some(asked) = self.stronger.iter_mut().find(|known| known.vm == *vm) {
            let doublings = asked.refusals.min(8);
            asked.refusals += 1;
            let interval = RETRY_INTERVAL * (1 << doublings);
            asked.not_before = now + interval.min(MAX_RETRY_INTERVAL);
        }
    }
}
