//! Tests of the relay's use of quotas, with accounts that are set without a configuration of keys.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::QuotaAnswer;
use arbutusfall_wire::QuotaGrant;

use crate::CallId;
use crate::ProblemKind;
use crate::config::Role;
use crate::config::Semantics;
use crate::relay::accounts::authentication::ServedFor;
use crate::relay::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn peer(vm: &str) -> SharedRecord {
    SharedRecord::Peer {
        vm: vm.into(),
        peer: Some(address()),
    }
}

fn address() -> PeerAddress {
    PeerAddress {
        address: ([10, 0, 0, 2], 7_000).into(),
        data_centre: "a".into(),
        strength: VmStrength::default(),
    }
}

fn route() -> RelayRoute {
    RelayRoute {
        name: "look".into(),
        host: "shop.example".into(),
        path_prefix: "/".into(),
        semantics: Semantics::NonIdempotent,
        timeout: ms(2_000),
        latency_target: ms(300),
        services: vec![("shop".into(), 1)],
        max_attempts: 3,
        is_model_route: false,
        is_stream: false,
        is_resumable: false,
        event_interval_target: ms(100),
        allows_anonymous: false,
        priority: None,
    }
}

fn endpoint() -> ListedEndpoint {
    ListedEndpoint {
        instance: "shop-1".into(),
        address: ([10, 0, 0, 1], 1_000).into(),
        service: "shop".into(),
        version: "v1".into(),
        role: Role::Plain,
        is_leaving: false,
        started_unix_ms: Some(1),
    }
}

/// A VM and the account of its callers: one request a second, two at once.
struct Site {
    relay: Relay,
    now: Duration,
    calls: u64,
}

impl Site {
    fn new(others: &[&str]) -> Self {
        let settings = RelaySettings {
            retry_limit: RetryLimit {
                ratio: 0.1,
                slack: 40.0,
                vm_count: 4,
            },
            lease_lifetime: ms(3_000),
            max_list_age: ms(1_800),
            own_hash_key: RequestHashKey(7),
            quota: QuotaSettings::default(),
            own_address: Some(("own".into(), address())),
            slow_start: false,
        };
        let mut site = Self {
            relay: Relay::new(&settings, 1),
            now: ms(1_000),
            calls: 0,
        };
        site.apply(RelayEvent::Started);
        let mut records = vec![SharedRecord::HashKey(Some(RequestHashKey(7)))];
        records.push(peer("own"));
        records.extend(others.iter().map(|vm| peer(vm)));
        site.apply(RelayEvent::SharedRecords {
            records,
            is_full: true,
        });
        let routes = RouteTable {
            version: 1,
            routes: vec![route()],
            services: [("shop".into(), RelayService::default())].into(),
            ..RouteTable::default()
        };
        site.apply(RelayEvent::NewConfig(Arc::new(routes)));
        let listed = EndpointListChange::Listed(endpoint());
        site.apply(RelayEvent::EndpointChanges(vec![listed]));
        // Votes are given from a second after the list of VMs is known on.
        site.now += ms(5_000);
        site
    }

    fn apply(&mut self, event: RelayEvent) -> Vec<RelayEffect> {
        self.relay.apply(event, self.now).effects
    }

    fn account() -> Arc<ClientAccount> {
        Arc::new(ClientAccount {
            name: "shop-site".into(),
            priority: None,
            quota: Some(AccountQuota {
                unit: QuotaUnit::Requests,
                per_s: 1.0,
                burst: 2.0,
                plain_cost: 1.0,
            }),
        })
    }

    /// Begins a request as `on_request` does once its account is known.
    fn submit(&mut self, hop: Option<Hop>) -> (CallId, Vec<RelayEffect>) {
        self.calls += 1;
        let id = CallId(self.calls);
        let key = RequestKey(format!("{}", self.calls).into());
        let request = RelayRequest {
            call: id,
            request_id: format!("request-{}", self.calls).into(),
            host: "shop.example".into(),
            path: "/a".into(),
            caller_timeout: None,
            receive_time: Duration::ZERO,
            token_counts: None,
            shared_parts: SharedParts::default(),
            request_keys: RequestKeys {
                own: key.clone(),
                of_any_caller: key,
            },
            credential: Credential::Missing,
            resumption: None,
            hop,
        };
        let relay = &mut self.relay;
        relay.now = self.now;
        let routes = relay.routes.clone().expect("a configuration");
        let account = Self::account();
        let served_for = ServedFor {
            sent: SentAccount::Named(account.name.clone()),
            account: Some(account),
        };
        let call = relay.new_call(request, &routes.routes[0], &routes, served_for);
        relay.calls.insert(id, call);
        relay.begin_within_quota(id);
        (id, std::mem::take(&mut relay.effects))
    }

