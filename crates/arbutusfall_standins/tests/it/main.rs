//! Tests on real processes, driven by causes and not by sleeps.

mod demo;
mod streams;
