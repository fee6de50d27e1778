//! Identifiers, peer messages and log records that arbutusfall's processes exchange.
//!
//! Peer messages are sent in [`Frame`]s, encoded with [`encode_frame`] and decoded with [`decode_frame`]. Records on
//! the platform's log are JSON, so that operators can read them: [`ClaimRecord`] and [`ConfigRecord`].
//!
//! ```
//! use arbutusfall_wire::*;
//!
//! let frame = Frame {
//!     sender: Sender { vm: "milano-a-1".into(), incarnation: Incarnation(7) },
//!     messages: vec![],
//! };
//! let bytes = encode_frame(&frame).unwrap();
//! assert_eq!(decode_frame(&bytes).unwrap(), frame);
//! ```

mod codec;
mod facts;
mod hash;
mod ids;
mod message;
mod payload;
mod quota;
mod record;

pub use codec::CodecError;
pub use codec::MAX_FRAME_BYTES;
pub use codec::decode_frame;
pub use codec::encode_frame;
pub use facts::FactsAnswer;
pub use facts::FactsError;
pub use facts::FactsQuestion;
pub use facts::MAX_FACTS_BYTES;
pub use facts::NewestRecord;
pub use facts::PassedRecord;
pub use facts::TopicNewest;
pub use facts::TopicNews;
pub use facts::TopicPosition;
pub use facts::UNKNOWN_AGE_MS;
pub use facts::decode_facts;
pub use facts::encode_facts;
pub use hash::FastMap;
pub use hash::FastSet;
pub use hash::piece_hashes;
pub use hash::stable_hash;
pub use ids::IdempotencyKey;
pub use ids::Incarnation;
pub use ids::Name;
pub use ids::Offset;
pub use ids::RequestId;
pub use ids::Sender;
pub use message::*;
pub use payload::Payload;
pub use quota::MAX_QUOTA_BYTES;
pub use quota::QuotaAnswer;
pub use quota::QuotaAsk;
pub use quota::QuotaGrant;
pub use quota::QuotaQuestion;
pub use quota::QuotaVote;
pub use record::*;
