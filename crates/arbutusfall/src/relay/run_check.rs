//! Asks engines when their processes started, and sends requests that only one process may get.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RunAnswer;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_platform::orders;
use arbutusfall_platform::orders::RunReport;
use arbutusfall_wire::Name;
use futures_lite::FutureExt;
use hyper::Response;
use hyper::body::Incoming;

use crate::http;
use crate::http::ClientError;
use crate::http::OutgoingRequest;
use crate::relay::control_client::EngineClient;
use crate::relay::handle::RelayHandle;
use crate::relay::send_permission::may_send;

/// Time for an engine to say when its process started while a request waits for it.
const PROOF_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a request that only one process may get has no answer.
#[derive(Debug)]
pub(super) enum SendError {
    /// The engine's process is not that one; nothing was sent.
    OtherProcess,
    /// The engine did not say in time which process it is; nothing was sent.
    ProcessUnknown,
    /// The engine may not get the request any more; nothing was sent.
    Withdrawn,
    /// The request failed.
    Failed(ClientError),
}

impl From<ClientError> for SendError {
    fn from(error: ClientError) -> Self {
        Self::Failed(error)
    }
}

/// Asks an engine when its process started and reports the answer to the relay.
pub(super) async fn check_run(relay: impl RelayHandle, instance: Name, address: SocketAddr) {
    let asked_at = relay.io().now();
    let answer = ask(&relay, &instance, address).await;
    report(&relay, &instance, asked_at, answer);
}

/// Sends a request that only the process which started at `required_unix_ms` may get.
///
/// The connection is opened first and used last, and the engine is asked in between: a process that was already the listed one when
/// the connection was opened, and still is, has accepted it, and the connection ends with the process.
pub(super) async fn send(
    relay: &impl RelayHandle,
    command: &SendCommand,
    required_unix_ms: u64,
    outgoing: OutgoingRequest,
) -> Result<Response<Incoming>, SendError> {
    let stream = http::open(outgoing.address, outgoing.connect_timeout).await?;
    let asked_at = relay.io().now();
    let answer = ask_in_time(relay, command).await;
    report(relay, &command.instance, asked_at, answer);
    match answer {
        RunAnswer::Started(started_unix_ms) if started_unix_ms == required_unix_ms => {}
        // Nothing tells its processes from one another.
        RunAnswer::Unstated => {}
        RunAnswer::Started(_) | RunAnswer::OtherInstance => return Err(SendError::OtherProcess),
        RunAnswer::Refused | RunAnswer::Failed => return Err(SendError::ProcessUnknown),
    }
    if !may_send(relay, command.exchange).await {
        return Err(SendError::Withdrawn);
    }
    let io = relay.io();
    Ok(http::send_within_memory(&io.executor, stream, &io.body_memory, outgoing).await?)
}

/// Asks an engine for which an exchange waits.
async fn ask_in_time(relay: &impl RelayHandle, command: &SendCommand) -> RunAnswer {
    let expire = async {
        async_io::Timer::after(PROOF_TIMEOUT.min(command.time_left)).await;
        RunAnswer::Failed
    };
    let answer = ask(relay, &command.instance, command.address);
    answer.or(expire).await
}

async fn ask(relay: &impl RelayHandle, instance: &Name, address: SocketAddr) -> RunAnswer {
    let engine = EngineClient {
        relay,
        instance,
        address,
    };
    let report: Result<RunReport, ClientError> = engine.read_report().await;
    report.map_or_else(
        |error| {
            log::debug!("engine {instance} did not say when it started: {error}");
            match error {
                ClientError::Refused => RunAnswer::Refused,
                ClientError::Status(status) if orders::is_of_other_instance(status) => {
                    RunAnswer::OtherInstance
                }
                _ => RunAnswer::Failed,
            }
        },
        |report| report.answer(),
    )
}

fn report(relay: &impl RelayHandle, instance: &Name, asked_at: Duration, answer: RunAnswer) {
    relay.submit(RelayEvent::RunChecked {
        instance: instance.clone(),
        asked_at,
        answer,
    });
}
