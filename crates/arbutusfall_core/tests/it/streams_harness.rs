//! Test harness for streams: one VM under test, whose requests are placed by another VM.

use std::time::Duration;

use arbutusfall_core::AttemptId;
use arbutusfall_core::CallId;
use arbutusfall_core::Effect;
use arbutusfall_core::EngineEvent;
use arbutusfall_core::EngineFailure;
use arbutusfall_core::Event;
use arbutusfall_core::LogEra;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::Stage;
use arbutusfall_wire::ConfigRecord;
use arbutusfall_wire::Document;
use arbutusfall_wire::EndedGrant;
use arbutusfall_wire::Grant;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PlaceDecision;
use arbutusfall_wire::PlaceReply;
use arbutusfall_wire::PlaceRequest;
use arbutusfall_wire::Probe;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::Sender;
use serde_json::Value;
use uuid::Uuid;

use crate::session::Session;
use crate::session::completion;

/// Entry VM of the requests; rendezvous hashing never prefers it for the test's shard.
pub(crate) const ENTRY: &str = "milano-a-1";

/// All VMs of the test's site.
pub(crate) const VMS: [&str; 3] = [ENTRY, "milano-a-2", "milano-a-3"];

/// Names of effects of background work, which are left out of golden files.
const BACKGROUND: [&str; 3] = ["fetch_vm_list", "read_load", "read_cache"];

/// A VM that serves the test's site; [`TestVm::new`] creates the entry VM.
pub(crate) struct TestVm {
    pub(crate) session: Session,
    /// Live VM whose messages do not reach the node; indirect probes of it are acknowledged by other VMs.
    pub(crate) unheard_vm: Option<&'static str>,
}

/// Returns the incarnation of another VM's process.
pub(crate) fn incarnation(vm: &str) -> Incarnation {
    Incarnation(vm.bytes().map(u64::from).sum())
}

/// Returns the id of an entry VM's request.
pub(crate) fn request_id(sequence: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(7),
        sequence,
    }
}

/// Returns the prefill attempt of a placement.
pub(crate) fn prefill(sequence: u64, placement: u32) -> AttemptId {
    AttemptId {
        request: request_id(sequence),
        placement,
        stage: Stage::Prefill,
    }
}

/// Returns the decode attempt of a placement.
pub(crate) fn decode(sequence: u64, placement: u32) -> AttemptId {
    AttemptId {
        stage: Stage::Decode,
        ..prefill(sequence, placement)
    }
}

/// Returns a grant of two engines, given by number, that starts after `start_after`.
pub(crate) fn grant(prefill: u8, decode: u8, start_after: Duration) -> Grant {
    Grant {
        prefill: format!("prefill-{prefill}").into(),
        decode: format!("decode-{decode}").into(),
        start_after,
        first_token_after: Duration::from_millis(265),
        cached_tokens: 0,
        lifetime: Duration::from_millis(4_000),
    }
}

/// Returns the texts of the answer's tokens at these indexes.
pub(crate) fn texts(indexes: std::ops::Range<u32>) -> Vec<Name> {
    indexes.map(|index| format!("t{index} ").into()).collect()
}

impl TestVm {
    pub(crate) fn new() -> Self {
        Self {
            session: Session::serving(ENTRY, &VMS),
            unheard_vm: None,
        }
    }

    /// Advances time, with a tick whenever the node requested one.
    pub(crate) fn wait(&mut self, total: Duration) -> Vec<Effect> {
        let until = self.session.now.monotonic + total;
        let mut effects = Vec::new();
        while let Some(wake_at) = self.session.wake_at.filter(|due| *due <= until) {
            let now = self.session.now.monotonic;
            self.session.advance(wake_at.saturating_sub(now));
            let ticked = self.session.apply(Event::Tick);
            self.acknowledge_probes(&ticked);
            effects.extend(ticked);
        }
        let now = self.session.now.monotonic;
        self.session.advance(until - now);
        effects
    }

