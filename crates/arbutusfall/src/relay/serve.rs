//! Starts and stops a relay process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::relay::AccountTable;
use arbutusfall_core::relay::CrashCause;
use arbutusfall_core::relay::PeerAddress;
use arbutusfall_core::relay::Relay;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::RelaySettings;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_core::relay::TailCost;
use arbutusfall_wire::Name;
use async_signal::Signal;
use async_signal::Signals;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::StreamExt;
use futures_lite::future;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use serde_json::json;
use uuid::Uuid;

use crate::Executor;
use crate::LogFormat;
use crate::ServeError;
use crate::explain::EXPLAIN_PATH;
use crate::http;
use crate::http::AnswerBody;
use crate::http::BodyMemory;
use crate::http::ServerLimits;
use crate::relay::ReadTiming;
use crate::relay::RelayProcessSettings;
use crate::relay::callers::RelayCallerServer;
use crate::relay::control_client::ControlClient;
use crate::relay::decision_log::DecisionLog;
use crate::relay::driver::Driver;
use crate::relay::effects::EffectPerformer;
use crate::relay::explain_server;
use crate::relay::fact_board::FactBoard;
use crate::relay::fact_server::FactServer;
use crate::relay::handle::RelayHandle;
use crate::relay::handle::RelayIo;
use crate::relay::listed_entries::ListedEntries;
use crate::relay::newest_pace::NewestPace;
use crate::relay::peer_question::empty_answer;
use crate::relay::peer_server::PeerServer;
use crate::relay::store_client::StoreClient;
use crate::relay::store_watch::StoreWatch;
use crate::telemetry;

/// Path of counters and latency quantiles at the operators' address; any unknown path returns readiness.
const METRICS_PATH: &str = "/metrics";

/// Path of the parts whose prompts are refused; `DELETE` of the path with a part's id unblocks the part.
const BLOCKED_PARTS_PATH: &str = "/blocked-parts";

/// Path of the requests that are refused because they crash endpoints; `DELETE` likewise.
const BLOCKED_REQUESTS_PATH: &str = "/blocked-requests";

/// Path of the client accounts that this VM owns, with their use.
const ACCOUNTS_PATH: &str = "/accounts";

/// Timeout for writing the last log lines.
const LOG_TIMEOUT: Duration = Duration::from_millis(200);

/// Part of the drain timeout that is not available to `ListenerHandle::close`: before it, the relay's
/// `CLOSE_CONNECTIONS_DELAY` (2.3 s); after it, the time to write the log and exit.
const EXIT_MARGIN: Duration = Duration::from_millis(2_900);

/// Time to write the answers of calls that end because the process exits.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(150);

/// Runs the relay on a VM of the platform; after SIGTERM or SIGINT, drains and returns.
///
/// # Errors
///
/// [`ServeError`] if the process cannot start.
pub fn serve_relay(settings: RelayProcessSettings) -> Result<(), Report<ServeError>> {
    telemetry::init_logging(LogFormat::Json, settings.log_level);
    let executor = Arc::new(Executor::new());
    // One thread runs all tasks and polls sockets and timers.
    async_io::block_on(executor.clone().run(run(executor, settings)))
}

async fn run(
    executor: Arc<Executor>,
    settings: RelayProcessSettings,
) -> Result<(), Report<ServeError>> {
    let relay_settings = RelaySettings {
        retry_limit: settings.retry_limit(),
        lease_lifetime: Duration::from_millis(settings.lease_lifetime_ms),
        max_list_age: settings.max_list_age(),
        own_hash_key: RequestHashKey(Uuid::new_v4().as_u128()),
        quota: settings.quota_settings(),
        own_address: settings.peer_address.map(|address| {
            let data_centre = settings.data_centre.clone();
            let peer = PeerAddress {
                address,
                data_centre,
                strength: settings.strength(),
            };
            (settings.vm.clone(), peer)
        }),
        slow_start: settings.slow_start,
    };
    let store = Arc::new(StoreClient::new(settings.store_address));
    let control = ControlClient {
        member: format!("{}-{:016x}", settings.vm, fastrand::u64(..)).into(),
        store: store.clone(),
    };
    let body_memory = BodyMemory::new(settings.buffer_limits(), settings.max_answer_bytes());
    let relay = Relay::new(&relay_settings, fastrand::u64(..));
    let log = DecisionLog::start(
        settings.vm.clone(),
        settings.log_bytes_per_s,
        std::io::stdout(),
    );
    let log = log.change_context(ServeError::Log)?;
    let io = RelayIo::new(executor.clone(), Arc::new(body_memory), log);
    let facts = Arc::new(FactBoard::new(
        settings.fact_times(),
        settings.seeks_newest(),
        io.clock,
    ));
    let effects = EffectPerformer::new(control, store.clone(), facts.clone());
    let driver = Arc::new(Driver::new(relay, io, effects));
    let topics = [
        (StoreTopic::Config, settings.config_timing()),
        (StoreTopic::Endpoints, settings.endpoint_list_timing()),
        (StoreTopic::Shared, ReadTiming::of_shared_records()),
    ];
    for (topic, timing) in topics {
        let watch = StoreWatch {
            relay: driver.clone(),
            store: store.clone(),
            topic,
            timing,
            facts: facts.clone(),
            accounts: AccountTable::default(),
            listed: ListedEntries::default(),
            tail_cost: TailCost::new(settings.strength().link_mbps),
            pages: None,
            era: None,
            restored_at: None,
        };
        executor.spawn(watch.run()).detach();
    }
    watch_signals(&driver)?;
    let peers = match settings.peer_address {
        Some(address) => {
            let facts = FactServer {
                driver: driver.clone(),
                board: facts.clone(),
                link_mbps: settings.strength().link_mbps,
                pace: NewestPace::new(settings.strength().link_mbps),
            };
            Some(serve_peers(&driver, facts, address).await?)
        }
        None => None,
    };
    let operators = serve_operators(&driver, store, facts, &settings).await?;
    let callers = Arc::new(RelayCallerServer {
        driver: driver.clone(),
    });
    let address = settings.caller_address;
    let listener = http::serve(executor, address, callers);
    let listener = listener.await.change_context(ServeError::Listen(address))?;
    driver.io().record_notice(&RelayNotice::Started {
        data_centre: settings.data_centre.clone(),
        version: env!("CARGO_PKG_VERSION"),
    });
    driver.submit(RelayEvent::Started);
    driver.io().spawn(driver.clone().run_timers());
    driver.wait_for_close_request().await;
    let drain_timeout = Duration::from_secs(settings.drain_timeout_s);
    let close_timeout = drain_timeout.saturating_sub(EXIT_MARGIN);
    let end_calls = end_open_calls(
        driver.clone(),
        close_timeout.saturating_sub(LAST_ANSWERS_TIME),
    );
    driver.io().spawn(end_calls);
    let close_peers = async {
        if let Some(peers) = peers {
            peers.close(close_timeout).await;
        }
    };
    // Requests of other VMs are finished like those of callers.
    future::zip(listener.close(close_timeout), close_peers).await;
    drop(operators);
    driver.io().record_notice(&RelayNotice::Stopped);
    driver.io().finish_log(LOG_TIMEOUT).await;
    Ok(())
}

