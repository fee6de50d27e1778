//! Which process runs at an engine's address: whether it is the one that its entry describes, and for which time that is known.
//!
//! An engine may be upgraded in place: its next process has the same address and id, and maybe another software version, and
//! its entry is read only later. A process is known by when it started, which engines say when they are asked. The processes of an
//! engine follow one another, so one that had started at an instant and answers at a later one has run between them, and so has
//! answered every request that was sent and answered in that time.
//!
//! Besides, a process that ends breaks its connections off. So an engine whose connections break off is in doubt until it says
//! when its process started or, if it doesn't say, until it has run for long enough that its entry must have been read.

use std::time::Duration;

use serde::Serialize;

/// Shortest time between two questions to an engine in doubt.
const DOUBT_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest time between two questions to an engine at which streams have begun: they share a question.
const PROOF_INTERVAL: Duration = Duration::from_millis(100);

/// Time after an answer from which the entry read is that of the process that answered: a process writes its entry when it
/// starts, and a list that is used is not older than this.
const ENTRY_READ_TIME: Duration = Duration::from_secs(3);

/// What is known of the process at an engine's address.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunStatus {
    /// Start of the listed process, in Unix milliseconds, if its entry says so.
    listed_unix_ms: Option<u64>,
    known: Option<KnownRun>,
    doubt: Option<RunDoubt>,
    /// When the engine was last asked.
    asked_at: Option<Duration>,
    /// Whether it has not answered the last question yet.
    is_asked: bool,
    /// When a timer is due for the next question.
    timer_due: Option<Duration>,
    /// When the newest question was asked to which it said that it doesn't say when it started.
    unstated_at: Option<Duration>,
    /// When the newest question was asked that it did not answer.
    failed_at: Option<Duration>,
}

/// A process that is known to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownRun {
    started_unix_ms: u64,
    /// It had started by this instant.
    since: Duration,
    /// It still ran at this instant.
    ///
    /// Invariant: not before `since`.
    until: Duration,
}

/// An engine's process may have ended.
#[derive(Debug, Clone, Copy)]
struct RunDoubt {
    since: Duration,
    /// First answer since then; it didn't say when the process started.
    answered_at: Option<Duration>,
}

/// What an engine that was asked said.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunAnswer {
    /// Its process started at this time, in Unix milliseconds.
    Started(u64),
    /// It did not say when.
    Unstated,
    /// Another instance has answered at its address.
    OtherInstance,
    /// It refused the connection.
    Refused,
    /// It did not answer, or its answer can't be read. That says nothing of its process.
    Failed,
}

/// Whether the process that has answered a request is the listed one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunVerdict {
    /// It is.
    Listed,
    /// It isn't, or that can't be known any more.
    Unknown(UnknownRun),
    /// It isn't known yet: the engine must be asked.
    Unproved,
    /// It isn't, and its own entry has not been read yet.
    Unread,
}

/// Why it can't be known which process has answered a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownRun {
    /// The engine is not listed any more.
    NotListed,
    /// The engine rests and is not asked.
    Resting,
    /// Another process is known to run, which has started since the request was sent.
    StartedAgain,
    /// The process ended before it has said when it started.
    Ended,
    /// The engine does not say when its processes start, and one may have ended.
    InDoubt,
    /// Nobody can come back with the stream.
    Expired,
}

impl RunStatus {
    /// Creates the status of an engine whose entry has been read at `now`.
    pub(crate) fn new(listed_unix_ms: Option<u64>, now: Duration) -> Self {
        let known = listed_unix_ms.map(|started_unix_ms| KnownRun {
            started_unix_ms,
            since: now,
            until: now,
        });
        Self {
            listed_unix_ms,
            known,
            ..Self::default()
        }
    }

    /// Returns the status after the entry of another process has been read, which may have been known already.
    pub(crate) fn relisted(self, listed_unix_ms: Option<u64>, now: Duration) -> Self {
        let known = self.known;
        let known = known.filter(|known| Some(known.started_unix_ms) == listed_unix_ms);
        let status = Self::new(listed_unix_ms, now);
        Self {
            known: known.or(status.known),
            // The entry may be from before the process ended.
            doubt: self.doubt.filter(|_| known.is_some()),
            asked_at: self.asked_at,
            is_asked: self.is_asked,
            timer_due: self.timer_due,
            ..status
        }
    }

    /// Returns whether the process that is known by now was known at an instant.
    pub(crate) fn is_known_at(&self, instant: Duration) -> bool {
        self.known.is_some_and(|known| known.since <= instant)
    }

    /// Returns whether nothing speaks against the listed process.
    pub(crate) fn is_listed(&self) -> bool {
        self.doubt.is_none() && !self.is_replaced()
    }

    /// Returns whether the engine has named another process than the listed one.
    fn is_replaced(&self) -> bool {
        let (known, listed_unix_ms) = (self.known, self.listed_unix_ms);
        known
            .zip(listed_unix_ms)
            .is_some_and(|(known, listed)| known.started_unix_ms != listed)
    }

