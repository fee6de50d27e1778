//! What answers of endpoints have in common, whole ones and streams: their heads, their ends and their failures.

use arbutusfall_core::relay::BodyFraming;
use arbutusfall_core::relay::EndProof;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::Work;
use arbutusfall_platform::endpoints;
use arbutusfall_platform::forwarding;
use hyper::Response;
use hyper::body::Incoming;

use crate::http::ClientError;
use crate::relay::handle::RelayHandle;
use crate::relay::open_calls::AnswerHead;

/// Returns how an exchange has failed whose request failed with this error.
pub(super) fn exchange_failure(error: ClientError) -> ExchangeFailure {
    match error {
        ClientError::Connect | ClientError::Refused => ExchangeFailure::Unreachable,
        ClientError::Unsent => ExchangeFailure::ClosedUnsent,
        ClientError::Malformed => ExchangeFailure::Malformed,
        ClientError::TooLong => ExchangeFailure::TooLong,
        ClientError::Broken | ClientError::Timeout | ClientError::Status(_) => {
            ExchangeFailure::Closed
        }
    }
}

/// Splits an answer into the head that its caller gets and its body.
pub(super) fn split_head(
    command: &SendCommand,
    answer: Response<Incoming>,
) -> (AnswerHead, Incoming) {
    let (parts, body) = answer.into_parts();
    let is_leaving = endpoints::says_leaving(&parts.headers);
    let mut headers = endpoints::forwarded_answer_headers(parts.headers);
    if !matches!(command.work, Work::Forward(_)) {
        forwarding::mark_version(&mut headers, &command.version);
        if is_leaving {
            forwarding::mark_leaving(&mut headers, &command.instance);
        }
    }
    let head = AnswerHead {
        status: parts.status,
        headers,
    };
    (head, body)
}

/// Waits until it is known that an answer that has ended with its connection is complete: a process that ends closes its connections too,
/// and the next one may accept connections at once. If it isn't complete, the relay closes the exchange, which ends this task.
pub(super) async fn wait_for_proof_of_end(
    relay: &impl RelayHandle,
    command: &SendCommand,
    framing: BodyFraming,
) -> Result<(), ExchangeFailure> {
    if framing != BodyFraming::ConnectionEnd {
        return Ok(());
    }
    let proof = relay.io().exchanges.expect_proof(command.exchange);
    relay.submit_exchange_event(command.exchange, ExchangeEvent::EndedWithConnection);
    match proof.recv().await {
        Ok(EndProof::Process) => Ok(()),
        Ok(EndProof::Connection) => {
            relay.submit_exchange_event(command.exchange, ExchangeEvent::EndUnmarked);
            Ok(())
        }
        Err(_) => Err(ExchangeFailure::Closed),
    }
}
