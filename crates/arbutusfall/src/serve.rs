//! `arbutusfall serve`: runs the process of one VM.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;

use arbutusfall_core::Event;
use arbutusfall_core::Identity;
use arbutusfall_core::Node;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::Incarnation;
use async_channel::Sender;
use async_signal::Signal;
use async_signal::Signals;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::StreamExt;
use futures_lite::future;

use crate::Executor;
use crate::LogClient;
use crate::Settings;
use crate::SystemClock;
use crate::call_table::CallTable;
use crate::callers::CallerServer;
use crate::driver::Driver;
use crate::driver::Input;
use crate::engines::Engines;
use crate::http;
use crate::http::ListenerHandle;
use crate::http::ServerLimits;
use crate::operators::OperatorHandler;
use crate::peers::Peers;
use crate::services::Services;
use crate::telemetry;
use crate::telemetry::Telemetry;
use crate::tls::PeerTls;

/// Error while starting a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServeError {
    /// TLS for peer connections could not be set up.
    Tls,
    /// Listening on this address failed.
    Listen(SocketAddr),
    /// The socket for sending counters could not be set up.
    Metrics,
    /// The signal handler could not be installed.
    Signals,
    /// The relay's decision log could not be set up.
    Log,
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tls => f.write_str("peer connections cannot be set up"),
            Self::Listen(address) => write!(f, "cannot listen on {address}"),
            Self::Metrics => f.write_str("counters cannot be sent"),
            Self::Signals => f.write_str("signals cannot be received"),
            Self::Log => f.write_str("logging cannot be set up"),
        }
    }
}

impl std::error::Error for ServeError {}

/// Runs a VM until SIGTERM or SIGINT, and then until it has drained.
///
/// # Errors
///
/// Returns [`ServeError`] if the process cannot start.
pub fn serve(settings: Settings) -> Result<(), Report<ServeError>> {
    telemetry::init_logging(settings.log_format, settings.log_level);
    let executor = Arc::new(Executor::new());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    std::thread::scope(|scope| {
        for _ in 0..settings.worker_threads {
            let executor = executor.clone();
            let stopped = stopped.clone();
            scope.spawn(move || {
                // The worker stops when the main thread closes the channel.
                let _ = future::block_on(executor.run(stopped.recv()));
            });
        }
        let result = future::block_on(run(&executor, settings));
        drop(stop);
        result
    })
}

async fn run(executor: &Arc<Executor>, settings: Settings) -> Result<(), Report<ServeError>> {
    let telemetry = Telemetry::new(settings.metrics_address).change_context(ServeError::Metrics)?;
    let telemetry = Arc::new(telemetry);
    telemetry::start_sending_spans(executor, &settings, &telemetry);
    let identity = Identity {
        vm: settings.vm.clone(),
        incarnation: Incarnation(fastrand::u64(1..)),
        data_centre: settings.data_centre.clone(),
        site: settings.site.clone(),
    };
    let (input_sender, input_receiver) = async_channel::unbounded();
    let tls = PeerTls::load(&settings.tls, &settings.vm).change_context(ServeError::Tls)?;
    let peers = Peers::listen(
        executor.clone(),
        settings.peer_address,
        tls,
        identity.sender(),
        input_sender.clone(),
        telemetry.clone(),
    );
    let peers = peers.change_context(ServeError::Listen(settings.peer_address))?;
    let calls = Arc::new(CallTable::default());
    let callers = Arc::new(CallerServer {
        calls: calls.clone(),
        input_sender: input_sender.clone(),
        config: RwLock::new(None),
        telemetry: telemetry.clone(),
    });
    let ready = Arc::new(AtomicBool::new(false));
    let caller_listener = listen_to_callers(executor, &settings, &callers).await?;
    let operator_listener =
        listen_to_operators(executor, &settings, &ready, &input_sender, &telemetry).await?;
    watch_signals(executor, input_sender.clone())?;
    let driver = Driver {
        node: Node::new(identity, fastrand::u64(..)),
        clock: SystemClock::start(),
        executor: executor.clone(),
        input_receiver,
        caller_listener: Some(caller_listener),
        calls: calls.clone(),
        callers,
        engines: Arc::new(Engines {
            executor: executor.clone(),
            calls: calls.clone(),
            input_sender: input_sender.clone(),
            tasks: Mutex::new(FastMap::default()),
        }),
        services: Arc::new(Services {
            answer_memory: Arc::default(),
            executor: executor.clone(),
            calls,
            input_sender: input_sender.clone(),
        }),
        input_sender,
        peers,
        log_service: LogClient {
            address: settings.log_service_address,
        },
        ready,
        telemetry,
        settings,
    };
    driver.run().await;
    drop(operator_listener);
    Ok(())
}

async fn listen_to_callers(
    executor: &Arc<Executor>,
    settings: &Settings,
    callers: &Arc<CallerServer>,
) -> Result<ListenerHandle, Report<ServeError>> {
    let address = settings.caller_address;
    let serving = http::serve(executor.clone(), address, callers.clone());
    serving.await.change_context(ServeError::Listen(address))
}

async fn listen_to_operators(
    executor: &Arc<Executor>,
    settings: &Settings,
    ready: &Arc<AtomicBool>,
    input_sender: &Sender<Input>,
    telemetry: &Arc<Telemetry>,
) -> Result<ListenerHandle, Report<ServeError>> {
    let handler = Arc::new(OperatorHandler {
        ready: ready.clone(),
        input_sender: input_sender.clone(),
        telemetry: telemetry.clone(),
    });
    let address = settings.operator_address;
    let serving = http::serve_with_closures(
        executor.clone(),
        address,
        ServerLimits::default,
        move |request| handler.clone().handle(request),
    );
    serving.await.change_context(ServeError::Listen(address))
}

fn watch_signals(
    executor: &Executor,
    input_sender: Sender<Input>,
) -> Result<(), Report<ServeError>> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).change_context(ServeError::Signals)?;
    let watch = async move {
        while let Some(Ok(_)) = signals.next().await {
            // The channel is closed only while the process exits.
            let _ = input_sender.try_send(Input::Event(Event::Terminate));
        }
    };
    executor.spawn(watch).detach();
    Ok(())
}
