//! The log of decisions: JSON lines on standard output, bounded, and never waited for.

use std::convert::Infallible;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
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

/// Lines that may wait for standard output; more are dropped and counted.
const MAX_WAITING_LINES: usize = 2_000;

/// Time for which a budget that was not used is saved up.
const SAVED_FOR: Duration = Duration::from_secs(4);

/// Share of the saved budget that only failures and changes of belief may use.
const RESERVED_SHARE: f64 = 0.5;

/// One line.
#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u64,
    vm: &'a Name,
    #[serde(flatten)]
    notice: &'a RelayNotice,
}

/// Says how many lines are missing.
#[derive(Serialize)]
struct Dropped<'a> {
    vm: &'a Name,
    event: &'static str,
    lines: u64,
}

/// Bytes that may still be written.
#[derive(Debug)]
struct Budget {
    bytes_per_s: f64,
    /// Invariant: at most what [`SAVED_FOR`] brings.
    left_bytes: f64,
    filled_at: Duration,
}

impl Budget {
    fn saved_bytes(&self) -> f64 {
        self.bytes_per_s * SAVED_FOR.as_secs_f64()
    }

    fn take(&mut self, bytes: usize, is_routine: bool, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.filled_at);
        let filled = self.left_bytes + elapsed.as_secs_f64() * self.bytes_per_s;
        self.left_bytes = filled.min(self.saved_bytes());
        self.filled_at = now;
        let reserved = if is_routine {
            self.saved_bytes() * RESERVED_SHARE
        } else {
            0.0
        };
        if self.left_bytes - (bytes as f64) < reserved {
            return false;
        }
        self.left_bytes -= bytes as f64;
        true
    }
}

/// Where decisions are written.
#[derive(Debug)]
pub(super) struct LineLog {
    vm: Name,
    lines: Sender<Vec<u8>>,
    /// Closes when the last line is written.
    written: Receiver<Infallible>,
    budget: Mutex<Budget>,
    dropped: Arc<AtomicU64>,
}

impl LineLog {
    /// Starts the thread that writes lines.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub(super) fn start(
        vm: Name,
        bytes_per_s: u32,
        output: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (lines, waiting) = async_channel::bounded(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let (done, written) = async_channel::bounded(1);
        let writer = Writer {
            vm: vm.clone(),
            waiting,
            _done: done,
            dropped: dropped.clone(),
            output,
        };
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())?;
        let bytes_per_s = f64::from(bytes_per_s);
        let budget = Budget {
            bytes_per_s,
            left_bytes: bytes_per_s * SAVED_FOR.as_secs_f64(),
            filled_at: Duration::ZERO,
        };
        Ok(Self {
            vm,
            lines,
            written,
            budget: Mutex::new(budget),
            dropped,
        })
    }

    /// Takes no more lines and waits until those that wait are written, or as long as `within`.
    pub(super) async fn finish(&self, within: Duration) {
        self.lines.close();
        let written = async {
            // Nothing is ever sent: the channel closes.
            let _ = self.written.recv().await;
        };
        let expire = async {
            async_io::Timer::after(within).await;
        };
        written.or(expire).await;
    }

    /// Writes a decision, or counts it as dropped.
    pub(super) fn write(&self, notice: &RelayNotice, now: Now) {
        let line = Line {
            unix_ms: u64::try_from(now.unix.as_millis()).unwrap_or(u64::MAX),
            vm: &self.vm,
            notice,
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        };
        bytes.push(b'\n');
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let is_kept = budget.take(bytes.len(), notice.is_routine(), now.monotonic);
        drop(budget);
        if !is_kept || self.lines.try_send(bytes).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

struct Writer<W> {
    vm: Name,
    waiting: Receiver<Vec<u8>>,
    /// Held until the last line is written.
    _done: Sender<Infallible>,
    dropped: Arc<AtomicU64>,
    output: W,
}

impl<W: Write> Writer<W> {
    fn run(mut self) {
        while let Ok(line) = self.waiting.recv_blocking() {
            let lines = self.dropped.swap(0, Ordering::Relaxed);
            if lines > 0 {
                let dropped = Dropped {
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
        // Nobody reads standard output any more; there is no other place to say so.
        let _ = self.output.write_all(line);
    }
}
