//! Log of decisions: JSON lines on standard output, rate-limited, written without blocking the relay.

use std::convert::Infallible;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutusfall_core::Now;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_wire::Name;
use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::FutureExt;
use serde::Serialize;

use crate::lock::lock;

/// Maximum number of lines queued for standard output; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_000;

/// Capacity of the rate limiter, as the time in which it fills.
const BURST_PERIOD: Duration = Duration::from_secs(4);

/// Share of the limiter's capacity reserved for lines that are not routine: failures and changes of state.
const RESERVED_SHARE: f64 = 0.5;

/// Log line of a notice.
#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u64,
    vm: &'a Name,
    #[serde(flatten)]
    notice: &'a RelayNotice,
}

/// Log line that reports how many lines were dropped before it.
#[derive(Serialize)]
struct DroppedLines<'a> {
    vm: &'a Name,
    event: &'static str,
    lines: u64,
}

/// Token bucket that limits the bytes logged per second.
#[derive(Debug)]
struct ByteRateLimiter {
    bytes_per_s: f64,
    /// Invariant: at most `bytes_per_s` times [`BURST_PERIOD`].
    available_bytes: f64,
    /// Monotonic time of the last refill.
    refilled_at: Duration,
}

impl ByteRateLimiter {
    fn max_bytes(&self) -> f64 {
        self.bytes_per_s * BURST_PERIOD.as_secs_f64()
    }

    fn try_take(&mut self, bytes: usize, is_routine: bool, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        let filled = self.available_bytes + elapsed.as_secs_f64() * self.bytes_per_s;
        self.available_bytes = filled.min(self.max_bytes());
        self.refilled_at = now;
        let reserved = if is_routine {
            self.max_bytes() * RESERVED_SHARE
        } else {
            0.0
        };
        if self.available_bytes - (bytes as f64) < reserved {
            return false;
        }
        self.available_bytes -= bytes as f64;
        true
    }
}

/// Serializes notices and queues them for the writer thread.
#[derive(Debug)]
pub(super) struct DecisionLog {
    vm: Name,
    line_sender: Sender<Vec<u8>>,
    /// Closes when the writer thread has written the last line.
    written: Receiver<Infallible>,
    limiter: Mutex<ByteRateLimiter>,
    dropped_count: Arc<AtomicU64>,
}

impl DecisionLog {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub(super) fn start(
        vm: Name,
        bytes_per_s: u32,
        output: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (line_sender, line_receiver) = async_channel::bounded(MAX_QUEUED_LINES);
        let dropped_count = Arc::new(AtomicU64::new(0));
        let (done, written) = async_channel::bounded(1);
        let writer = Writer {
            vm: vm.clone(),
            line_receiver,
            _done: done,
            dropped_count: dropped_count.clone(),
            output,
        };
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())?;
        let bytes_per_s = f64::from(bytes_per_s);
        let limiter = ByteRateLimiter {
            bytes_per_s,
            available_bytes: bytes_per_s * BURST_PERIOD.as_secs_f64(),
            refilled_at: Duration::ZERO,
        };
        Ok(Self {
            vm,
            line_sender,
            written,
            limiter: Mutex::new(limiter),
            dropped_count,
        })
    }

    /// Stops accepting lines and waits until the queued lines are written, at most for `timeout`.
    pub(super) async fn finish(&self, timeout: Duration) {
        self.line_sender.close();
        let written = async {
            // Nothing is ever sent; this returns when the channel closes.
            let _ = self.written.recv().await;
        };
        let expire = async {
            async_io::Timer::after(timeout).await;
        };
        written.or(expire).await;
    }

    /// Queues a notice, or counts it as dropped if the rate limit is exceeded or the queue is full.
    pub(super) fn write(&self, notice: &RelayNotice, now: Now) {
        let line = Line {
            unix_ms: u64::try_from(now.unix.as_millis()).unwrap_or(u64::MAX),
            vm: &self.vm,
            notice,
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
            return;
        };
        bytes.push(b'\n');
        let mut limiter = lock(&self.limiter);
        let is_within_limit = limiter.try_take(bytes.len(), notice.is_routine(), now.monotonic);
        drop(limiter);
        if !is_within_limit || self.line_sender.try_send(bytes).is_err() {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
    }
}

struct Writer<W> {
    vm: Name,
    line_receiver: Receiver<Vec<u8>>,
    /// Held until the last line is written.
    _done: Sender<Infallible>,
    dropped_count: Arc<AtomicU64>,
    output: W,
}

impl<W: Write> Writer<W> {
    fn run(mut self) {
        while let Ok(line) = self.line_receiver.recv_blocking() {
            let lines = self.dropped_count.swap(0, Ordering::Relaxed);
            if lines > 0 {
                let dropped = DroppedLines {
                    vm: &self.vm,
                    event: "lines_dropped",
                    lines,
                };
                let mut text = serde_json::to_vec(&dropped).unwrap_or_default();
                text.push(b'\n');
                self.write(&text);
            }
            self.write(&line);
        }
    }

    fn write(&mut self, line: &[u8]) {
        // If standard output is closed, there is nowhere else to report it.
        let _ = self.output.write_all(line);
    }
}
