//! Tests on real processes, driven by causes and not by sleeps.

mod callers;
mod claims;
mod command_line;
mod demo;
mod documents;
mod golden;
mod hostile;
mod peers;
mod relay;
mod streams;
mod support;
mod telemetry;
mod turn;
