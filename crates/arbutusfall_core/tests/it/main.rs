//! Tests of the reducer: golden sessions, properties and explorations.

mod session;
mod thin_path;
