//! Random states of a relay with client accounts, for tests of explanations.

use std::sync::Arc;
use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::config::Semantics;
use arbutusfall_core::relay::AccountQuota;
use arbutusfall_core::relay::AccountTable;
use arbutusfall_core::relay::ApiKey;
use arbutusfall_core::relay::ClientAccount;
use arbutusfall_core::relay::Credential;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::PartId;
use arbutusfall_core::relay::PeerAddress;
use arbutusfall_core::relay::QuotaUnit;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayRequest;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::RequestKey;
use arbutusfall_core::relay::RequestKeys;
use arbutusfall_core::relay::RouteTable;
use arbutusfall_core::relay::SendCommand;
use arbutusfall_core::relay::SharedParts;
use arbutusfall_core::relay::SharedRecord;
use arbutusfall_core::relay::TokenCounts;
use arbutusfall_core::relay::VmStrength;
use arbutusfall_core::relay::Work;
use arbutusfall_wire::Name;

use crate::relay_harness::CLOSED;
use crate::relay_harness::HOST;
use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::UNREACHABLE;
use crate::relay_harness::connect_answer;
use crate::relay_harness::endpoints;
use crate::relay_harness::listed;
use crate::relay_harness::ms;
use crate::relay_harness::route;
use crate::relay_harness::routes;
use crate::relay_harness::store_read;

/// Accounts of the configuration, from the one without a quota to the one with the smallest.
pub(crate) const ACCOUNTS: [&str; 3] = ["archive", "school", "museum"];

/// Path of each route; that of the last one needs no account.
pub(crate) const PATHS: [&str; 5] = ["/pay/1", "/look/1", "/stream/1", "/resumable/1", "/open/1"];

/// First id of the calls that are submitted here.
const FIRST_CALL: u64 = 1_000;

/// Steps before a state is explained.
const STEPS: usize = 60;

/// Returns the API key of an account.
pub(crate) fn key_text(account: &str) -> String {
    format!("sk-secret-of-{account}")
}

fn credential(account: Option<&str>) -> Credential {
    match account {
        Some(account) => Credential::Key(ApiKey::new(key_text(account).as_bytes())),
        None => Credential::Missing,
    }
}

fn accounts() -> AccountTable {
    let quotas = [
        None,
        Some((QuotaUnit::Tokens, 40_000.0)),
        Some((QuotaUnit::Requests, 2.0)),
    ];
    let accounts = ACCOUNTS.into_iter().zip(quotas).map(|(name, quota)| {
        let quota = quota.map(|(unit, per_s)| AccountQuota {
            unit,
            per_s,
            burst: per_s,
            plain_cost: 100.0,
        });
        let account = ClientAccount {
            name: name.into(),
            priority: (name == "school").then_some(1),
            quota,
        };
        (account, vec![ApiKey::new(key_text(name).as_bytes())])
    });
    let table = AccountTable::default().updated(accounts.collect());
    table.expect("no two accounts have a key")
}

/// Returns the routes of the tests with accounts.
pub(crate) fn routes_with_accounts() -> RouteTable {
    let mut table = routes(1);
    let mut open = route("/open/", "shop", Semantics::Idempotent);
    open.allows_anonymous = true;
    open.services.push(("depot".into(), 1));
    table.routes.push(open);
    table.accounts = Some(accounts());
    table
}

/// Returns a request for a path, from an account.
pub(crate) fn request(
    call: CallId,
    path: &str,
    account: Option<&str>,
    prompt_tokens: u32,
) -> RelayRequest {
    let is_model = path.starts_with("/stream") || path.starts_with("/resumable");
    let key = RequestKey(format!("key-{}", call.0).into());
    RelayRequest {
        call,
        request_id: format!("request-{}", call.0).into(),
        host: HOST.into(),
        path: path.into(),
        caller_timeout: None,
        receive_time: ms(0),
        token_counts: is_model.then_some(TokenCounts {
            prompt_tokens,
            max_output_tokens: 900,
            expected_output_tokens: None,
        }),
        shared_parts: if is_model {
            SharedParts::from(vec![PartId("aa".into())])
        } else {
            SharedParts::default()
        },
        request_keys: RequestKeys {
            own: key.clone(),
            of_any_caller: key,
        },
        credential: credential(account),
        resumption: None,
        hop: None,
    }
}

