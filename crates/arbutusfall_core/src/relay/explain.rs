//! Explanations of routing decisions for operators.
//!
//! A copy of the relay decides on the request as the relay itself would, with the same random numbers, and is then discarded: the
//! relay's own state does not change, and nothing is sent.

mod candidates;
mod decisions;
mod explanation;
mod handling;
mod queries;

pub use explanation::CandidateEndpoint;
pub use explanation::ExplainedDecision;
pub use explanation::ExplainedQuota;
pub use explanation::ExplainedRequest;
pub use explanation::Explanation;
pub use explanation::WaitReason;
pub use queries::ExplainError;
pub use queries::ExplainQuery;
