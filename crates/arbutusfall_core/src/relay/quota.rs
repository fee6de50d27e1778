//! Quotas of client accounts, held by all VMs together.
//!
//! One VM at a time owns an account: it holds the votes of a majority of the account's electors and grants tokens from one bucket
//! ([`QuotaOwner`]). The other VMs lease tokens from it ([`QuotaLeases`]). Nothing in these two performs I/O or knows the relay.

mod account_bucket;
mod electors;
mod emergency;
mod handling;
mod leases;
mod links;
mod owner;
mod settings;
mod token_bucket;
mod waiting;

pub use handling::OwnedAccountStatus;
pub use handling::QuotaStatus;
pub use leases::QuotaAdmission;
pub use leases::QuotaCounts;
pub use leases::QuotaLeases;
pub use leases::QuotaOutput;
pub use links::QuotaOutcome;
pub use owner::OwnedAccount;
pub use owner::QuotaOwner;
pub use settings::QuotaSettings;

pub(in crate::relay) use handling::QUOTA;
pub(in crate::relay) use handling::QuotaState;
pub(crate) use handling::QuotaUse;
pub(crate) use token_bucket::TokenBucket;
