//! Test harness: a relay with routes, endpoints and a manual clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Problem;
use arbutusfall_core::config::Role;
use arbutusfall_core::config::Semantics;
use arbutusfall_core::relay::CallerLimits;
use arbutusfall_core::relay::ConnectAnswer;
use arbutusfall_core::relay::Credential;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::EngineParameters;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeFailure;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::Hop;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::NotRunReason;
use arbutusfall_core::relay::PartId;
use arbutusfall_core::relay::PeerAddress;
use arbutusfall_core::relay::QuotaSettings;
use arbutusfall_core::relay::Relay;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayRequest;
use arbutusfall_core::relay::RelayRoute;
use arbutusfall_core::relay::RelayService;
use arbutusfall_core::relay::RelaySettings;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::RequestKey;
use arbutusfall_core::relay::RequestKeys;
use arbutusfall_core::relay::Resumption;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::RouteTable;
use arbutusfall_core::relay::RunAnswer;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::SendPermission;
use arbutusfall_core::relay::SharedParts;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::StoreReadFailure;
use arbutusfall_core::relay::StoreTopic;
use arbutusfall_core::relay::TokenCounts;
use arbutusfall_core::relay::Work;
use arbutusfall_wire::Name;

/// `host` header of all routes.
pub(crate) const HOST: &str = "kiosk.example";

/// Age of the endpoint list that no request is sent by.
pub(crate) const MAX_LIST_AGE: Duration = Duration::from_millis(1_800);

/// Lifetime of the lease for role orders.
pub(crate) const LEASE_LIFETIME: Duration = Duration::from_secs(3);

/// Retry limit of most tests: two retries in 10 s regardless of the number of requests.
pub(crate) const RETRY_LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 52.0,
    vm_count: 13,
};

/// End of an exchange whose connection the endpoint closed.
pub(crate) const CLOSED: ExchangeEvent = ExchangeEvent::Failed {
    failure: ExchangeFailure::Closed,
};

/// End of an exchange whose endpoint could not be connected to.
pub(crate) const UNREACHABLE: ExchangeEvent = ExchangeEvent::Failed {
    failure: ExchangeFailure::Unreachable,
};

/// End of an exchange whose endpoint refused the request.
pub(crate) const REFUSED: ExchangeEvent = ExchangeEvent::NotRun {
    reason: NotRunReason::Refused,
};

/// Tokens of a model request with a long answer.
const LONG_STREAM: TokenCounts = TokenCounts {
    prompt_tokens: 5_000,
    max_output_tokens: 9_000,
    expected_output_tokens: Some(5_000),
};

/// Returns what becomes of a connection that an endpoint accepts or refuses.
pub(crate) fn connect_answer(is_accepted: bool) -> ConnectAnswer {
    if is_accepted {
        ConnectAnswer::Accepted
    } else {
        ConnectAnswer::Refused
    }
}

/// Returns a duration in milliseconds.
pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A relay with its clock and the effects that the test has not taken yet.
pub(crate) struct RelayHarness {
    pub(crate) relay: Relay,
    pub(crate) now: Duration,
    pub(crate) wake_at: Option<Duration>,
    pub(crate) effects: Vec<RelayEffect>,
    calls: u64,
    /// Whether requests with the same path are repeats of one request; otherwise all requests are different.
    pub(crate) repeats_by_path: bool,
    /// Credential of the requests that are submitted.
    pub(crate) credential: Credential,
    /// Whether connections to endpoints open at once, so that requests are written without delay.
    pub(crate) opens_connections: bool,
    /// Whether engines that are asked when their processes started answer at once, as the listed ones.
    pub(crate) engines_state_their_starts: bool,
    /// Start of the listed process of each endpoint.
    starts_unix_ms: BTreeMap<Name, Option<u64>>,
}

