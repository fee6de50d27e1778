//! Tests of this crate that start no process.

mod client_timeout;
mod relay_settings;
