//! Versions of streams that have begun: each is known only once the process that wrote its first event is.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::calls::call::CurrentExchange;
use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::endpoints::run_status::RunVerdict;
use crate::relay::endpoints::run_status::UnknownRun;
use crate::relay::streams::unproved_streams::FirstEvent;
use crate::relay::streams::unproved_streams::JudgedStream;

/// Version of a stream that an exchange has begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::relay) enum RunVersion {
    /// It is that of the process that writes the stream.
    Known(Name),
    /// The process that writes the stream must be asked first.
    NotYet,
    /// It can't be known.
    Unknown(UnknownRun),
}

impl Relay {
    /// Judges all streams again after the list has changed: the entry of the process that began them may have been read.
    pub(in crate::relay) fn judge_all_streams(&mut self) {
        for instance in self.unproved_streams.instances() {
            self.judge_streams(&instance);
        }
    }

    /// Finds the versions of streams that have begun at an engine, as far as its processes are known by now; the engine is asked for
    /// those of the others.
    pub(in crate::relay) fn judge_streams(&mut self, instance: &Name) {
        let endpoint = self.endpoints.known(instance);
        let streams = &self.stream_versions;
        let judged = self.unproved_streams.judge(instance, |event| {
            // Nobody can come back with a stream whose origin is kept no longer.
            if streams.origin(&event.attempt).is_none() {
                return RunVerdict::Unknown(UnknownRun::Expired);
            }
            let gone = RunVerdict::Unknown(UnknownRun::NotListed);
            endpoint.map_or(gone, |endpoint| {
                verdict(endpoint, event.sent_at, event.arrived_at)
            })
        });
        let version = endpoint.map(|endpoint| endpoint.listed.version.clone());
        let version = version.unwrap_or_default();
        for stream in &judged {
            self.on_stream_judged(instance, stream, &version);
        }
        if judged
            .iter()
            .any(|stream| stream.verdict == RunVerdict::Unproved)
        {
            self.prove_run(instance);
        }
    }

    /// Handles what is known of the process that began a stream, whose engine has a listed version. The version of a stream that another
    /// process began is an empty one, which no endpoint has.
    fn on_stream_judged(&mut self, instance: &Name, stream: &JudgedStream, listed: &Name) {
        let version = match stream.verdict {
            RunVerdict::Listed => listed.clone(),
            RunVerdict::Unknown(UnknownRun::Expired) | RunVerdict::Unread => Name::default(),
            RunVerdict::Unknown(reason) => {
                self.note(RelayNotice::VersionUnknown {
                    request_id: stream.attempt.clone(),
                    instance: instance.clone(),
                    reason,
                });
                Name::default()
            }
            RunVerdict::Unproved => return,
        };
        let streams = &mut self.stream_versions;
        if streams.on_judged(&stream.attempt, version.clone()) {
            self.set_record_timer();
        }
        if stream.verdict == RunVerdict::Unread {
            return;
        }
        let mut calls = self.calls.iter_mut();
        let of_stream = calls.find(|(_, call)| *call.stream_attempt() == stream.attempt);
        let Some((&id, call)) = of_stream else {
            return;
        };
        call.stream_version = Some(version);
        if self.wait_queue.remove(id) {
            self.send_next(id);
        }
    }

    /// Returns the version of the stream that an exchange has begun.
    pub(in crate::relay) fn version_of_run(&self, current: &CurrentExchange) -> RunVersion {
        if current.is_proved {
            return RunVersion::Known(current.version.clone());
        }
        let Some(endpoint) = self.endpoints.known(&current.instance) else {
            return RunVersion::Unknown(UnknownRun::NotListed);
        };
        match verdict(endpoint, current.sent_at, self.now) {
            RunVerdict::Listed => RunVersion::Known(endpoint.listed.version.clone()),
            RunVerdict::Unknown(reason) => RunVersion::Unknown(reason),
            RunVerdict::Unproved | RunVerdict::Unread => RunVersion::NotYet,
        }
    }

    /// Logs why the version of a call's stream can't be known.
    pub(in crate::relay) fn note_unknown_version(
        &mut self,
        id: CallId,
        instance: &Name,
        reason: UnknownRun,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        self.note(RelayNotice::VersionUnknown {
            request_id: call.stream_attempt().clone(),
            instance: instance.clone(),
            reason,
        });
    }

    /// Has the engine asked that has written the first event of a call's stream: its process is not known yet.
    pub(in crate::relay) fn begin_proof(&mut self, attempt: Name, current: &CurrentExchange) {
        let event = FirstEvent {
            attempt,
            sent_at: current.sent_at,
            arrived_at: self.now,
        };
        self.unproved_streams.add(current.instance.clone(), event);
        self.prove_run(&current.instance);
    }
}

/// Returns which process of an engine has answered a request of `sent_at` by `answered_at`.
fn verdict(engine: &Endpoint, sent_at: Duration, answered_at: Duration) -> RunVerdict {
    match engine.run.verdict(sent_at, answered_at) {
        // A resting engine is not asked.
        RunVerdict::Unproved if engine.is_resting() => RunVerdict::Unknown(UnknownRun::Resting),
        verdict => verdict,
    }
}
