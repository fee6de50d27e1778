//! Token counts of a model request and the memory that is reserved for it.

/// Token counts of a model request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// The caller's estimate of the tokens to generate.
    pub expected_output_tokens: Option<u32>,
}

/// Fraction of the longest answer that is always reserved, because callers' estimates are often far too low.
const RESERVED_FRACTION_OF_LONGEST: f64 = 0.5;

/// Fraction of the expected answer that is reserved in addition.
const RESERVED_FRACTION_OF_EXPECTED: f64 = 0.6;

/// Length of a typical answer as a fraction of the longest.
const TYPICAL_FRACTION_OF_LONGEST: f64 = 0.5;

impl TokenCounts {
    /// Returns the tokens to reserve in an engine's memory: the prompt plus fractions of the longest and of the
    /// expected answer, at most the longest answer, so that few answers outgrow their reservations and little memory
    /// stays unused.
    pub fn memory_tokens(self) -> u64 {
        let longest = f64::from(self.max_output_tokens);
        let expected = self.expected_output_tokens.map_or(longest, f64::from);
        let output =
            RESERVED_FRACTION_OF_LONGEST * longest + RESERVED_FRACTION_OF_EXPECTED * expected;
        u64::from(self.prompt_tokens) + output.min(longest) as u64
    }

    /// Returns the expected cost at a decode engine: mean memory in tokens times the tokens generated while it is held.
    pub(crate) fn expected_decode_cost(self) -> f64 {
        let longest = f64::from(self.max_output_tokens);
        let estimate = self.expected_output_tokens.map_or(longest, f64::from);
        // Callers' estimates are often far off, so half of the longest answer gets the same weight.
        let output = (longest * TYPICAL_FRACTION_OF_LONGEST * estimate).sqrt();
        (f64::from(self.prompt_tokens) + output * 0.5) * output
    }
}
