//! Client accounts: whose requests are served, with which priority and within which quota.

pub(in crate::relay) mod account;
