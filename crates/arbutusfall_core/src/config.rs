//! Configuration: documents, their validation, and the fold of the log's records.

mod check;
mod document;
mod fold;
mod policy;
mod schema;

pub use check::check_documents;
pub use check::effective_config;
pub(crate) use check::effective_config_reusing_accounts;
pub(crate) use check::inherits_accounts;
pub use document::ParseDocumentError;
pub use document::parse_document;
pub use fold::ConfigFold;
pub use fold::FoldOutcome;
pub use policy::Policy;
pub use policy::PolicyKind;
pub use schema::*;
