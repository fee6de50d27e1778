//! Stand-in for the platform's append-only log service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arbutusfall::http::AnswerBody;
use arbutusfall::http::json_answer;
use async_io::Timer;
use futures_lite::future;
use hyper::Method;
use hyper::Response;
use serde::Deserialize;
use serde_json::json;

use crate::query::numeric_parameter;
use crate::query::segments;
use crate::stand_in::ReceivedRequest;
use crate::stand_in::StandIn;

/// Interval at which a waiting read checks for records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Log service that keeps its streams in memory.
#[derive(Default)]
pub(crate) struct LogService {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    /// Copy from which the streams can be restored.
    copy: BTreeMap<String, Stream>,
    /// Number of restores.
    era: u64,
    /// Time of the last restore.
    restored_at: Option<Instant>,
    faults: LogFaults,
    appends: u64,
}

#[derive(Clone, Default)]
struct Stream {
    /// Offset of the oldest record kept.
    oldest: u64,
    /// Records with their times of append.
    records: Vec<(Instant, String)>,
}

/// Body of a request that injects faults; an absent field switches its fault off.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct LogFaults {
    /// Answers every request but `/faults` with status 503.
    down: bool,
    /// Answers no request but `/faults`.
    silent: bool,
    /// How many of the next reads of the configuration are never answered.
    hang_reads: u32,
    /// How many of the next appends take effect but are never answered.
    lose_answers: u32,
    /// How many of the next appends have no effect and are never answered.
    drop_appends: u32,
    /// Reads of claims are never answered.
    hold_reads: bool,
    /// Delay before every answer but that to `/faults`.
    slow_ms: u64,
    /// Offset before which records are removed from all streams, once when the fault is set.
    expire_before: Option<u64>,
    /// Copies all streams, once when the fault is set.
    copy: bool,
    /// Restores all streams from the last copy and begins a new era, once when the fault is set.
    restore: bool,
}

#[derive(Deserialize)]
struct AppendBody {
    records: Vec<String>,
}

impl LogService {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the next read of the configuration hangs, and decrements the number of reads that do.
    fn take_config_read_hang(&self) -> bool {
        let mut state = self.lock();
        let hangs = state.faults.hang_reads > 0;
        state.faults.hang_reads = state.faults.hang_reads.saturating_sub(1);
        hangs
    }

    fn set_faults(&self, body: &[u8]) -> Response<AnswerBody> {
        let Ok(faults) = serde_json::from_slice::<LogFaults>(body) else {
            return json_answer(400, &json!({}));
        };
        let mut state = self.lock();
        if let Some(before) = faults.expire_before {
            for stream in state.streams.values_mut() {
                let removed = before
                    .saturating_sub(stream.oldest)
                    .min(stream.records.len() as u64);
                stream.records.drain(..removed as usize);
                stream.oldest += removed;
            }
        }
        if faults.copy {
            state.copy = state.streams.clone();
        }
        if faults.restore {
            state.streams = state.copy.clone();
            state.era += 1;
            state.restored_at = Some(Instant::now());
        }
        state.faults = faults;
        json_answer(200, &json!({}))
    }

    async fn append(&self, name: &str, body: &[u8]) -> Response<AnswerBody> {
        let Ok(body) = serde_json::from_slice::<AppendBody>(body) else {
            return json_answer(400, &json!({}));
        };
        let (first, is_unanswered) = {
            let mut state = self.lock();
            if state.faults.drop_appends > 0 {
                state.faults.drop_appends -= 1;
                (0, true)
            } else {
                state.appends += 1;
                let is_unanswered = state.faults.lose_answers > 0;
                state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
                let stream = state.streams.entry(name.to_owned()).or_default();
                let first = stream.oldest + stream.records.len() as u64;
                let now = Instant::now();
                stream
                    .records
                    .extend(body.records.into_iter().map(|text| (now, text)));
                (first, is_unanswered)
            }
        };
        if is_unanswered {
            return future::pending().await;
        }
        json_answer(200, &json!({ "first": first }))
    }

    async fn read(&self, name: &str, from: u64, max: u64, wait: Duration) -> Response<AnswerBody> {
        let deadline = Instant::now() + wait;
        loop {
            let page = self.page(name, from, max);
            let found = page["records"]
                .as_array()
                .is_some_and(|records| !records.is_empty());
            if found || Instant::now() >= deadline {
                return json_answer(200, &page);
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn page(&self, name: &str, from: u64, max: u64) -> serde_json::Value {
        let mut state = self.lock();
        // All ages of one answer are taken at the same instant.
        let now = Instant::now();
        let era = state.era;
        let era_age_ms = state.restored_at.map_or(0, |at| millis_between(at, now));
        let stream = state.streams.entry(name.to_owned()).or_default();
        let skipped = from.saturating_sub(stream.oldest);
        let kept = stream.records.iter().enumerate();
        let records: Vec<_> = kept
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take(max as usize)
            .map(|(index, (at, text))| {
                let offset = stream.oldest + index as u64;
                let age_ms = millis_between(*at, now);
                json!({ "offset": offset, "age_ms": age_ms, "text": text })
            })
            .collect();
        let end = stream.oldest + stream.records.len() as u64;
        json!({
            "era": era,
            "era_age_ms": era_age_ms,
            "oldest": stream.oldest,
            "end": end,
            "records": records,
        })
    }
}

fn millis_between(earlier: Instant, now: Instant) -> u64 {
    u64::try_from((now - earlier).as_millis()).unwrap_or(u64::MAX)
}

impl StandIn for LogService {
    async fn handle(self: Arc<Self>, request: ReceivedRequest) -> Response<AnswerBody> {
        let uri = &request.parts.uri;
        if uri.path() == "/faults" {
            return self.set_faults(&request.body);
        }
        let faults = self.lock().faults.clone();
        if faults.silent {
            return future::pending().await;
        }
        if faults.slow_ms > 0 {
            Timer::after(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return json_answer(503, &json!({}));
        }
        match (&request.parts.method, segments(uri).as_slice()) {
            (&Method::GET, ["stats"]) => {
                let state = self.lock();
                let hang_reads = state.faults.hang_reads;
                json_answer(
                    200,
                    &json!({ "appends": state.appends, "hang_reads": hang_reads }),
                )
            }
            (&Method::POST, ["streams", name, "records"]) => {
                if numeric_parameter(uri, "era").is_some_and(|era| era != self.lock().era) {
                    return json_answer(409, &json!({}));
                }
                self.append(name, &request.body).await
            }
            (&Method::GET, ["streams", name, "records"]) => {
                if faults.hold_reads && name.starts_with("claims") {
                    return future::pending().await;
                }
                if *name == "config" && self.take_config_read_hang() {
                    return future::pending().await;
                }
                let from = numeric_parameter(uri, "from").unwrap_or(0);
                let max = numeric_parameter(uri, "max").unwrap_or(1_000);
                let wait = Duration::from_millis(numeric_parameter(uri, "wait_ms").unwrap_or(0));
                self.read(name, from, max, wait).await
            }
            _ => json_answer(404, &json!({})),
        }
    }
}
