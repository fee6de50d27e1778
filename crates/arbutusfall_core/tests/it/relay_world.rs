//! A relay driven by hand: routes, endpoints and a clock.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Problem;
use arbutusfall_core::config::Role;
use arbutusfall_core::config::Semantics;
use arbutusfall_core::relay::CallerLimits;
use arbutusfall_core::relay::DirectoryChange;
use arbutusfall_core::relay::EngineFigures;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ExchangeId;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::Prompt;
use arbutusfall_core::relay::Relay;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayRequest;
use arbutusfall_core::relay::RelayRoute;
use arbutusfall_core::relay::RelayService;
use arbutusfall_core::relay::RelaySettings;
use arbutusfall_core::relay::RouteTable;
use arbutusfall_core::relay::SendOrder;
use arbutusfall_core::relay::Work;

/// Host of all routes.
pub(crate) const HOST: &str = "kiosk.example";

/// Lifetime of the lease for orders.
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// Milliseconds as a duration.
pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A relay with its clock and the effects that were not looked at yet.
pub(crate) struct World {
    pub(crate) relay: Relay,
    pub(crate) now: Duration,
    pub(crate) wake_at: Option<Duration>,
    pub(crate) effects: Vec<RelayEffect>,
    calls: u64,
}

/// A route with the values that most tests use.
pub(crate) fn route(prefix: &str, service: &str, semantics: Semantics) -> RelayRoute {
    RelayRoute {
        name: prefix.into(),
        host: HOST.into(),
        path_prefix: prefix.into(),
        semantics,
        timeout: ms(1_500),
        target: ms(300),
        services: vec![(service.into(), 1)],
        max_attempts: 2,
        has_prompt: false,
        is_stream: false,
        is_resumable: false,
        max_pause: Duration::ZERO,
    }
}

/// A route of streams from model engines.
pub(crate) fn stream_route(prefix: &str, is_resumable: bool) -> RelayRoute {
    RelayRoute {
        timeout: ms(14_000),
        target: ms(900),
        max_attempts: if is_resumable { 2 } else { 1 },
        has_prompt: true,
        is_stream: true,
        is_resumable,
        max_pause: ms(300),
        ..route(prefix, "captions", Semantics::NonIdempotent)
    }
}

/// Routes of a payment, a lookup, and streams that may and may not be resumed.
pub(crate) fn routes(version: u64) -> RouteTable {
    let engine = EngineFigures {
        memory_tokens: 100_000,
        result_lifetime: ms(500),
        reservation_lifetime: ms(2_000),
        role_switch: ms(6_000),
    };
    let captions = RelayService {
        engine: Some(engine),
    };
    RouteTable {
        version,
        routes: vec![
            route("/pay/", "shop", Semantics::NonIdempotent),
            route("/look/", "shop", Semantics::Idempotent),
            stream_route("/album/", false),
            stream_route("/draft/", true),
        ],
        services: [
            ("captions".into(), captions),
            ("shop".into(), RelayService::default()),
        ]
        .into(),
        limits: CallerLimits::default(),
    }
}

/// An entry of the list.
pub(crate) fn listed(instance: &str, service: &str, role: Role) -> ListedEndpoint {
    let port = 1_000 + instance.bytes().map(u16::from).sum::<u16>();
    ListedEndpoint {
        instance: instance.into(),
        address: ([10, 0, 0, 1], port).into(),
        service: service.into(),
        role,
        is_leaving: false,
        started_unix_ms: Some(1),
    }
}

/// Two plain endpoints, two prefill engines and two decode engines.
pub(crate) fn endpoints() -> Vec<DirectoryChange> {
    let all = [
        listed("shop-1", "shop", Role::Plain),
        listed("shop-2", "shop", Role::Plain),
        listed("prefill-1", "captions", Role::Prefill),
        listed("prefill-2", "captions", Role::Prefill),
        listed("decode-1", "captions", Role::Decode),
        listed("decode-2", "captions", Role::Decode),
    ];
    all.into_iter().map(DirectoryChange::Listed).collect()
}

impl World {
    /// A relay that knows neither routes nor endpoints.
    pub(crate) fn empty(seed: u64) -> Self {
        let settings = RelaySettings {
            retry_ratio: 0.2,
            lease_lifetime: LEASE,
        };
        let mut world = Self {
            relay: Relay::new(&settings, seed),
            now: ms(1_000),
            wake_at: None,
            effects: Vec::new(),
            calls: 0,
        };
        world.apply(RelayEvent::Started);
        world
    }

