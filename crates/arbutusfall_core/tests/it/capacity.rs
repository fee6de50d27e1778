//! Measures how message sizes, configuration time and claim memory grow, for `docs/CAPACITY.md`; `--nocapture`
//! prints the figures.

use std::time::Duration;
use std::time::Instant;

use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::LogEra;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::config::ConfigFold;
use arbutusfall_core::config::FoldOutcome;
use arbutusfall_core::config::effective_config;
use arbutusfall_wire::*;
use serde_json::json;
use uuid::Uuid;

use crate::session::STARTED_AT;
use crate::session::Session;
use crate::session::site_base;

fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(0x1234_5678_9abc_def0),
        sequence,
    }
}

fn key(number: u64) -> IdempotencyKey {
    let millis = STARTED_AT.as_millis() << 80;
    let uuid = Uuid::from_u128(millis | 0x7 << 76 | 0x2 << 62 | u128::from(number));
    IdempotencyKey::try_from(uuid).expect("version 7")
}

fn encoded_bytes(messages: Vec<PeerMessage>) -> usize {
    let frame = Frame {
        sender: Sender {
            vm: "plovdiv-a-1".into(),
            incarnation: Incarnation(0x1234_5678_9abc_def0),
        },
        messages,
    };
    encode_frame(&frame)
        .expect("frame is below the length limit")
        .len()
}

fn shard() -> ShardId {
    ShardId {
        model: "caption-llm".into(),
        index: 3,
    }
}

fn place(pieces: usize) -> PeerMessage {
    PeerMessage::Place(PlaceRequest {
        request: request(1_000_000),
        placement: 1,
        shard: shard(),
        account: "account-12345".into(),
        prompt_tokens: 2_000 * pieces as u32,
        max_output_tokens: 300,
        piece_hashes: vec![u64::MAX / 3; pieces],
        first_token_budget: Duration::from_millis(910),
        resumed: false,
        prefilled_on: None,
        avoid: Vec::new(),
        traceparent: Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".into()),
    })
}

fn placed() -> PeerMessage {
    PeerMessage::PlaceReply(PlaceReply {
        request: request(1_000_000),
        placement: 1,
        decision: PlaceDecision::Granted(Grant {
            prefill: "prefill-1234".into(),
            decode: "decode-1234".into(),
            start_after: Duration::from_millis(12),
            first_token_after: Duration::from_millis(400),
            cached_tokens: 4_000,
            lifetime: Duration::from_secs(4),
        }),
    })
}

fn report(grants: u64) -> PeerMessage {
    let active = (0..grants).map(|number| ActiveGrant {
        request: request(1_000_000 + number),
        prefill: None,
        decode: "decode-1234".into(),
        prompt_tokens: 10_000,
        generated_tokens: 100,
        max_output_tokens: 300,
    });
    PeerMessage::GrantReport(GrantReport {
        shard: shard(),
        active: active.collect(),
        ended: Vec::new(),
    })
}

#[test]
fn message_sizes_stay_below_their_bounds() {
    let empty = encoded_bytes(Vec::new());
    println!("frame without messages: {empty} B");
    for pieces in [0, 5, 25] {
        let bytes = encoded_bytes(vec![place(pieces)]) - empty;
        println!("place with {pieces} pieces: {bytes} B");
        assert!(bytes < 140 + 11 * pieces);
    }
    println!("placed: {} B", encoded_bytes(vec![placed()]) - empty);
    for grants in [1, 10, 100] {
        let bytes = encoded_bytes(vec![report(grants)]) - empty;
        println!("report of {grants} grants: {bytes} B");
        assert!(bytes < 50 + 50 * grants as usize);
    }
    let claim = ClaimRecord::Claim {
        key: key(1),
        vm: "plovdiv-a-1".into(),
        request: request(1_000_000),
        fingerprint: u64::MAX / 3,
    };
    let outcome = ClaimRecord::Outcome {
        key: key(1),
        request: request(1_000_000),
        outcome: Outcome::Answered {
            status: 200,
            content_type: "application/json".into(),
            body: "a".repeat(100).as_str().into(),
        },
    };
    let bytes = |record| {
        serde_json::to_string(record)
            .expect("records are JSON")
            .len()
    };
    println!("claim record: {} B", bytes(&claim));
    println!("outcome record with a body of 100 B: {} B", bytes(&outcome));
}

