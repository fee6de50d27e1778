//! Runs a stand-in as the HTTP server of this process.

use std::ffi::OsString;
use std::future::Future;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall::Executor;
use arbutusfall::http;
use arbutusfall::http::AnswerBody;
use arbutusfall::http::ServerLimits;
use futures_lite::future;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::collector::Collector;
use crate::engine::Engine;
use crate::log_service::LogService;
use crate::plain_service::PlainService;
use crate::vm_list::VmList;

/// Maximum size of a request's body.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with its complete body; the body is empty if it could not be read.
pub(crate) struct ReceivedRequest {
    pub(crate) parts: hyper::http::request::Parts,
    pub(crate) body: Bytes,
}

/// Handler of the requests to a stand-in.
pub(crate) trait StandIn: Send + Sync + 'static {
    /// Handles one request and returns its answer.
    fn handle(
        self: Arc<Self>,
        request: ReceivedRequest,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Runs the stand-in given by the arguments: its kind, its address and optionally its options as JSON.
///
/// Returns only on an error: with 2 if the arguments are not valid, with 1 if the stand-in cannot listen.
pub fn run_stand_in(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let words: Vec<String> = arguments
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let [kind, address, options @ ..] = words.as_slice() else {
        return ExitCode::from(2);
    };
    let Ok(address) = address.parse() else {
        return ExitCode::from(2);
    };
    let options = options.first().map_or("{}", String::as_str);
    let executor = Arc::new(Executor::new());
    let server_executor = executor.clone();
    match kind.as_str() {
        "log" => run(&server_executor, address, LogService::default()),
        "vm-list" => run(&server_executor, address, VmList::default()),
        "service" => run(&server_executor, address, PlainService::default()),
        "collector" => run(&server_executor, address, Collector::default()),
        "engine" => match serde_json::from_str(options) {
            Ok(options) => run(
                &server_executor,
                address,
                Engine::new(executor, address, options),
            ),
            Err(_) => ExitCode::from(2),
        },
        _ => ExitCode::from(2),
    }
}

fn run(executor: &Arc<Executor>, address: SocketAddr, stand_in: impl StandIn) -> ExitCode {
    let stand_in = Arc::new(stand_in);
    let handler = move |request: Request<Incoming>| {
        let stand_in = stand_in.clone();
        async move {
            let (parts, body) = request.into_parts();
            let body = http::read_request_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await;
            stand_in
                .handle(ReceivedRequest {
                    parts,
                    body: body.unwrap_or_default(),
                })
                .await
        }
    };
    let limits = || ServerLimits {
        // Keeps idle connections open.
        header_timeout: Duration::from_secs(3_600),
        ..Default::default()
    };
    let listening = http::serve_with_closures(executor.clone(), address, limits, handler);
    future::block_on(executor.run(async {
        match listening.await {
            Ok(_listening) => future::pending().await,
            Err(error) => {
                eprintln!("the stand-in cannot listen on {address}: {error}");
                ExitCode::from(1)
            }
        }
    }))
}
