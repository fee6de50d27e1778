//! Tests of the peer codec: round trips, and invalid or damaged frames.

use std::time::Duration;

use arbutusfall_wire::*;
use assert_matches::assert_matches;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of all generated cases.
const SEED: u64 = 20;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

fn name() -> impl Strategy<Value = Name> {
    ".{0,12}".prop_map(Name::from)
}

fn request() -> impl Strategy<Value = RequestId> {
    any::<(u64, u64)>().prop_map(|(incarnation, sequence)| RequestId {
        incarnation: Incarnation(incarnation),
        sequence,
    })
}

fn key() -> impl Strategy<Value = IdempotencyKey> {
    any::<u128>().prop_map(|bits| {
        let version_7 = (bits & !(0xf << 76)) | (0x7 << 76);
        let uuid = uuid::Uuid::from_u128(version_7);
        IdempotencyKey::try_from(uuid).expect("version 7")
    })
}

fn duration() -> impl Strategy<Value = Duration> {
    any::<u32>().prop_map(|micros| Duration::from_micros(micros.into()))
}

fn shard() -> impl Strategy<Value = ShardId> {
    (name(), any::<u16>()).prop_map(|(model, index)| ShardId { model, index })
}

fn place() -> impl Strategy<Value = PeerMessage> {
    let ids = (request(), any::<u32>(), shard(), name());
    let sizes = (
        any::<(u32, u32)>(),
        vec(any::<u64>(), 0..20),
        duration(),
        any::<bool>(),
    );
    let names = (option::of(name()), vec(name(), 0..4), option::of(name()));
    (ids, sizes, names).prop_map(|(ids, sizes, names)| {
        PeerMessage::Place(PlaceRequest {
            request: ids.0,
            placement: ids.1,
            shard: ids.2,
            account: ids.3,
            prompt_tokens: sizes.0.0,
            max_output_tokens: sizes.0.1,
            piece_hashes: sizes.1,
            first_token_budget: sizes.2,
            resumed: sizes.3,
            prefilled_on: names.0,
            avoid: names.1,
            traceparent: names.2,
        })
    })
}

fn placed() -> impl Strategy<Value = PeerMessage> {
    let refused = duration().prop_map(|retry_after| PlaceDecision::Refused { retry_after });
    let granted = (
        name(),
        name(),
        duration(),
        duration(),
        any::<u32>(),
        duration(),
    );
    let granted = granted.prop_map(|grant| {
        PlaceDecision::Granted(Grant {
            prefill: grant.0,
            decode: grant.1,
            start_after: grant.2,
            first_token_after: grant.3,
            cached_tokens: grant.4,
            lifetime: grant.5,
        })
    });
    let decision = prop_oneof![refused, granted];
    (request(), any::<u32>(), decision).prop_map(|(request, placement, decision)| {
        PeerMessage::PlaceReply(PlaceReply {
            request,
            placement,
            decision,
        })
    })
}

fn outcome() -> impl Strategy<Value = Outcome> {
    let answered = (any::<u16>(), name(), vec(any::<u8>(), 0..40));
    let answered = answered.prop_map(|(status, content_type, body)| Outcome::Answered {
        status,
        content_type,
        body: body.into(),
    });
    prop_oneof![answered, Just(Outcome::NotRun), Just(Outcome::Unknown)]
}

fn outcome_messages() -> impl Strategy<Value = PeerMessage> {
    let record = (key(), request(), outcome()).prop_map(|(key, request, outcome)| {
        PeerMessage::RecordOutcome(RecordOutcome {
            key,
            request,
            outcome,
        })
    });
    let outcome_request = (key(), request(), request()).prop_map(|(key, holder, requester)| {
        PeerMessage::OutcomeRequest(OutcomeRequest {
            key,
            holder,
            requester,
        })
    });
    let outcome_reply = (key(), request(), outcome()).prop_map(|(key, requester, outcome)| {
        PeerMessage::OutcomeReply(OutcomeReply {
            key,
            requester,
            outcome,
        })
    });
    prop_oneof![record, outcome_request, outcome_reply]
}

fn membership_and_config() -> impl Strategy<Value = PeerMessage> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Dead),
    ];
    let member_updates =
        (name(), any::<u64>(), any::<u32>(), state).prop_map(|update| MemberUpdate {
            vm: update.0,
            incarnation: Incarnation(update.1),
            update_version: update.2,
            state: update.3,
        });
    let probe = (
        any::<u64>(),
        vec(member_updates, 0..6),
        any::<u64>(),
        any::<bool>(),
    );
    let probe = probe.prop_map(|(sequence, member_updates, next, is_ack)| {
        let probe = Probe {
            sequence,
            member_updates,
            next_config_offset: Offset(next),
        };
        if is_ack {
            PeerMessage::ProbeAck(probe)
        } else {
            PeerMessage::Probe(probe)
        }
    });
    let pull = option::of(any::<u64>()).prop_map(|next| {
        PeerMessage::PullConfig(PullConfig {
            next: next.map(Offset),
        })
    });
    let push =
        ".{0,60}".prop_map(|snapshot_json| PeerMessage::PushConfig(PushConfig { snapshot_json }));
    prop_oneof![probe, pull, push,]
}

fn frame() -> impl Strategy<Value = Frame> {
    let messages = vec(
        prop_oneof![
            place(),
            placed(),
            outcome_messages(),
            membership_and_config()
        ],
        0..8,
    );
    (name(), any::<u64>(), messages).prop_map(|(vm, incarnation, messages)| Frame {
        sender: Sender {
            vm,
            incarnation: Incarnation(incarnation),
        },
        messages,
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn frames_round_trip(frame in frame()) {
        let bytes = encode_frame(&frame).expect("frame is below the length limit");
        prop_assert_eq!(decode_frame(&bytes), Ok(frame));
    }

    #[test]
    fn random_bytes_are_rejected_or_round_trip(bytes in vec(any::<u8>(), 0..200)) {
        // A frame that decodes must survive a round trip.
        if let Ok(frame) = decode_frame(&bytes) {
            let encoded = encode_frame(&frame).expect("frame is below the length limit");
            prop_assert_eq!(decode_frame(&encoded), Ok(frame));
        }
    }

    #[test]
    fn truncated_or_extended_frames_are_rejected_and_decoded_corrupted_frames_are_encodable(
        frame in frame(),
        corruptions in vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = encode_frame(&frame).expect("frame is below the length limit");
        let cut = cut.index(bytes.len());
        prop_assert!(decode_frame(&bytes[..cut]).is_err(), "a truncated frame was accepted");
        let mut extended = bytes.clone();
        extended.push(0);
        prop_assert_eq!(decode_frame(&extended), Err(CodecError::TrailingBytes { count: 1 }));
        let mut corrupted = bytes;
        for (index, byte) in corruptions {
            let index = index.index(corrupted.len());
            corrupted[index] = byte;
        }
        if let Ok(frame) = decode_frame(&corrupted) {
            prop_assert!(encode_frame(&frame).is_ok());
        }
    }
}

#[test]
fn encoding_and_decoding_reject_frames_over_the_length_limit() {
    let frame = Frame {
        sender: Sender {
            vm: "milano-a-1".into(),
            incarnation: Incarnation(1),
        },
        messages: vec![PeerMessage::PushConfig(PushConfig {
            snapshot_json: "a".repeat(MAX_FRAME_BYTES),
        })],
    };
    assert_matches!(encode_frame(&frame), Err(CodecError::TooLong { .. }));
    let bytes = vec![0; MAX_FRAME_BYTES + 1];
    assert_matches!(decode_frame(&bytes), Err(CodecError::TooLong { .. }));
}
