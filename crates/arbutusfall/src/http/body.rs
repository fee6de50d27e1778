//! Bodies of answers: whole, or written piece by piece.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use async_channel::Sender;
use futures_lite::Stream;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Body of an answer.
pub enum AnswerBody {
    /// All bytes are known; none are left after the first poll.
    Whole(Option<Bytes>),
    /// Bytes come as a stream yields them.
    Stream(Pin<Box<dyn Stream<Item = Bytes> + Send>>),
}

/// Writing end of [`AnswerBody::pieces`].
#[derive(Debug, Clone)]
pub struct BodyWriter(Sender<Bytes>);

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
}

impl BodyWriter {
    /// Adds a piece; false when nobody reads the body any more.
    pub fn write(&self, piece: impl Into<Bytes>) -> bool {
        self.0.try_send(piece.into()).is_ok()
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => {
                let next = std::task::ready!(stream.as_mut().poll_next(cx));
                Poll::Ready(next.map(|bytes| Ok(Frame::data(bytes))))
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
