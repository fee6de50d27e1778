//! The lease for orders, and how many engines prefill.

use std::time::Duration;

use arbutusfall_core::config::Role;
use arbutusfall_core::relay::DirectoryChange;
use arbutusfall_core::relay::ExchangeEvent;
use arbutusfall_core::relay::LeaseAnswer;
use arbutusfall_core::relay::RelayEffect;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RoleOutcome;

use crate::relay_world::LEASE;
use crate::relay_world::World;
use crate::relay_world::listed;
use crate::relay_world::ms;

/// Time after the first prefill from which the use of engines is known.
const AVERAGED: Duration = Duration::from_secs(9);

/// Role orders since the last look: role and token.
fn take_orders(world: &mut World) -> Vec<(Role, u64)> {
    let effects = std::mem::take(&mut world.effects);
    let orders = effects.into_iter().filter_map(|effect| match effect {
        RelayEffect::OrderRole { role, token, .. } => Some((role, token)),
        _ => None,
    });
    orders.collect()
}

/// Lets time pass while the store answers each question about the lease the same way.
fn pass_with_lease(world: &mut World, time: Duration, answer: LeaseAnswer) {
    let until = world.now + time;
    while world.now < until {
        world.pass(ms(100));
        let asks = |effect: &RelayEffect| matches!(effect, RelayEffect::RenewLease { .. });
        if world.effects.iter().any(asks) {
            world.effects.retain(|effect| !asks(effect));
            world.apply(RelayEvent::Lease(answer));
        }
    }
}

/// Streams that use much decode memory and little prefill, as prompts of 5,000 tokens with answers of as many do.
fn use_decode(world: &mut World, streams: usize) {
    for index in 0..streams {
        world.begin_stream(&format!("/album/{index}"));
        world.now += ms(100);
    }
}

/// A relay that knows so many prefill engines and decode engines, two of each at least.
fn world_with(prefill: usize, decode: usize) -> World {
    let mut world = World::start(1);
    let engine =
        |name: &str, index: usize, role| listed(&format!("{name}-{index}"), "captions", role);
    let prefill = (3..=prefill).map(|index| engine("prefill", index, Role::Prefill));
    let decode = (3..=decode).map(|index| engine("decode", index, Role::Decode));
    let more = prefill.chain(decode).map(DirectoryChange::Listed);
    world.apply(RelayEvent::Directory(more.collect()));
    world
}

fn world_with_idle_prefill() -> World {
    world_with(5, 2)
}

#[test]
fn holder_turns_idle_prefill_engines_into_decode_engines() {
    let mut world = world_with_idle_prefill();
    pass_with_lease(&mut world, LEASE, LeaseAnswer::Held { token: 7 });
    use_decode(&mut world, 10);
    pass_with_lease(&mut world, AVERAGED, LeaseAnswer::Held { token: 7 });
    assert_eq!(take_orders(&mut world), vec![(Role::Decode, 7)]);
}

/// Many engines, a third of which prefill while hardly any prefill is needed: the surplus changes its role at once, a
/// quarter of all engines at the most, and some prefill engines stay.
#[test]
fn many_idle_prefill_engines_change_together() {
    let mut world = world_with(19, 37);
    pass_with_lease(&mut world, LEASE, LeaseAnswer::Held { token: 7 });
    use_decode(&mut world, 10);
    pass_with_lease(&mut world, ms(4_000), LeaseAnswer::Held { token: 7 });
    let orders = take_orders(&mut world);
    assert!((8..=14).contains(&orders.len()), "{orders:?}");
    assert!(orders.iter().all(|order| *order == (Role::Decode, 7)));
}

/// Load that begins: prefills come first, and streams of seconds end only later. Roles that fit the load stay.
#[test]
fn start_of_a_load_changes_no_role_that_fits_it() {
    let mut world = world_with(2, 7);
    pass_with_lease(&mut world, LEASE, LeaseAnswer::Held { token: 7 });
    let mut streams = std::collections::VecDeque::new();
    for index in 0..60 {
        world.ask(&format!("/album/{index}"));
        let decode = world.bring_to_decode_in(ms(94));
        world.tell(decode.exchange, ExchangeEvent::StreamBegan);
        streams.push_back((world.now, decode.exchange));
        pass_with_lease(&mut world, ms(150), LeaseAnswer::Held { token: 7 });
        while let Some((began_at, exchange)) = streams.front().copied() {
            if world.now < began_at + ms(3_400) {
                break;
            }
            streams.pop_front();
            world.tell(exchange, ExchangeEvent::Complete { status: 200 });
        }
        assert!(take_orders(&mut world).is_empty(), "after {index} requests");
    }
}

#[test]
fn only_the_holder_gives_orders() {
    let mut world = world_with_idle_prefill();
    pass_with_lease(&mut world, LEASE, LeaseAnswer::NotHeld { token: 7 });
    use_decode(&mut world, 10);
    pass_with_lease(&mut world, ms(10_000), LeaseAnswer::NotHeld { token: 7 });
    assert!(take_orders(&mut world).is_empty());
}

