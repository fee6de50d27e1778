//! Tests of the reducer: golden sessions, properties and explorations.

mod config_fold;
mod config_size;
mod membership;
mod nodes;
mod session;
mod thin_path;