    /// Acknowledges the node's probes, except those sent to `unheard_vm`.
    fn acknowledge_probes(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Effect::Send { to, message } = effect else {
                continue;
            };
            let sequence = match message {
                PeerMessage::Probe(probe) if self.unheard_vm != Some(&**to) => probe.sequence,
                PeerMessage::IndirectProbe(asked) if self.unheard_vm != Some(&**to) => {
                    asked.sequence
                }
                _ => continue,
            };
            let ack = Probe {
                sequence,
                member_updates: Vec::new(),
                next_config_offset: Offset(1),
            };
            self.peer(to, PeerMessage::ProbeAck(ack));
        }
    }

    /// Applies a message from another VM.
    pub(crate) fn peer(&mut self, vm: &str, message: PeerMessage) -> Vec<Effect> {
        let from = Sender {
            vm: vm.into(),
            incarnation: incarnation(vm),
        };
        self.session.apply(Event::Peer { from, message })
    }

    pub(crate) fn wait_ms(&mut self, millis: u64) -> Vec<Effect> {
        self.wait(Duration::from_millis(millis))
    }

    pub(crate) fn start_request(&mut self, call: u64) -> Vec<Effect> {
        self.session.apply(Event::Completion(completion(call)))
    }

    pub(crate) fn disconnect_caller(&mut self, call: u64) -> Vec<Effect> {
        self.session.apply(Event::CallerGone { call: CallId(call) })
    }

    pub(crate) fn engine(&mut self, event: EngineEvent) -> Vec<Effect> {
        self.session.apply(Event::Engine(event))
    }

    /// Applies an owner's reply to a placement request.
    pub(crate) fn receive_reply(
        &mut self,
        from: &str,
        sequence: u64,
        placement: u32,
        decision: PlaceDecision,
    ) -> Vec<Effect> {
        let event = Self::reply_event(from, sequence, placement, decision);
        self.session.apply(event)
    }

    /// Returns the event of an owner's reply to a placement request.
    pub(crate) fn reply_event(
        from: &str,
        sequence: u64,
        placement: u32,
        decision: PlaceDecision,
    ) -> Event {
        let reply = PlaceReply {
            request: request_id(sequence),
            placement,
            decision,
        };
        Event::Peer {
            from: Sender {
                vm: from.into(),
                incarnation: incarnation(from),
            },
            message: PeerMessage::PlaceReply(reply),
        }
    }

    /// Grants a placement of the first request, with immediate start.
    pub(crate) fn grant_placement(
        &mut self,
        placement: u32,
        prefill: u8,
        decode: u8,
    ) -> Vec<Effect> {
        let grant = grant(prefill, decode, Duration::ZERO);
        self.receive_reply("milano-a-2", 1, placement, PlaceDecision::Granted(grant))
    }

    pub(crate) fn prefill_done(&mut self, placement: u32) -> Vec<Effect> {
        self.engine(EngineEvent::PrefillDone {
            attempt: prefill(1, placement),
            transfer: format!("{{\"of\":{placement}}}").into(),
            cached_tokens: Some(0),
        })
    }

    /// Applies tokens of an attempt whose first token has index `base` in the answer.
    pub(crate) fn receive_tokens(
        &mut self,
        placement: u32,
        base: u32,
        indexes: std::ops::Range<u32>,
    ) -> Vec<Effect> {
        self.engine(EngineEvent::Tokens {
            attempt: decode(1, placement),
            first_index: indexes.start,
            texts: texts(base + indexes.start..base + indexes.end),
        })
    }

    pub(crate) fn decode_done(&mut self, placement: u32, generated_tokens: u32) -> Vec<Effect> {
        self.engine(EngineEvent::DecodeDone {
            attempt: decode(1, placement),
            generated_tokens,
        })
    }

    pub(crate) fn engine_failed(
        &mut self,
        attempt: AttemptId,
        failure: EngineFailure,
    ) -> Vec<Effect> {
        self.engine(EngineEvent::Failed { attempt, failure })
    }

    /// Creates an entry VM with one request that is decoding and has delivered two tokens.
    pub(crate) fn with_decoding_request() -> Self {
        let mut entry = Self::new();
        entry.start_request(1);
        entry.grant_placement(1, 1, 1);
        entry.wait_ms(200);
        entry.prefill_done(1);
        entry.wait_ms(65);
        entry.receive_tokens(1, 0, 0..2);
        entry
    }

    /// Publishes a base configuration that replaces the session's first one.
    pub(crate) fn reconfigure(&mut self, base: Value) {
        let record = ConfigRecord::Publish {
            publish_id: Uuid::from_u128(2),
            document: Document::Base,
            parent: Some(Offset(0)),
            content: base,
        };
        let text = serde_json::to_string(&record).expect("records are JSON");
        self.session.apply(Event::Log(LogEvent::Read {
            stream: LogStream::Config,
            era: LogEra::default(),
            from: Offset(1),
            oldest: Offset(0),
            end: Offset(2),
            records: vec![LogRecord {
                offset: Offset(1),
                age: Duration::ZERO,
                text: text.into(),
            }],
        }));
    }

    /// Returns the session without background work, for a golden file.
    pub(crate) fn golden(&self) -> String {
        let mut kept: Vec<String> = Vec::new();
        let mut tick = None;
        for line in &self.session.lines {
            let value: Value = serde_json::from_str(line).unwrap_or_default();
            if value["event"] == "tick" {
                tick = Some(line.clone());
            } else if !value["event"]["peer"]["message"]["ProbeAck"].is_null() {
                tick = None;
            } else if value["event"].is_object() {
                tick = None;
                kept.push(line.clone());
            } else if is_stream_effect(&value["effect"]) {
                kept.extend(tick.take());
                kept.push(line.clone());
            }
        }
        kept.join("\n")
    }
}

