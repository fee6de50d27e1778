//! Size of a request for a model, and the memory that is reserved for it.

/// Size of a request for a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// The caller's estimate of the tokens to generate.
    pub expected_output_tokens: Option<u32>,
}

/// Share of the longest answer for which memory is reserved whatever the caller expects, because estimates are often far
/// too low.
const RESERVED_OF_LONGEST: f64 = 0.5;

/// Share of the expected answer for which memory is reserved besides.
const RESERVED_OF_EXPECTED: f64 = 0.6;

/// Share of the longest answer that a typical answer takes.
const TYPICAL_OF_LONGEST: f64 = 0.5;

impl Prompt {
    /// Tokens that are reserved in an engine's memory: more than most answers take, and less than the longest, so that
    /// the memory is used and few answers outgrow their reservations.
    pub fn memory_tokens(self) -> u64 {
        let longest = f64::from(self.max_output_tokens);
        let expected = self.expected_output_tokens.map_or(longest, f64::from);
        let output = RESERVED_OF_LONGEST * longest + RESERVED_OF_EXPECTED * expected;
        u64::from(self.prompt_tokens) + output.min(longest) as u64
    }

    /// What the request is expected to take of a decode engine: memory times the tokens for whose generation it is held.
    pub(crate) fn expected_cost(self) -> f64 {
        let longest = f64::from(self.max_output_tokens);
        let estimate = self.expected_output_tokens.map_or(longest, f64::from);
        // Estimates are often far off, so that half of the longest answer counts as much.
        let output = (longest * TYPICAL_OF_LONGEST * estimate).sqrt();
        (f64::from(self.prompt_tokens) + output * 0.5) * output
    }
}
