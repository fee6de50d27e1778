//! Client accounts: whose requests are served, with which priority and within which quota.

pub(in crate::relay) mod account;
pub(in crate::relay) mod api_key;
pub(in crate::relay) mod authentication;
pub(in crate::relay) mod credential;
pub(in crate::relay) mod sent_account;
pub(in crate::relay) mod table;
