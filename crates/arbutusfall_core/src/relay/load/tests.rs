//! Tests of the limiter and the queue of a plain service.

use std::time::Duration;

use crate::CallId;
use crate::relay::load::load_queue::LoadQueue;
use crate::relay::load::service_limiter::ServiceLimiter;

const TARGET: Duration = Duration::from_millis(300);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a limiter that has had 10 answers a second of 80 ms until 5 s.
fn used() -> ServiceLimiter {
    let mut limiter = ServiceLimiter::default();
    for at in (100..=5_000).step_by(100) {
        limiter.on_answered(ms(80), TARGET, ms(at));
    }
    limiter
}

/// Returns a limiter whose limit began at 5 s.
fn limited() -> ServiceLimiter {
    let mut limiter = used();
    assert!(!limiter.on_rejected(&"a".into(), false, ms(5_000)));
    assert!(limiter.on_rejected(&"b".into(), false, ms(5_000)));
    limiter
}

// Guards against a limit on a service whose endpoints do not reject, however slow they are.
#[test]
fn late_answers_alone_begin_no_limit() {
    let mut limiter = used();
    limiter.on_answered(ms(900), TARGET, ms(5_100));
    assert_eq!(limiter.rate_per_s(), None);
    assert!(limiter.allows(1_000, TARGET));
}

// Guards against a limit on a service of which one endpoint has failed.
#[test]
fn one_endpoint_of_several_begins_no_limit() {
    let mut limiter = used();
    for at in 0..20 {
        assert!(!limiter.on_rejected(&"a".into(), false, ms(5_000 + at * 50)));
    }
    assert!(!limiter.on_rejected(&"b".into(), false, ms(8_000)));
    assert_eq!(limiter.rate_per_s(), None);
}

// Guards against a limit on a service whose endpoints crash, and against resets that a limit ignores.
#[test]
fn resets_begin_no_limit_and_lower_it() {
    let mut limiter = used();
    for at in 0..20 {
        limiter.on_reset(ms(5_000 + at * 50));
    }
    assert_eq!(limiter.rate_per_s(), None);

    let mut limiter = limited();
    let begun = limiter.rate_per_s().unwrap();
    limiter.on_reset(ms(5_500));
    assert!(limiter.rate_per_s().unwrap() < begun * 0.8);
}

// Guards against a limit that does not follow from the answers.
#[test]
fn limit_begins_below_the_rate_of_answers_and_falls_with_rejections() {
    let mut limiter = limited();
    let begun = limiter.rate_per_s().unwrap();
    assert!((6.0..8.0).contains(&begun), "{begun}");
    limiter.on_rejected(&"a".into(), false, ms(5_100));
    assert!(limiter.rate_per_s().unwrap() >= begun);
    limiter.on_rejected(&"a".into(), false, ms(5_600));
    assert!(limiter.rate_per_s().unwrap() < begun * 0.8);
}

// Guards against more requests in a short time than the limit allows, and against more in flight.
#[test]
fn limit_allows_its_rate_and_few_in_flight() {
    let mut limiter = limited();
    assert!(!limiter.allows(0, TARGET));
    let wait = limiter.wait_for(1);
    limiter.advance(ms(5_000) + wait + ms(1));
    assert!(limiter.allows(0, TARGET));
    assert!(!limiter.allows(20, TARGET));
    limiter.take_token();
    assert!(!limiter.allows(0, TARGET));
}

// Guards against a limit that lasts when rejections have ended.
#[test]
fn limit_is_lifted_within_the_stated_time() {
    let mut limiter = limited();
    assert_eq!(limiter.advance(ms(7_999)), None);
    assert_eq!(limiter.advance(ms(8_000)), Some(ms(3_000)));
    assert_eq!(limiter.rate_per_s(), None);

    let mut limiter = limited();
    for at in 5..15 {
        limiter.on_answered(ms(290), TARGET, ms(at * 1_000));
        assert!(limiter.rate_per_s().is_some(), "{at}");
    }
    limiter.on_answered(ms(290), TARGET, ms(15_000));
    assert_eq!(limiter.rate_per_s(), None);
}

// Guards against an account with many requests that keeps others waiting, and against priorities that have no effect.
#[test]
fn queue_goes_by_priority_and_turns_of_accounts() {
    let mut queue = LoadQueue::default();
    for id in 1..=3 {
        queue.join(CallId(id), 4, Some("many".into()));
    }
    queue.join(CallId(4), 4, Some("few".into()));
    queue.join(CallId(5), 4, None);
    queue.join(CallId(6), 0, Some("urgent".into()));
    queue.join(CallId(6), 0, Some("urgent".into()));
    let order: Vec<u64> = queue.order().into_iter().map(|id| id.0).collect();
    assert_eq!(order, [6, 1, 4, 5, 2, 3]);
    queue.remove(CallId(4));
    let mut sent = Vec::new();
    while let Some(id) = queue.pop() {
        sent.push(id.0);
    }
    assert_eq!(sent, [6, 1, 5, 2, 3]);
    assert_eq!(queue.len(), 0);
}
