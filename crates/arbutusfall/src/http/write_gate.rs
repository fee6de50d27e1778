//! A client connection that tells whether anything was written to it, and can be closed for writing as long as nothing was.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use crate::lock::lock;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum GateState {
    /// Nothing was written yet.
    #[default]
    Unwritten,
    /// Something was written; the gate can't be closed any more.
    Written,
    /// Nothing was written, and writes fail.
    Closed,
}

/// Whether anything was written to a connection. The task that writes may outlive the one that waits for the answer.
#[derive(Debug, Clone, Default)]
pub(super) struct WriteGate(Arc<Mutex<GateState>>);

impl WriteGate {
    /// Returns whether nothing was written, and makes sure that nothing will be.
    pub(super) fn close_unwritten(&self) -> bool {
        let mut state = lock(&self.0);
        if *state == GateState::Unwritten {
            *state = GateState::Closed;
        }
        *state == GateState::Closed
    }
}

/// Byte stream of a connection with a [`WriteGate`].
pub(super) struct GatedStream<T> {
    pub(super) inner: T,
    pub(super) gate: WriteGate,
}

impl<T: AsyncRead + Unpin> AsyncRead for GatedStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for GatedStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = lock(&this.gate.0);
        if *state == GateState::Closed {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        }
        let written = Pin::new(&mut this.inner).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &written
            && *count > 0
        {
            *state = GateState::Written;
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
    use futures_lite::AsyncWriteExt;
    use futures_lite::future::block_on;

    use super::*;

    fn gated() -> (GatedStream<futures_lite::io::Cursor<Vec<u8>>>, WriteGate) {
        let gate = WriteGate::default();
        let stream = GatedStream {
            inner: futures_lite::io::Cursor::new(Vec::new()),
            gate: gate.clone(),
        };
        (stream, gate)
    }

    // Guards against a request that is written after its caller got the answer that it has not run.
    #[test]
    fn connection_closed_for_writing_takes_no_byte() {
        let (mut stream, gate) = gated();
        assert!(gate.close_unwritten());
        assert!(block_on(stream.write_all(b"GET")).is_err());
        assert!(stream.inner.get_ref().is_empty());
    }

    // Guards against "not run" for a request of which a part was written.
    #[test]
    fn connection_that_was_written_to_stays_open_for_writing() {
        let (mut stream, gate) = gated();
        assert!(block_on(stream.write_all(b"G")).is_ok());
        assert!(!gate.close_unwritten());
        assert!(block_on(stream.write_all(b"ET")).is_ok());
        assert_eq!(stream.inner.get_ref(), b"GET");
    }
}
