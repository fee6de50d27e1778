//! Tests on real processes, driven by causes and not by sleeps.

mod claims;
mod demo;
mod streams;
mod turn;
