//! Client accounts and their API keys in the relay.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_core::CallId;
use arbutusfall_core::Problem;
use arbutusfall_core::ProblemKind;
use arbutusfall_core::relay::AccountTable;
use arbutusfall_core::relay::AccountTableError;
use arbutusfall_core::relay::ApiKey;
use arbutusfall_core::relay::ClientAccount;
use arbutusfall_core::relay::Credential;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::Hop;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::RequestKey;
use arbutusfall_core::relay::RouteTable;
use arbutusfall_core::relay::SentAccount;
use arbutusfall_core::relay::Work;

use crate::relay_harness::CLOSED;
use crate::relay_harness::REFUSED;
use crate::relay_harness::RelayHarness;
use crate::relay_harness::ms;
use crate::relay_harness::routes;

/// Accounts of the largest sites.
const MANY_ACCOUNTS: u64 = 27_000;

fn key(text: &str) -> ApiKey {
    ApiKey::new(text.as_bytes())
}

fn account(name: &str, priority: Option<u8>, keys: &[&str]) -> (ClientAccount, Vec<ApiKey>) {
    let account = ClientAccount {
        name: name.into(),
        priority,
        quota: None,
    };
    (account, keys.iter().map(|text| key(text)).collect())
}

fn table(accounts: Vec<(ClientAccount, Vec<ApiKey>)>) -> AccountTable {
    AccountTable::default().updated(accounts).unwrap()
}

fn routes_with(version: u64, accounts: Vec<(ClientAccount, Vec<ApiKey>)>) -> RouteTable {
    RouteTable {
        accounts: Some(table(accounts)),
        ..routes(version)
    }
}

/// Returns a relay with an account `school` that has the keys `a` and `b`.
fn harness() -> RelayHarness {
    let mut harness = RelayHarness::configured(1);
    put_in_force(&mut harness, 2, &["a", "b"]);
    harness
}

fn put_in_force(harness: &mut RelayHarness, version: u64, keys: &[&str]) {
    let accounts = vec![
        account("school", Some(2), keys),
        account("shop", None, &["s"]),
    ];
    let routes = routes_with(version, accounts);
    harness.apply(RelayEvent::NewConfig(Arc::new(routes)));
}

fn unauthorized(call: CallId) -> RelayEffect {
    RelayEffect::AnswerProblem {
        call,
        problem: Problem::new(ProblemKind::Unauthorized),
    }
}

fn named(name: &str) -> SentAccount {
    SentAccount::Named(name.into())
}

/// Returns the reasons of the refusals so far.
fn refusals(harness: &RelayHarness) -> Vec<&'static str> {
    let notices = harness.effects.iter().filter_map(|effect| match effect {
        RelayEffect::Note(RelayNotice::GivenUp { reason, .. }) => Some(*reason),
        _ => None,
    });
    notices.collect()
}

// Guards against requests that are served without a key of an account.
#[test]
fn request_without_a_known_key_is_refused() {
    for (credential, reason) in [
        (Credential::Missing, "key_missing"),
        (Credential::Key(key("c")), "key_unknown"),
    ] {
        let mut harness = harness();
        harness.credential = credential;
        for path in ["/pay/1", "/look/1", "/stream/1"] {
            harness.effects.clear();
            let call = harness.submit(path);
            assert_eq!(harness.final_effect(call), Some(&unauthorized(call)));
            assert_eq!(refusals(&harness), [reason]);
            assert_eq!(harness.take_sends(), []);
        }
    }
}

// Guards against a refusal that hides that no route or no configuration exists.
#[test]
fn unknown_path_and_missing_configuration_are_not_unauthorized() {
    let mut configured = harness();
    let call = configured.submit("/nowhere/1");
    let problem = Problem::new(ProblemKind::NoRoute);
    let expected = RelayEffect::AnswerProblem { call, problem };
    assert_eq!(configured.final_effect(call), Some(&expected));
    let mut unconfigured = RelayHarness::unconfigured(1);
    let call = unconfigured.submit("/pay/1");
    let Some(RelayEffect::AnswerProblem { problem, .. }) = unconfigured.final_effect(call) else {
        panic!("not refused");
    };
    assert_eq!(problem.kind, ProblemKind::Unavailable);
}

