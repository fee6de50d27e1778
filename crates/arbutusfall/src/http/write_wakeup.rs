//! A connection whose task runs again after a write that had to wait.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Byte stream of a connection that wakes its task when a write succeeds after one that had to wait.
///
/// The HTTP library may try such a write again while its task still runs. If it succeeds then, the library takes no further part of a
/// body from a task that is not woken: nothing is left in the socket that would wake it, and the message stops in the middle.
pub(super) struct WakingStream<T> {
    inner: T,
    has_waiting_write: bool,
}

impl<T> WakingStream<T> {
    pub(super) fn new(inner: T) -> Self {
        Self {
            inner,
            has_waiting_write: false,
        }
    }

    pub(super) fn into_inner(self) -> T {
        self.inner
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for WakingStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WakingStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write(cx, bytes);
        let has_waited = std::mem::replace(&mut this.has_waiting_write, written.is_pending());
        if has_waited && written.is_ready() {
            cx.waker().wake_by_ref();
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_close(cx)
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::sync::atomic::AtomicUsize;
    use std::sync::atomic::Ordering;
    use std::task::Wake;
    use std::task::Waker;

    use super::*;

    #[derive(Debug, Default)]
    struct CountingWaker(AtomicUsize);

    impl Wake for CountingWaker {
        fn wake(self: Arc<Self>) {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes every second write, and wakes nobody.
    #[derive(Debug, Default)]
    struct HesitantStream {
        attempts: usize,
    }

    impl AsyncWrite for HesitantStream {
        fn poll_write(
            mut self: Pin<&mut Self>,
            _: &mut Context<'_>,
            bytes: &[u8],
        ) -> Poll<io::Result<usize>> {
            self.attempts += 1;
            if self.attempts.is_multiple_of(2) {
                Poll::Ready(Ok(bytes.len()))
            } else {
                Poll::Pending
            }
        }

        fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
            Poll::Ready(Ok(()))
        }

        fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
            Poll::Ready(Ok(()))
        }
    }

    impl AsyncRead for HesitantStream {
        fn poll_read(
            self: Pin<&mut Self>,
            _: &mut Context<'_>,
            _: &mut [u8],
        ) -> Poll<io::Result<usize>> {
            Poll::Pending
        }
    }

    // Guards against an upload that stops in the middle until its time is over, although its endpoint reads it.
    #[test]
    fn task_is_woken_after_a_write_that_had_to_wait() {
        let wakeups = Arc::new(CountingWaker::default());
        let waker = Waker::from(wakeups.clone());
        let mut cx = Context::from_waker(&waker);
        let mut stream = WakingStream::new(HesitantStream::default());
        for wakeups_after in [1, 2] {
            assert!(
                Pin::new(&mut stream)
                    .poll_write(&mut cx, b"part")
                    .is_pending()
            );
            assert_eq!(wakeups.0.load(Ordering::Relaxed), wakeups_after - 1);
            assert!(
                Pin::new(&mut stream)
                    .poll_write(&mut cx, b"part")
                    .is_ready()
            );
            assert_eq!(wakeups.0.load(Ordering::Relaxed), wakeups_after);
        }
    }
}
