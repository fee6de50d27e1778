//! Tests of the reducer: golden sessions, properties and explorations.

mod hostile_records;
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
