//! Fixtures for non-idempotent calls: builders of events, and filters of effects.

use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::LogEra;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::ServiceAnswer;
use arbutusfall_core::ServiceCall;
use arbutusfall_core::ServiceEvent;
use arbutusfall_wire::ClaimRecord;
use arbutusfall_wire::ClaimReply;
use arbutusfall_wire::ClaimVerdict;
use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Offset;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::Sender;

use crate::session::STARTED_AT;
use crate::session::Session;

pub(crate) const OWN: &str = "milano-a-1";
pub(crate) const OTHER: &str = "milano-a-2";
pub(crate) const FINGERPRINT: u64 = 7;

const STREAM: LogStream = LogStream::Claims(0);

/// Returns a key created at a time since the Unix epoch.
pub(crate) fn key_created_at(unix: Duration, number: u8) -> IdempotencyKey {
    let millis = u64::try_from(unix.as_millis()).expect("milliseconds fit in u64");
    let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &[number; 10]).into_uuid();
    uuid.try_into().expect("built as version 7")
}

pub(crate) fn key() -> IdempotencyKey {
    key_created_at(STARTED_AT, 1)
}

/// Returns a call of the non-idempotent route.
pub(crate) fn service_call(call: u64, key: &str, attempt: Option<u32>) -> ServiceCall {
    ServiceCall {
        call: CallId(call),
        account: "school".into(),
        method: "POST".into(),
        path: "/v1/bookings".into(),
        idempotency_key: Some(key.into()),
        attempt,
        fingerprint: FINGERPRINT,
        traceparent: None,
    }
}

pub(crate) fn call(call: u64) -> Event {
    Event::ServiceCall(service_call(call, &key().to_string(), None))
}

pub(crate) fn call_marked_first(call: u64) -> Event {
    Event::ServiceCall(service_call(call, &key().to_string(), Some(1)))
}

/// Returns a request id; the incarnation of the session's own process is 7.
pub(crate) fn request(incarnation: u64, sequence: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(incarnation),
        sequence,
    }
}

pub(crate) fn claim_record(vm: &str, request: RequestId) -> ClaimRecord {
    ClaimRecord::Claim {
        key: key(),
        vm: vm.into(),
        request,
        fingerprint: FINGERPRINT,
    }
}

pub(crate) fn outcome_record(request: RequestId, outcome: Outcome) -> ClaimRecord {
    ClaimRecord::Outcome {
        key: key(),
        request,
        outcome,
    }
}

pub(crate) fn booked_outcome() -> Outcome {
    Outcome::Answered {
        status: 201,
        content_type: "text/plain".into(),
        body: "booked".into(),
    }
}

pub(crate) fn appended(append: u64) -> Event {
    Event::Log(LogEvent::Appended {
        stream: STREAM,
        append,
    })
}

pub(crate) fn append_failed(append: u64, may_have_taken_effect: bool) -> Event {
    Event::Log(LogEvent::AppendFailed {
        stream: STREAM,
        append,
        may_have_taken_effect,
    })
}

pub(crate) fn read_failed() -> Event {
    Event::Log(LogEvent::ReadFailed { stream: STREAM })
}

/// Returns the log's answer to a read: records from an offset to the end of the stream.
pub(crate) fn log_read(from: u64, records: &[ClaimRecord]) -> Event {
    let numbered = (from..).zip(records);
    let page = numbered.map(|(offset, record)| LogRecord {
        offset: Offset(offset),
        age: Duration::ZERO,
        text: serde_json::to_string(record)
            .expect("records are JSON")
            .into(),
    });
    let records: Vec<LogRecord> = page.collect();
    Event::Log(LogEvent::Read {
        stream: STREAM,
        era: LogEra::default(),
        from: Offset(from),
        oldest: Offset(0),
        end: Offset(from + records.len() as u64),
        records,
    })
}

