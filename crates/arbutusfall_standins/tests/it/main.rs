//! Tests that run real processes and wait for conditions instead of fixed times.

mod callers;
mod check_command;
mod claims;
mod command_line;
mod configuration;
mod demo;
mod drain;
mod fleet_lock;
mod golden;
mod hostile;
mod operations_page;
mod peers;
mod streams;
mod support;
mod telemetry;
mod udp_proxy;
