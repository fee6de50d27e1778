//! Tests that mostly run real processes; they wait for conditions rather than for fixed times.

mod callers;
mod check_and_publish;
mod claims;
mod command_line;
mod configuration;
mod damaged_input;
mod demo;
mod drain;
mod fleet_lock;
mod free_address;
mod golden;
mod log_restore;
mod operations_page;
mod peers;
mod streams;
mod support;
mod telemetry;
mod udp_proxy;
