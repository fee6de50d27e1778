//! Requests that go through another VM, because this VM does not reach the endpoints of their service.
//!
//! The other VM treats such a request as one of its own callers, but never forwards it again. It declines a request that it
//! can't take, as long as nothing of it has run; another VM is tried then. Once it has taken the request, its answer is final.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::ProblemKind;
use crate::config::Role;
use crate::relay::ExchangeFailure;
use crate::relay::ExchangeId;
use crate::relay::ForwardCommand;
use crate::relay::Hop;
use crate::relay::PeerAddress;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayRequest;
use crate::relay::SendCommand;
use crate::relay::SharedRecord;
use crate::relay::Work;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;
use crate::relay::calls::call::CurrentExchange;
use crate::relay::crashes::crash_handling::SUSPECT;
use crate::relay::notice::millis;
use crate::relay::sharing::peers::PeerRefusal;

/// Requests of other VMs that this VM takes at a time.
const MAX_FORWARDED_CALLS: usize = 200;

/// Time added to a request's allowed silence at another VM, which itself moves it from a silent endpoint first.
const FORWARD_SILENCE_MARGIN: Duration = Duration::from_millis(1_000);

impl Relay {
    /// Records this VM's address in the store, unless its record is there.
    pub(in crate::relay) fn record_own_address(&mut self) {
        let Some((vm, own)) = self.own_address.clone() else {
            return;
        };
        let recorded = self.peers.get(&vm);
        if recorded == Some(&own) || self.is_draining {
            return;
        }
        let due = self.now + self.random_delay();
        let peer = Some(own);
        self.shared_outbox
            .push(SharedRecord::Peer { vm, peer }, due);
        self.set_shared_timer();
    }

    /// Handles the record of a VM, or its deletion.
    pub(in crate::relay) fn on_shared_peer(&mut self, vm: &Name, peer: Option<PeerAddress>) {
        self.on_fact_peer(vm, peer.as_ref());
        self.peers.on_record(vm, peer);
        self.quota.on_list_changed();
        self.follow_facts();
    }

    /// Sends a call another way if this VM does not reach the endpoints of its service: forwards one of this VM's callers, declines
    /// one of another VM. Returns false if the call stays here.
    pub(in crate::relay) fn goes_another_way(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        if !self.reachability.is_unreachable(&call.service) {
            return false;
        }
        if call.request.hop.is_none() {
            return self.forward(id);
        }
        let is_untouched = !call.may_have_run && call.standby.is_none();
        if is_untouched {
            self.release_resources(id);
            self.end_quota_use(id);
            if let Some(call) = self.calls.remove(&id) {
                self.decline(&call.request, "unreachable");
            }
        }
        is_untouched
    }

    /// Forwards a stream that goes on at one version if connections to all engines of that version have failed for it: the service may
    /// be reached, but by other versions only. Returns false if the call stays here.
    pub(in crate::relay) fn forward_if_version_unreached(&mut self, id: CallId) -> bool {
        self.reaches_none_of_version(id) && self.forward(id)
    }

    fn reaches_none_of_version(&self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        let Some(call) = call.filter(|call| call.is_bound() && call.request.hop.is_none()) else {
            return false;
        };
        let none_has_answered = call.unanswered_exchanges == call.failed_endpoints.len();
        let mut engines = self.endpoints.serving_call(call, Role::Decode).peekable();
        call.standby.is_none()
            && none_has_answered
            && engines.peek().is_some()
            && engines.all(|engine| call.failed_endpoints.contains(&engine.listed.instance))
    }

    /// Forwards a call to another VM; returns false if none can take it.
    fn forward(&mut self, id: CallId) -> bool {
        let Some((own, own_address)) = self.own_address.clone() else {
            return false;
        };
        let selected = self.select_peer(id, &own, &own_address.data_centre);
        let Some((vm, peer)) = selected else {
            return false;
        };
        if self.renew_outdated_tokens(id) {
            return true;
        }
        self.leave_engines(id);
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        if !std::mem::replace(&mut call.was_forwarded, true) {
            // It counts at the VM that sends it to an endpoint.
            self.budget.on_request_left(&call.service, self.now);
        }
        self.last_exchange += 1;
        let exchange = ExchangeId(self.last_exchange);
        let command = call.forward_command(exchange, &vm, &own, &peer, self.now);
        call.begin_forward(exchange, &vm, peer.address, self.now);
        let notice = call.forwarded_notice(&command);
        self.peers.on_sent(&vm);
        self.calls_by_exchange.insert(exchange, id);
        self.set_silence_timer(id);
        self.effects.push(RelayEffect::Send(command));
        self.on_run_sent(id, CallStage::Forward);
        self.note(notice);
        true
    }