// Guards against a stage of a model request that has no account or still has the caller's credential.
#[test]
fn every_stage_names_the_account() {
    let mut harness = harness();
    harness.credential = Credential::Key(key("b"));
    harness.submit("/pay/1");
    assert_eq!(harness.take_only_send().account, named("school"));
    harness.submit("/stream/1");
    let reserve = harness.take_only_send();
    let reservation = "reservation".into();
    harness.deliver(reserve.exchange, ExchangeEvent::Reserved { reservation });
    let prefill = harness.take_only_send();
    assert_eq!(
        (prefill.work, prefill.account),
        (Work::Prefill, named("school"))
    );
    let handle = "handle".into();
    harness.deliver(prefill.exchange, ExchangeEvent::PrefillDone { handle });
    assert_eq!(harness.take_only_send().account, named("school"));
}

// Guards against an anonymous route that needs a key, or that tells endpoints who called.
#[test]
fn anonymous_route_serves_without_an_account() {
    for credential in [Credential::Missing, Credential::Key(key("a"))] {
        let mut harness = harness();
        let mut routes = routes_with(3, vec![account("school", None, &["a"])]);
        routes.routes[0].allows_anonymous = true;
        harness.apply(RelayEvent::NewConfig(Arc::new(routes)));
        harness.credential = credential;
        harness.submit("/pay/1");
        assert_eq!(harness.take_only_send().account, SentAccount::Removed);
    }
}

// Guards against a change for deployments without accounts.
#[test]
fn configuration_without_accounts_changes_nothing() {
    let mut harness = RelayHarness::configured(1);
    harness.submit("/pay/1");
    assert_eq!(harness.take_only_send().account, SentAccount::Unchanged);
}

// Guards against an empty list of accounts that admits everyone.
#[test]
fn no_key_is_known_without_any_account() {
    let mut harness = RelayHarness::configured(1);
    let routes = routes_with(2, Vec::new());
    harness.apply(RelayEvent::NewConfig(Arc::new(routes)));
    let call = harness.submit("/pay/1");
    assert_eq!(harness.final_effect(call), Some(&unauthorized(call)));
}

// Guards against a revoked key that is served, and a new one that is not.
#[test]
fn keys_change_with_the_version() {
    let mut harness = harness();
    put_in_force(&mut harness, 3, &["b", "c"]);
    for (text, is_served) in [("a", false), ("b", true), ("c", true)] {
        harness.credential = Credential::Key(key(text));
        let call = harness.submit("/pay/1");
        assert_eq!(harness.take_sends().len(), usize::from(is_served), "{text}");
        let refused = unauthorized(call);
        assert_eq!(harness.final_effect(call), (!is_served).then_some(&refused));
    }
}

/// Fills the queue for memory: every engine refuses reservations.
fn submit_waiting_stream(harness: &mut RelayHarness) -> CallId {
    let call = harness.submit("/stream/1");
    while let Some(reserve) = harness.take_sends().pop() {
        harness.deliver(reserve.exchange, REFUSED);
    }
    assert_eq!(harness.final_effect(call), None, "it waits");
    call
}

// Guards against a waiting request that is sent although its key was revoked before.
#[test]
fn waiting_request_is_refused_when_its_key_is_revoked() {
    let mut harness = harness();
    harness.credential = Credential::Key(key("a"));
    let call = submit_waiting_stream(&mut harness);
    put_in_force(&mut harness, 3, &["b"]);
    assert_eq!(harness.final_effect(call), Some(&unauthorized(call)));
    assert_eq!(refusals(&harness), ["key_revoked"]);
    harness.advance(Duration::from_secs(2));
    assert_eq!(harness.take_sends(), []);
}

