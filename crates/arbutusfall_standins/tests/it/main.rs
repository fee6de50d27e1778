//! Tests on real processes, driven by causes and not by sleeps.

mod callers;
mod check_command;
mod claims;
mod command_line;
mod configuration;
mod demo;
mod documents;
mod drain;
mod golden;
mod hostile;
mod peers;
mod relay;
mod streams;
mod support;
mod telemetry;
mod turn;
