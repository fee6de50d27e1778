//! One exchange with an endpoint, over a connection of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_platform::endpoints;
use arbutusfall_platform::endpoints::AnswerKind;
use arbutusfall_wire::Name;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::http;
use crate::http::ClientError;
use crate::http::EventSplitter;
use crate::http::Exchange;
use crate::relay::driver::Driver;
use crate::relay::open_calls::AnswerHead;

/// Time allowed for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time allowed for an engine to confirm that it freed memory.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Carries an exchange out and tells the relay what happens.
pub(super) async fn run(driver: Arc<Driver>, order: SendCommand) {
    let exchange = order.exchange;
    let call = order.call;
    let event = match answer(&driver, &order).await {
        Ok(event) => event,
        Err(failure) => ExchangeEvent::Failed { failure },
    };
    log::debug!("call {} exchange {} ended: {event:?}", call.0, exchange.0);
    driver.submit_exchange(exchange, event);
    driver.forget_exchange(exchange);
}

async fn answer(
    driver: &Arc<Driver>,
    order: &SendCommand,
) -> Result<ExchangeEvent, ExchangeFailure> {
    // A call that is gone sends nothing.
    let request = driver.calls.request(order.call);
    let request = request.ok_or(ExchangeFailure::Unreachable)?;
    let sent = Exchange {
        address: order.address,
        request: request.to_endpoint(order).map(Full::new),
        connect_timeout: CONNECT_TIMEOUT.min(order.caller_timeout),
        answer_timeout: order.caller_timeout,
    };
    let answer = http::send(&driver.executor, sent).await.map_err(failure)?;
    let meaning =
        endpoints::classify_answer(&request, &order.work, answer.status(), answer.headers());
    match meaning {
        AnswerKind::NotRun(reason) => Ok(ExchangeEvent::NotRun { reason }),
        AnswerKind::Malformed => Err(ExchangeFailure::Malformed),
        AnswerKind::Reserved => {
            let reservation =
                read_name(answer, order.caller_timeout, endpoints::reservation).await?;
            Ok(ExchangeEvent::Reserved { reservation })
        }
        AnswerKind::Prefilled => {
            let handle = read_name(answer, order.caller_timeout, endpoints::prefill_handle).await?;
            Ok(ExchangeEvent::PrefillDone { handle })
        }
        AnswerKind::Whole => read_whole(driver, order, answer).await,
        AnswerKind::Stream => pass_stream(driver, order.exchange, order.call, answer).await,
    }
}

fn failure(error: ClientError) -> ExchangeFailure {
    match error {
        ClientError::Connect => ExchangeFailure::Unreachable,
        ClientError::Malformed => ExchangeFailure::Malformed,
        ClientError::Broken | ClientError::Timeout | ClientError::Status(_) => {
            ExchangeFailure::Closed
        }
    }
}

/// Reads the name that an engine gave to what it keeps.
async fn read_name(
    answer: Response<Incoming>,
    within: Duration,
    parse: impl Fn(&[u8]) -> Option<Name>,
) -> Result<Name, ExchangeFailure> {
    let body = http::read_body(answer.into_body(), within)
        .await
        .map_err(failure)?;
    parse(&body).ok_or(ExchangeFailure::Malformed)
}

fn split_head(answer: Response<Incoming>) -> (AnswerHead, Incoming) {
    let (parts, body) = answer.into_parts();
    let head = AnswerHead {
        status: parts.status,
        headers: endpoints::forwarded_headers(parts.headers),
    };
    (head, body)
}

async fn read_whole(
    driver: &Driver,
    order: &SendCommand,
    answer: Response<Incoming>,
) -> Result<ExchangeEvent, ExchangeFailure> {
    let (head, body) = split_head(answer);
    let status = head.status.as_u16();
    let body = http::read_body(body, order.caller_timeout)
        .await
        .map_err(failure)?;
    driver.store_head(order.exchange, head);
    driver.store_body(order.exchange, body);
    Ok(ExchangeEvent::Complete { status })
}

/// Passes a stream on as whole events arrive, so that it can go on elsewhere between any two of them.
async fn pass_stream(
    driver: &Arc<Driver>,
    exchange: ExchangeId,
    call: CallId,
    answer: Response<Incoming>,
) -> Result<ExchangeEvent, ExchangeFailure> {
    let (head, mut body) = split_head(answer);
    let status = head.status.as_u16();
    driver.store_head(exchange, head);
    driver.submit_exchange(exchange, ExchangeEvent::StreamBegan);
    let mut splitter = EventSplitter::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ExchangeFailure::Closed)?;
        let Ok(bytes) = frame.into_data() else {
            // Trailers carry nothing that callers need.
            continue;
        };
        let Some(events) = splitter.push(&bytes) else {
            continue;
        };
        driver.calls.write(call, events.bytes);
        let last_event_id = events.last_id;
        driver.submit_exchange(exchange, ExchangeEvent::Progress { last_event_id });
    }
    let rest = splitter.finish();
    if !rest.is_empty() {
        driver.calls.write(call, rest);
    }
    Ok(ExchangeEvent::Complete { status })
}

/// Has an engine free something; what it does not free lapses by itself.
pub(super) async fn free(driver: Arc<Driver>, address: SocketAddr, request: Request<Bytes>) {
    let sent = Exchange {
        address,
        request: request.map(Full::new),
        connect_timeout: CONNECT_TIMEOUT,
        answer_timeout: FREE_TIMEOUT,
    };
    if let Err(error) = http::send(&driver.executor, sent).await {
        log::info!("an engine did not confirm that it freed memory: {error}");
    }
}