    /// Returns whether the engine's entry and, as far as is known, its own word tell one process from another.
    pub(crate) fn can_be_proved(&self) -> bool {
        self.listed_unix_ms.is_some() && self.unstated_at.is_none()
    }

    /// Returns when the process started that is known to run, in Unix milliseconds; none if processes can't be told from one another.
    pub(crate) fn known_start(&self) -> Option<u64> {
        let known = self.known.filter(|_| self.can_be_proved());
        known.map(|known| known.started_unix_ms)
    }

    /// Returns which process has answered a request of `sent_at` by `answered_at`.
    pub(crate) fn verdict(&self, sent_at: Duration, answered_at: Duration) -> RunVerdict {
        let Some(known) = self.known.filter(|_| self.can_be_proved()) else {
            // Nothing tells one process from another but connections that break off.
            return if self.doubt.is_none() {
                RunVerdict::Listed
            } else {
                RunVerdict::Unknown(UnknownRun::InDoubt)
            };
        };
        if sent_at < known.since {
            return RunVerdict::Unknown(UnknownRun::StartedAgain);
        }
        if answered_at > known.until {
            let failed_at = self.failed_at;
            let has_failed = failed_at.is_some_and(|failed_at| failed_at >= answered_at);
            // A question may fail although the process runs; connections to one that ends break off.
            return if has_failed && self.doubt.is_some() {
                RunVerdict::Unknown(UnknownRun::Ended)
            } else {
                RunVerdict::Unproved
            };
        }
        if self.is_replaced() {
            return RunVerdict::Unread;
        }
        RunVerdict::Listed
    }

    /// Records that a connection to the engine broke off or was not accepted.
    pub(crate) fn on_broken_off(&mut self, now: Duration) {
        self.doubt = Some(RunDoubt {
            since: now,
            answered_at: None,
        });
    }

    /// Returns when the engine, which is in doubt, may be asked next.
    pub(crate) fn next_check_at(&self) -> Duration {
        self.next_question_at(DOUBT_INTERVAL)
    }

    /// Returns when the engine may be asked next for streams that have begun there; none before it has answered.
    pub(crate) fn next_proof_at(&self) -> Option<Duration> {
        (!self.is_asked).then(|| self.next_question_at(PROOF_INTERVAL))
    }

    /// Records that a timer is set for the next question; returns false if one is set already.
    pub(crate) fn set_timer(&mut self, due: Duration, now: Duration) -> bool {
        let is_set = self.timer_due.is_some_and(|set| set > now);
        if !is_set {
            self.timer_due = Some(due);
        }
        !is_set
    }

    fn next_question_at(&self, interval: Duration) -> Duration {
        self.asked_at
            .map_or(Duration::ZERO, |asked_at| asked_at + interval)
    }

    /// Returns whether the engine is in doubt and is to be asked now.
    pub(crate) fn must_check(&self, now: Duration) -> bool {
        !self.is_listed() && now >= self.next_check_at()
    }

    /// Records that the engine is asked.
    pub(crate) fn on_asked(&mut self, now: Duration) {
        self.asked_at = Some(now);
        self.is_asked = true;
    }

    /// Takes what the engine said at `now` to a question of `asked_at`.
    pub(crate) fn on_checked(&mut self, asked_at: Duration, answer: RunAnswer, now: Duration) {
        self.is_asked = false;
        match answer {
            RunAnswer::Started(started_unix_ms) if self.listed_unix_ms.is_some() => {
                self.on_started(started_unix_ms, asked_at, now);
            }
            // Without a start in its entry, it can't be compared.
            RunAnswer::Started(_) | RunAnswer::Unstated => self.on_unstated(asked_at),
            RunAnswer::OtherInstance | RunAnswer::Refused | RunAnswer::Failed => {
                self.failed_at = self.failed_at.max(Some(asked_at));
            }
        }
    }

    fn on_started(&mut self, started_unix_ms: u64, asked_at: Duration, now: Duration) {
        match &mut self.known {
            Some(known) if known.started_unix_ms == started_unix_ms => {
                known.until = known.until.max(asked_at);
            }
            // The answer is older than what is known.
            Some(known) if asked_at < known.since => return,
            known => {
                *known = Some(KnownRun {
                    started_unix_ms,
                    since: now,
                    until: now,
                });
            }
        }
        if self.listed_unix_ms == Some(started_unix_ms) {
            self.doubt.take_if(|doubt| asked_at >= doubt.since);
        }
    }

    fn on_unstated(&mut self, asked_at: Duration) {
        self.unstated_at = self.unstated_at.max(Some(asked_at));
        let doubt = self.doubt.as_mut();
        if let Some(doubt) = doubt.filter(|doubt| asked_at >= doubt.since) {
            doubt.answered_at.get_or_insert(asked_at);
        }
    }

    /// Records that the list was read and still has the engine's entry of before.
    pub(crate) fn on_list_read(&mut self, now: Duration) {
        let answered_at = self.doubt.and_then(|doubt| doubt.answered_at);
        if answered_at.is_some_and(|answered_at| now >= answered_at + ENTRY_READ_TIME) {
            self.doubt = None;
        }
    }
}
