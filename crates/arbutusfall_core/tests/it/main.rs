//! Tests of the reducer: golden sessions, properties and explorations.

mod calls;
mod capacity;
mod claims_exploration;
mod claims_faults;
mod claims_random;
mod claims_sessions;
mod claims_steps;
mod claims_world;
mod config_fold;
mod config_reader;
mod config_size;
mod hostile_records;
mod leaving;
mod membership;
mod nodes;
mod placement_play;
mod placement_policy;
mod relay_calls;
mod relay_roles;
mod relay_world;
mod session;
mod streams_play;
mod streams_random;
mod streams_sessions;
mod sweep;
mod thin_path;
