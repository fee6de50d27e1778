//! A caller's connection that turns the HTTP library's bare refusals into problem details.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use crate::http::problem::raw_problem;

/// What the listener and the connection's bytes both know.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    /// Whether bytes arrived after the last request began to be handled or answered.
    has_unanswered: AtomicBool,
    refused: Mutex<Option<ProblemKind>>,
}

impl Traffic {
    fn on_read(&self, count: usize) {
        if count > 0 {
            self.has_unanswered.store(true, Ordering::Relaxed);
        }
    }

    /// A request is handled, or its answer is written.
    pub(super) fn on_request(&self) {
        self.has_unanswered.store(false, Ordering::Relaxed);
    }

    /// Whether part of a request arrived that nobody answers.
    pub(super) fn has_unanswered(&self) -> bool {
        self.has_unanswered.load(Ordering::Relaxed)
    }

    fn on_refused(&self, kind: ProblemKind) {
        *self.refused.lock().unwrap_or_else(PoisonError::into_inner) = Some(kind);
    }

    /// The problem with which the library's refusal was replaced.
    pub(super) fn refused(&self) -> Option<ProblemKind> {
        *self.refused.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The connection's bytes.
pub(super) struct CallerStream<T> {
    inner: T,
    traffic: Arc<Traffic>,
    /// What is still to be written in place of the library's refusal.
    replacement: Vec<u8>,
    /// Length of the refusal that is replaced.
    replaced_bytes: usize,
}

impl<T> CallerStream<T> {
    pub(super) fn new(inner: T, traffic: Arc<Traffic>) -> Self {
        Self {
            inner,
            traffic,
            replacement: Vec::new(),
            replaced_bytes: 0,
        }
    }

    pub(super) fn into_inner(self) -> T {
        self.inner
    }
}

/// The problem that the library's own answer stands for; it has no body and closes the connection.
fn bare_refusal(bytes: &[u8]) -> Option<Problem> {
    let head = std::str::from_utf8(bytes).ok()?.strip_suffix("\r\n\r\n")?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.strip_prefix("HTTP/1.1 ")?.get(..3)?;
    let kind = match status {
        "400" => ProblemKind::Malformed,
        "414" | "431" => ProblemKind::HeadersTooLarge,
        _ => return None,
    };
    let mut is_empty = false;
    for line in lines {
        match line.split_once(": ")? {
            ("content-length", "0") => is_empty = true,
            ("connection", "close") | ("date", _) => {}
            _ => return None,
        }
    }
    is_empty.then(|| Problem::new(kind))
}

impl<T: AsyncRead + Unpin> AsyncRead for CallerStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let count = ready!(Pin::new(&mut this.inner).poll_read(cx, buffer))?;
        this.traffic.on_read(count);
        Poll::Ready(Ok(count))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CallerStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.replacement.is_empty() {
            let Some(problem) = bare_refusal(bytes) else {
                this.traffic.on_request();
                return Pin::new(&mut this.inner).poll_write(cx, bytes);
            };
            this.replacement = raw_problem(&problem);
            this.replaced_bytes = bytes.len();
            this.traffic.on_refused(problem.kind);
        }
        while !this.replacement.is_empty() {
            let count = ready!(Pin::new(&mut this.inner).poll_write(cx, &this.replacement))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            this.replacement.drain(..count);
        }
        Poll::Ready(Ok(this.replaced_bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_close(cx)
    }
}
