//! Relays with engines that are asked when their processes started; what they answer is left to the test.

use std::sync::Arc;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::RunAnswer;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_wire::Name;

use crate::relay_harness::RelayHarness;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::routes;
use crate::relay_harness::store_read;

/// Start of the engines' listed processes, in Unix milliseconds.
pub(crate) const LISTED_START_UNIX_MS: u64 = 1;

/// Start of the processes after these.
pub(crate) const NEXT_START_UNIX_MS: u64 = 2;

pub(crate) fn engine(instance: &str, version: &str, started_unix_ms: u64) -> EndpointListChange {
    EndpointListChange::Listed(ListedEndpoint {
        version: version.into(),
        started_unix_ms: Some(started_unix_ms),
        ..listed(instance, "model", Role::Decode)
    })
}

/// Returns a relay with a prefill engine and decode engines of v1, long after it has read their entries; what engines are asked is
/// left to the test.
pub(crate) fn relay_with_engines(engines: &[&str]) -> RelayHarness {
    let retry_limit = RetryLimit {
        ratio: 0.2,
        slack: 40.0,
        vm_count: 1,
    };
    let mut harness = RelayHarness::with_retry_limit(1, retry_limit);
    harness.engines_state_their_starts = false;
    harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
    harness.apply(store_read(true));
    let prefill = EndpointListChange::Listed(listed("prefill-1", "model", Role::Prefill));
    let engines = engines
        .iter()
        .map(|name| engine(name, "v1", LISTED_START_UNIX_MS));
    let changes = [prefill].into_iter().chain(engines);
    harness.apply(RelayEvent::EndpointChanges(changes.collect()));
    harness.advance(ms(5_000));
    harness.effects.clear();
    harness
}

pub(crate) fn progress(last_event_id: u64) -> ExchangeEvent {
    ExchangeEvent::Progress {
        last_event_id: Some(last_event_id),
    }
}

/// Begins a stream at whichever engine gets it; the engine has not said yet which process runs.
pub(crate) fn begin(harness: &mut RelayHarness) -> SendCommand {
    let (_, decode) = harness.start_stream("/resumable/1");
    harness.deliver(decode.exchange, progress(1));
    decode
}

/// Takes the questions to engines when their processes started.
pub(crate) fn take_questions(harness: &mut RelayHarness) -> Vec<Name> {
    let effects = std::mem::take(&mut harness.effects);
    let mut asked = Vec::new();
    for effect in effects {
        match effect {
            RelayEffect::CheckRun { instance, .. } => asked.push(instance),
            other => harness.effects.push(other),
        }
    }
    asked
}

pub(crate) fn answer_question(harness: &mut RelayHarness, instance: &Name, answer: RunAnswer) {
    harness.apply(RelayEvent::RunChecked {
        instance: instance.clone(),
        asked_at: harness.now,
        answer,
    });
}
