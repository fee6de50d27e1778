//! Adapter of plain services: one exchange, answered as a whole.

use std::sync::Arc;

use arbutusfall_core::Event;
use arbutusfall_core::ServiceAnswer;
use arbutusfall_core::ServiceCommand;
use arbutusfall_core::ServiceEvent;
use async_channel::Sender;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;

use crate::Executor;
use crate::call_table::Asked;
use crate::call_table::CallTable;
use crate::driver::Input;
use crate::engines::hop_span;
use crate::http;
use crate::http::ClientError;
use crate::http::Exchange;
use crate::trace::SpanContext;

/// Longest time allowed for opening a connection to a service.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// The plain services as one process uses them.
#[derive(Debug)]
pub(crate) struct Services {
    pub(crate) executor: Arc<Executor>,
    pub(crate) calls: Arc<CallTable>,
    pub(crate) inputs: Sender<Input>,
}

impl Services {
    /// Carries out one try of a call.
    pub(crate) fn call(self: &Arc<Self>, order: ServiceCommand) {
        let services = self.clone();
        let exchange = async move {
            let call = order.call;
            let attempt = order.attempt;
            let expire = async {
                async_io::Timer::after(order.timeout).await;
                Err(ClientError::Timeout)
            };
            let event = match services.exchange(&order).or(expire).await {
                Ok(answer) => ServiceEvent::Answered {
                    call,
                    attempt,
                    answer,
                },
                Err(error) => ServiceEvent::Failed {
                    call,
                    attempt,
                    sent: error.may_have_been_sent(),
                },
            };
            // The channel is closed only while the process exits.
            let _ = services
                .inputs
                .try_send(Input::Event(Event::Service(event)));
        };
        self.executor.spawn(exchange).detach();
    }

    async fn exchange(&self, order: &ServiceCommand) -> Result<ServiceAnswer, ClientError> {
        // A call that is gone sends nothing.
        let (asked, _) = self.calls.asked(order.call).ok_or(ClientError::Connect)?;
        let Asked::Service {
            method,
            target,
            headers,
            body,
            traceparent,
        } = asked
        else {
            return Err(ClientError::Connect);
        };
        // A claim ends where its call is dispatched; a call that needed no claim has no span of one.
        let claim = self.calls.end_claim(order.call);
        if order.key.is_none()
            && let Some(claim) = claim
        {
            claim.cancel();
        }
        let span = hop_span("service", traceparent.as_deref());
        let mut builder = Request::builder().method(method).uri(&*target);
        if let Some(own) = builder.headers_mut() {
            *own = headers;
        }
        builder = builder.header(HOST, order.address.to_string());
        if let Some(context) = SpanContext::from_span(&span) {
            builder = builder.header("traceparent", context.encode_w3c_traceparent());
        }
        let request = builder
            .body(Full::new(body))
            .map_err(|_| ClientError::Connect)?;
        let exchange = Exchange {
            address: order.address,
            request,
            connect_timeout: CONNECT_TIMEOUT.min(order.timeout),
            answer_timeout: order.timeout,
        };
        let answer = http::send(&self.executor, exchange).await?;
        let status = answer.status().as_u16();
        let content_type = answer.headers().get(CONTENT_TYPE);
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or("");
        let content_type = content_type.into();
        let body = http::read_body(answer.into_body(), order.timeout).await?;
        Ok(ServiceAnswer {
            status,
            content_type,
            body: body.as_ref().into(),
        })
    }
}
