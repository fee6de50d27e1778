//! Tests of this crate that start no process.

mod relay_settings;
