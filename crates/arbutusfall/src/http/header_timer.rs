//! Timer for the headers of a connection's requests that follows the listener's limits.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use hyper::rt::Sleep;

use crate::http::RequestHandler;

/// Timer that ends when the handler's newest `header_timeout` has passed, so that an idle connection stays open for as long
/// as its caller may use it, also if the limit is raised meanwhile.
pub(super) struct HeaderTimer<H> {
    handler: Arc<H>,
}

impl<H> HeaderTimer<H> {
    pub(super) fn new(handler: Arc<H>) -> Self {
        Self { handler }
    }
}

impl<H: RequestHandler> hyper::rt::Timer for HeaderTimer<H> {
    fn sleep(&self, _duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(HeaderSleep::start(self.handler.clone()))
    }

    fn sleep_until(&self, _deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(HeaderSleep::start(self.handler.clone()))
    }
}

/// Wait for the headers of one request.
struct HeaderSleep<H> {
    handler: Arc<H>,
    started_at: Instant,
    timer: Timer,
}

impl<H: RequestHandler> HeaderSleep<H> {
    fn start(handler: Arc<H>) -> Self {
        let started_at = Instant::now();
        let timer = Timer::at(started_at + handler.limits().header_timeout);
        Self {
            handler,
            started_at,
            timer,
        }
    }
}

impl<H: RequestHandler> Future for HeaderSleep<H> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = self.get_mut();
        loop {
            ready!(Pin::new(&mut this.timer).poll(cx));
            let due = this.started_at + this.handler.limits().header_timeout;
            if due <= Instant::now() {
                return Poll::Ready(());
            }
            this.timer.set_at(due);
        }
    }
}

impl<H: RequestHandler> Sleep for HeaderSleep<H> {}
