//! Tests of the reducer: golden sessions, properties and explorations.

mod claims_exploration;
mod claims_faults;
mod claims_sessions;
mod claims_steps;
mod claims_world;
mod membership;
mod nodes;
mod session;
mod streams_play;
mod streams_sessions;
mod thin_path;