fn is_stream_effect(effect: &Value) -> bool {
    if effect.is_null() || BACKGROUND.iter().any(|name| *effect == *name) {
        return false;
    }
    let background = BACKGROUND.iter().any(|name| !effect[*name].is_null());
    let message = &effect["send"]["message"];
    let background_messages = [
        "Probe",
        "ProbeAck",
        "IndirectProbe",
        "PullConfig",
        "PushConfig",
    ];
    let is_background_message = background_messages
        .iter()
        .any(|name| !message[*name].is_null());
    !background
        && !is_background_message
        && effect["note"].is_null()
        && effect["read_log"].is_null()
}

/// Returns the tokens delivered to a caller, in order.
pub(crate) fn delivered(effects: &[Effect], call: u64) -> Vec<Name> {
    let of_call = effects.iter().filter_map(|effect| match effect {
        Effect::Deliver { call: of, texts } if *of == CallId(call) => Some(texts.clone()),
        _ => None,
    });
    of_call.flatten().collect()
}

/// Returns the attempts for which a cancellation was sent.
pub(crate) fn cancelled(effects: &[Effect]) -> Vec<AttemptId> {
    let attempts = effects.iter().filter_map(|effect| match effect {
        Effect::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    });
    attempts.collect()
}

/// Returns the placement requests with the owners they were sent to.
pub(crate) fn placement_requests(effects: &[Effect]) -> Vec<(Name, PlaceRequest)> {
    let asked = effects.iter().filter_map(|effect| match effect {
        Effect::Send {
            to,
            message: PeerMessage::Place(request),
        } => Some((to.clone(), request.clone())),
        _ => None,
    });
    asked.collect()
}

/// Returns the reported grant ends with the owners they were sent to.
pub(crate) fn ended_grants(effects: &[Effect]) -> Vec<(Name, EndedGrant)> {
    let reports = effects.iter().filter_map(|effect| match effect {
        Effect::Send {
            to,
            message: PeerMessage::GrantReport(report),
        } => Some((to, report)),
        _ => None,
    });
    let ended = reports.flat_map(|(to, report)| {
        let grants = report.ended.iter();
        grants.map(move |grant| (to.clone(), grant.clone()))
    });
    ended.collect()
}

/// Returns whether the effects contain one with this serialized name.
pub(crate) fn has_effect(effects: &[Effect], name: &str) -> bool {
    let names = effects
        .iter()
        .map(|effect| serde_json::to_value(effect).unwrap_or_default());
    names.into_iter().any(|effect| !effect[name].is_null())
}
