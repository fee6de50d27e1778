//! Tests on real processes, driven by causes and not by sleeps.

mod check_command;
mod claims;
mod configuration;
mod demo;
mod drain;
mod streams;
mod turn;
