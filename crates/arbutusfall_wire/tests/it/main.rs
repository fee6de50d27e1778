//! Tests of the wire formats.

mod codec;
