//! Generated text: determined by the prompt, so that callers can check that an answer is whole and their own.

use arbutusfall_wire::stable_hash;

/// Smallest share of the allowed output that is generated, in percent.
const MIN_OUTPUT_PERCENT: u64 = 60;

/// Seed of the text that follows a prompt.
pub(crate) fn prompt_seed(prompt: &str) -> u32 {
    (stable_hash(&prompt) >> 32) as u32
}

/// Text of one token.
pub(crate) fn token_text(seed: u32, index: usize) -> String {
    format!("w{seed:08x}.{index} ")
}

/// Tokens that are generated when `allowed` are.
pub(crate) fn generated_length(seed: u32, allowed: usize) -> usize {
    let span = 101 - MIN_OUTPUT_PERCENT;
    let percent = (MIN_OUTPUT_PERCENT + u64::from(seed) % span) as usize;
    (allowed * percent).div_ceil(100).max(1)
}

/// Seed and number of tokens that a prompt already ends with, if it is a continued one.
pub(crate) fn continued(prompt: &str) -> Option<(u32, usize)> {
    let last = prompt.strip_suffix(' ')?.rsplit(' ').next()?;
    let last = &last[last.rfind('w')?..];
    let (seed, index) = last.strip_prefix('w')?.split_once('.')?;
    let seed = u32::from_str_radix(seed, 16).ok()?;
    Some((seed, index.parse::<usize>().ok()? + 1))
}
