//! Tests on real processes, driven by causes and not by sleeps.

mod claims;
mod configuration;
mod demo;
mod drain;
mod streams;
mod turn;
