//! Questions to engines when their processes started. All that wait for an engine's answer share a question, which begins after they do.

use std::net::SocketAddr;
use std::sync::Mutex;

use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RunAnswer;
use arbutusfall_platform::orders;
use arbutusfall_platform::orders::RunReport;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;
use async_channel::Receiver;
use async_channel::Sender;

use crate::http::ClientError;
use crate::lock::lock;
use crate::relay::control_client::EngineClient;
use crate::relay::handle::RelayHandle;

/// An engine and where it listens.
type Engine = (Name, SocketAddr);

/// Engines that are being asked, with those that wait for the question after that.
#[derive(Default)]
pub(super) struct RunQuestions(Mutex<FastMap<Engine, Vec<Sender<RunAnswer>>>>);

impl RunQuestions {
    /// Adds one that waits for an engine's answer. Returns where it arrives, and whether the engine is not being asked yet.
    fn add(&self, engine: &Engine) -> (Receiver<RunAnswer>, bool) {
        let (sender, receiver) = async_channel::bounded(1);
        let mut engines = lock(&self.0);
        let is_first = !engines.contains_key(engine);
        engines.entry(engine.clone()).or_default().push(sender);
        (receiver, is_first)
    }

    /// Takes those that wait for the next question to an engine; if there are none, it is no longer being asked.
    fn take_waiting(&self, engine: &Engine) -> Option<Vec<Sender<RunAnswer>>> {
        let mut engines = lock(&self.0);
        let waiting = std::mem::take(engines.get_mut(engine)?);
        if waiting.is_empty() {
            engines.remove(engine);
            return None;
        }
        Some(waiting)
    }
}

/// Has an engine asked when its process started, by a question that begins from now on. Its answer is reported to the relay, and returned by
/// the receiver.
pub(super) fn ask(
    relay: &impl RelayHandle,
    instance: &Name,
    address: SocketAddr,
) -> Receiver<RunAnswer> {
    let engine = (instance.clone(), address);
    let (receiver, is_first) = relay.io().run_questions.add(&engine);
    if is_first {
        relay.io().spawn(ask_while_needed(relay.clone(), engine));
    }
    receiver
}

async fn ask_while_needed(relay: impl RelayHandle, engine: Engine) {
    while let Some(waiting) = relay.io().run_questions.take_waiting(&engine) {
        let (instance, address) = &engine;
        let asked_at = relay.io().now();
        let answer = ask_once(&relay, instance, *address).await;
        relay.submit(RelayEvent::RunChecked {
            instance: instance.clone(),
            asked_at,
            answer,
        });
        for sender in waiting {
            // Fails only if nothing waits any more.
            let _ = sender.try_send(answer);
        }
    }
}

async fn ask_once(relay: &impl RelayHandle, instance: &Name, address: SocketAddr) -> RunAnswer {
    let engine = EngineClient {
        relay,
        instance,
        address,
    };
    let report: Result<RunReport, ClientError> = engine.read_report().await;
    report.map_or_else(
        |error| {
            log::debug!("engine {instance} did not say when it started: {error}");
            failed_answer(&error)
        },
        |report| report.answer(),
    )
}

/// Returns what a question without a report says of the engine's process.
fn failed_answer(error: &ClientError) -> RunAnswer {
    match error {
        ClientError::Refused => RunAnswer::Refused,
        ClientError::Status(status) if orders::is_of_other_instance(*status) => {
            RunAnswer::OtherInstance
        }
        _ => RunAnswer::Failed,
    }
}
