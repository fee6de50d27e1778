//! Facts of the store that VMs of one data centre pass on to each other, so that not each of them reads the store.
//!
//! Owns whom this VM follows ([`FactSource`]), what it can pass on ([`FactLog`]) and how long passed facts are fresh
//! ([`FactTimes`]). Nothing here performs I/O.

mod handling;
mod log;
mod newest_search;
mod passed_limit;
mod source;
mod strength;
mod tail_cost;
mod times;

pub use log::FactLog;
pub use log::FactPosition;
pub use log::FactRecord;
pub use log::FactSpan;
pub use newest_search::NewestSearch;
pub use newest_search::NextNewest;
pub use passed_limit::max_passed_bytes;
pub use source::FactSource;
pub use source::FollowOutcome;
pub use source::NextFacts;
pub use strength::BYTES_PER_S_PER_MBPS;
pub use strength::StrengthClass;
pub use strength::VmStrength;
pub use tail_cost::TailCost;
pub use times::FactTimes;
pub use times::WaitingQuestion;