/// Returns a message from VM [`OTHER`].
pub(crate) fn from_other(message: PeerMessage) -> Event {
    let from = Sender {
        vm: OTHER.into(),
        incarnation: Incarnation(8),
    };
    Event::Peer { from, message }
}

pub(crate) fn claim_reply(verdict: ClaimVerdict) -> Event {
    from_other(PeerMessage::ClaimReply(ClaimReply {
        key: key(),
        request: request(7, 1),
        verdict,
    }))
}

pub(crate) fn log_unavailable_verdict() -> ClaimVerdict {
    ClaimVerdict::LogUnavailable {
        retry_after: Duration::from_secs(2),
    }
}

pub(crate) fn lost_verdict(vm: &str, holder: RequestId, outcome: Option<Outcome>) -> ClaimVerdict {
    ClaimVerdict::Lost {
        vm: vm.into(),
        holder,
        fingerprint: FINGERPRINT,
        outcome,
    }
}

pub(crate) fn answered(call: u64, attempt: u32) -> Event {
    Event::Service(ServiceEvent::Answered {
        call: CallId(call),
        attempt,
        answer: ServiceAnswer {
            status: 201,
            content_type: "text/plain".into(),
            body: "booked".into(),
        },
    })
}

pub(crate) fn service_failed(call: u64, attempt: u32, sent: bool) -> Event {
    Event::Service(ServiceEvent::Failed {
        call: CallId(call),
        attempt,
        sent,
    })
}

/// Advances the clock in steps of 50 ms with a tick after each, and returns the effects.
pub(crate) fn wait(session: &mut Session, time: Duration) -> Vec<Effect> {
    let step = Duration::from_millis(50);
    let mut effects = Vec::new();
    let mut passed = Duration::ZERO;
    while passed < time {
        session.advance(step);
        passed += step;
        effects.extend(session.apply(Event::Tick));
    }
    effects
}

/// Returns the call and attempt numbers of calls sent to a service.
pub(crate) fn dispatched_calls(effects: &[Effect]) -> Vec<(u64, u32)> {
    let commands = effects.iter().filter_map(|effect| match effect {
        Effect::CallService(command) => Some((command.call.0, command.attempt)),
        _ => None,
    });
    commands.collect()
}

/// Returns refused calls, with the problems.
pub(crate) fn refused_calls(effects: &[Effect]) -> Vec<(u64, ProblemKind)> {
    let refused = effects.iter().filter_map(|effect| match effect {
        Effect::AnswerProblem { call, problem } => Some((call.0, problem.kind)),
        _ => None,
    });
    refused.collect()
}

/// Returns calls answered by the service.
pub(crate) fn answered_calls(effects: &[Effect]) -> Vec<u64> {
    let answered = effects.iter().filter_map(|effect| match effect {
        Effect::Answer { call, .. } => Some(call.0),
        _ => None,
    });
    answered.collect()
}

/// Returns the appends to claim streams, with their record counts.
pub(crate) fn append_effects(effects: &[Effect]) -> Vec<(u64, usize)> {
    let appends = effects.iter().filter_map(|effect| match effect {
        Effect::Append {
            stream: LogStream::Claims(_),
            append,
            records,
            ..
        } => Some((*append, records.len())),
        _ => None,
    });
    appends.collect()
}

/// Returns the number of reads of claim streams.
pub(crate) fn read_count(effects: &[Effect]) -> usize {
    let is_read = |effect: &&Effect| {
        matches!(
            effect,
            Effect::ReadLog {
                stream: LogStream::Claims(_),
                ..
            }
        )
    };
    effects.iter().filter(is_read).count()
}

/// Returns messages to peers, except for probes.
pub(crate) fn peer_messages(effects: &[Effect]) -> Vec<&PeerMessage> {
    let messages = effects.iter().filter_map(|effect| match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    });
    messages
        .filter(|message| {
            !matches!(
                message,
                PeerMessage::Probe(_) | PeerMessage::IndirectProbe(_)
            )
        })
        .collect()
}
