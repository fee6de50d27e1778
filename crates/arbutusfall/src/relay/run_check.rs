//! Sends requests that only one process may get.

use std::time::Duration;

use arbutusfall_core::relay::RunAnswer;
use arbutusfall_core::relay::SendCommand;
use futures_lite::FutureExt;
use hyper::Response;
use hyper::body::Incoming;

use crate::http;
use crate::http::ClientError;
use crate::http::OutgoingRequest;
use crate::relay::handle::RelayHandle;
use crate::relay::run_questions;
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
    match ask_in_time(relay, command).await {
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
    let answer = run_questions::ask(relay, &command.instance, command.address);
    let answer = async { answer.recv().await.unwrap_or(RunAnswer::Failed) };
    let expire = async {
        async_io::Timer::after(PROOF_TIMEOUT.min(command.time_left)).await;
        RunAnswer::Failed
    };
    answer.or(expire).await
}
