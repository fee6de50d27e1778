//! Decisions on memory for bodies, without a network.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::relay::BufferBudget;
use crate::relay::BufferLimits;
use crate::relay::BufferRoom;
use crate::relay::SMALL_BODY_BYTES;

/// Memory of the smallest VM.
const MEMORY_BYTES: usize = 88_000_000;

fn limits() -> BufferLimits {
    BufferLimits::of_memory(MEMORY_BYTES)
}

fn budget() -> BufferBudget {
    BufferBudget::new(limits())
}

// Guards against parts that together exceed the half of the memory that is for bodies.
#[test]
fn parts_take_half_of_the_memory() {
    assert!(limits().total_bytes() <= MEMORY_BYTES / 2);
}

// Guards against control answers of endpoints in trouble that take the memory of callers' answers, or memory without end.
#[test]
fn control_answers_have_a_part_of_their_own() {
    let mut budget = budget();
    let piece_bytes = 64 * 1024;
    let mut held = 0;
    while budget.try_hold_control(piece_bytes) {
        held += piece_bytes;
    }
    assert!(held <= MEMORY_BYTES / 24, "{held} bytes");
    assert!(budget.try_hold_control(0), "a small one needs none of it");
    assert_eq!(budget.hold_answer(piece_bytes), BufferRoom::Held);
    budget.release_control(piece_bytes);
    assert!(budget.try_hold_control(piece_bytes));
}

/// Reads a piece of each stream whose budget allows it, in turn, until none may be read any more; returns the queues.
fn fill_streams(budget: &mut BufferBudget, count: usize, piece_bytes: usize) -> Vec<usize> {
    let mut queues = vec![0; count];
    let mut has_grown = true;
    while has_grown {
        has_grown = false;
        for queued in &mut queues {
            if budget.may_read_stream(*queued, 0, Duration::ZERO)
                && budget.try_hold_stream(piece_bytes)
            {
                *queued += piece_bytes;
                has_grown = true;
            }
        }
    }
    queues
}

// Guards against slow callers that together exceed the bound, and against streams that wait although their callers read.
#[test]
fn many_slow_callers_leave_room_for_those_that_read() {
    for (count, piece_bytes) in [(2_000, 200), (2_000, 10_000), (300, 60_000), (80, 250_000)] {
        let mut budget = budget();
        let queues = fill_streams(&mut budget, count, piece_bytes);
        let held: usize = queues.iter().sum();
        assert_eq!(budget.status().stream_bytes, held);
        assert!(held <= MEMORY_BYTES / 4, "{held} bytes");
        for _ in 0..300 {
            assert!(
                budget.may_read_stream(0, 0, Duration::ZERO),
                "{piece_bytes}"
            );
            assert!(budget.try_hold_stream(2_000), "{piece_bytes}");
        }
    }
}

// Guards against slow callers of streams with very large events that together exceed the bound of all bodies.
#[test]
fn streams_never_exceed_the_bound_of_all_bodies() {
    let mut budget = budget();
    fill_streams(&mut budget, 2_000, 250_000);
    assert!(budget.status().stream_bytes <= limits().total_bytes());
    assert!(!budget.try_hold_stream(250_000));
    assert!(!budget.may_read_stream(10_000, 10_000, Duration::ZERO));
    assert!(budget.may_read_stream(0, 10_000, Duration::ZERO));
    assert!(!budget.try_hold_request(SMALL_BODY_BYTES, 250_000));
    assert_eq!(budget.hold_answer(250_000), BufferRoom::Wait);
    budget.release_stream(1_000_000);
    assert!(budget.try_hold_request(SMALL_BODY_BYTES, 250_000));
    assert_eq!(budget.hold_answer(250_000), BufferRoom::Held);
}