// Guards against a waiting request that ends although its key is still valid.
#[test]
fn waiting_request_goes_on_while_its_key_is_valid() {
    let mut harness = harness();
    harness.credential = Credential::Key(key("a"));
    let call = submit_waiting_stream(&mut harness);
    put_in_force(&mut harness, 3, &["a"]);
    assert_eq!(harness.final_effect(call), None);
}

// Guards against a stream or a request at an endpoint that breaks off with its key.
#[test]
fn request_at_an_endpoint_goes_on_when_its_key_is_revoked() {
    let mut harness = harness();
    harness.credential = Credential::Key(key("a"));
    let (stream, decode) = harness.start_stream("/stream/1");
    let plain = harness.submit("/pay/1");
    let sent = harness.take_only_send();
    put_in_force(&mut harness, 3, &[]);
    assert_eq!(harness.final_effect(stream), None);
    assert_eq!(harness.final_effect(plain), None);
    harness.deliver(decode.exchange, ExchangeEvent::Complete { status: 200 });
    harness.deliver(sent.exchange, ExchangeEvent::Complete { status: 200 });
    assert!(
        harness
            .effects
            .contains(&RelayEffect::Finish { call: stream })
    );
    assert_eq!(refusals(&harness), [] as [&str; 0]);
}

fn hop(account: SentAccount) -> Hop {
    Hop {
        from_vm: "other".into(),
        service: "shop".into(),
        config_version: 1,
        attempts: 0,
        endpoint_ends: 0,
        stream_version: None,
        account,
    }
}

// Guards against a second check at the VM that a request is forwarded to, which has no key, and against a missing one if the first VM
// has made none.
#[test]
fn account_that_another_vm_states_is_not_checked_again() {
    for (stated, sent) in [
        (named("unknown-here"), Some(named("unknown-here"))),
        (SentAccount::Removed, Some(SentAccount::Removed)),
        (SentAccount::Unchanged, None),
    ] {
        let mut harness = harness();
        let call = harness.submit_forwarded("/pay/1", hop(stated), ms(1_500), ms(0));
        let sends = harness.take_sends();
        assert_eq!(sends.first().map(|send| &send.account), sent.as_ref());
        let refused = unauthorized(call);
        assert_eq!(
            harness.final_effect(call),
            sent.is_none().then_some(&refused)
        );
    }
}

// Guards against the order of arrival among requests of different priority.
#[test]
fn most_urgent_waiting_request_goes_first() {
    let mut harness = harness();
    harness.credential = Credential::Key(key("s"));
    submit_waiting_stream(&mut harness);
    harness.credential = Credential::Key(key("a"));
    let urgent = submit_waiting_stream(&mut harness);
    harness.advance(ms(600));
    let first = harness.take_sends().into_iter().next();
    assert_eq!(first.map(|send| send.call), Some(urgent));
}

// Guards against a key of one account that is taken for another's.
#[test]
fn names_and_keys_are_of_one_account() {
    let twice = vec![account("a", None, &["1"]), account("a", None, &["2"])];
    let error = AccountTableError::DuplicateName("a".into());
    assert_eq!(AccountTable::default().updated(twice), Err(error));
    let shared = vec![account("a", None, &["1"]), account("b", None, &["1"])];
    let error = AccountTableError::DuplicateKey("b".into());
    assert_eq!(AccountTable::default().updated(shared), Err(error));
}

// Guards against a key that is lost, or kept by its former account, when it moves to another account.
#[test]
fn key_may_move_between_accounts() {
    let first = table(vec![
        account("a", None, &["1", "2"]),
        account("b", None, &["3"]),
    ]);
    let accounts = vec![account("a", None, &["3"]), account("b", None, &["1"])];
    let next = first.updated(accounts).unwrap();
    let owner = |text: &str| {
        next.find(&key(text))
            .map(|account| account.name.to_string())
    };
    assert_eq!(owner("1").as_deref(), Some("b"));
    assert_eq!(owner("2"), None);
    assert_eq!(owner("3").as_deref(), Some("a"));
}