    /// Begins a request whose first exchange opens no connection, so that nothing of it is sent.
    fn submit_unreached(&mut self) -> (CallId, Vec<RelayEffect>) {
        let (call, effects) = self.submit(None);
        let exchange = sent(&effects).expect("sent");
        let effects = self.apply(RelayEvent::Exchange {
            exchange,
            event: ExchangeEvent::Failed {
                failure: ExchangeFailure::Unreachable,
            },
        });
        assert!(sent(&effects).is_none(), "{effects:?}");
        (call, effects)
    }

    /// Sends a request that waits, as if its endpoint were reached again.
    fn send_again(&mut self, call: CallId) -> Vec<RelayEffect> {
        let relay = &mut self.relay;
        relay.now = self.now;
        relay.reachability = endpoints::reachability::Reachability::default();
        let endpoint = relay.endpoints.get_mut(&"shop-1".into());
        endpoint.expect("it is listed").health.on_success();
        relay.send_when_reached(call);
        std::mem::take(&mut self.relay.effects)
    }

    fn answer(&mut self, vm: Name, granted: f64, retry_after_ms: u64) -> Vec<RelayEffect> {
        let grant = QuotaGrant {
            account: "shop-site".into(),
            granted,
            lifetime_ms: 400,
            retry_after_ms,
            is_declined: false,
            is_pending: false,
        };
        let answer = QuotaAnswer {
            grants: vec![grant],
            votes: Vec::new(),
        };
        let outcome = QuotaOutcome::Answered(answer);
        self.apply(RelayEvent::QuotaAnswered { vm, outcome })
    }
}

fn sent(effects: &[RelayEffect]) -> Option<ExchangeId> {
    effects.iter().find_map(|effect| match effect {
        RelayEffect::Send(command) => Some(command.exchange),
        _ => None,
    })
}

fn is_refused(effects: &[RelayEffect]) -> bool {
    effects.iter().any(|effect| match effect {
        RelayEffect::AnswerProblem { problem, .. } => {
            problem.kind == ProblemKind::AccountLimited && problem.retry_after.is_some()
        }
        _ => false,
    })
}

/// Returns the VM that is asked for tokens.
fn asked(effects: &[RelayEffect]) -> Option<Name> {
    effects.iter().find_map(|effect| match effect {
        RelayEffect::AskQuota { vm, question, .. } if !question.asks.is_empty() => Some(vm.clone()),
        _ => None,
    })
}

/// A VM that does not own the account, and its first request, which has asked for tokens.
fn site_of_other_owner() -> (Site, CallId, Name) {
    for other in ["far-1", "far-2", "far-3", "far-4", "far-5", "far-6"] {
        let mut site = Site::new(&[other]);
        let (call, effects) = site.submit(None);
        if let Some(vm) = asked(&effects) {
            assert!(sent(&effects).is_none(), "{effects:?}");
            return (site, call, vm);
        }
    }
    panic!("no other VM ranks first");
}

/// Guards against requests that are sent before there are tokens, and against 429 without a time or with a message each.
#[test]
fn requests_wait_for_tokens_and_are_refused_without() {
    let (mut site, _, vm) = site_of_other_owner();
    let effects = site.answer(vm, 1.0, 0);
    assert!(sent(&effects).is_some(), "{effects:?}");
    let (_, effects) = site.submit(None);
    let vm = asked(&effects).expect("a question");
    let effects = site.answer(vm, 0.0, 900);
    assert!(is_refused(&effects), "{effects:?}");
    let (_, effects) = site.submit(None);
    assert!(is_refused(&effects), "{effects:?}");
    assert!(asked(&effects).is_none());
}