// Guards against many large events that are read at the same time and, with the connections of their streams, exceed the memory; and against
// a stream that waits for ever because all of them wait inside an event.
#[test]
fn large_event_waits_for_memory_for_a_limited_time() {
    let mut budget = budget();
    let long = Duration::from_secs(3);
    for _ in 0..160 {
        budget.on_answer_began();
    }
    assert!(budget.try_hold_stream(15_000_000));
    assert!(budget.may_read_stream(0, 100_000, Duration::ZERO));
    assert!(budget.try_hold_stream(5_000_000));
    assert!(!budget.may_read_stream(0, 100_000, Duration::ZERO));
    assert!(budget.may_read_stream(0, 10_000, Duration::ZERO));
    assert!(budget.may_read_stream(0, 0, Duration::ZERO));
    assert!(budget.may_read_stream(0, 100_000, long));
    for _ in 0..80 {
        budget.on_answer_ended();
    }
    assert!(budget.may_read_stream(0, 100_000, Duration::ZERO));
}

// Guards against a single stream that takes the memory of those that begin later.
#[test]
fn queue_of_one_stream_is_a_fraction_of_the_free_memory() {
    let mut budget = budget();
    let queued = fill_streams(&mut budget, 1, 10_000)[0];
    assert!(queued >= 500_000, "{queued} bytes");
    assert!(
        queued <= limits().stream_bytes / 8 + 10_000,
        "{queued} bytes"
    );
}

// Guards against answers whose memory is never free again, or that fail although those that use the memory are being delivered.
#[test]
fn answer_waits_for_those_that_are_delivered() {
    let mut budget = budget();
    let answer_bytes = limits().read_answer_bytes / 4;
    for _ in 0..8 {
        assert_eq!(budget.hold_answer(answer_bytes), BufferRoom::Held);
        budget.deliver_answer(answer_bytes);
    }
    assert_eq!(budget.hold_answer(answer_bytes), BufferRoom::Wait);
    assert_eq!(budget.hold_answer(0), BufferRoom::Held);
    budget.release_delivered_answer(answer_bytes);
    assert_eq!(budget.hold_answer(answer_bytes), BufferRoom::Held);
}

// Guards against answers that wait for each other for ever: none of them is complete.
#[test]
fn answers_that_are_only_read_do_not_wait_for_each_other() {
    let mut budget = budget();
    let answer_bytes = limits().read_answer_bytes / 4;
    for _ in 0..4 {
        assert_eq!(budget.hold_answer(answer_bytes), BufferRoom::Held);
    }
    assert_eq!(budget.hold_answer(answer_bytes), BufferRoom::Refused);
    budget.release_read_answer(answer_bytes);
    assert_eq!(budget.hold_answer(answer_bytes), BufferRoom::Held);
}

// Guards against pieces that are read ahead of answers that wait, and so exceed the memory although all counted bytes are within it.
#[test]
fn pieces_get_smaller_while_memory_is_short() {
    let mut budget = budget();
    assert_eq!(budget.max_read_bytes(), 64 * 1024);
    fill_streams(&mut budget, 200, 60_000);
    assert!(budget.max_read_bytes() < 8 * 1024);
    let held = budget.status().stream_bytes;
    budget.release_stream(held);
    assert_eq!(budget.max_read_bytes(), 64 * 1024);
    budget.hold_answer(limits().read_answer_bytes);
    budget.deliver_answer(limits().read_answer_bytes);
    budget.hold_answer(limits().read_answer_bytes);
    assert!(budget.max_read_bytes() < 8 * 1024);
}

// Guards against requests that are taken on while the pieces of many paused answers use up the memory.
#[test]
fn pieces_of_paused_answers_leave_less_room_for_requests() {
    let mut budget = budget();
    let piece_bytes = 3 * 8 * 1024;
    let paused = limits().total_bytes() / piece_bytes + 1;
    for _ in 0..paused {
        budget.on_stream_paused();
    }
    assert!(!budget.try_hold_request(SMALL_BODY_BYTES, 0));
    // Answers and streams never wait for pieces of those that wait themselves.
    assert_eq!(budget.hold_answer(250_000), BufferRoom::Held);
    assert!(budget.may_read_stream(0, 0, Duration::ZERO));
    for _ in 0..paused / 2 {
        budget.on_read_resumed();
    }
    assert!(budget.try_hold_request(SMALL_BODY_BYTES, 0));
}

// Guards against callers that keep memory for long while others need it.
#[test]
fn unread_answers_end_earlier_while_memory_is_short() {
    let mut budget = budget();
    let usual = budget.unread_limits().expect("there is a limit");
    assert!(usual.unread >= Duration::from_secs(3), "{usual:?}");
    assert!(!usual.ends_slow);
    fill_streams(&mut budget, 200, 60_000);
    let short = budget.unread_limits().expect("there is a limit");
    assert!(short.unread < usual.unread, "{short:?}");
    assert!(short.ends_slow);
}