#[test]
fn new_holder_waits_for_a_lifetime() {
    let mut world = world_with_idle_prefill();
    use_decode(&mut world, 10);
    pass_with_lease(&mut world, AVERAGED, LeaseAnswer::NotHeld { token: 6 });
    pass_with_lease(&mut world, ms(3_000), LeaseAnswer::Held { token: 7 });
    assert!(take_orders(&mut world).is_empty());
    pass_with_lease(&mut world, ms(2_000), LeaseAnswer::Held { token: 7 });
    assert_eq!(take_orders(&mut world).len(), 1);
}

#[test]
fn holder_without_the_store_gives_no_orders() {
    let mut world = world_with_idle_prefill();
    pass_with_lease(
        &mut world,
        LEASE + ms(1_000),
        LeaseAnswer::Held { token: 7 },
    );
    pass_with_lease(&mut world, ms(2_000), LeaseAnswer::Failed);
    use_decode(&mut world, 10);
    pass_with_lease(&mut world, ms(10_000), LeaseAnswer::Failed);
    assert!(take_orders(&mut world).is_empty());
}

#[test]
fn holder_that_was_frozen_past_its_lease_waits_again() {
    let mut world = world_with_idle_prefill();
    use_decode(&mut world, 10);
    pass_with_lease(&mut world, AVERAGED, LeaseAnswer::NotHeld { token: 6 });
    pass_with_lease(&mut world, ms(2_500), LeaseAnswer::Held { token: 7 });
    // No tick is handled while the VM stands still.
    world.now += ms(5_000);
    world.effects.clear();
    pass_with_lease(&mut world, ms(2_500), LeaseAnswer::Held { token: 9 });
    assert!(take_orders(&mut world).is_empty());
    pass_with_lease(&mut world, ms(2_000), LeaseAnswer::Held { token: 9 });
    assert_eq!(take_orders(&mut world), vec![(Role::Decode, 9)]);
}

#[test]
fn holder_whose_token_is_old_stops_until_it_has_a_newer_one() {
    let mut world = world_with_idle_prefill();
    pass_with_lease(&mut world, LEASE + ms(500), LeaseAnswer::Held { token: 7 });
    world.apply(RelayEvent::RoleOutcome {
        instance: "prefill-1".into(),
        outcome: RoleOutcome::OldToken,
    });
    use_decode(&mut world, 10);
    pass_with_lease(&mut world, AVERAGED, LeaseAnswer::Held { token: 7 });
    assert!(take_orders(&mut world).is_empty());
    pass_with_lease(&mut world, ms(2_000), LeaseAnswer::Held { token: 8 });
    assert_eq!(take_orders(&mut world), vec![(Role::Decode, 8)]);
}

#[test]
fn last_prefill_engine_keeps_its_role() {
    let mut world = World::start(1);
    let gone = ["prefill-2"].map(|instance| {
        let instance = instance.into();
        DirectoryChange::Removed { instance }
    });
    world.apply(RelayEvent::Directory(gone.into()));
    pass_with_lease(&mut world, LEASE, LeaseAnswer::Held { token: 7 });
    use_decode(&mut world, 12);
    pass_with_lease(&mut world, ms(10_000), LeaseAnswer::Held { token: 7 });
    assert!(take_orders(&mut world).is_empty());
}

#[test]
fn prefill_that_takes_long_gets_more_engines() {
    let mut world = world_with(2, 8);
    pass_with_lease(&mut world, LEASE, LeaseAnswer::Held { token: 7 });
    for index in 0..30 {
        world.ask(&format!("/album/{index}"));
        let decode = world.bring_to_decode_in(ms(500));
        world.tell(decode.exchange, ExchangeEvent::StreamBegan);
        world.tell(decode.exchange, ExchangeEvent::Complete { status: 200 });
        world.apply(RelayEvent::Lease(LeaseAnswer::Held { token: 7 }));
    }
    let orders = take_orders(&mut world);
    assert!(orders.contains(&(Role::Prefill, 7)), "{orders:?}");
}

/// Streams of one VM are a small sample: a split that is off by less than the sample tells stays as it is.
#[test]
fn split_that_is_nearly_right_stays() {
    let mut world = world_with(8, 38);
    pass_with_lease(&mut world, LEASE, LeaseAnswer::Held { token: 7 });
    for index in 0..40 {
        // Answers of five seconds and, by turns, of four.
        let streams_for = if index / 8 % 2 == 0 { 5_000 } else { 4_000 };
        world.ask(&format!("/album/{index}"));
        let decode = world.bring_to_decode_in(ms(94));
        world.tell(decode.exchange, ExchangeEvent::StreamBegan);
        pass_with_lease(&mut world, ms(streams_for), LeaseAnswer::Held { token: 7 });
        world.tell(decode.exchange, ExchangeEvent::Complete { status: 200 });
        let orders = take_orders(&mut world);
        let to_prefill = orders.iter().filter(|(role, _)| *role == Role::Prefill);
        assert_eq!(to_prefill.count(), 0, "after {index} requests");
    }
}