/// Guards against a request that is sent although its caller has left while it waited for tokens.
#[test]
fn a_waiting_request_ends_with_its_caller() {
    let (mut site, call, vm) = site_of_other_owner();
    site.apply(RelayEvent::CallerGone { call });
    let effects = site.answer(vm, 1.0, 0);
    assert!(sent(&effects).is_none(), "{effects:?}");
    assert!(site.relay.calls.is_empty());
}

/// Guards against a request that waits for ever when the process must exit.
#[test]
fn a_waiting_request_ends_when_the_process_exits() {
    let (mut site, _, vm) = site_of_other_owner();
    let effects = site.apply(RelayEvent::DrainTimeout);
    let has_answer = |effect: &RelayEffect| matches!(effect, RelayEffect::AnswerProblem { .. });
    assert!(effects.iter().any(has_answer), "{effects:?}");
    assert!(sent(&site.answer(vm, 1.0, 0)).is_none());
}

/// Guards against tokens that are lost with requests that nothing has run, and returned by those that may have run.
#[test]
fn requests_that_have_not_run_return_their_tokens() {
    let mut site = Site::new(&[]);
    let mut exchanges = Vec::new();
    for _ in 0..2 {
        let (call, effects) = site.submit(None);
        exchanges.push((call, sent(&effects).expect("sent")));
    }
    let (_, effects) = site.submit(None);
    assert!(is_refused(&effects), "{effects:?}");
    let (call, exchange) = exchanges[0];
    site.apply(RelayEvent::Exchange {
        exchange,
        event: ExchangeEvent::Failed {
            failure: ExchangeFailure::Unreachable,
        },
    });
    site.apply(RelayEvent::CallerGone { call });
    let (_, effects) = site.submit(None);
    assert!(!is_refused(&effects), "{effects:?}");
    let (_, exchange) = exchanges[1];
    site.apply(RelayEvent::Exchange {
        exchange,
        event: ExchangeEvent::Failed {
            failure: ExchangeFailure::Closed,
        },
    });
    let (_, effects) = site.submit(None);
    assert!(is_refused(&effects), "{effects:?}");
}

/// Guards against a quota that is used twice: at the VM of the caller and at the one that reaches the endpoint.
#[test]
fn requests_of_other_vms_use_no_quota() {
    let mut site = Site::new(&["far-1"]);
    for _ in 0..5 {
        let hop = Hop {
            from_vm: "far-1".into(),
            service: "shop".into(),
            config_version: 1,
            attempts: 0,
            endpoint_ends: 0,
            stream_version: None,
            account: SentAccount::Named("shop-site".into()),
        };
        let (_, effects) = site.submit(Some(hop));
        assert!(sent(&effects).is_some(), "{effects:?}");
        assert!(asked(&effects).is_none());
    }
}

/// Guards against requests that have used tokens long ago and are sent together with those that use tokens now.
#[test]
fn a_request_that_waited_for_long_uses_tokens_again() {
    let settings = QuotaSettings::default();
    let max_delay = settings.max_send_delay(1.0, 2.0);
    assert_eq!(max_delay, ms(600));
    assert!(max_delay >= settings.lease_lifetime());
    let is_long = |delay| {
        let mut site = Site::new(&[]);
        let (call, _) = site.submit_unreached();
        site.now += delay;
        let effects = site.send_again(call);
        let is_renewed = site.relay.quota_status(site.now).renewed == 1;
        // With the burst and the rate since, one more request is sent than with renewed tokens.
        let mut count = 0;
        while sent(&site.submit(None).1).is_some() {
            count += 1;
        }
        (sent(&effects).is_some(), is_renewed, count)
    };
    assert_eq!(is_long(ms(600)), (true, false, 1));
    assert_eq!(is_long(ms(610)), (true, true, 0));
}

/// Guards against a request that is sent without tokens, or waits for ever, if there are none when it uses tokens again.
#[test]
fn a_request_that_waited_for_long_is_refused_without_tokens() {
    let mut site = Site::new(&[]);
    let (call, _) = site.submit_unreached();
    let (_, effects) = site.submit(None);
    assert!(sent(&effects).is_some(), "{effects:?}");
    site.now += ms(610);
    let effects = site.send_again(call);
    assert!(sent(&effects).is_none(), "{effects:?}");
    assert!(is_refused(&effects), "{effects:?}");
}