// Guards against large bodies, of one account or of many, that keep small requests out or exceed the bound.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut budget = budget();
    let large_bytes = 1_000_000 - SMALL_BODY_BYTES;
    let mut held = 0;
    while budget.try_hold_request(SMALL_BODY_BYTES, large_bytes) {
        held += 1;
    }
    assert!(held >= 10, "{held} bodies");
    assert!(held * large_bytes <= limits().request_bytes);
    assert_eq!(budget.status().counts.request_refused, 1);
    for _ in 0..300 {
        assert!(budget.try_hold_request(2_000, 0));
    }
    let before = budget.status().request_bytes;
    budget.release_request(SMALL_BODY_BYTES, large_bytes);
    assert_eq!(budget.status().request_bytes, before - 1_000_000);
    assert!(budget.try_hold_request(SMALL_BODY_BYTES, large_bytes));
}

// Guards against callers of small requests that together exceed the memory.
#[test]
fn small_bodies_are_bounded() {
    let mut budget = budget();
    let mut held = 0;
    while budget.try_hold_request(SMALL_BODY_BYTES, 0) {
        held += 1;
    }
    assert!(held >= 400, "{held} bodies");
    assert!(budget.status().request_bytes <= limits().small_request_bytes);
}

// Guards against a slow endpoint that holds the memory for all requests, or is handed more than it reads.
#[test]
fn slow_endpoint_is_handed_only_its_part() {
    let mut budget = budget();
    let (slow, healthy): (Name, Name) = ("i-slow".into(), "i-healthy".into());
    let mut handed = 0;
    for _ in 0..100 {
        if budget.try_hand_over(&slow, 500_000) {
            handed += 500_000;
        } else {
            budget.on_endpoint_full();
        }
        assert!(budget.try_hand_over(&healthy, 500_000));
        budget.on_handed_over(&healthy, 500_000);
    }
    assert!(handed <= limits().endpoint_bytes, "{handed} bytes");
    assert_eq!(
        handed / 500_000 + budget.status().counts.endpoint_full as usize,
        100
    );
    assert!(budget.try_hand_over(&slow, SMALL_BODY_BYTES));
    budget.on_handed_over(&slow, 500_000);
    assert!(budget.try_hand_over(&slow, 500_000));
}

// Guards against a body that no endpoint ever gets because it alone exceeds the limit.
#[test]
fn very_large_body_is_handed_to_an_endpoint_that_has_read_all_others() {
    let mut budget = budget();
    let endpoint: Name = "i-shop".into();
    let bytes = limits().endpoint_bytes * 2;
    assert!(budget.try_hand_over(&endpoint, bytes));
    assert!(!budget.try_hand_over(&endpoint, bytes));
    budget.on_handed_over(&endpoint, bytes);
    assert!(budget.try_hand_over(&endpoint, bytes));
}

// Guards against new limits at a VM whose memory is not stated.
#[test]
fn vm_without_stated_memory_limits_only_what_it_reads() {
    let limits = BufferLimits::of_unstated_memory(MEMORY_BYTES);
    let mut budget = BufferBudget::new(limits);
    let endpoint: Name = "i-shop".into();
    for _ in 0..100 {
        assert!(budget.may_read_stream(5_000_000, 0, Duration::ZERO));
        assert!(budget.try_hold_stream(5_000_000));
        assert!(budget.try_hand_over(&endpoint, 5_000_000));
        assert!(budget.try_hold_request(SMALL_BODY_BYTES, 0));
        assert_eq!(budget.hold_answer(1_000_000), BufferRoom::Held);
        budget.deliver_answer(1_000_000);
    }
    assert_eq!(budget.unread_limits(), None);
    assert_eq!(budget.max_read_bytes(), 64 * 1024);
    assert!(!budget.try_hold_request(SMALL_BODY_BYTES, MEMORY_BYTES / 5));
    assert_eq!(budget.hold_answer(MEMORY_BYTES / 10), BufferRoom::Refused);
}
