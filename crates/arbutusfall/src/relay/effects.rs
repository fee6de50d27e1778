//! Performs the relay's effects: at once if they change only what this process holds, otherwise by starting tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arbutusfall_core::CallId;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_platform::endpoints;
use async_channel::Receiver;
use async_channel::Sender;
use hyper::Request;
use hyper::body::Bytes;

use crate::http::AnswerBody;
use crate::relay::control_client::ControlClient;
use crate::relay::endpoint_check;
use crate::relay::exchange;
use crate::relay::fact_board::FactBoard;
use crate::relay::fact_follower;
use crate::relay::fact_follower::FactsFrom;
use crate::relay::handle::RelayHandle;
use crate::relay::handle::RelayIo;
use crate::relay::newest_seeker;
use crate::relay::open_calls::Reply;
use crate::relay::quota_client::QuotaClient;
use crate::relay::quota_client::QuotaRequest;
use crate::relay::run_questions;
use crate::relay::shared_records;
use crate::relay::store_client::StoreClient;
use crate::relay::stream_records;

/// Performs effects, and keeps the states of the process that only effects change.
pub(super) struct EffectPerformer {
    control: ControlClient,
    store: Arc<StoreClient>,
    facts: Arc<FactBoard>,
    quota: Arc<QuotaClient>,
    ready: AtomicBool,
    close_request_sender: Sender<()>,
    close_request_receiver: Receiver<()>,
}

impl EffectPerformer {
    pub(super) fn new(
        control: ControlClient,
        store: Arc<StoreClient>,
        facts: Arc<FactBoard>,
    ) -> Self {
        let (close_request_sender, close_request_receiver) = async_channel::bounded(1);
        Self {
            control,
            store,
            facts,
            quota: Arc::default(),
            ready: AtomicBool::new(false),
            close_request_sender,
            close_request_receiver,
        }
    }

    /// Returns whether readiness probes succeed.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Waits until the relay requests that callers' connections be closed.
    pub(super) async fn wait_for_close_request(&self) {
        // The channel lives as long as the performer.
        let _ = self.close_request_receiver.recv().await;
    }

    /// Performs an effect; the tasks that it starts report with `relay`.
    pub(super) fn perform(&self, relay: &impl RelayHandle, effect: RelayEffect) {
        let io = relay.io();
        match effect {
            RelayEffect::Send(command) => start_exchange(relay, command),
            RelayEffect::Close { exchange } => io.exchanges.remove(exchange),
            RelayEffect::Hold { exchange } => io.exchanges.hold(exchange),
            RelayEffect::Release { exchange } => io.exchanges.release(exchange),
            RelayEffect::ConfirmEnd { exchange, proof } => {
                io.exchanges.confirm_end(exchange, proof)
            }
            RelayEffect::FreeKvCache(stored) => {
                let request = endpoints::free_kv_cache_request(&stored);
                spawn_free_request(relay, stored.address, request);
            }
            RelayEffect::FreeReservation {
                address,
                reservation,
            } => {
                let request = endpoints::free_reservation_request(address, &reservation);
                spawn_free_request(relay, address, request);
            }
            RelayEffect::Answer { call, exchange } => answer(io, call, exchange),
            RelayEffect::Forward { call, exchange } => {
                if let Some(head) = io.exchanges.take_head(exchange) {
                    io.calls.begin_stream(call, head);
                }
            }
            RelayEffect::Finish { call } => io.calls.finish_stream(call),
            RelayEffect::Abort { call } => io.calls.abort_stream(call),
            RelayEffect::AnswerProblem { call, problem } => {
                io.calls.end_with_reply(call, Reply::Problem(problem))
            }
            RelayEffect::Decline { call } => io.calls.end_with_reply(call, Reply::Declined),
            RelayEffect::CheckEndpoint { instance, address } => {
                io.spawn(endpoint_check::check_endpoint(
                    relay.clone(),
                    instance,
                    address,
                ));
            }
            RelayEffect::CheckRun { instance, address } => {
                // The answer is reported to the relay; nothing else waits for it.
                drop(run_questions::ask(relay, &instance, address));
            }
            RelayEffect::FollowFacts { vm, address, waits } => {
                let from = FactsFrom { vm, address, waits };
                let board = self.facts.clone();
                io.spawn(fact_follower::follow(relay.clone(), board, from));
            }
            RelayEffect::AskQuota {
                vm,
                address,
                question,
            } => {
                let request = QuotaRequest {
                    vm,
                    address,
                    question,
                };
                io.spawn(self.quota.clone().ask(relay.clone(), request));
            }
            RelayEffect::SeekNewest(search) => {
                let (board, store) = (self.facts.clone(), self.store.clone());
                io.spawn(newest_seeker::seek(relay.clone(), board, store, search));
            }
            RelayEffect::RenewLease { token, lifetime } => {
                let control = self.control.clone();
                io.spawn(control.renew_lease(relay.clone(), token, lifetime));
            }
            RelayEffect::ReleaseLease => {
                let control = self.control.clone();
                io.spawn(control.release_lease(relay.clone()));
            }
            RelayEffect::OrderRole {
                instance,
                address,
                role,
                token,
            } => {
                let control = self.control.clone();
                io.spawn(control.order_role(relay.clone(), instance, address, role, token));
            }
            RelayEffect::FindStream { call, attempt } => {
                let store = self.store.clone();
                io.spawn(stream_records::find(relay.clone(), store, call, attempt));
            }
            RelayEffect::RecordStreams(records) => {
                let store = self.store.clone();
                io.spawn(stream_records::append(relay.clone(), store, records));
            }
            RelayEffect::AppendShared(records) => {
                let store = self.store.clone();
                io.spawn(shared_records::append(relay.clone(), store, records));
            }
            RelayEffect::SetReady(ready) => self.ready.store(ready, Ordering::Relaxed),
            RelayEffect::Note(notice) => io.record_notice(&notice),
            RelayEffect::CloseConnections => {
                // If this fails, the request to close is already queued.
                let _ = self.close_request_sender.try_send(());
            }
        }
    }
}

fn start_exchange(relay: &impl RelayHandle, command: SendCommand) {
    let io = relay.io();
    let exchange = command.exchange;
    let run = exchange::run(relay.clone(), command);
    io.exchanges.start(&io.executor, exchange, run);
}

fn spawn_free_request(relay: &impl RelayHandle, address: SocketAddr, request: Request<Bytes>) {
    let io = relay.io();
    io.spawn(exchange::send_free_request(
        io.executor.clone(),
        address,
        request,
    ));
}

/// Ends a call with the whole answer of an exchange.
fn answer(io: &RelayIo, call: CallId, exchange: ExchangeId) {
    let reply = match io.exchanges.take_answer(exchange) {
        Some((head, body)) => Reply::Endpoint(head, AnswerBody::Delivered(body)),
        None => Reply::Missing,
    };
    io.calls.end_with_reply(call, reply);
}
