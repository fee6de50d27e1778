//! Ends connections whose peer reads nothing of an answer for too long.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::Stream;

use crate::http::error_replacing_stream::ConnectionState;

/// Interval at which a blocked write is compared with the limit, which changes with the memory that is left.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A write that waits for the peer to read.
struct BlockedWrite {
    since: Instant,
    next_check: Timer,
}

/// Byte stream whose writes fail once the peer has read nothing for the time that `limit` returns.
pub(super) struct UnreadLimitStream<T, L> {
    inner: T,
    limit: L,
    state: Arc<ConnectionState>,
    blocked: Option<BlockedWrite>,
}

impl<T, L> UnreadLimitStream<T, L> {
    pub(super) fn new(inner: T, limit: L, state: Arc<ConnectionState>) -> Self {
        Self {
            inner,
            limit,
            state,
            blocked: None,
        }
    }

    pub(super) fn into_inner(self) -> T {
        self.inner
    }
}

impl<T, L: Fn() -> Option<Duration>> UnreadLimitStream<T, L> {
    /// Fails once the blocked write has lasted for too long.
    fn poll_limit<V>(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<V>> {
        let Some(limit) = (self.limit)() else {
            return Poll::Pending;
        };
        let blocked = self.blocked.get_or_insert_with(|| BlockedWrite {
            since: Instant::now(),
            next_check: Timer::interval(CHECK_INTERVAL),
        });
        let unread = blocked.since.elapsed();
        if unread >= limit {
            self.state.record_unread(unread);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        // Registers the task for the next check.
        while Pin::new(&mut blocked.next_check).poll_next(cx).is_ready() {}
        Poll::Pending
    }
}

impl<T: AsyncRead + Unpin, L: Unpin> AsyncRead for UnreadLimitStream<T, L> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_read(cx, buffer)
    }
}

impl<T, L> AsyncWrite for UnreadLimitStream<T, L>
where
    T: AsyncWrite + Unpin,
    L: Fn() -> Option<Duration> + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match Pin::new(&mut this.inner).poll_write(cx, bytes) {
            Poll::Ready(written) => {
                this.blocked = None;
                Poll::Ready(written)
            }
            Poll::Pending => this.poll_limit(cx),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_close(cx)
    }
}
