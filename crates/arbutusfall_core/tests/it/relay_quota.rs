//! Quotas of client accounts at one relay.
