//! Bodies that are passed to the HTTP library in slices, because it copies what it is given before it writes.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Size of a slice, in bytes. The library takes the next one only when it has written most of the ones before.
const SLICE_BYTES: usize = 16 * 1024;

/// Takes the next slice of a body; `None` if nothing is left.
pub(super) fn take_slice(rest: &mut Option<Bytes>) -> Option<Bytes> {
    match rest {
        Some(bytes) if bytes.len() > SLICE_BYTES => Some(bytes.split_to(SLICE_BYTES)),
        _ => rest.take(),
    }
}

/// A complete body of a request, in slices.
#[derive(Debug)]
pub(super) struct SlicedBody {
    whole: Full<Bytes>,
    /// Rest of what was taken from `whole`.
    rest: Option<Bytes>,
}

impl SlicedBody {
    pub(super) fn new(whole: Full<Bytes>) -> Self {
        Self { whole, rest: None }
    }
}

impl Body for SlicedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        if this.rest.is_none() {
            match ready!(Pin::new(&mut this.whole).poll_frame(cx)) {
                Some(Ok(frame)) => this.rest = frame.into_data().ok(),
                ended => return Poll::Ready(ended),
            }
        }
        let slice = take_slice(&mut this.rest);
        Poll::Ready(slice.map(|slice| Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_none() && self.whole.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.as_ref().map_or(0, Bytes::len) as u64;
        let whole = self.whole.size_hint().exact().unwrap_or(0);
        SizeHint::with_exact(rest + whole)
    }
}

#[cfg(test)]
mod tests {
    use futures_lite::future::block_on;
    use http_body_util::BodyExt;

    use super::*;

    // Guards against a body that is written with another length or content than it has.
    #[test]
    fn slices_of_a_body_are_the_body() {
        for length in [0, 1, SLICE_BYTES, SLICE_BYTES + 1, 3 * SLICE_BYTES] {
            let bytes: Vec<u8> = (0..length).map(|at| at as u8).collect();
            let mut body = SlicedBody::new(Full::new(bytes.clone().into()));
            assert_eq!(body.size_hint().exact(), Some(length as u64));
            let mut received = Vec::new();
            while let Some(Ok(frame)) = block_on(body.frame()) {
                let data = frame.into_data().expect("there are no trailers");
                assert!(data.len() <= SLICE_BYTES);
                received.extend_from_slice(&data);
                let left = (length - received.len()) as u64;
                assert_eq!(body.size_hint().exact(), Some(left));
            }
            assert!(body.is_end_stream());
            assert_eq!(received, bytes);
        }
    }
}
