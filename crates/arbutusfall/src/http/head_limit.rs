//! A client connection that fails if the head of the answer is too long.

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
pub(super) struct HeadLimitedStream<T> {
    pub(super) inner: T,
    pub(super) limit: HeadLimit,
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let count = ready!(Pin::new(&mut this.inner).poll_read(cx, buffer))?;
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
        Pin::new(&mut self.get_mut().inner).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_close(cx)
    }
}
