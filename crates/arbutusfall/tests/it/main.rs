//! Tests of the command's own parts that need no process.

mod relay_settings;