    /// Returns the VM that takes a call, if any can.
    fn select_peer(
        &mut self,
        id: CallId,
        own: &Name,
        data_centre: &Name,
    ) -> Option<(Name, PeerAddress)> {
        let call = self.calls.get(&id)?;
        let mut excluded = call.failed_endpoints.clone();
        excluded.push(own.clone());
        let (peers, rng) = (&self.peers, &mut self.rng);
        let vm = peers.select(&call.service, data_centre, &excluded, self.now, rng)?;
        let peer = peers.get(&vm).cloned()?;
        Some((vm, peer))
    }

    /// Gives up what the call has at engines that this VM does not reach.
    fn leave_engines(&mut self, id: CallId) {
        self.release_allocation(id);
        let call = self.calls.get_mut(&id);
        if let Some(result) = call.and_then(|call| call.prefill_result.take()) {
            self.free_prefill_result(result);
        }
    }

    /// Handles a request that the other VM has not taken: nothing of it has run.
    pub(in crate::relay) fn on_forward_declined(&mut self, id: CallId) {
        self.end_refused_forward(id, "declined", PeerRefusal::Declined);
        self.retry_or_fail(id);
    }

    /// Handles the failure of the way through another VM.
    pub(in crate::relay) fn on_forward_failed(&mut self, id: CallId, failure: ExchangeFailure) {
        if failure.is_before_send() {
            self.end_refused_forward(id, failure.name(), PeerRefusal::Failed);
            self.retry_or_fail(id);
            return;
        }
        self.mark_may_have_run(id, CallStage::Forward);
        let has_begun = self.calls.get(&id).is_some_and(|call| {
            let current = call.current.as_ref();
            current.is_some_and(|current| current.has_begun)
        });
        if !has_begun {
            // A stream that began breaks off with its endpoint, which says nothing of the other VM.
            self.record_peer_refusal(id, PeerRefusal::Declined);
        }
        self.fail_exchange(id, failure.name(), false);
        if let Some(call) = self.calls.get_mut(&id) {
            call.endpoint_ends += 1;
        }
        if self.may_crash_next_endpoint(id) {
            self.fail_call(id, SUSPECT);
            return;
        }
        self.retry_within_budget(id);
    }

    /// Ends an exchange of which the other VM has taken nothing. Such VMs don't count as failed endpoints of the call: there may be
    /// many, and they are not selected again at once.
    fn end_refused_forward(&mut self, id: CallId, reason: &'static str, refusal: PeerRefusal) {
        let current = self.calls.get(&id).and_then(|call| call.current.clone());
        let Some(current) = current else {
            return;
        };
        self.record_peer_refusal(id, refusal);
        if let Some(call) = self.calls.get_mut(&id) {
            call.attempts = call.attempts.saturating_sub(1);
        }
        self.end_exchange(id);
        self.note_exchange_failed(id, &current, reason);
    }

    /// Handles the complete answer of another VM, which is final, unless it says that the request has not run: an endpoint that this
    /// VM sent it to may have.
    pub(in crate::relay) fn on_forward_complete(
        &mut self,
        id: CallId,
        exchange: ExchangeId,
        status: u16,
    ) {
        self.on_forward_began(id);
        let call = self.calls.get(&id);
        if is_not_run(status) && call.is_some_and(Call::may_run_elsewhere) {
            self.fail_exchange(id, "not_run", false);
            self.fail_call(id, "may_have_run");
            return;
        }
        self.drop_standby(id);
        self.end_exchange(id);
        self.answer(id, exchange, status);
    }

    /// Handles the version at which another VM says that the call's stream began.
    pub(in crate::relay) fn on_version_stated(&mut self, id: CallId, version: Name) {
        let call = self.calls.get_mut(&id);
        if let Some(call) = call.filter(|call| call.route.is_resumable) {
            call.stream_version.get_or_insert(version);
        }
    }

    /// Handles the beginning of another VM's answer.
    pub(in crate::relay) fn on_forward_began(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Some(current) = &call.current {
            self.peers.on_taken(&current.instance, &call.service);
        }
    }

