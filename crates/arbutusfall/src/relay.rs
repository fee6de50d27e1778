//! Runs the relay of `arbutusfall_core` on the platform: sockets, clocks and timers.

mod callers;
mod control_client;
mod decision_log;
mod driver;
mod effects;
mod endpoint_check;
mod exchange;
mod fact_board;
mod fact_follower;
mod fact_server;
mod handle;
mod metrics;
mod open_calls;
mod open_exchanges;
mod peer_client;
mod peer_handshake;
mod peer_server;
mod quota_client;
mod quota_server;
mod read_timing;
mod run_check;
mod send_permission;
mod serve;
mod settings;
mod shared_records;
mod store_client;
mod store_era;
mod store_pages;
mod store_signal;
mod store_watch;
mod stream_records;
mod waiters;

pub use read_timing::ReadTiming;
pub use serve::serve_relay;
pub use settings::RelayProcessSettings;
