//! A caller's connection that replaces the HTTP library's empty error answers with problem details.

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

/// State shared by a connection's byte stream and its server task.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    /// Whether bytes arrived after the last request began to be handled or answered.
    has_unanswered_bytes: AtomicBool,
    refusal: Mutex<Option<ProblemKind>>,
}

impl ConnectionState {
    fn record_read(&self, count: usize) {
        if count > 0 {
            self.has_unanswered_bytes.store(true, Ordering::Relaxed);
        }
    }

    /// Records that a request is being handled or answered.
    pub(super) fn clear_unanswered(&self) {
        self.has_unanswered_bytes.store(false, Ordering::Relaxed);
    }

    /// Returns whether part of a request arrived that is neither handled nor answered.
    pub(super) fn has_unanswered_bytes(&self) -> bool {
        self.has_unanswered_bytes.load(Ordering::Relaxed)
    }

    fn record_refusal(&self, kind: ProblemKind) {
        *self.refusal.lock().unwrap_or_else(PoisonError::into_inner) = Some(kind);
    }

    /// Returns the problem that replaced the library's error answer, if it sent one.
    pub(super) fn refusal(&self) -> Option<ProblemKind> {
        *self.refusal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection's byte stream.
pub(super) struct CallerStream<T> {
    inner: T,
    state: Arc<ConnectionState>,
    /// Unwritten bytes of the answer that replaces the library's error answer.
    replacement: Vec<u8>,
    /// Length of the error answer that is replaced.
    replaced_bytes: usize,
}

impl<T> CallerStream<T> {
    pub(super) fn new(inner: T, state: Arc<ConnectionState>) -> Self {
        Self {
            inner,
            state,
            replacement: Vec::new(),
            replaced_bytes: 0,
        }
    }

    pub(super) fn into_inner(self) -> T {
        self.inner
    }
}

/// Returns the problem for an error answer that the library generated: it has no body and closes the connection.
fn parse_library_refusal(bytes: &[u8]) -> Option<Problem> {
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
        this.state.record_read(count);
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
            let Some(problem) = parse_library_refusal(bytes) else {
                this.state.clear_unanswered();
                return Pin::new(&mut this.inner).poll_write(cx, bytes);
            };
            this.replacement = raw_problem(&problem);
            this.replaced_bytes = bytes.len();
            this.state.record_refusal(problem.kind);
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
