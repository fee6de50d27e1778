//! Tests of the reducer: golden sessions, properties and explorations.

mod config_fold;
mod config_reader;
mod config_size;
mod membership;
mod nodes;
mod placement_play;
mod placement_policy;
mod session;
mod streams_play;
mod streams_random;
mod streams_sessions;
mod sweep;
mod thin_path;
