//! Runs the relay of `arbutusfall_core` on the users' platform: sockets and clocks around it.

mod callers;
mod driver;
mod duties;
mod exchange;
mod line_log;
mod metrics;
mod open_calls;
mod serve;
mod settings;
mod store_watch;

pub use serve::serve_relay;
pub use settings::RelayFileSettings;
