//! Quotas of client accounts, held by all VMs together.
//!
//! One VM at a time owns an account: it holds the votes of a majority of the account's electors and grants tokens from one bucket
//! ([`QuotaOwner`]). Every VM, the owner included, leases tokens from it for a short time and admits requests with them
//! ([`QuotaLeases`]). A VM that reaches no owner may admit a few requests without tokens, within a part of the tolerated excess
//! ([`QuotaSettings`]). Nothing in these performs I/O or knows the relay.

mod account_bucket;
mod decisions;
mod electors;
mod emergency;
mod handling;
mod held_votes;
mod leases;
mod links;
mod owner;
mod settings;
#[cfg(test)]
mod tests;
mod token_bucket;
mod waiting;

pub use decisions::QuotaAdmission;
pub use decisions::QuotaCounts;
pub use decisions::QuotaOutput;
pub use handling::OwnedAccountStatus;
pub use handling::QuotaStatus;
pub use leases::LeaseStatus;
pub use leases::QuotaLeases;
pub use leases::QuotaPlace;
pub use links::QuotaOutcome;
pub use owner::OwnedAccount;
pub use owner::QuotaOwner;
pub use settings::QuotaSettings;

pub(in crate::relay) use handling::QUOTA;
pub(in crate::relay) use handling::QuotaState;
pub(crate) use handling::QuotaUse;
pub(crate) use token_bucket::TokenBucket;