/// Returns a route with the values that most tests use.
pub(crate) fn route(prefix: &str, service: &str, semantics: Semantics) -> RelayRoute {
    RelayRoute {
        name: prefix.into(),
        host: HOST.into(),
        path_prefix: prefix.into(),
        semantics,
        timeout: ms(1_500),
        latency_target: ms(300),
        services: vec![(service.into(), 1)],
        max_attempts: 2,
        is_model_route: false,
        is_stream: false,
        is_resumable: false,
        event_interval_target: Duration::ZERO,
        allows_anonymous: false,
        priority: None,
    }
}

/// Returns a route for streams from model engines.
pub(crate) fn stream_route(prefix: &str, is_resumable: bool) -> RelayRoute {
    RelayRoute {
        timeout: ms(14_000),
        latency_target: ms(900),
        max_attempts: if is_resumable { 2 } else { 1 },
        is_model_route: true,
        is_stream: true,
        is_resumable,
        event_interval_target: ms(300),
        ..route(prefix, "model", Semantics::NonIdempotent)
    }
}

/// Returns routes for non-idempotent payments (`/pay/`), idempotent lookups (`/look/`), streams that may not be resumed
/// (`/stream/`) and streams that may be resumed (`/resumable/`).
pub(crate) fn routes(version: u64) -> RouteTable {
    let engine = EngineParameters {
        memory_tokens: 100_000,
        result_lifetime: ms(500),
        reservation_lifetime: ms(2_000),
        role_change_time: ms(6_000),
    };
    let model = RelayService {
        engine: Some(engine),
    };
    RouteTable {
        version,
        routes: vec![
            route("/pay/", "shop", Semantics::NonIdempotent),
            route("/look/", "shop", Semantics::Idempotent),
            stream_route("/stream/", false),
            stream_route("/resumable/", true),
        ],
        services: [
            ("model".into(), model),
            ("shop".into(), RelayService::default()),
        ]
        .into(),
        limits: CallerLimits::default(),
        accounts: None,
    }
}

/// Returns a listed endpoint.
pub(crate) fn listed(instance: &str, service: &str, role: Role) -> ListedEndpoint {
    let port = 1_000 + instance.bytes().map(u16::from).sum::<u16>();
    ListedEndpoint {
        instance: instance.into(),
        address: ([10, 0, 0, 1], port).into(),
        service: service.into(),
        version: "v1".into(),
        role,
        is_leaving: false,
        started_unix_ms: Some(1),
    }
}

/// Returns two plain endpoints, two prefill engines and two decode engines.
pub(crate) fn endpoints() -> Vec<EndpointListChange> {
    let all = [
        listed("shop-1", "shop", Role::Plain),
        listed("shop-2", "shop", Role::Plain),
        listed("prefill-1", "model", Role::Prefill),
        listed("prefill-2", "model", Role::Prefill),
        listed("decode-1", "model", Role::Decode),
        listed("decode-2", "model", Role::Decode),
    ];
    all.into_iter().map(EndpointListChange::Listed).collect()
}

/// Returns the event of a read of the endpoint list that succeeded or got no answer.
pub(crate) fn store_read(succeeded: bool) -> RelayEvent {
    RelayEvent::StoreRead {
        topic: StoreTopic::Endpoints,
        failure: (!succeeded).then_some(StoreReadFailure::Silent),
    }
}

impl RelayHarness {
    /// Creates a relay without routes or endpoints.
    pub(crate) fn unconfigured(seed: u64) -> Self {
        Self::with_retry_limit(seed, RETRY_LIMIT)
    }

    /// Creates a relay without routes or endpoints that has this retry limit; other VMs have recorded a key for hashes and the versions
    /// of the endpoints of [`endpoints`].
    pub(crate) fn with_retry_limit(seed: u64, retry_limit: RetryLimit) -> Self {
        Self::started(seed, retry_limit).with_shared_records()
    }

    /// Creates a relay like [`Self::with_retry_limit`], with or without slow start.
    pub(crate) fn with_slow_start(seed: u64, retry_limit: RetryLimit, slow_start: bool) -> Self {
        Self::started_at(seed, retry_limit, None, slow_start).with_shared_records()
    }

