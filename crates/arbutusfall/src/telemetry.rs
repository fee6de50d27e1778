//! Sends counters to statsd, log lines through logforth, and spans to a Zipkin collector.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_channel::Receiver;
use cadence::Counted;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use logforth::record::Level;
use logforth::record::LevelFilter;
use serde_json::Value;
use serde_json::json;

use crate::Executor;
use crate::LogFormat;
use crate::LogLevel;
use crate::Settings;
use crate::http;
use crate::http::ClientError;
use crate::lock::lock;
use crate::trace;
use crate::trace::SpanRecord;

/// Prefix of counter names sent to statsd.
const STATSD_PREFIX: &str = "arbutusfall";

/// Path of the collector to which spans are posted.
const SPANS_PATH: &str = "/api/v2/spans";

/// Timeout for sending a batch of spans.
const SPANS_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a batch's first span, in which more spans are collected.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Largest number of spans in one batch.
const MAX_BATCH_SPANS: usize = 2_000;

/// Counter of spans in batches that could not be sent; spans discarded earlier are not included.
const SPANS_LOST: &str = "spans.lost";

/// Counters of one process, kept for `status` and sent to statsd.
#[derive(Debug)]
pub(crate) struct Telemetry {
    statsd: Option<StatsdClient>,
    totals: Mutex<BTreeMap<&'static str, i64>>,
}

impl Telemetry {
    /// Creates the counters; with an address, they are also sent there.
    pub(crate) fn new(address: Option<SocketAddr>) -> std::io::Result<Self> {
        let statsd = match address {
            None => None,
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                Some(StatsdClient::from_sink(
                    STATSD_PREFIX,
                    QueuingMetricSink::from(sink),
                ))
            }
        };
        Ok(Self {
            statsd,
            totals: Mutex::default(),
        })
    }

    /// Adds to a counter.
    pub(crate) fn count(&self, name: &'static str, count: i64) {
        *self.lock().entry(name).or_default() += count;
        if let Some(statsd) = &self.statsd {
            // Errors are ignored, because a lost counter must not affect requests.
            let _ = statsd.count(name, count);
        }
    }

    /// Returns the totals of all counters since the process started.
    pub(crate) fn totals(&self) -> BTreeMap<&'static str, i64> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, i64>> {
        lock(&self.totals)
    }
}

/// Sets up the process's log, written to stderr.
pub(crate) fn init_logging(format: LogFormat, level: LogLevel) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let append = logforth::append::Stderr::default();
    let append = match format {
        LogFormat::Text => append.with_layout(logforth::layout::TextLayout::default().no_color()),
        LogFormat::Json => append.with_layout(logforth::layout::JsonLayout::default()),
    };
    // Fails only if a log is set up already; that one stays in use.
    let _ = logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(level))
                .append(append)
        })
        .try_apply();
}

/// Starts to record spans and send them to the collector, if the settings name one.
pub(crate) fn start_sending_spans(
    executor: &Arc<Executor>,
    settings: &Settings,
    telemetry: &Arc<Telemetry>,
) {
    let Some(address) = settings.trace_address else {
        return;
    };
    let Some(spans) = trace::install_sink() else {
        return;
    };
    let sender = SpanSender {
        executor: executor.clone(),
        address,
        vm: settings.vm.to_string(),
        telemetry: telemetry.clone(),
    };
    executor.spawn(sender.run(spans)).detach();
}

/// Sends spans to a collector as Zipkin v2 JSON.
struct SpanSender {
    executor: Arc<Executor>,
    address: SocketAddr,
    vm: String,
    telemetry: Arc<Telemetry>,
}

impl SpanSender {
    async fn run(self, spans: Receiver<SpanRecord>) {
        while let Ok(first) = spans.recv().await {
            async_io::Timer::after(BATCH_DELAY).await;
            let mut batch = vec![zipkin_span(&self.vm, &first)];
            while batch.len() < MAX_BATCH_SPANS
                && let Ok(span) = spans.try_recv()
            {
                batch.push(zipkin_span(&self.vm, &span));
            }
            self.send(&batch).await;
        }
    }

    async fn send(&self, batch: &[Value]) {
        let sent: Result<Value, _> = http::post_json(
            &self.executor,
            self.address,
            SPANS_PATH,
            &batch,
            SPANS_TIMEOUT,
        )
        .await;
        // A collector may answer with success and no JSON body, which counts as sent.
        if !matches!(sent, Ok(_) | Err(ClientError::Malformed)) {
            self.telemetry.count(SPANS_LOST, batch.len() as i64);
        }
    }
}

fn zipkin_span(vm: &str, span: &SpanRecord) -> Value {
    let tags: serde_json::Map<String, Value> = span
        .properties
        .iter()
        .map(|(name, value)| ((*name).to_owned(), json!(value)))
        .collect();
    json!({
        "traceId": format!("{:032x}", span.trace_id),
        "id": format!("{:016x}", span.span_id),
        "parentId": format!("{:016x}", span.parent_id),
        "name": span.name,
        "timestamp": u64::try_from(span.started_unix.as_micros()).unwrap_or(u64::MAX),
        "duration": u64::try_from(span.duration.as_micros()).unwrap_or(u64::MAX).max(1),
        "localEndpoint": { "serviceName": vm },
        "tags": tags,
    })
}
