//! Answers that have ended with their connection, until it is known whether they are complete.
//!
//! A process that ends closes its connections too. So such an answer is complete only if the process that wrote it has outlived it, and
//! it counts as broken off once another process is known to have taken its place, or none. Silence is neither: a sound endpoint may not
//! answer for a moment, and questions and connections may be lost on their way.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::relay::ConnectAnswer;
use crate::relay::ExchangeId;
use crate::relay::RunAnswer;

/// Shortest time between two questions to an endpoint: all answers that have ended meanwhile share the next one.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);

/// Longest such time, at an endpoint that fails questions at once.
const MAX_QUESTION_INTERVAL: Duration = Duration::from_millis(800);

/// Time for which an endpoint must have refused all connections to count as ended; a single refusal may be one of a full queue.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// What was found of an answer that ended with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndFinding {
    /// The process that wrote it has outlived it.
    SameProcess,
    /// The endpoint still answers, and doesn't say which process it is.
    Unstated,
    /// The endpoint still accepts connections, and nothing tells its processes from one another.
    Accepts,
    /// The endpoint's process is another one.
    OtherProcess,
    /// Another endpoint has its address.
    OtherInstance,
    /// The endpoint refuses connections.
    Refused,
    /// Nothing, until the exchange was over for another reason.
    Unknown,
}

impl EndFinding {
    /// Returns the name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::SameProcess => "same_process",
            Self::Unstated => "unstated",
            Self::Accepts => "accepts",
            Self::OtherProcess => "other_process",
            Self::OtherInstance => "other_instance",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }

    /// Returns whether the answer is complete.
    pub(crate) fn is_complete(self) -> bool {
        matches!(self, Self::SameProcess | Self::Unstated | Self::Accepts)
    }
}

/// What an endpoint showed of its process when it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessSign {
    /// The process that started at this time, in Unix milliseconds, has answered.
    Started(u64),
    /// A process has answered, and has not said when it started.
    Unstated,
    /// A connection was accepted.
    Accepted,
    /// Another instance has answered.
    OtherInstance,
    /// A connection was refused.
    Refused,
    /// Nothing.
    None,
}

impl From<RunAnswer> for ProcessSign {
    fn from(answer: RunAnswer) -> Self {
        match answer {
            RunAnswer::Started(started_unix_ms) => Self::Started(started_unix_ms),
            RunAnswer::Unstated => Self::Unstated,
            RunAnswer::OtherInstance => Self::OtherInstance,
            RunAnswer::Refused => Self::Refused,
            RunAnswer::Failed => Self::None,
        }
    }
}

impl From<ConnectAnswer> for ProcessSign {
    fn from(answer: ConnectAnswer) -> Self {
        match answer {
            ConnectAnswer::Accepted => Self::Accepted,
            ConnectAnswer::Refused => Self::Refused,
            ConnectAnswer::Unanswered => Self::None,
        }
    }
}

/// An answer that has ended with its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnprovedEnd {
    pub(crate) exchange: ExchangeId,
    /// Id that the caller gave to the request.
    pub(crate) request_id: Name,
    /// Start of the process that wrote it, in Unix milliseconds; none if the endpoint's processes can't be told from one another.
    pub(crate) started_unix_ms: Option<u64>,
    pub(crate) ended_at: Duration,
}

impl UnprovedEnd {
    /// Returns what a sign that was asked for at `asked_at` says of the answer; none if that is nothing.
    fn judge(
        &self,
        sign: ProcessSign,
        asked_at: Duration,
        refused_since: Option<Duration>,
    ) -> Option<EndFinding> {
        if asked_at < self.ended_at {
            return None;
        }
        match (sign, self.started_unix_ms) {
            (ProcessSign::Started(answers), Some(wrote)) if answers == wrote => {
                Some(EndFinding::SameProcess)
            }
            (ProcessSign::Started(_), Some(_)) => Some(EndFinding::OtherProcess),
            (ProcessSign::Unstated, Some(_)) => Some(EndFinding::Unstated),
            (ProcessSign::Started(_) | ProcessSign::Unstated | ProcessSign::Accepted, None) => {
                Some(EndFinding::Accepts)
            }
            (ProcessSign::OtherInstance, _) => Some(EndFinding::OtherInstance),
            (ProcessSign::Refused, _) => {
                let since = refused_since?.max(self.ended_at);
                (asked_at >= since + REFUSAL_TIME).then_some(EndFinding::Refused)
            }
            (ProcessSign::Accepted, Some(_)) | (ProcessSign::None, _) => None,
        }
    }

    /// Returns whether an entry of the endpoint is of a later process than the one that wrote the answer.
    fn is_before_entry(&self, listed_unix_ms: Option<u64>, is_same_address: bool) -> bool {
        match (self.started_unix_ms, listed_unix_ms) {
            // An older entry may come from an older copy of the list.
            (Some(wrote), Some(listed)) => listed > wrote,
            (None, _) => !is_same_address,
            (Some(_), None) => false,
        }
    }
}

/// A question to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndQuestion {
    pub(crate) address: SocketAddr,
    /// Whether it is asked when its process started; otherwise only whether it accepts connections.
    pub(crate) asks_start: bool,
}

/// What is to be done next for the answers of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextQuestion {
    /// Nothing: no answer waits, or a question is open.
    None,
    /// The endpoint is to be asked now.
    Ask(EndQuestion),
    /// The endpoint may be asked then.
    At(Duration),
}