    fn with_shared_records(self) -> Self {
        let mut harness = self;
        let hash_key = SharedRecord::HashKey(Some(RequestHashKey(7)));
        let versions = ["model", "shop"].map(|service| SharedRecord::Version {
            service: service.into(),
            version: "v1".into(),
            is_recent: true,
        });
        harness.apply(RelayEvent::SharedRecords {
            records: [hash_key].into_iter().chain(versions).collect(),
            is_full: true,
        });
        harness
    }

    /// Creates a relay that has read nothing from the store.
    pub(crate) fn before_shared_records(seed: u64) -> Self {
        Self::started(seed, RETRY_LIMIT)
    }

    /// Creates one of several relays that have read nothing from the store.
    pub(crate) fn one_of(vm_count: u32, seed: u64) -> Self {
        let retry_limit = RetryLimit {
            vm_count,
            ..RETRY_LIMIT
        };
        Self::started(seed, retry_limit)
    }

    /// Creates a relay that has read nothing from the store and takes requests of other VMs.
    pub(crate) fn with_own_address(seed: u64, own: SharedRecord) -> Self {
        let SharedRecord::Peer {
            vm,
            peer: Some(peer),
        } = own
        else {
            panic!("not the record of a VM");
        };
        Self::started_at(seed, RETRY_LIMIT, Some((vm, peer)), false)
    }

    fn started(seed: u64, retry_limit: RetryLimit) -> Self {
        Self::started_at(seed, retry_limit, None, false)
    }

    fn started_at(
        seed: u64,
        retry_limit: RetryLimit,
        own_address: Option<(Name, PeerAddress)>,
        slow_start: bool,
    ) -> Self {
        let settings = RelaySettings {
            retry_limit,
            lease_lifetime: LEASE_LIFETIME,
            max_list_age: MAX_LIST_AGE,
            own_hash_key: RequestHashKey(u128::from(seed)),
            quota: QuotaSettings::default(),
            own_address,
            slow_start,
        };
        let mut harness = Self {
            relay: Relay::new(&settings, seed),
            now: ms(1_000),
            wake_at: None,
            effects: Vec::new(),
            calls: 0,
            repeats_by_path: false,
            credential: Credential::Missing,
            opens_connections: true,
            engines_state_their_starts: true,
            starts_unix_ms: BTreeMap::new(),
        };
        harness.apply(RelayEvent::Started);
        harness
    }

    /// Creates a relay with the routes of [`routes`] and the endpoints of [`endpoints`].
    pub(crate) fn configured(seed: u64) -> Self {
        Self::unconfigured(seed).with_site()
    }

    /// Adds the routes of [`routes`] and the endpoints of [`endpoints`].
    pub(crate) fn with_site(self) -> Self {
        let mut harness = self;
        harness.apply(RelayEvent::NewConfig(Arc::new(routes(1))));
        harness.apply(RelayEvent::EndpointChanges(endpoints()));
        harness.effects.clear();
        harness
    }

    pub(crate) fn apply(&mut self, event: RelayEvent) {
        if let RelayEvent::EndpointChanges(changes) = &event {
            self.record_starts(changes);
        }
        let output = self.relay.apply(event, self.now);
        self.wake_at = output.wake_at;
        for effect in output.effects {
            match effect {
                RelayEffect::CheckRun { instance, .. } if self.engines_state_their_starts => {
                    self.answer_run_check(instance);
                }
                RelayEffect::Send(command) => {
                    if self.opens_connections {
                        self.permission(command.exchange);
                    }
                    self.effects.push(RelayEffect::Send(command));
                }
                effect => self.effects.push(effect),
            }
        }
    }

    /// Asks for the permission to write an exchange's request, as once its connection is open.
    pub(crate) fn permission(&mut self, exchange: ExchangeId) -> SendPermission {
        self.relay.send_permission(exchange, self.now)
    }

    fn record_starts(&mut self, changes: &[EndpointListChange]) {
        for change in changes {
            if let EndpointListChange::Listed(listed) = change {
                self.starts_unix_ms
                    .insert(listed.instance.clone(), listed.started_unix_ms);
            }
        }
    }

