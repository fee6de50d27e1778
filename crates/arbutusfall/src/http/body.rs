//! Bodies of answers: whole, or written piece by piece.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use async_channel::Sender;
use futures_lite::Stream;
use futures_lite::StreamExt;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Body of an answer.
pub enum AnswerBody {
    /// All bytes are known; none are left after the first poll.
    Whole(Option<Bytes>),
    /// Bytes come as a stream yields them.
    Stream(Pin<Box<dyn Stream<Item = Piece> + Send>>),
}

/// A piece of a body, or the point at which it was broken off.
pub type Piece = Result<Bytes, BrokenOff>;

/// The body ends before it is complete; its connection closes so that this shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for BrokenOff {}

/// Writing end of [`AnswerBody::pieces`].
#[derive(Debug, Clone)]
pub struct BodyWriter(Sender<Piece>);

impl AnswerBody {
    /// A body that is known as a whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A body that is written later; it ends when all writers are dropped.
    pub fn pieces() -> (BodyWriter, Self) {
        let (sender, receiver) = async_channel::unbounded();
        (BodyWriter(sender), Self::Stream(Box::pin(receiver)))
    }

    /// Keeps a value until the body is written or dropped.
    pub fn keeping(self, value: impl Send + 'static) -> Self {
        match self {
            Self::Whole(_) => self,
            Self::Stream(stream) => Self::Stream(Box::pin(stream.map(move |piece| {
                let _ = &value;
                piece
            }))),
        }
    }
}

impl BodyWriter {
    /// Adds a piece; false when nobody reads the body any more.
    pub fn write(&self, piece: impl Into<Bytes>) -> bool {
        self.0.try_send(Ok(piece.into())).is_ok()
    }

    /// Ends the body as incomplete.
    pub fn break_off(&self) {
        // Nobody reads the body any more if this fails.
        let _ = self.0.try_send(Err(BrokenOff));
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => {
                let next = std::task::ready!(stream.as_mut().poll_next(cx));
                Poll::Ready(next.map(|piece| piece.map(Frame::data)))
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
