//! A client connection that fails if the head of the answer is too long, or if the server ends it while the request is written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Maximum number of bytes received until the head of the answer is complete, interim answers (1xx) included. Some of the
/// body may have been received by then.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Bytes that a connection may still receive.
#[derive(Debug, Clone)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    pub(super) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }

    /// Lifts the limit, because the head is complete.
    pub(super) fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Takes received bytes off the limit; returns false if they exceed it.
    fn try_receive(&self, count: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(count), Ordering::Relaxed);
        count <= left
    }
}

/// Byte stream of a connection with a [`HeadLimit`].
///
/// Its end is an error while a write is incomplete: the server has not read the request, so that an answer whose end is that of the
/// connection may have been broken off. An answer with a length or chunks is complete before.
pub(super) struct HeadLimitedStream<T> {
    inner: T,
    limit: HeadLimit,
    /// Whether the connection has not taken all of the bytes that were last written.
    is_write_incomplete: bool,
}

impl<T> HeadLimitedStream<T> {
    pub(super) fn new(inner: T, limit: HeadLimit) -> Self {
        Self {
            inner,
            limit,
            is_write_incomplete: false,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let count = ready!(Pin::new(&mut this.inner).poll_read(cx, buffer))?;
        if count == 0 && !buffer.is_empty() && this.is_write_incomplete {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if this.limit.try_receive(count) {
            Poll::Ready(Ok(count))
        } else {
            Poll::Ready(Err(io::ErrorKind::InvalidData.into()))
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write(cx, bytes);
        this.is_write_incomplete =
            !matches!(&written, Poll::Ready(Ok(count)) if *count == bytes.len());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_close(cx)
    }
}