/// Returns the site's base with this many accounts added.
fn base_with_accounts(accounts: usize) -> serde_json::Value {
    let mut base = site_base();
    let account = base["accounts"]["school"].clone();
    for number in 1..=accounts {
        let mut account = account.clone();
        account["key_sha256"] = json!(format!("{number:064x}"));
        base["accounts"][format!("account-{number}")] = account;
    }
    base
}

#[test]
fn publications_are_accepted_with_many_accounts() {
    for accounts in [300, 3_000, 27_000] {
        let content = base_with_accounts(accounts);
        let mut fold = ConfigFold::default();
        let mut publish = |document: Document, content: serde_json::Value| {
            let record = ConfigRecord::Publish {
                publish_id: Uuid::now_v7(),
                document: document.clone(),
                parent: fold.revision(&document),
                content,
            };
            let text = serde_json::to_string(&record).expect("records are JSON");
            let started = Instant::now();
            assert_eq!(
                fold.apply(fold.next_offset(), &text),
                FoldOutcome::Accepted(document)
            );
            (text.len(), started.elapsed())
        };
        let (bytes, base_took) = publish(Document::Base, content.clone());
        let overlay = Document::Overlay("rinnovo".into());
        let limits = json!({ "limits": { "max_connections": 1_000 } });
        let (_, overlay_took) = publish(overlay, limits);
        let started = Instant::now();
        assert!(effective_config(&content, None, &"rinnovo".into()).is_ok());
        let effective = started.elapsed();
        println!(
            "{accounts} accounts: base {bytes} B folded in {base_took:.1?}, overlay in {overlay_took:.1?}, \
             effective site in {effective:.1?}"
        );
    }
}

fn resident_bytes() -> usize {
    let text =
        std::fs::read_to_string("/proc/self/statm").expect("/proc/self/statm exists on Linux");
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4_096
}

#[test]
fn memory_of_many_claims_is_measured() {
    let mut session = Session::serving("milano-a-1", &["milano-a-1"]);
    let now = session.now;
    let from = Sender {
        vm: "milano-a-1".into(),
        incarnation: Incarnation(7),
    };
    let claim: PeerMessage = PeerMessage::Claim(ClaimRequest {
        key: key(0),
        request: request(1),
        fingerprint: 1,
    });
    let output = session.node.apply(
        Event::Peer {
            from,
            message: claim,
        },
        now,
    );
    let stream = output.effects.iter().find_map(|effect| match effect {
        Effect::ReadLog { stream, .. } | Effect::Append { stream, .. } => Some(*stream),
        _ => None,
    });
    let stream = stream.unwrap_or(LogStream::Claims(0));
    let before_bytes = resident_bytes();
    let mut next = 0;
    for total in [50_000, 100_000, 200_000] {
        let started = Instant::now();
        while next < total {
            let records: Vec<LogRecord> = (next..next + 1_000)
                .map(|number| {
                    let record = ClaimRecord::Claim {
                        key: key(number + 1),
                        vm: "milano-a-2".into(),
                        request: request(number),
                        fingerprint: number,
                    };
                    LogRecord {
                        offset: Offset(number),
                        age: Duration::ZERO,
                        text: serde_json::to_string(&record).expect("JSON").into(),
                    }
                })
                .collect();
            let from = Offset(next);
            next += 1_000;
            session.node.apply(
                Event::Log(LogEvent::Read {
                    stream,
                    era: LogEra::default(),
                    from,
                    oldest: Offset(0),
                    end: Offset(next + 1_000_000),
                    records,
                }),
                now,
            );
        }
        let grown_bytes = resident_bytes().saturating_sub(before_bytes);
        println!(
            "{total} claims: {} B each, last step folded in {:.1?}",
            grown_bytes / total as usize,
            started.elapsed()
        );
    }
}