/// The answers of one endpoint.
#[derive(Debug, Clone)]
struct EndsAtEndpoint {
    /// Where the endpoint listened when they were sent for.
    address: SocketAddr,
    ends: Vec<UnprovedEnd>,
    asked_at: Option<Duration>,
    /// Time from then on until it may be asked again.
    interval: Duration,
    /// Whether a question is open.
    is_asked: bool,
    /// When the first of its newest refusals arrived; nothing else has since.
    refused_since: Option<Duration>,
    /// Whether it was asked during its rest, which it may be once.
    was_asked_in_rest: bool,
}

impl EndsAtEndpoint {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            ends: Vec::new(),
            asked_at: None,
            interval: QUESTION_INTERVAL,
            is_asked: false,
            refused_since: None,
            was_asked_in_rest: false,
        }
    }

    fn next_question_at(&self) -> Option<Duration> {
        self.asked_at.map(|asked_at| asked_at + self.interval)
    }

    fn record_sign(&mut self, sign: ProcessSign, asked_at: Duration, now: Duration) {
        if self.asked_at.is_some_and(|newest| asked_at >= newest) {
            self.is_asked = false;
        }
        if sign == ProcessSign::Refused {
            self.refused_since.get_or_insert(now);
        } else {
            self.refused_since = None;
        }
        self.interval = if sign == ProcessSign::None {
            (self.interval * 2).min(MAX_QUESTION_INTERVAL)
        } else {
            QUESTION_INTERVAL
        };
    }
}

/// Answers that have ended with their connection, by endpoint, until it is known whether they are complete.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnprovedEnds(BTreeMap<Name, EndsAtEndpoint>);

impl UnprovedEnds {
    /// Adds an answer of an endpoint. Returns those that it had written at another address, whose process has ended.
    pub(crate) fn add(
        &mut self,
        instance: &Name,
        address: SocketAddr,
        end: UnprovedEnd,
    ) -> Vec<UnprovedEnd> {
        let known = self.0.entry(instance.clone());
        let known = known.or_insert_with(|| EndsAtEndpoint::new(address));
        let mut before = Vec::new();
        if known.address != address {
            let replaced = std::mem::replace(known, EndsAtEndpoint::new(address));
            before = replaced.ends;
        }
        known.ends.push(end);
        before
    }

    /// Returns the endpoints that wrote these answers.
    pub(crate) fn instances(&self) -> Vec<Name> {
        self.0.keys().cloned().collect()
    }

    /// Takes the answers of an endpoint whose exchanges are over for another reason.
    pub(crate) fn take_over(
        &mut self,
        instance: &Name,
        is_open: impl Fn(ExchangeId) -> bool,
    ) -> Vec<UnprovedEnd> {
        self.take(instance, |end| {
            (!is_open(end.exchange)).then_some(EndFinding::Unknown)
        })
        .into_iter()
        .map(|(end, _)| end)
        .collect()
    }

    /// Takes the answers of which something is known by a sign of the endpoint that was asked for at `asked_at` and arrived at `now`.
    pub(crate) fn take_judged(
        &mut self,
        instance: &Name,
        sign: ProcessSign,
        asked_at: Duration,
        now: Duration,
    ) -> Vec<(UnprovedEnd, EndFinding)> {
        let Some(known) = self.0.get_mut(instance) else {
            return Vec::new();
        };
        known.record_sign(sign, asked_at, now);
        let refused_since = known.refused_since;
        self.take(instance, |end| end.judge(sign, asked_at, refused_since))
    }

    /// Takes the answers that are older than the process of the endpoint's entry.
    pub(crate) fn take_before_entry(
        &mut self,
        instance: &Name,
        address: SocketAddr,
        listed_unix_ms: Option<u64>,
    ) -> Vec<(UnprovedEnd, EndFinding)> {
        let known = self.0.get(instance);
        let is_same_address = known.is_some_and(|known| known.address == address);
        self.take(instance, |end| {
            let is_before = end.is_before_entry(listed_unix_ms, is_same_address);
            is_before.then_some(EndFinding::OtherProcess)
        })
    }

    fn take(
        &mut self,
        instance: &Name,
        find: impl Fn(&UnprovedEnd) -> Option<EndFinding>,
    ) -> Vec<(UnprovedEnd, EndFinding)> {
        let Some(known) = self.0.get_mut(instance) else {
            return Vec::new();
        };
        let mut found = Vec::new();
        known.ends.retain(|end| {
            let finding = find(end);
            found.extend(finding.map(|finding| (end.clone(), finding)));
            finding.is_none()
        });
        found
    }

    /// Returns what is to be done next for the answers of an endpoint that rests until `rest_until`, if it does. An endpoint without such
    /// answers is forgotten once it may be asked again.
    pub(crate) fn next_question(
        &mut self,
        instance: &Name,
        rest_until: Option<Duration>,
        now: Duration,
    ) -> NextQuestion {
        let Some(known) = self.0.get_mut(instance) else {
            return NextQuestion::None;
        };
        if known.is_asked {
            return NextQuestion::None;
        }
        let due = known.next_question_at().unwrap_or(now);
        if now < due {
            return NextQuestion::At(due);
        }
        let rest_until = rest_until.filter(|until| now < *until);
        if let Some(until) = rest_until.filter(|_| known.was_asked_in_rest) {
            return NextQuestion::At(until);
        }
        if known.ends.is_empty() {
            self.0.remove(instance);
            return NextQuestion::None;
        }
        known.asked_at = Some(now);
        known.is_asked = true;
        known.was_asked_in_rest = rest_until.is_some();
        let mut ends = known.ends.iter();
        NextQuestion::Ask(EndQuestion {
            address: known.address,
            asks_start: ends.any(|end| end.started_unix_ms.is_some()),
        })
    }
}