    /// Records that the VM of the call's exchange has not taken the request.
    fn record_peer_refusal(&mut self, id: CallId, refusal: PeerRefusal) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Some(current) = &call.current {
            let vm = &current.instance;
            self.peers.on_refused(vm, &call.service, refusal, self.now);
        }
    }

    /// Returns whether the call's exchange is with another VM.
    pub(in crate::relay) fn is_forwarding(&self, id: CallId) -> bool {
        let current = self.calls.get(&id).and_then(|call| call.current.as_ref());
        current.is_some_and(|current| current.stage == CallStage::Forward)
    }

    /// Returns why this VM can't take a request of another VM, if it can't.
    pub(in crate::relay) fn reason_to_decline(&self, hop: &Hop) -> Option<&'static str> {
        let version = self.routes.as_ref().map(|routes| routes.version);
        let forwarded = self
            .calls
            .values()
            .filter(|call| call.request.hop.is_some());
        if self.is_draining {
            Some("draining")
        } else if !self.is_ready {
            Some("not_ready")
        } else if version < Some(hop.config_version) {
            Some("older_config")
        } else if self.reachability.is_unreachable(&hop.service) {
            Some("unreachable")
        } else if forwarded.count() >= MAX_FORWARDED_CALLS {
            Some("busy")
        } else {
            None
        }
    }

    /// Tells the other VM that this one does not take its request, of which nothing has run.
    pub(in crate::relay) fn decline(&mut self, request: &RelayRequest, reason: &'static str) {
        self.note(RelayNotice::Declined {
            request_id: request.request_id.clone(),
            from_vm: request.hop.as_ref().map(|hop| hop.from_vm.clone()),
            reason,
        });
        self.effects
            .push(RelayEffect::Decline { call: request.call });
    }

    /// Sends the requests that wait for endpoints of a service, which this VM no longer reaches, another way.
    pub(in crate::relay) fn forward_waiting_calls(&mut self, service: &Name) {
        let is_of_service = |id: &CallId| {
            let call = self.calls.get(id);
            call.is_some_and(|call| call.service == *service)
        };
        let waiting = self.wait_queue.ids().iter();
        let waiting = waiting.chain(&self.limited_queue.calls).copied();
        let waiting: Vec<CallId> = waiting.filter(is_of_service).collect();
        for id in waiting {
            if self.goes_another_way(id) {
                self.wait_queue.remove(id);
                self.limited_queue.remove(id);
            }
        }
    }
}

/// Returns whether another VM answers by this status that no endpoint has run the request. VMs never forward this status from an
/// endpoint.
fn is_not_run(status: u16) -> bool {
    status == ProblemKind::NotRun.status()
}

impl Call {
    /// Counts an exchange with another VM.
    fn begin_forward(
        &mut self,
        exchange: ExchangeId,
        vm: &Name,
        address: SocketAddr,
        now: Duration,
    ) {
        self.exchange_count += 1;
        self.attempts += 1;
        self.current = Some(CurrentExchange {
            exchange,
            instance: vm.clone(),
            address,
            version: Name::default(),
            started_unix_ms: None,
            known_start_unix_ms: None,
            stage: CallStage::Forward,
            is_proved: false,
            has_begun: false,
            may_be_written: false,
            sent_at: now,
            last_activity_at: now,
            answer_due: now,
            ended_at: None,
        });
    }

    fn forwarded_notice(&self, command: &SendCommand) -> RelayNotice {
        RelayNotice::Sent {
            request_id: self.request.request_id.clone(),
            instance: command.instance.clone(),
            version: Name::default(),
            started_unix_ms: None,
            after_event_id: command.after_event_id,
            route: self.route.name.clone(),
            work: CallStage::Forward.name(),
            attempt: self.exchange_count,
            left_ms: millis(command.time_left),
            config_version: self.config_version,
        }
    }

    fn forward_command(
        &self,
        exchange: ExchangeId,
        vm: &Name,
        own: &Name,
        peer: &PeerAddress,
        now: Duration,
    ) -> SendCommand {
        let hop = Hop {
            from_vm: own.clone(),
            service: self.service.clone(),
            config_version: self.config_version,
            attempts: self.attempts,
            endpoint_ends: self.endpoint_ends,
            stream_version: self.stream_version.clone(),
            account: self.sent_account.clone(),
        };
        SendCommand {
            exchange,
            call: self.request.call,
            instance: vm.clone(),
            address: peer.address,
            work: Work::Forward(ForwardCommand {
                hop,
                elapsed: now.saturating_sub(self.arrived_at),
                caller_timeout: self.request.caller_timeout,
            }),
            expects_stream: self.route.is_stream,
            time_left: self.time_left(now),
            after_event_id: self.last_event_id,
            version: Name::default(),
            required_start_unix_ms: None,
            is_limited: false,
            account: self.sent_account.clone(),
        }
    }

    /// Returns the silence after which a request is moved from another VM, from that of an endpoint.
    pub(in crate::relay) fn forward_silence(&self, of_endpoint: Duration) -> Duration {
        of_endpoint + FORWARD_SILENCE_MARGIN
    }
}
