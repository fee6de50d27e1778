//! Time per event of the reducer for several numbers of endpoints and grants:
//! `cargo bench -p arbutusfall_core --bench reducer`.

use std::time::Duration;
use std::time::Instant;

use arbutusfall_core::AttemptId;
use arbutusfall_core::CallId;
use arbutusfall_core::CompletionRequest;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::Event;
use arbutusfall_core::Identity;
use arbutusfall_core::ListedVm;
use arbutusfall_core::LogEra;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::Node;
use arbutusfall_core::Now;
use arbutusfall_core::Stage;
use arbutusfall_wire::ActiveGrant;
use arbutusfall_wire::ClaimRequest;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Document;
use arbutusfall_wire::EndedGrant;
use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::GrantReport;
use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PlaceRequest;
use arbutusfall_wire::Probe;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::Sender;
use arbutusfall_wire::ShardId;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

/// Numbers of endpoints in the shard, half of them for prefill.
const ENDPOINTS: [usize; 3] = [10, 50, 100];

/// Numbers of grants in use.
const GRANTS: [u64; 2] = [100, 1_000];

/// Measured events of each kind.
const EVENTS_PER_KIND: u64 = 2_000;

/// Grants in one report.
const GRANTS_PER_REPORT: u64 = 20;

/// Process that sends the measured peer messages.
const PEER: Incarnation = Incarnation(8);

fn main() {
    println!(
        "endpoints grants   place ended  report/{GRANTS_PER_REPORT}  token  probe  claim   (ns/event)"
    );
    for endpoints in ENDPOINTS {
        for grants in GRANTS {
            let mut bench = Bench::new(endpoints, grants);
            let (place, ended) = bench.time_place_and_end();
            let report = bench.time_report(grants);
            let token = bench.time_token(grants);
            let probe = bench.time_probe();
            let claim = bench.time_claim();
            println!(
                "{endpoints:9} {grants:6} {place:7} {ended:5} {report:10} {token:6} {probe:6} {claim:6}"
            );
        }
    }
}

/// A node that owns a shard whose grants belong to requests that entered through the same node.
struct Bench {
    node: Node,
    now: Now,
}

impl Bench {
    fn new(endpoints: usize, grants: u64) -> Self {
        let identity = Identity {
            vm: "vm-1".into(),
            incarnation: Incarnation(7),
            data_centre: "milano-a".into(),
            site: "rinnovo".into(),
        };
        let mut bench = Self {
            node: Node::new(identity, 1),
            now: Now {
                monotonic: Duration::ZERO,
                unix: Duration::from_secs(1_790_000_000),
            },
        };
        bench.apply(Event::Started);
        bench.apply(Event::VmList(vec![listed_vm("vm-1")]));
        bench.apply(config_read(site_base(endpoints)));
        for call in 0..grants {
            bench.apply(Event::Completion(completion(call)));
            bench.apply(Event::Engine(EngineEvent::PrefillDone {
                attempt: attempt(call, Stage::Prefill),
                transfer: "{}".into(),
                cached_tokens: Some(0),
            }));
        }
        bench
    }

    fn apply(&mut self, event: Event) {
        self.now.monotonic += Duration::from_micros(10);
        std::hint::black_box(self.node.apply(event, self.now));
    }

    fn receive_from_peer(&mut self, message: PeerMessage) {
        let from = Sender {
            vm: "vm-2".into(),
            incarnation: PEER,
        };
        self.apply(Event::Peer { from, message });
    }

    /// Returns the mean time per event, in nanoseconds.
    fn mean_ns(&mut self, mut event: impl FnMut(&mut Self, u64)) -> u128 {
        let started = Instant::now();
        for number in 0..EVENTS_PER_KIND {
            event(self, number);
        }
        started.elapsed().as_nanos() / u128::from(EVENTS_PER_KIND)
    }

    /// Returns the mean times of a placement and of the report that ends it, in nanoseconds.
    fn time_place_and_end(&mut self) -> (u128, u128) {
        let (mut place_time, mut end_time) = (Duration::ZERO, Duration::ZERO);
        for number in 0..EVENTS_PER_KIND {
            let place = PeerMessage::Place(place_request(number));
            let started = Instant::now();
            self.receive_from_peer(place);
            place_time += started.elapsed();
            let ended = ended_report(number);
            let started = Instant::now();
            self.receive_from_peer(ended);
            end_time += started.elapsed();
        }
        let mean = |total: Duration| total.as_nanos() / u128::from(EVENTS_PER_KIND);
        (mean(place_time), mean(end_time))
    }

    fn time_report(&mut self, grants: u64) -> u128 {
        let endpoints = self.node.status().endpoints;
        let reports: Vec<GrantReport> = (0..EVENTS_PER_KIND)
            .map(|number| {
                let first = number * GRANTS_PER_REPORT;
                let active = (first..first + GRANTS_PER_REPORT).map(|index| ActiveGrant {
                    request: own_request(index % grants),
                    prefill: None,
                    decode: endpoints[index as usize % endpoints.len()].endpoint.clone(),
                    prompt_tokens: 4_000,
                    generated_tokens: 10,
                    max_output_tokens: 1_000,
                });
                GrantReport {
                    shard: shard(),
                    active: active.collect(),
                    ended: Vec::new(),
                }
            })
            .collect();
        let mut reports = reports.into_iter();
        self.mean_ns(|bench, _| {
            if let Some(report) = reports.next() {
                bench.receive_from_peer(PeerMessage::GrantReport(report));
            }
        })
    }