    /// A relay that knows the usual routes and endpoints.
    pub(crate) fn start(seed: u64) -> Self {
        let mut world = Self::empty(seed);
        world.apply(RelayEvent::Routes(Arc::new(routes(1))));
        world.apply(RelayEvent::Directory(endpoints()));
        world.effects.clear();
        world
    }

    pub(crate) fn apply(&mut self, event: RelayEvent) {
        let output = self.relay.apply(event, self.now);
        self.wake_at = output.wake_at;
        self.effects.extend(output.effects);
    }

    /// Lets time pass, with all ticks that fall due.
    pub(crate) fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(due) = self.wake_at.filter(|due| *due <= until) {
            self.now = due.max(self.now);
            self.apply(RelayEvent::Tick);
        }
        self.now = until;
    }

    /// A request arrives from a caller that waits so long.
    pub(crate) fn ask_with(&mut self, path: &str, patience: Duration) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        let is_model = path.starts_with("/album") || path.starts_with("/draft");
        self.apply(RelayEvent::Asked(RelayRequest {
            call,
            request_id: format!("request-{}", self.calls).into(),
            host: HOST.into(),
            path: path.into(),
            patience: Some(patience),
            prompt: is_model.then_some(Prompt {
                prompt_tokens: 5_000,
                max_output_tokens: 9_000,
                expected_output_tokens: Some(5_000),
            }),
        }));
        call
    }

    /// A request arrives.
    pub(crate) fn ask(&mut self, path: &str) -> CallId {
        self.ask_with(path, ms(14_000))
    }

    pub(crate) fn tell(&mut self, exchange: ExchangeId, event: ExchangeEvent) {
        self.apply(RelayEvent::Exchange { exchange, event });
    }

    /// Orders to endpoints since the last look.
    pub(crate) fn take_sends(&mut self) -> Vec<SendOrder> {
        let effects = std::mem::take(&mut self.effects);
        let mut sends = Vec::new();
        for effect in effects {
            match effect {
                RelayEffect::Send(order) => sends.push(order),
                other => self.effects.push(other),
            }
        }
        sends
    }

    /// The only order to an endpoint since the last look.
    pub(crate) fn take_send(&mut self) -> SendOrder {
        let mut sends = self.take_sends();
        assert_eq!(sends.len(), 1, "{sends:?}");
        sends.remove(0)
    }

    /// Brings a model request to its decode engine, whose stream has begun.
    pub(crate) fn begin_stream(&mut self, path: &str) -> (CallId, SendOrder) {
        let call = self.ask(path);
        let decode = self.bring_to_decode();
        self.tell(decode.exchange, ExchangeEvent::StreamBegan);
        (call, decode)
    }

    /// Lets the newest model request be reserved and prefilled.
    pub(crate) fn bring_to_decode(&mut self) -> SendOrder {
        self.bring_to_decode_in(Duration::ZERO)
    }

    /// The same with a prefill that takes some time.
    pub(crate) fn bring_to_decode_in(&mut self, prefill_time: Duration) -> SendOrder {
        let reserve = self.take_send();
        assert!(matches!(reserve.work, Work::Reserve { .. }));
        let reservation = "reservation".into();
        self.tell(reserve.exchange, ExchangeEvent::Reserved { reservation });
        let prefill = self.take_send();
        assert_eq!(prefill.work, Work::Prefill);
        if !prefill_time.is_zero() {
            self.pass(prefill_time);
        }
        let handle = "handle".into();
        self.tell(prefill.exchange, ExchangeEvent::PrefillDone { handle });
        let decode = self.take_send();
        assert!(matches!(decode.work, Work::Decode { .. }));
        decode
    }

    /// How a call ended, if it did.
    pub(crate) fn end_of(&self, call: CallId) -> Option<&RelayEffect> {
        self.effects.iter().find(|effect| match effect {
            RelayEffect::Answer { call: ended, .. }
            | RelayEffect::Finish { call: ended }
            | RelayEffect::Abort { call: ended }
            | RelayEffect::Refuse { call: ended, .. } => *ended == call,
            _ => false,
        })
    }

    /// The problem with which a call was refused.
    pub(crate) fn refusal(&self, call: CallId) -> Option<&Problem> {
        match self.end_of(call)? {
            RelayEffect::Refuse { problem, .. } => Some(problem),
            _ => None,
        }
    }
}
