//! Test harness for placement: a shard owner that receives requests from an entry VM.

use std::time::Duration;

use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_wire::ActiveGrant;
use arbutusfall_wire::EndedGrant;
use arbutusfall_wire::Grant;
use arbutusfall_wire::GrantEnd;
use arbutusfall_wire::GrantReport;
use arbutusfall_wire::Incarnation;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::PlaceDecision;
use arbutusfall_wire::PlaceRequest;
use arbutusfall_wire::RequestId;
use arbutusfall_wire::Sender;
use arbutusfall_wire::ShardId;
use serde_json::Value;

use crate::session::Session;
use crate::session::config_read;
use crate::session::site_base;

/// The owner of the test's shard. The entry VM, `milano-a-2`, is not in its VM list.
pub(crate) struct OwnerVm {
    pub(crate) session: Session,
}

/// The test's shard.
pub(crate) fn shard() -> ShardId {
    ShardId {
        model: "draft-models".into(),
        index: 0,
    }
}

/// Returns the id of a request whose entry is another VM.
pub(crate) fn request_id(sequence: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(8),
        sequence,
    }
}

/// Returns a request with a prompt of 100 tokens and at most 40 output tokens.
///
/// Its first-token budget is the target of the test's site.
pub(crate) fn place_request(sequence: u64) -> PlaceRequest {
    PlaceRequest {
        request: request_id(sequence),
        placement: 1,
        shard: shard(),
        account: "school".into(),
        prompt_tokens: 100,
        max_output_tokens: 40,
        piece_hashes: Vec::new(),
        first_token_budget: Duration::from_millis(910),
        resumed: false,
        prefilled_on: None,
        avoid: Vec::new(),
        traceparent: None,
    }
}

/// Returns the end report of a request's first placement, after 32 tokens.
pub(crate) fn ended(sequence: u64, end: GrantEnd) -> EndedGrant {
    EndedGrant {
        request: request_id(sequence),
        placement: 1,
        end,
        prefill_took: None,
        transfer_took: None,
        cached_tokens: None,
        generated_tokens: 32,
    }
}

/// Returns the report of a grant that is decoding.
pub(crate) fn active(sequence: u64, grant: &Grant, generated_tokens: u32) -> ActiveGrant {
    ActiveGrant {
        request: request_id(sequence),
        prefill: None,
        decode: grant.decode.clone(),
        prompt_tokens: 100,
        generated_tokens,
        max_output_tokens: 40,
    }
}

impl OwnerVm {
    /// Creates an owner of two prefill engines and two decode engines with 20 slots each.
    pub(crate) fn new() -> Self {
        Self {
            session: Session::serving("milano-a-1", &["milano-a-1"]),
        }
    }

    /// Creates an owner with the given base configuration.
    pub(crate) fn with_base(base: Value) -> Self {
        let mut session = Session::new("milano-a-1");
        session.apply(Event::Started);
        session.apply(config_read(base));
        Self { session }
    }

    /// Creates an owner with a changed copy of the test's base configuration.
    pub(crate) fn with_changed_base(change: impl FnOnce(&mut Value)) -> Self {
        let mut base = site_base();
        change(&mut base);
        Self::with_base(base)
    }

    pub(crate) fn advance_ms(&mut self, by_ms: u64) {
        self.session.advance(Duration::from_millis(by_ms));
    }

    fn send_from_entry(&mut self, message: PeerMessage) -> Vec<Effect> {
        let from = Sender {
            vm: "milano-a-2".into(),
            incarnation: Incarnation(8),
        };
        self.session.apply(Event::Peer { from, message })
    }

    /// Requests a placement; panics unless the owner decides within the same event.
    pub(crate) fn place(&mut self, request: PlaceRequest) -> PlaceDecision {
        let effects = self.send_from_entry(PeerMessage::Place(request));
        let decision = effects.into_iter().find_map(|effect| match effect {
            Effect::Send {
                message: PeerMessage::PlaceReply(reply),
                ..
            } => Some(reply.decision),
            _ => None,
        });
        decision.expect("the owner must decide within the same event")
    }

    /// Requests a placement and returns the grant; panics if it is refused.
    pub(crate) fn place_granted(&mut self, request: PlaceRequest) -> Grant {
        match self.place(request) {
            PlaceDecision::Granted(grant) => grant,
            PlaceDecision::Refused { retry_after } => {
                panic!("refused, retry after {retry_after:?}")
            }
        }
    }

    /// Requests a placement and returns the retry-after time; panics if it is granted.
    pub(crate) fn place_refused(&mut self, request: PlaceRequest) -> Duration {
        match self.place(request) {
            PlaceDecision::Granted(grant) => panic!("granted: {grant:?}"),
            PlaceDecision::Refused { retry_after } => retry_after,
        }
    }

    /// Requests placements with sequence numbers from 0 until one is refused; returns the grants.
    pub(crate) fn fill(&mut self, make: impl Fn(u64) -> PlaceRequest) -> Vec<Grant> {
        let mut grants = Vec::new();
        while let PlaceDecision::Granted(grant) = self.place(make(grants.len() as u64)) {
            grants.push(grant);
            assert!(grants.len() < 1_000, "a request must be refused");
        }
        grants
    }

    pub(crate) fn report(&mut self, active: Vec<ActiveGrant>, ended: Vec<EndedGrant>) {
        self.send_from_entry(PeerMessage::GrantReport(GrantReport {
            shard: shard(),
            active,
            ended,
        }));
    }
}
