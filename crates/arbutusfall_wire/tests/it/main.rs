//! Tests of the wire formats.

mod codec;
mod facts;
mod quota;
