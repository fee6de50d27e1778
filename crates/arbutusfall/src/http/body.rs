//! Bodies of answers: complete, or written in chunks.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::Stream;
use futures_lite::StreamExt;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Number of queued chunks from which a writer that waits for room is held back.
const MAX_QUEUED_CHUNKS: usize = 8;

/// Interval at which a writer that is held back checks for room.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Body of an answer.
pub enum AnswerBody {
    /// All bytes; `None` once they were polled.
    Whole(Option<Bytes>),
    /// Chunks of a stream.
    Stream(Pin<Box<dyn Stream<Item = BodyChunk> + Send>>),
}

/// A chunk of a body, or the error that aborts it.
pub type BodyChunk = Result<Bytes, BodyAborted>;

/// The body was aborted before it was complete; its connection is closed so that the receiver notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was aborted")
    }
}

impl std::error::Error for BodyAborted {}

/// Writing end of [`AnswerBody::channel`].
#[derive(Debug, Clone)]
pub struct BodyWriter(Sender<BodyChunk>);

impl AnswerBody {
    /// Creates a body from all of its bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a body with its writer; the body ends when all clones of the writer are dropped.
    pub fn channel() -> (BodyWriter, Self) {
        let (sender, receiver) = async_channel::unbounded();
        (BodyWriter(sender), Self::Stream(Box::pin(receiver)))
    }

    /// Keeps `value` alive until a body of chunks is dropped; a complete body drops it immediately.
    pub fn with_guard(self, value: impl Send + 'static) -> Self {
        match self {
            Self::Whole(_) => self,
            Self::Stream(stream) => Self::Stream(Box::pin(stream.map(move |chunk| {
                // Moves the value into the closure.
                let _ = &value;
                chunk
            }))),
        }
    }
}

impl BodyWriter {
    /// Waits while many chunks are queued because the receiver is slow, at most for `timeout`; returns whether there is
    /// room.
    pub async fn wait_for_room(&self, timeout: Duration) -> bool {
        let mut waited = Duration::ZERO;
        while self.0.len() >= MAX_QUEUED_CHUNKS && !self.0.is_closed() {
            if waited >= timeout {
                return false;
            }
            async_io::Timer::after(ROOM_CHECK_INTERVAL).await;
            waited += ROOM_CHECK_INTERVAL;
        }
        true
    }

    /// Appends a chunk; returns false if the body was dropped.
    pub fn write(&self, chunk: impl Into<Bytes>) -> bool {
        self.0.try_send(Ok(chunk.into())).is_ok()
    }

    /// Aborts the body.
    pub fn abort(&self) {
        // Fails only if the body was dropped.
        let _ = self.0.try_send(Err(BodyAborted));
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => {
                let next = std::task::ready!(stream.as_mut().poll_next(cx));
                Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
