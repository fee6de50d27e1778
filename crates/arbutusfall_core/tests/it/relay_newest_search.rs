//! VMs without facts: whom they ask for all newest records, when they read the store, and what reading it costs.

use std::net::SocketAddr;
use std::time::Duration;

use arbutusfall_core::relay::FactSource;
use arbutusfall_core::relay::NewestSearch;
use arbutusfall_core::relay::NextNewest;
use arbutusfall_core::relay::TailCost;
use arbutusfall_core::relay::VmStrength;
use arbutusfall_core::relay::max_passed_bytes;
use arbutusfall_wire::Name;

use crate::relay_facts::peer_address;
use crate::relay_facts::strength;
use crate::relay_harness::ms;

fn vms(count: u16) -> Vec<(Name, SocketAddr)> {
    let vm = |number: u16| {
        let name = format!("front-{number}").as_str().into();
        (name, ([10, 0, 0, 1], 1_000 + number).into())
    };
    (0..count).map(vm).collect()
}

/// Runs a search whose questions fail; returns when it ends and the number of questions.
fn run_in_vain(random: f64, is_serving: bool, has_answered: bool) -> (Duration, u32) {
    let mut search = NewestSearch::new(vms(2), ms(0), random, is_serving);
    let mut now = ms(0);
    let mut questions = 0;
    loop {
        match search.next(now) {
            NextNewest::Ask { vm, .. } => {
                questions += 1;
                search.on_refused(&vm, has_answered, now);
            }
            NextNewest::Wait { until } => now = until,
            NextNewest::ReadStore => return (now, questions),
        }
    }
}

// Guards against a VM that waits without a bound for others, and against VMs that all read the store at the same moment.
#[test]
fn search_ends_after_a_bounded_time_that_differs_between_vms() {
    for (has_answered, least, most) in [(false, 3_000, 4_200), (true, 4_000, 5_600)] {
        let (first, questions) = run_in_vain(0.0, false, has_answered);
        let (last, _) = run_in_vain(1.0, false, has_answered);
        assert!(
            first >= ms(least) && last <= ms(most),
            "{first:?} to {last:?}"
        );
        assert!(last - first >= ms(1_000));
        assert!(questions <= 20, "{questions} questions");
    }
    let (end, _) = run_in_vain(1.0, true, true);
    assert!(end < ms(600), "a VM that serves waits for {end:?}");
}

// Guards against a VM without stronger ones that waits before it reads the store.
#[test]
fn vm_without_stronger_ones_reads_the_store_at_once() {
    let search = NewestSearch::new(Vec::new(), ms(0), 0.5, false);
    assert_eq!(search.next(ms(0)), NextNewest::ReadStore);
}

/// Returns the VMs that a VM of this strength asks.
fn asked(vm: &str, own: VmStrength) -> Vec<Name> {
    let mut source = FactSource::new(vm.into(), "plovdiv-a".into(), own);
    for (number, strength) in [
        strength(500, 200),
        strength(500, 200),
        strength(300, 25),
        strength(90, 10),
        VmStrength::default(),
    ]
    .into_iter()
    .enumerate()
    {
        let mut address = peer_address(number, "plovdiv-a");
        address.strength = strength;
        source.on_peer(&format!("front-{number}").as_str().into(), Some(&address));
    }
    let stronger = source.stronger().into_iter();
    stronger.map(|(vm, _)| vm).collect()
}

// Guards against VMs that wait for each other, strong VMs that wait for weak ones, and one strong VM that serves all.
#[test]
fn only_vms_of_a_stronger_class_are_asked_and_all_of_them() {
    assert!(asked("own", strength(500, 200)).is_empty());
    assert!(asked("own", VmStrength::default()).is_empty());
    assert_eq!(asked("own", strength(300, 25)).len(), 2);
    let mut first = [0; 2];
    for number in 0..100 {
        let order = asked(&format!("own-{number}"), strength(90, 10));
        assert_eq!(order.len(), 3);
        assert_eq!(&*order[2], "front-2");
        first[usize::from(&*order[0] == "front-1")] += 1;
    }
    assert!(first.iter().all(|count| *count > 30), "{first:?}");
}

// Guards against news that takes the whole link of a VM with many followers, and against strong VMs that pass on no more than weak ones.
#[test]
fn limit_of_passed_news_follows_the_link() {
    assert_eq!(max_passed_bytes(None, 1), 16 * 1024);
    assert_eq!(max_passed_bytes(Some(10), 60), 16 * 1024);
    let strong = max_passed_bytes(Some(200), 60);
    assert!((200_000..220_000).contains(&strong), "{strong}");
    assert_eq!(max_passed_bytes(Some(10_000), 1), 256 * 1024);
}

// Guards against tails that never arrive because they grow while they time out, and against VMs that read a short list again and again.
#[test]
fn long_tail_is_not_read_on_over_a_narrow_link() {
    let second = Duration::from_secs(1);
    let mut narrow = TailCost::new(Some(10));
    narrow.on_newest(750_000, ms(1_200));
    assert!(!narrow.is_too_long(second, second));
    assert!(narrow.is_too_long(second * 2, second));
    let mut wide = TailCost::new(Some(200));
    wide.on_newest(750_000, ms(1_200));
    assert!(!wide.is_too_long(second * 10, second));
    let mut short = TailCost::new(Some(10));
    short.on_newest(20_000, ms(1_200));
    assert!(!short.is_too_long(second * 10, second));
    let mut unknown = TailCost::new(None);
    unknown.on_newest(750_000, ms(1_200));
    assert!(!unknown.is_too_long(second * 100, second));
}

// Guards against a rate that stays at its initial estimate.
#[test]
fn rate_of_a_tail_follows_what_is_read() {
    let second = Duration::from_secs(1);
    let mut cost = TailCost::new(Some(10));
    cost.on_newest(7_500_000, ms(1_200));
    for _ in 0..30 {
        cost.on_tail(1_000, second);
    }
    assert!(!cost.is_too_long(second * 5, second));
}
