//! Requests and parts of prompts under which endpoints keep ending, and the blocks on them.

pub(in crate::relay) mod answered_causes;
pub(in crate::relay) mod cause_blocks;
pub(in crate::relay) mod crash_cause;
pub(in crate::relay) mod crash_handling;
pub(in crate::relay) mod crash_suspects;
pub(in crate::relay) mod endpoint_ends;
pub(in crate::relay) mod prompt_part;
