//! Whole answers of endpoints, which are forwarded once they are complete.

use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::SendCommand;
use hyper::Response;
use hyper::body::Incoming;

use crate::http;
use crate::relay::answer_parts::exchange_failure;
use crate::relay::answer_parts::split_head;
use crate::relay::answer_parts::wait_for_proof_of_end;
use crate::relay::handle::RelayHandle;

/// Reads an answer and stores it until the relay decides whether to use it.
pub(super) async fn read(
    relay: &impl RelayHandle,
    command: &SendCommand,
    answer: Response<Incoming>,
) -> Result<ExchangeEvent, ExchangeFailure> {
    let framing = http::body_framing(&answer);
    let (head, body) = split_head(command, answer);
    let status = head.status.as_u16();
    let body = http::read_body(body, command.time_left, &relay.io().body_memory)
        .await
        .map_err(exchange_failure)?;
    wait_for_proof_of_end(relay, command, framing).await?;
    relay.io().exchanges.store_head(command.exchange, head);
    relay.io().exchanges.store_body(command.exchange, body);
    Ok(ExchangeEvent::Complete { status })
}
