//! Ends connections whose peer reads nothing of an answer for too long, or too little while memory is short.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_core::relay::AnswerPace;
use arbutusfall_core::relay::UnreadLimits;
use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::Stream;

use crate::http::error_replacing_stream::ConnectionState;

/// Interval at which a blocked write is tried again and compared with the limits, which change with the memory that is left.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Byte stream whose writes fail once the peer reads more slowly than `limits` returns.
pub(super) struct UnreadLimitStream<T, L> {
    inner: T,
    limits: L,
    state: Arc<ConnectionState>,
    opened_at: Instant,
    pace: AnswerPace,
    /// Timer of the next check; set when a write has to wait, and kept until all is flushed.
    next_check: Option<Timer>,
}

impl<T, L> UnreadLimitStream<T, L> {
    pub(super) fn new(inner: T, limits: L, state: Arc<ConnectionState>) -> Self {
        Self {
            inner,
            limits,
            state,
            opened_at: Instant::now(),
            pace: AnswerPace::default(),
            next_check: None,
        }
    }

    pub(super) fn into_inner(self) -> T {
        self.inner
    }
}

impl<T, L: Fn() -> Option<UnreadLimits>> UnreadLimitStream<T, L> {
    /// Fails once the peer reads too slowly.
    fn poll_limits<V>(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<V>> {
        let Some(limits) = (self.limits)() else {
            return Poll::Pending;
        };
        if let Some(slow) = self.pace.on_waiting(self.opened_at.elapsed(), limits) {
            self.state.record_slow_read(slow);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let next_check = self
            .next_check
            .get_or_insert_with(|| Timer::interval(CHECK_INTERVAL));
        // Registers the task for the next check.
        while Pin::new(&mut *next_check).poll_next(cx).is_ready() {}
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
    L: Fn() -> Option<UnreadLimits> + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let Poll::Ready(written) = Pin::new(&mut this.inner).poll_write(cx, bytes) else {
            return this.poll_limits(cx);
        };
        if let Ok(count) = written {
            this.pace.on_read(count, this.opened_at.elapsed());
        }
        Poll::Ready(written)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.inner).poll_flush(cx))?;
        // The HTTP library flushes when it has written all that it has.
        this.pace.on_all_read();
        this.next_check = None;
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_close(cx)
    }
}

#[cfg(test)]
mod tests {
    use futures_lite::AsyncWriteExt;
    use futures_lite::future::block_on;

    use super::*;

    /// Peer that reads so many bytes at a time, after a pause.
    struct SlowPeer {
        bytes: usize,
        pause: Timer,
    }

    impl AsyncWrite for SlowPeer {
        fn poll_write(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            bytes: &[u8],
        ) -> Poll<io::Result<usize>> {
            ready!(Pin::new(&mut self.pause).poll_next(cx));
            Poll::Ready(Ok(self.bytes.min(bytes.len())))
        }

        fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
            Poll::Ready(Ok(()))
        }

        fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
            Poll::Ready(Ok(()))
        }
    }

    /// Writes 16 KiB to a peer that reads so many bytes each 100 ms; returns whether the connection was ended.
    fn is_ended(bytes: usize, ends_slow: bool) -> bool {
        let peer = SlowPeer {
            bytes,
            pause: Timer::interval(Duration::from_millis(100)),
        };
        let limits = move || {
            Some(UnreadLimits {
                unread: Duration::from_secs(1),
                ends_slow,
            })
        };
        let state: Arc<ConnectionState> = Arc::default();
        let mut stream = UnreadLimitStream::new(peer, limits, state.clone());
        let written = block_on(stream.write_all(&[0; 16 * 1024]));
        assert_eq!(written.is_err(), state.slow_read().is_some());
        written.is_err()
    }

    // Guards against a caller that reads a little from time to time and is taken for one that reads, and against one that is cut off
    // although memory is not short or it reads fast enough.
    #[test]
    fn only_a_peer_that_reads_little_while_memory_is_short_is_ended() {
        assert!(is_ended(200, true));
        assert!(!is_ended(1_000, true));
        assert!(!is_ended(200, false));
    }
}
