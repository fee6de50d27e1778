//! Tests of the reducer: golden sessions, properties and explorations.

mod membership;
mod nodes;
mod session;
mod thin_path;