// Guards against keys in log lines.
#[test]
fn debug_output_shows_no_key_or_digest() {
    let shown = format!("{:?}", Credential::Key(key("secret")));
    assert_eq!(shown, "Key(ApiKey(..))");
}

fn many_accounts() -> Vec<(ClientAccount, Vec<ApiKey>)> {
    let accounts = (0..MANY_ACCOUNTS).map(|number| {
        let key = format!("key-{number}");
        account(&format!("account-{number}"), None, &[&key])
    });
    accounts.collect()
}

// Guards against versions that each hold a copy of all accounts.
#[test]
fn versions_share_the_accounts_that_do_not_differ() {
    let first = table(many_accounts());
    let mut accounts = many_accounts();
    accounts[7].1 = vec![key("new")];
    let second = first.updated(accounts).unwrap();
    assert_eq!((first.len(), second.len()), (27_000, 27_000));
    let shared = (0..MANY_ACCOUNTS).filter(|number| {
        let key = key(&format!("key-{number}"));
        let both = first.find(&key).zip(second.find(&key));
        both.is_some_and(|(first, second)| Arc::ptr_eq(first, second))
    });
    assert_eq!(shared.count(), 26_999);
}

// Guards against lookups whose time grows with the number of accounts. The bound is generous: the target is 1 µs.
#[test]
fn lookup_among_many_accounts_is_fast() {
    let table = table(many_accounts());
    let keys: Vec<ApiKey> = (0..MANY_ACCOUNTS)
        .map(|number| key(&format!("key-{number}")))
        .collect();
    let started = Instant::now();
    let found = keys.iter().filter(|key| table.find(key).is_some());
    assert_eq!(found.count(), keys.len());
    let mean = started.elapsed() / u32::try_from(keys.len()).unwrap();
    assert!(mean < Duration::from_micros(10), "{mean:?}");
}

// Guards against a request that waits at the VM to which it was forwarded and is sent although all keys of its account were revoked.
#[test]
fn forwarded_request_that_waits_is_refused_when_its_account_loses_all_keys() {
    let mut harness = harness();
    let mut hop = hop(named("school"));
    hop.service = "model".into();
    let call = harness.submit_forwarded("/stream/1", hop, ms(14_000), ms(0));
    while let Some(reserve) = harness.take_sends().pop() {
        harness.deliver(reserve.exchange, REFUSED);
    }
    put_in_force(&mut harness, 3, &["c"]);
    assert_eq!(harness.final_effect(call), None);
    put_in_force(&mut harness, 4, &[]);
    assert_eq!(harness.final_effect(call), Some(&unauthorized(call)));
}

/// Sends a request whose endpoint fails it; returns the key by which its repeats are known.
fn request_key_of(credential: Credential, hop: Option<Hop>) -> Option<RequestKey> {
    let mut harness = harness();
    harness.repeats_by_path = true;
    harness.credential = credential;
    match hop {
        Some(hop) => harness.submit_forwarded("/pay/1", hop, ms(1_500), ms(0)),
        None => harness.submit("/pay/1"),
    };
    let sent = harness.take_only_send();
    harness.deliver(sent.exchange, CLOSED);
    harness.effects.iter().find_map(|effect| match effect {
        RelayEffect::Note(RelayNotice::ExchangeFailed { request_key, .. }) => request_key.clone(),
        _ => None,
    })
}

// Guards against repeats of a crashing request that are not recognised because they have another key of the account, or came through
// another VM, and against callers of different accounts that are taken for one.
#[test]
fn repeats_of_a_request_are_those_of_its_account() {
    let of_key = |text: &str| request_key_of(Credential::Key(key(text)), None);
    let first = of_key("a");
    assert!(first.is_some());
    assert_eq!(of_key("b"), first);
    assert_ne!(of_key("s"), first);
    let through_other = request_key_of(Credential::Missing, Some(hop(named("school"))));
    assert_eq!(through_other, first);
}
