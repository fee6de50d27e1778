//! Applies events to one node and records the session as text, one JSON object per line.

use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::CompletionRequest;
use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::Identity;
use arbutusfall_core::ListedVm;
use arbutusfall_core::LogEra;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::Node;
use arbutusfall_core::Now;
use arbutusfall_core::Output;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Document;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Offset;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

/// Time since the Unix epoch at which every session starts.
pub(crate) const STARTED_AT: Duration = Duration::from_secs(1_790_000_000);

/// A node with its clock and the recorded lines of its session.
pub(crate) struct Session {
    pub(crate) node: Node,
    pub(crate) now: Now,
    pub(crate) lines: Vec<String>,
    /// Monotonic instant of the next tick that the node requested.
    pub(crate) wake_at: Option<Duration>,
}

impl Session {
    /// Creates a node that has handled no event.
    pub(crate) fn new(vm: &str) -> Self {
        let identity = Identity {
            vm: vm.into(),
            incarnation: Incarnation(7),
            data_centre: "milano-a".into(),
            site: "rinnovo".into(),
        };
        Self {
            node: Node::new(identity, 1),
            now: Now {
                monotonic: Duration::ZERO,
                unix: STARTED_AT,
            },
            lines: Vec::new(),
            wake_at: None,
        }
    }

    /// Creates a node that serves [`site_base`] together with the named VMs.
    pub(crate) fn serving(vm: &str, vms: &[&str]) -> Self {
        let mut session = Self::new(vm);
        session.apply(Event::Started);
        session.apply(Event::VmList(vms.iter().map(|name| listed(name)).collect()));
        session.apply(config_read(site_base()));
        session.lines.clear();
        session
    }

    /// Advances both clocks without an event.
    pub(crate) fn advance(&mut self, by: Duration) {
        self.now.monotonic += by;
        self.now.unix += by;
    }

    /// Applies and records one event, and returns its effects.
    pub(crate) fn apply(&mut self, event: Event) -> Vec<Effect> {
        let at_ms = self.now.monotonic.as_millis();
        self.lines
            .push(json!({ "at_ms": at_ms, "event": event }).to_string());
        let Output { effects, wake_at } = self.node.apply(event, self.now);
        for effect in &effects {
            self.lines.push(json!({ "effect": effect }).to_string());
        }
        self.wake_at = wake_at;
        let wake_at_ms = wake_at.map(|due| due.as_millis());
        self.lines
            .push(json!({ "wake_at_ms": wake_at_ms }).to_string());
        effects
    }

    /// Returns the session's text for a golden file.
    pub(crate) fn golden(&self) -> String {
        self.lines.join("\n")
    }
}

/// Returns an entry of the platform's list of VMs.
pub(crate) fn listed(vm: &str) -> ListedVm {
    ListedVm {
        vm: vm.into(),
        peer_address: "127.0.0.1:9000".parse().expect("a fixed address"),
        data_centre: "milano-a".into(),
        site: "rinnovo".into(),
        leaving: false,
    }
}

/// Returns a read of the log that brings a base into force.
pub(crate) fn config_read(base: Value) -> Event {
    let record = ConfigRecord::Publish {
        publish_id: Uuid::from_u128(1),
        document: Document::Base,
        parent: None,
        content: base,
    };
    let text = serde_json::to_string(&record).expect("records are JSON");
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

/// Returns a request with a prompt of 4,000 tokens.
pub(crate) fn completion(call: u64) -> CompletionRequest {
    CompletionRequest {
        call: CallId(call),
        account: "school".into(),
        model: "draft-models".into(),
        prompt_tokens: 4_000,
        piece_hashes: vec![11, 12],
        max_output_tokens: 10,
        traceparent: None,
    }
}

/// Returns a small site: two prefill and two decode engines, and one plain service with two processes.
pub(crate) fn site_base() -> Value {
    let engine = |port: u16, role: &str, slots: u32| {
        json!({
            "address": format!("127.0.0.1:{port}"),
            "data_centre": "milano-a",
            "role": role,
            "serves": "draft-models",
            "slots": slots,
            "link_bytes_per_s": 10_000_000_000u64,
        })
    };
    let plain = |port: u16| {
        json!({
            "address": format!("127.0.0.1:{port}"),
            "data_centre": "milano-a",
            "role": "plain",
            "serves": "renewal-app",
            "slots": 20,
        })
    };
    json!({
        "sites": ["rinnovo"],
        "data_centres": ["milano-a"],
        "accounts": {
            "school": {
                "key_sha256": "0".repeat(64),
                "max_concurrent_requests": 100,
                "max_requests_per_s": 1_000,
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
            },
        },
        "services": {
            "renewal-app": {
                "routes": [
                    {
                        "method": "POST",
                        "path_prefix": "/v1/bookings",
                        "semantics": "non_idempotent",
                        "timeout_ms": 2_000,
                    },
                    {
                        "method": "GET",
                        "path_prefix": "/v1/status",
                        "semantics": "idempotent",
                        "timeout_ms": 1_000,
                    },
                ],
            },
        },
        "endpoints": {
            "prefill-1": engine(7_001, "prefill", 1),
            "prefill-2": engine(7_002, "prefill", 1),
            "decode-1": engine(7_011, "decode", 20),
            "decode-2": engine(7_012, "decode", 20),
            "plain-1": plain(7_021),
            "plain-2": plain(7_022),
        },
        "claims": { "partitions": 1 },
    })
}