    fn answer_run_check(&mut self, instance: Name) {
        let start_unix_ms = self.starts_unix_ms.get(&instance).copied().flatten();
        self.apply(RelayEvent::RunChecked {
            instance,
            asked_at: self.now,
            answer: start_unix_ms.map_or(RunAnswer::Unstated, RunAnswer::Started),
        });
    }

    /// Advances the clock and applies all ticks that fall due.
    pub(crate) fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(due) = self.wake_at.filter(|due| *due <= until) {
            self.now = due.max(self.now);
            self.apply(RelayEvent::Tick);
        }
        self.now = until;
    }

    fn request_key(&self, path: &str) -> RequestKey {
        RequestKey(if self.repeats_by_path {
            path.into()
        } else {
            format!("key-{}", self.calls).into()
        })
    }

    /// Submits a request with a caller timeout.
    pub(crate) fn submit_with_timeout(&mut self, path: &str, caller_timeout: Duration) -> CallId {
        self.submit_received_in(path, caller_timeout, Duration::ZERO)
    }

    /// Submits a request with a caller timeout whose body took `receive_time` to arrive.
    pub(crate) fn submit_received_in(
        &mut self,
        path: &str,
        caller_timeout: Duration,
        receive_time: Duration,
    ) -> CallId {
        self.submit_from(path, caller_timeout, receive_time, None)
    }

    /// Submits a request of another VM, at which it arrived `elapsed` ago.
    pub(crate) fn submit_forwarded(
        &mut self,
        path: &str,
        hop: Hop,
        caller_timeout: Duration,
        elapsed: Duration,
    ) -> CallId {
        self.submit_from(path, caller_timeout, elapsed, Some(hop))
    }

    fn submit_from(
        &mut self,
        path: &str,
        caller_timeout: Duration,
        receive_time: Duration,
        hop: Option<Hop>,
    ) -> CallId {
        let is_model = path.starts_with("/stream") || path.starts_with("/resumable");
        let request = self.next_request(path);
        self.receive(RelayRequest {
            caller_timeout: Some(caller_timeout),
            receive_time,
            token_counts: is_model.then_some(LONG_STREAM),
            hop,
            ..request
        })
    }

    /// Submits a model request whose prompt has these shared parts.
    pub(crate) fn submit_with_parts(&mut self, path: &str, parts: Vec<PartId>) -> CallId {
        let request = self.next_request(path);
        self.receive(RelayRequest {
            token_counts: Some(TokenCounts {
                prompt_tokens: 500,
                max_output_tokens: 90,
                expected_output_tokens: Some(50),
            }),
            shared_parts: parts.into(),
            ..request
        })
    }

    /// Submits a request that takes up the stream of an earlier attempt after its first event.
    pub(crate) fn submit_resumption(&mut self, path: &str, first_attempt: Option<&str>) -> CallId {
        let request = self.next_request(path);
        self.receive(RelayRequest {
            caller_timeout: Some(ms(10_000)),
            token_counts: Some(LONG_STREAM),
            resumption: Some(Resumption {
                first_attempt: first_attempt.map(Into::into),
                last_event_id: "1".into(),
            }),
            ..request
        })
    }

    /// Returns the next caller's request without a prompt, with a timeout of 14 s.
    fn next_request(&mut self, path: &str) -> RelayRequest {
        self.calls += 1;
        let request_key = self.request_key(path);
        RelayRequest {
            call: CallId(self.calls),
            request_id: format!("request-{}", self.calls).into(),
            host: HOST.into(),
            path: path.into(),
            caller_timeout: Some(ms(14_000)),
            receive_time: Duration::ZERO,
            token_counts: None,
            shared_parts: SharedParts::default(),
            request_keys: RequestKeys {
                own: request_key.clone(),
                of_any_caller: request_key,
            },
            credential: self.credential,
            resumption: None,
            hop: None,
        }
    }

    fn receive(&mut self, request: RelayRequest) -> CallId {
        let call = request.call;
        self.apply(RelayEvent::RequestReceived(Box::new(request)));
        call
    }

    /// Submits a request with a caller timeout of 14 s.
    pub(crate) fn submit(&mut self, path: &str) -> CallId {
        self.submit_with_timeout(path, ms(14_000))
    }

    pub(crate) fn deliver(&mut self, exchange: ExchangeId, event: ExchangeEvent) {
        self.apply(RelayEvent::Exchange { exchange, event });
    }

    /// Ends the connections that are opened to see whether endpoints accept them; returns the endpoints.
    pub(crate) fn end_connects(&mut self, answer: impl Fn(&Name) -> ConnectAnswer) -> Vec<Name> {
        let effects = std::mem::take(&mut self.effects);
        let mut checked = Vec::new();
        for effect in effects {
            match effect {
                RelayEffect::CheckEndpoint { instance, .. } => checked.push(instance),
                other => self.effects.push(other),
            }
        }
        for instance in &checked {
            self.apply(RelayEvent::EndpointChecked {
                instance: instance.clone(),
                asked_at: self.now,
                answer: answer(instance),
            });
        }
        checked
    }

    /// Takes the requests to endpoints from the effects.
    pub(crate) fn take_sends(&mut self) -> Vec<SendCommand> {
        let effects = std::mem::take(&mut self.effects);
        let mut sends = Vec::new();
        for effect in effects {
            match effect {
                RelayEffect::Send(command) => sends.push(command),
                other => self.effects.push(other),
            }
        }
        sends
    }

    /// Takes the only request to an endpoint from the effects; panics unless there is exactly one.
    pub(crate) fn take_only_send(&mut self) -> SendCommand {
        let mut sends = self.take_sends();
        assert_eq!(sends.len(), 1, "{sends:?}");
        sends.remove(0)
    }

    /// Submits a model request and advances it until its stream starts.
    pub(crate) fn start_stream(&mut self, path: &str) -> (CallId, SendCommand) {
        let call = self.submit(path);
        let decode = self.advance_to_decode();
        self.deliver(decode.exchange, ExchangeEvent::StreamBegan);
        (call, decode)
    }

    /// Grants the reservation and completes the prefill of the newest model request; returns the send to the decode
    /// engine.
    pub(crate) fn advance_to_decode(&mut self) -> SendCommand {
        self.advance_to_decode_after(Duration::ZERO)
    }

    /// Like `advance_to_decode`, with a prefill that takes `prefill_time`.
    pub(crate) fn advance_to_decode_after(&mut self, prefill_time: Duration) -> SendCommand {
        let reserve = self.take_only_send();
        assert!(matches!(reserve.work, Work::Reserve { .. }));
        let reservation = "reservation".into();
        self.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
        let prefill = self.take_only_send();
        assert_eq!(prefill.work, Work::Prefill);
        if !prefill_time.is_zero() {
            self.advance(prefill_time);
        }
        let handle = "handle".into();
        self.deliver(prefill.exchange, ExchangeEvent::PrefillDone { handle });
        let decode = self.take_only_send();
        assert!(matches!(decode.work, Work::Decode { .. }));
        decode
    }

    /// Returns the effect that ended a call, if any.
    pub(crate) fn final_effect(&self, call: CallId) -> Option<&RelayEffect> {
        self.effects.iter().find(|effect| match effect {
            RelayEffect::Answer { call: ended, .. }
            | RelayEffect::Finish { call: ended }
            | RelayEffect::Abort { call: ended }
            | RelayEffect::AnswerProblem { call: ended, .. } => *ended == call,
            _ => false,
        })
    }

    /// Returns the problem with which a call was refused, if it was.
    pub(crate) fn problem(&self, call: CallId) -> Option<&Problem> {
        match self.final_effect(call)? {
            RelayEffect::AnswerProblem { problem, .. } => Some(problem),
            _ => None,
        }
    }
}
