//! Exchanges in progress, with the answers that the relay has not yet used.

use std::convert::Infallible;
use std::sync::Mutex;
use std::sync::MutexGuard;

use arbutusfall_core::relay::EndProof;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_wire::FastMap;
use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;

use crate::Executor;
use crate::http::DeliveredAnswer;
use crate::lock::lock;
use crate::relay::open_calls::AnswerHead;

/// An exchange in progress.
#[derive(Default)]
struct OpenExchange {
    /// Task that runs the exchange; dropping it closes the connection.
    task: Option<Task<()>>,
    head: Option<AnswerHead>,
    body: Option<DeliveredAnswer>,
    hold: Option<Hold>,
    /// Lets the exchange go on after its answer has ended with its connection.
    proof: Option<Sender<EndProof>>,
}

/// Mark of an exchange that is held; the exchange goes on when it is dropped.
struct Hold {
    _sender: Sender<Infallible>,
    receiver: Receiver<Infallible>,
}

impl Default for Hold {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            _sender: sender,
            receiver,
        }
    }
}

/// Exchanges in progress of one process.
#[derive(Default)]
pub(super) struct OpenExchanges(Mutex<FastMap<ExchangeId, OpenExchange>>);

impl OpenExchanges {
    fn lock(&self) -> MutexGuard<'_, FastMap<ExchangeId, OpenExchange>> {
        lock(&self.0)
    }

    /// Starts the task that runs an exchange.
    pub(super) fn start(
        &self,
        executor: &Executor,
        exchange: ExchangeId,
        run: impl Future<Output = ()> + Send + 'static,
    ) {
        let mut exchanges = self.lock();
        let task = executor.spawn(run);
        exchanges.entry(exchange).or_default().task = Some(task);
    }

    /// Removes an exchange and closes its connection if it is open.
    pub(super) fn remove(&self, exchange: ExchangeId) {
        let open = self.lock().remove(&exchange);
        // Dropped after the lock, in case values owned by the task use the exchanges when they are dropped.
        drop(open);
    }

    /// Stores the head of an exchange's answer until the relay decides whether to use it.
    pub(super) fn store_head(&self, exchange: ExchangeId, head: AnswerHead) {
        if let Some(open) = self.lock().get_mut(&exchange) {
            open.head = Some(head);
        }
    }

    /// Stores the body of an exchange's answer until the relay decides whether to use it.
    pub(super) fn store_body(&self, exchange: ExchangeId, body: DeliveredAnswer) {
        if let Some(open) = self.lock().get_mut(&exchange) {
            open.body = Some(body);
        }
    }

    /// Takes the stored head of an exchange's answer.
    pub(super) fn take_head(&self, exchange: ExchangeId) -> Option<AnswerHead> {
        self.lock().get_mut(&exchange)?.head.take()
    }

    /// Removes an exchange and returns its answer if head and body are stored.
    pub(super) fn take_answer(
        &self,
        exchange: ExchangeId,
    ) -> Option<(AnswerHead, DeliveredAnswer)> {
        let open = self.lock().remove(&exchange)?;
        Some((open.head?, open.body?))
    }

    /// Returns what receives the proof that an exchange's answer is complete; it ends without one if the exchange is removed.
    pub(super) fn expect_proof(&self, exchange: ExchangeId) -> Receiver<EndProof> {
        let (sender, receiver) = async_channel::bounded(1);
        if let Some(open) = self.lock().get_mut(&exchange) {
            open.proof = Some(sender);
        }
        receiver
    }

    /// Lets an exchange go on whose answer is proved to be complete.
    pub(super) fn confirm_end(&self, exchange: ExchangeId, proof: EndProof) {
        let mut exchanges = self.lock();
        let sender = exchanges
            .get_mut(&exchange)
            .and_then(|open| open.proof.take());
        if let Some(sender) = sender {
            // Fails only if the exchange no longer waits.
            let _ = sender.try_send(proof);
        }
    }

    /// Holds an exchange until it is released.
    pub(super) fn hold(&self, exchange: ExchangeId) {
        self.set_hold(exchange, Some(Hold::default()));
    }

    /// Lets a held exchange go on.
    pub(super) fn release(&self, exchange: ExchangeId) {
        self.set_hold(exchange, None);
    }

    fn set_hold(&self, exchange: ExchangeId, hold: Option<Hold>) {
        if let Some(open) = self.lock().get_mut(&exchange) {
            open.hold = hold;
        }
    }

    /// Returns whether an exchange is held.
    pub(super) fn is_held(&self, exchange: ExchangeId) -> bool {
        self.hold_of(exchange).is_some()
    }

    /// Waits while an exchange is held.
    pub(super) async fn wait_while_held(&self, exchange: ExchangeId) {
        while let Some(hold) = self.hold_of(exchange) {
            // Nothing is ever sent; this returns when the hold is dropped.
            let _ = hold.recv().await;
        }
    }

    fn hold_of(&self, exchange: ExchangeId) -> Option<Receiver<Infallible>> {
        let exchanges = self.lock();
        let hold = exchanges.get(&exchange)?.hold.as_ref()?;
        Some(hold.receiver.clone())
    }
}
