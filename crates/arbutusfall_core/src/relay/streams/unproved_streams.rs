//! Streams whose first event came from a process that isn't known yet to be the listed one.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::relay::endpoints::run_status::RunVerdict;

/// The first event of a stream, which one process of an engine has written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FirstEvent {
    /// Id of the attempt that it was sent for.
    pub(crate) attempt: Name,
    /// When the request was sent to the engine.
    pub(crate) sent_at: Duration,
    /// When the event arrived.
    pub(crate) arrived_at: Duration,
}

/// A stream with what is known of the process that began it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JudgedStream {
    pub(crate) attempt: Name,
    pub(crate) verdict: RunVerdict,
}

/// First events by the engines that wrote them, until it is known whether their processes are the listed ones.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnprovedStreams(BTreeMap<Name, Vec<FirstEvent>>);

impl UnprovedStreams {
    pub(crate) fn add(&mut self, instance: Name, event: FirstEvent) {
        self.0.entry(instance).or_default().push(event);
    }

    /// Returns the engine whose process began a stream, if that process is not known yet.
    pub(crate) fn instance_of(&self, attempt: &Name) -> Option<&Name> {
        let mut instances = self.0.iter();
        let found =
            instances.find(|(_, events)| events.iter().any(|event| event.attempt == *attempt));
        found.map(|(instance, _)| instance)
    }

    /// Returns the engines that wrote these events.
    pub(crate) fn instances(&self) -> Vec<Name> {
        self.0.keys().cloned().collect()
    }

    /// Judges the streams of an engine; those whose process is known are judged for the last time.
    pub(crate) fn judge(
        &mut self,
        instance: &Name,
        judge: impl Fn(&FirstEvent) -> RunVerdict,
    ) -> Vec<JudgedStream> {
        let Some(events) = self.0.get_mut(instance) else {
            return Vec::new();
        };
        let mut judged = Vec::new();
        events.retain(|event| {
            let verdict = judge(event);
            judged.push(JudgedStream {
                attempt: event.attempt.clone(),
                verdict,
            });
            matches!(verdict, RunVerdict::Unproved | RunVerdict::Unread)
        });
        if events.is_empty() {
            self.0.remove(instance);
        }
        judged
    }
}
