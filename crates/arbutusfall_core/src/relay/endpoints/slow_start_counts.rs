//! Counts of decisions on slow start.

/// Counts of decisions on slow start since the start of this VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlowStartCounts {
    /// Slow starts that began: an endpoint was new, had restarted or had failed.
    pub begun: u64,
    /// Answers and refusals that made a window smaller.
    pub shrunk: u64,
    /// Selections from which endpoints were held back.
    pub held_back: u64,
}