    fn time_token(&mut self, grants: u64) -> u128 {
        self.mean_ns(|bench, number| {
            bench.apply(Event::Engine(EngineEvent::Tokens {
                attempt: attempt(number % grants, Stage::Decode),
                first_index: (number / grants) as u32,
                texts: vec!["word ".into()],
            }));
        })
    }

    fn time_probe(&mut self) -> u128 {
        self.mean_ns(|bench, sequence| {
            bench.receive_from_peer(PeerMessage::Probe(Probe {
                sequence,
                member_updates: Vec::new(),
                next_config_offset: Offset(1),
            }));
        })
    }

    fn time_claim(&mut self) -> u128 {
        let created_ms = self.now.unix.as_millis() as u64;
        self.mean_ns(|bench, number| {
            let number_bytes = number.to_be_bytes();
            let bytes = [
                0,
                0,
                number_bytes[0],
                number_bytes[1],
                number_bytes[2],
                number_bytes[3],
                number_bytes[4],
                number_bytes[5],
                number_bytes[6],
                number_bytes[7],
            ];
            let uuid = uuid::Builder::from_unix_timestamp_millis(created_ms, &bytes).into_uuid();
            let Ok(key) = IdempotencyKey::try_from(uuid) else {
                return;
            };
            bench.receive_from_peer(PeerMessage::Claim(ClaimRequest {
                key,
                request: RequestId {
                    incarnation: PEER,
                    sequence: number,
                },
                fingerprint: 0,
            }));
        })
    }
}

fn listed_vm(vm: &str) -> ListedVm {
    ListedVm {
        vm: vm.into(),
        peer_address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "milano-a".into(),
        site: "rinnovo".into(),
        leaving: false,
    }
}

fn shard() -> ShardId {
    ShardId {
        model: "draft-models".into(),
        index: 0,
    }
}

/// Returns the id of the node's request for a call; requests are numbered from 1.
fn own_request(call: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(7),
        sequence: call + 1,
    }
}

fn attempt(call: u64, stage: Stage) -> AttemptId {
    AttemptId {
        request: own_request(call),
        placement: 1,
        stage,
    }
}

fn completion(call: u64) -> CompletionRequest {
    CompletionRequest {
        call: CallId(call),
        account: "school".into(),
        model: "draft-models".into(),
        prompt_tokens: 10,
        piece_hashes: Vec::new(),
        max_output_tokens: 1_000,
        traceparent: None,
    }
}

fn place_request(number: u64) -> PlaceRequest {
    PlaceRequest {
        request: RequestId {
            incarnation: PEER,
            sequence: number,
        },
        placement: 1,
        shard: shard(),
        account: "school".into(),
        prompt_tokens: 8_100,
        max_output_tokens: 200,
        piece_hashes: vec![1, 2, number % 7, number % 11],
        first_token_budget: Duration::from_secs(1_000),
        resumed: false,
        prefilled_on: None,
        avoid: Vec::new(),
        traceparent: None,
    }
}

fn ended_report(number: u64) -> PeerMessage {
    PeerMessage::GrantReport(GrantReport {
        shard: shard(),
        active: Vec::new(),
        ended: vec![EndedGrant {
            request: RequestId {
                incarnation: PEER,
                sequence: number,
            },
            placement: 1,
            end: GrantEnd::Finished,
            prefill_took: Some(Duration::from_millis(10)),
            transfer_took: Some(Duration::from_millis(100)),
            cached_tokens: Some(0),
            generated_tokens: 150,
        }],
    })
}

fn config_read(base: Value) -> Event {
    let record = ConfigRecord::Publish {
        publish_id: Uuid::from_u128(1),
        document: Document::Base,
        parent: None,
        content: base,
    };
    let text = serde_json::to_string(&record).unwrap_or_default();
    Event::Log(LogEvent::Read {
        stream: LogStream::Config,
        era: LogEra::default(),
        from: Offset(0),
        oldest: Offset(0),
        end: Offset(1),
        records: vec![LogRecord {
            offset: Offset(0),
            age: Duration::ZERO,
            text: text.into(),
        }],
    })
}

/// Returns a base with one model, whose decode engines together have slots for twice the largest number of grants.
fn site_base(endpoints: usize) -> Value {
    let pool = endpoints / 2;
    let slots = 2_000usize.div_ceil(pool);
    let engine = |role: &str, index: usize| {
        let endpoint = json!({
            "address": format!("127.0.0.1:{}", 7_000 + index),
            "data_centre": "milano-a",
            "role": role,
            "serves": "draft-models",
            "slots": slots,
            "link_bytes_per_s": 10_000_000_000u64,
        });
        (format!("{role}-{index}"), endpoint)
    };
    let prefills = (0..pool).map(|index| engine("prefill", index));
    let decodes = (0..pool).map(|index| engine("decode", index));
    let all: serde_json::Map<String, Value> = prefills.chain(decodes).collect();
    json!({
        "sites": ["rinnovo"],
        "data_centres": ["milano-a"],
        "accounts": {
            "school": {
                "key_sha256": "0".repeat(64),
                "max_concurrent_requests": 100_000,
                "max_requests_per_s": 100_000,
            },
        },
        "models": {
            "draft-models": {
                "first_token_target_ms": 910,
                "between_tokens_target_ms": 39,
                "bytes_per_token": 4,
                "piece_tokens": 2_000,
                "prefill_tokens_per_s": 20_000,
                "decode_step_ms": 25,
                "kv_bytes_per_token": 100_000,
                "prefill_result_lifetime_ms": 700,
                "max_output_tokens": 1_000,
                "max_prompt_tokens": 50_000,
                "max_endpoints_per_shard": 1_000,
            },
        },
        "endpoints": all,
        "claims": { "partitions": 1 },
    })
}
