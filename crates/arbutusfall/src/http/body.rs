//! Bodies of answers: complete, or written in chunks.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use futures_lite::Stream;
use futures_lite::StreamExt;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::http::held_answer::DeliveredAnswer;
use crate::http::held_piece::PartialEvent;
use crate::http::room_checks::next_room_check;
use crate::http::sliced_body::take_slice;

/// Number of queued chunks from which a writer that waits for room is held back.
const MAX_QUEUED_CHUNKS: usize = 8;

/// Body of an answer.
pub enum AnswerBody {
    /// All bytes that were not polled yet; `None` once all were.
    Whole(Option<Bytes>),
    /// An endpoint's complete answer.
    Delivered(DeliveredAnswer),
    /// Chunks of a stream.
    Stream {
        /// The chunks.
        chunks: ChunkStream,
        /// Rest of the chunk that was taken last.
        rest: Option<Bytes>,
    },
}

/// The chunks of a body.
type ChunkStream = Pin<Box<dyn Stream<Item = BodyChunk> + Send>>;

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
pub struct BodyWriter {
    chunks: Sender<BodyChunk>,
    /// Bytes of the queued chunks that are held in memory.
    queued_bytes: Arc<AtomicUsize>,
}

impl AnswerBody {
    /// Creates a body from all of its bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a body from its chunks.
    pub fn stream(chunks: impl Stream<Item = BodyChunk> + Send + 'static) -> Self {
        Self::Stream {
            chunks: Box::pin(chunks),
            rest: None,
        }
    }

    /// Creates a body with its writer; the body ends when all clones of the writer are dropped.
    pub fn channel() -> (BodyWriter, Self) {
        let (sender, receiver) = async_channel::unbounded();
        let writer = BodyWriter {
            chunks: sender,
            queued_bytes: Arc::default(),
        };
        (writer, Self::stream(receiver))
    }

    /// Keeps `value` alive until a body of chunks is dropped; a complete body drops it immediately.
    pub fn with_guard(self, value: impl Send + 'static) -> Self {
        match self {
            Self::Whole(_) | Self::Delivered(_) => self,
            Self::Stream { chunks, rest } => {
                let chunks = chunks.map(move |chunk| {
                    // Moves the value into the closure.
                    let _ = &value;
                    chunk
                });
                Self::Stream {
                    chunks: Box::pin(chunks),
                    rest,
                }
            }
        }
    }
}

impl BodyWriter {
    /// Waits while many chunks are queued because the receiver is slow, at most for `timeout`; returns whether there is
    /// room.
    pub async fn wait_for_room(&self, timeout: Duration) -> bool {
        let has_room = || self.chunks.len() < MAX_QUEUED_CHUNKS;
        self.wait_until(has_room, timeout).await
    }

    /// Waits while more of the body is queued than the memory allows, of which `held` is read already, at most for `timeout`; returns whether more may be read.
    /// `began_at` is when the reader began to wait.
    pub(crate) async fn wait_for_memory(
        &self,
        held: &PartialEvent,
        began_at: Instant,
        timeout: Duration,
    ) -> bool {
        let may_read = || {
            let queued_bytes = self.queued_bytes.load(Ordering::Relaxed);
            held.may_read(queued_bytes, began_at.elapsed())
        };
        self.wait_until(may_read, timeout).await
    }

    async fn wait_until(&self, is_true: impl Fn() -> bool, timeout: Duration) -> bool {
        let mut waited = Duration::ZERO;
        while !is_true() && !self.chunks.is_closed() {
            if waited >= timeout {
                return false;
            }
            let interval = next_room_check(waited);
            async_io::Timer::after(interval).await;
            waited += interval;
        }
        true
    }

    /// Appends a piece of what is held of a stream; returns false if the body was dropped.
    pub(crate) fn write_piece(&self, held: &mut PartialEvent, piece: Bytes) -> bool {
        self.write(held.take_piece(piece, &self.queued_bytes))
    }

    /// Appends a chunk; returns false if the body was dropped.
    pub fn write(&self, chunk: impl Into<Bytes>) -> bool {
        self.chunks.try_send(Ok(chunk.into())).is_ok()
    }

    /// Aborts the body.
    pub fn abort(&self) {
        // Fails only if the body was dropped.
        let _ = self.chunks.try_send(Err(BodyAborted));
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
            Self::Whole(rest) => Poll::Ready(take_slice(rest).map(|slice| Ok(Frame::data(slice)))),
            Self::Delivered(answer) => {
                Poll::Ready(answer.take_slice().map(|slice| Ok(Frame::data(slice))))
            }
            Self::Stream { chunks, rest } => {
                if rest.is_none() {
                    match std::task::ready!(chunks.as_mut().poll_next(cx)) {
                        Some(Ok(chunk)) => *rest = Some(chunk),
                        Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                        None => return Poll::Ready(None),
                    }
                }
                Poll::Ready(take_slice(rest).map(|slice| Ok(Frame::data(slice))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(rest) => rest.is_none(),
            Self::Delivered(answer) => answer.left_bytes() == 0,
            Self::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Delivered(answer) => SizeHint::with_exact(answer.left_bytes() as u64),
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}