/// Ends the calls that are still in progress after `timeout`, so that each gets an answer before the process exits.
async fn end_open_calls(driver: Arc<Driver>, timeout: Duration) {
    async_io::Timer::after(timeout).await;
    driver.submit(RelayEvent::DrainTimeout);
}

async fn serve_peers(
    driver: &Arc<Driver>,
    facts: FactServer,
    address: SocketAddr,
) -> Result<http::ListenerHandle, Report<ServeError>> {
    let executor = driver.io().executor.clone();
    let driver = driver.clone();
    let server = Arc::new(PeerServer {
        driver,
        facts,
        address,
    });
    let listener = http::serve(executor, address, server);
    listener.await.change_context(ServeError::Listen(address))
}

async fn serve_operators(
    driver: &Arc<Driver>,
    store: Arc<StoreClient>,
    facts: Arc<FactBoard>,
    settings: &RelayProcessSettings,
) -> Result<http::ListenerHandle, Report<ServeError>> {
    let address = settings.operator_address;
    let driver = driver.clone();
    let vm = settings.vm.clone();
    let executor = driver.io().executor.clone();
    let handler = move |request: Request<Incoming>| {
        let answer = answer_operator(
            &driver,
            &store,
            &facts,
            request.method(),
            request.uri(),
            &vm,
        );
        async move { answer }
    };
    let listener = http::serve_with_closures(executor, address, ServerLimits::default, handler);
    listener.await.change_context(ServeError::Listen(address))
}

fn answer_operator(
    driver: &Arc<Driver>,
    store: &StoreClient,
    facts: &FactBoard,
    method: &Method,
    uri: &Uri,
    vm: &Name,
) -> Response<AnswerBody> {
    let path = uri.path();
    if path == METRICS_PATH {
        return Response::new(AnswerBody::whole(
            driver.metrics_text(store.era.newest(), facts),
        ));
    }
    if path == EXPLAIN_PATH {
        return explain_server::answer(driver, facts, uri.query().unwrap_or_default(), vm);
    }
    if path == ACCOUNTS_PATH {
        return http::json_answer(200, &driver.owned_accounts());
    }
    for (list, is_request) in [(BLOCKED_PARTS_PATH, false), (BLOCKED_REQUESTS_PATH, true)] {
        match path.strip_prefix(list) {
            Some("") => return http::json_answer(200, &driver.blocked_causes(is_request)),
            Some(rest) => return unblock(driver, method, rest.trim_start_matches('/')),
            None => {}
        }
    }
    readiness(driver.is_ready())
}

fn unblock(driver: &Arc<Driver>, method: &Method, id: &str) -> Response<AnswerBody> {
    let cause = CrashCause::from_text(id);
    let is_unblocked = method == Method::DELETE && driver.unblock(cause);
    let status = if is_unblocked { 200 } else { 404 };
    http::json_answer(status, &json!({ "unblocked": is_unblocked }))
}

fn readiness(is_ready: bool) -> Response<AnswerBody> {
    empty_answer(if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

fn watch_signals(driver: &Arc<Driver>) -> Result<(), Report<ServeError>> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = signals.change_context(ServeError::Signals)?;
    let signal_driver = driver.clone();
    let watch = async move {
        while let Some(Ok(signal)) = signals.next().await {
            if signal == Signal::Hup {
                signal_driver
                    .io()
                    .record_notice(&RelayNotice::SettingsChanged);
            } else {
                signal_driver.submit(RelayEvent::Terminate);
            }
        }
    };
    driver.io().spawn(watch);
    Ok(())
}
