//! HTTP client of plain services: sends a request and reads the complete answer.

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
use crate::call_table::CallRequest;
use crate::call_table::CallTable;
use crate::driver::Input;
use crate::engines::child_span;
use crate::http;
use crate::http::BodyMemory;
use crate::http::ClientError;
use crate::http::OutgoingRequest;
use crate::trace::SpanContext;

/// Timeout for opening a connection to a service; the attempt's timeout applies if it is shorter.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// Client for all plain services of a site.
#[derive(Debug)]
pub(crate) struct Services {
    pub(crate) executor: Arc<Executor>,
    pub(crate) answer_memory: Arc<BodyMemory>,
    pub(crate) calls: Arc<CallTable>,
    pub(crate) input_sender: Sender<Input>,
}

impl Services {
    /// Performs one attempt of a call.
    pub(crate) fn call(self: &Arc<Self>, command: ServiceCommand) {
        let services = self.clone();
        let task = async move {
            let call = command.call;
            let attempt = command.attempt;
            let expire = async {
                async_io::Timer::after(command.timeout).await;
                Err(ClientError::Timeout)
            };
            let event = match services.send_call(&command).or(expire).await {
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
                .input_sender
                .try_send(Input::Event(Event::Service(event)));
        };
        self.executor.spawn(task).detach();
    }

    async fn send_call(&self, command: &ServiceCommand) -> Result<ServiceAnswer, ClientError> {
        // Failures before the request is sent are reported as `Connect`, since nothing reached the service.
        let (request, _) = self
            .calls
            .request_and_delivered_text(command.call)
            .ok_or(ClientError::Connect)?;
        let CallRequest::Service {
            method,
            target,
            headers,
            body,
            traceparent,
        } = request
        else {
            return Err(ClientError::Connect);
        };
        // The span of a claim is recorded when this function returns, or discarded if the call needed no claim.
        let claim_span = self.calls.take_claim_span(command.call);
        if command.key.is_none()
            && let Some(claim_span) = claim_span
        {
            claim_span.discard();
        }
        let span = child_span("service", traceparent.as_deref());
        let mut builder = Request::builder().method(method).uri(&*target);
        if let Some(builder_headers) = builder.headers_mut() {
            *builder_headers = headers;
        }
        builder = builder.header(HOST, command.address.to_string());
        if let Some(context) = SpanContext::from_span(&span) {
            builder = builder.header("traceparent", context.encode_w3c_traceparent());
        }
        let request = builder
            .body(Full::new(body))
            .map_err(|_| ClientError::Connect)?;
        let outgoing = OutgoingRequest {
            address: command.address,
            request,
            connect_timeout: CONNECT_TIMEOUT.min(command.timeout),
            answer_timeout: command.timeout,
        };
        let answer = http::send(&self.executor, outgoing).await?;
        let status = answer.status().as_u16();
        let content_type = answer.headers().get(CONTENT_TYPE);
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or("");
        let content_type = content_type.into();
        let body =
            http::read_body(answer.into_body(), command.timeout, &self.answer_memory).await?;
        Ok(ServiceAnswer {
            status,
            content_type,
            body: body.into_bytes().as_ref().into(),
        })
    }
}
