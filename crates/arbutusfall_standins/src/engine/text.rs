//! Generated text: determined by the prompt, so that callers can check that an answer is complete and belongs to
//! their request.

use arbutusfall_wire::stable_hash;

/// Minimum generated length as a percentage of the requested maximum.
const MIN_OUTPUT_PERCENT: u64 = 60;

/// Returns the seed of the text generated for a prompt.
pub(crate) fn prompt_seed(prompt: &str) -> u32 {
    (stable_hash(&prompt) >> 32) as u32
}

/// Returns the text of one token.
pub(crate) fn token_text(seed: u32, index: usize) -> String {
    format!("w{seed:08x}.{index} ")
}

/// Returns the number of tokens generated when at most `max_length` are requested.
pub(crate) fn generated_length(seed: u32, max_length: usize) -> usize {
    let range = 101 - MIN_OUTPUT_PERCENT;
    let percent = (MIN_OUTPUT_PERCENT + u64::from(seed) % range) as usize;
    (max_length * percent).div_ceil(100).max(1)
}

/// Parses a prompt to which the router appended the tokens generated so far, in order to continue an interrupted
/// stream; returns their seed and number.
pub(crate) fn parse_continuation(prompt: &str) -> Option<(u32, usize)> {
    let last = prompt.strip_suffix(' ')?.rsplit(' ').next()?;
    // The first generated token follows the prompt without a space.
    let last = &last[last.rfind('w')?..];
    let (seed, index) = last.strip_prefix('w')?.split_once('.')?;
    let seed = u32::from_str_radix(seed, 16).ok()?;
    Some((seed, index.parse::<usize>().ok()? + 1))
}
