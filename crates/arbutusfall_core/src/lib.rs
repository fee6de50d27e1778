//! The decision logic of arbutusfall, without I/O.
//!
//! A [`Node`] is the reducer of `arbutusfall serve`: it holds the whole state of one VM, handles one [`Event`] at a
//! time and returns [`Effect`]s as data, with the instant of its next [`Event::Tick`]:
//!
//! ```
//! use arbutusfall_core::*;
//! use arbutusfall_wire::Incarnation;
//! use std::time::Duration;
//!
//! let identity = Identity {
//!     vm: "milano-a-1".into(),
//!     incarnation: Incarnation(7),
//!     data_centre: "milano-a".into(),
//!     site: "rinnovo".into(),
//! };
//! let mut node = Node::new(identity, 1);
//! let now = Now { monotonic: Duration::ZERO, unix: Duration::from_secs(1_790_000_000) };
//! let output = node.apply(Event::Started, now);
//! assert!(output.effects.contains(&Effect::FetchVmList));
//! ```
//!
//! The same events at the same times give the same effects, so a session can be recorded and replayed. `docs/DESIGN.md`
//! describes how to drive a node from tests. [`relay::Relay`] is the reducer of `arbutusfall relay`.

pub mod config;
pub mod relay;

mod calls;
mod claims;
mod config_reader;
mod context;
mod counter;
mod drain;
mod effect;
mod event;
mod limits;
mod log_era;
mod membership;
mod node;
mod notice;
mod open_calls;
mod placement;
mod problem;
mod rendezvous;
mod status;
mod streams;
mod sweep;
mod timers;

pub use context::Identity;
pub use context::Now;
pub use counter::Counter;
pub use effect::*;
pub use event::*;
pub use node::Node;
pub use notice::Notice;
pub use problem::Problem;
pub use problem::ProblemKind;
pub use status::Status;