/// A relay in a random state.
pub(crate) struct RandomState {
    pub(crate) harness: RelayHarness,
    pub(crate) rng: fastrand::Rng,
    open: Vec<SendCommand>,
    last_call: u64,
    /// Most requests that are submitted in one step.
    burst: u32,
    /// Weight of refusals among the answers of endpoints, of 10.
    refusals: u32,
    /// Whether no connection to an endpoint opens any more.
    is_cut_off: bool,
}

impl RandomState {
    /// Creates the state of a seed.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = Self {
            harness: Self::site(seed, rng.bool()),
            burst: rng.u32(1..6),
            refusals: rng.u32(..8),
            is_cut_off: false,
            rng,
            open: Vec::new(),
            last_call: FIRST_CALL,
        };
        for step in 0..STEPS {
            // In the last third, some VMs reach no endpoint.
            state.is_cut_off = seed.is_multiple_of(7) && step > STEPS * 2 / 3;
            state.step();
        }
        state
    }

    fn site(seed: u64, has_peers: bool) -> RelayHarness {
        let mut harness = if has_peers {
            let mut harness = RelayHarness::with_own_address(seed, peer("own"));
            harness.apply(RelayEvent::SharedRecords {
                records: vec![
                    SharedRecord::HashKey(Some(RequestHashKey(7))),
                    peer("own"),
                    peer("other"),
                ],
                is_full: true,
            });
            harness
        } else {
            RelayHarness::unconfigured(seed)
        };
        // Some states have no configuration, and some no endpoints.
        if !seed.is_multiple_of(31) {
            harness.apply(RelayEvent::NewConfig(Arc::new(routes_with_accounts())));
        }
        harness.apply(store_read(true));
        if !seed.is_multiple_of(29) {
            harness.apply(RelayEvent::EndpointChanges(endpoints()));
            let depot = listed("depot-1", "depot", Role::Plain);
            let depot = EndpointListChange::Listed(depot);
            harness.apply(RelayEvent::EndpointChanges(vec![depot]));
        }
        harness
    }

    /// Returns a random path with the account of a request for it, if any.
    pub(crate) fn random_target(&mut self) -> (&'static str, Option<&'static str>) {
        let path = PATHS[self.rng.usize(..PATHS.len())];
        // Most of the requests have no quota to wait for.
        let account = if self.rng.u32(..10) < 7 {
            ACCOUNTS[0]
        } else {
            ACCOUNTS[self.rng.usize(1..ACCOUNTS.len())]
        };
        let has_account = path != "/open/1" && self.rng.u32(..20) > 0;
        (path, has_account.then_some(account))
    }

    /// Returns an id for a new call.
    pub(crate) fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    fn step(&mut self) {
        match self.rng.u32(..20) {
            0..7 => {
                for _ in 0..self.rng.u32(1..=self.burst) {
                    self.submit();
                }
            }
            7..14 => self.answer(),
            14..17 => {
                let time = ms(self.rng.u64(1..120));
                self.harness.advance(time);
            }
            17 => self.change_endpoint(),
            18 => {
                let is_reachable = self.rng.u32(..5) > 0;
                self.harness.apply(store_read(is_reachable));
            }
            _ => self.disturb(),
        }
        self.collect();
    }

    fn submit(&mut self) {
        let call = self.next_call();
        let (path, account) = self.random_target();
        let tokens = self.rng.u32(100..20_000);
        let request = request(call, path, account, tokens);
        self.harness
            .apply(RelayEvent::RequestReceived(Box::new(request)));
    }

    /// Takes the sent requests from the effects, and drops the others.
    fn collect(&mut self) {
        let sends = self.harness.take_sends();
        self.open.extend(sends);
        for effect in std::mem::take(&mut self.harness.effects) {
            match effect {
                RelayEffect::Close { exchange } => {
                    self.open.retain(|command| command.exchange != exchange);
                }
                RelayEffect::CheckEndpoint { instance, .. } => {
                    self.harness.apply(RelayEvent::EndpointChecked {
                        instance,
                        asked_at: self.harness.now,
                        answer: connect_answer(!self.is_cut_off),
                    });
                }
                _ => {}
            }
        }
    }

    /// Answers a random exchange.
    fn answer(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let nth = self.rng.usize(..self.open.len());
        let command = self.open.swap_remove(nth);
        let exchange = command.exchange;
        if self.is_cut_off {
            self.harness.deliver(exchange, UNREACHABLE);
            return;
        }
        if self.rng.u32(..10) < self.refusals {
            let event = match self.rng.u32(..9) {
                0 => CLOSED,
                1..3 => UNREACHABLE,
                _ => REFUSED,
            };
            if self.rng.u32(..12) == 0 {
                let rest = self.random_rest();
                self.harness
                    .deliver(exchange, ExchangeEvent::RestAsked { rest });
            }
            self.harness.deliver(exchange, event);
            return;
        }
        if self.rng.u32(..12) == 0 {
            let per_s = self.rng.f64() * 4.0 + 0.5;
            self.harness
                .deliver(exchange, ExchangeEvent::LimitNamed { per_s });
        }
        let event = match &command.work {
            Work::Reserve { .. } => ExchangeEvent::Reserved {
                reservation: format!("r{}", exchange.0).into(),
            },
            Work::Prefill => ExchangeEvent::PrefillDone { handle: "h".into() },
            Work::Plain | Work::Forward(_) => ExchangeEvent::Complete { status: 200 },
            Work::Decode { .. } => {
                self.harness.deliver(exchange, ExchangeEvent::StreamBegan);
                ExchangeEvent::Complete { status: 200 }
            }
        };
        self.harness.deliver(exchange, event);
    }

    /// Returns a rest that requests may wait for, or a longer one.
    fn random_rest(&mut self) -> Duration {
        let longest = if self.rng.bool() { 60 } else { 3_000 };
        ms(self.rng.u64(20..longest))
    }

    fn random_instance(&mut self) -> (&'static str, &'static str, Role) {
        let all = [
            ("shop-1", "shop", Role::Plain),
            ("shop-2", "shop", Role::Plain),
            ("prefill-1", "model", Role::Prefill),
            ("decode-1", "model", Role::Decode),
            ("decode-2", "model", Role::Decode),
        ];
        all[self.rng.usize(..all.len())]
    }

    fn change_endpoint(&mut self) {
        let (instance, service, role) = self.random_instance();
        let change = match self.rng.u32(..4) {
            0 => EndpointListChange::Removed {
                instance: instance.into(),
            },
            1 => EndpointListChange::Listed(ListedEndpoint {
                is_leaving: true,
                ..listed(instance, service, role)
            }),
            _ => EndpointListChange::Listed(ListedEndpoint {
                started_unix_ms: Some(self.rng.u64(1..9)),
                ..listed(instance, service, role)
            }),
        };
        self.harness
            .apply(RelayEvent::EndpointChanges(vec![change]));
    }

    fn disturb(&mut self) {
        let (instance, _, _) = self.random_instance();
        let instance: Name = instance.into();
        let event = match self.rng.u32(..3) {
            0 => RelayEvent::ControlRest {
                instance,
                rest: self.random_rest(),
            },
            1 => RelayEvent::ControlLimit {
                instance,
                per_s: self.rng.f64() * 4.0 + 0.5,
            },
            _ => return,
        };
        self.harness.apply(event);
    }
}

/// Returns the record of a VM that takes requests of others.
pub(crate) fn peer(vm: &str) -> SharedRecord {
    let port = 7_000 + vm.bytes().map(u16::from).sum::<u16>();
    SharedRecord::Peer {
        vm: vm.into(),
        peer: Some(PeerAddress {
            address: ([10, 0, 0, 2], port).into(),
            data_centre: "a".into(),
            strength: VmStrength::default(),
        }),
    }
}
