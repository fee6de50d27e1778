//! A client connection that is read in pieces whose size depends on the memory for bodies.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

use crate::http::body_memory::BodyMemory;

/// Byte stream whose reads return at most as many bytes as the memory allows. The HTTP library sizes its buffers by what a read returns
/// and reads ahead of the body's reader, so that each paused answer holds up to three such pieces.
pub(super) struct ReadSizeStream<T> {
    pub(super) inner: T,
    /// Memory that limits the reads; none: they are not limited.
    pub(super) memory: Option<Arc<BodyMemory>>,
}

impl<T: AsyncRead + Unpin> AsyncRead for ReadSizeStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let max_bytes = match &this.memory {
            Some(memory) => memory.budget().max_read_bytes(),
            None => usize::MAX,
        };
        let read_bytes = buffer.len().min(max_bytes);
        Pin::new(&mut this.inner).poll_read(cx, &mut buffer[..read_bytes])
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for ReadSizeStream<T> {
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
