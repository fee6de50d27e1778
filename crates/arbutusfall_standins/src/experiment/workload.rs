//! Requests of one run, determined by its seed and independent of the policy.

use std::time::Duration;

use fastrand::Rng;

use crate::SiteSpec;
use crate::Traffic;
use crate::site::BYTES_PER_TOKEN;
use crate::site::DECODE_STEP_MS;
use crate::site::PIECE_TOKENS;
use crate::site::SLOTS;

/// Mean output length of the stand-in engines as a fraction of the requested maximum.
const MEAN_OUTPUT_FRACTION: f64 = 0.8;

/// Number of sampled requests from which the full load is computed.
const SAMPLES: usize = 4_000;

/// One request to send.
#[derive(Debug, Clone)]
pub(crate) struct PlannedRequest {
    /// Time of arrival since the start of the run.
    pub(crate) arrives_at: Duration,
    /// Index of the shared prefix with which the prompt begins, if any.
    shared_prefix: Option<usize>,
    unique_tokens: usize,
    /// Position in [`Workload::requests`]; seeds the unique part of the prompt.
    number: usize,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: usize,
}

/// Requests of a run and the shared prefixes of their prompts.
#[derive(Debug)]
pub(crate) struct Workload {
    shared_prefixes: Vec<String>,
    /// Requests in order of arrival.
    pub(crate) requests: Vec<PlannedRequest>,
}

impl Workload {
    /// Generates Poisson arrivals at a fraction of the site's full load.
    pub(crate) fn new(site: &SiteSpec, load: f64, run_s: f64, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let lengths: Vec<usize> = (0..site.traffic.shared_prefixes)
            .map(|_| log_uniform(&mut rng, site.traffic.shared_prefix_tokens))
            .collect();
        let shared_prefixes = lengths.iter().enumerate();
        let shared_prefixes =
            shared_prefixes.map(|(number, tokens)| random_text(number as u64 + 1, *tokens));
        let shared_prefixes = shared_prefixes.collect();
        let requests_per_s = full_load_per_s(site, &lengths) * load;
        let mut requests = Vec::new();
        let mut at_s = 0.0;
        loop {
            at_s += -(1.0 - rng.f64()).ln() / requests_per_s;
            if at_s >= run_s {
                break;
            }
            let number = requests.len();
            requests.push(sample_request(&mut rng, &site.traffic, number, at_s));
        }
        Self {
            shared_prefixes,
            requests,
        }
    }

    /// Returns the prompt of a request.
    pub(crate) fn prompt(&self, request: &PlannedRequest) -> String {
        let shared_prefix = request
            .shared_prefix
            .map_or("", |index| &self.shared_prefixes[index]);
        // The offset keeps this seed apart from those of the shared prefixes.
        let own = random_text(request.number as u64 + 1_000_000, request.unique_tokens);
        format!("{shared_prefix}{own}")
    }
}

/// Returns the requests per second that saturate the pool with less capacity:
/// `min(prefill tokens/s / uncached tokens per request, decode slots / time for which a request holds a slot)`.
///
/// Whole pieces of shared prefixes count as cached. A slot is held for the transfer and for the mean output, at the
/// step time of a full batch.
fn full_load_per_s(site: &SiteSpec, lengths: &[usize]) -> f64 {
    let mut rng = Rng::with_seed(0);
    let (mut uncached_tokens, mut slot_s) = (0.0, 0.0);
    for number in 0..SAMPLES {
        let request = sample_request(&mut rng, &site.traffic, number, 0.0);
        let shared_prefix_tokens = request.shared_prefix.map_or(0, |index| lengths[index]);
        let prompt_tokens = shared_prefix_tokens + request.unique_tokens;
        uncached_tokens += (shared_prefix_tokens % PIECE_TOKENS + request.unique_tokens) as f64;
        let transfer_bytes = prompt_tokens as f64 * site.kv_bytes_per_token as f64;
        slot_s += transfer_bytes / site.link_bytes_per_s as f64;
        let output_tokens = request.max_tokens as f64 * MEAN_OUTPUT_FRACTION;
        slot_s += output_tokens * DECODE_STEP_MS / 1_000.0;
    }
    let samples = SAMPLES as f64;
    let prefill_tokens_per_s = site.prefill_engines as f64 * f64::from(site.prefill_tokens_per_s);
    let slots = (site.decode_engines * SLOTS) as f64;
    (prefill_tokens_per_s / (uncached_tokens / samples)).min(slots / (slot_s / samples))
}

fn sample_request(rng: &mut Rng, traffic: &Traffic, number: usize, at_s: f64) -> PlannedRequest {
    let with_shared_prefix = rng.u32(0..100) < traffic.with_shared_prefix_percent;
    PlannedRequest {
        arrives_at: Duration::from_secs_f64(at_s),
        shared_prefix: with_shared_prefix.then(|| sample_shared_prefix(rng, traffic)),
        unique_tokens: log_uniform(rng, traffic.unique_tokens),
        number,
        max_tokens: log_uniform(rng, traffic.max_tokens),
    }
}

/// Samples a shared prefix; its weight falls with its rank by a power law (Zipf).
fn sample_shared_prefix(rng: &mut Rng, traffic: &Traffic) -> usize {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-traffic.popularity_exponent);
    let total: f64 = (0..traffic.shared_prefixes).map(weight).sum();
    let mut remaining = rng.f64() * total;
    for rank in 0..traffic.shared_prefixes {
        remaining -= weight(rank);
        if remaining <= 0.0 {
            return rank;
        }
    }
    0
}

/// Samples an integer whose logarithm is uniformly distributed.
fn log_uniform(rng: &mut Rng, (min, max): (usize, usize)) -> usize {
    let (min, max) = ((min as f64).ln(), (max as f64).ln());
    (min + rng.f64() * (max - min)).exp() as usize
}

/// Returns random letters for a number of tokens, determined by a seed.
fn random_text(seed: u64, tokens: usize) -> String {
    let mut rng = Rng::with_seed(seed);
    let letters = (0..tokens * BYTES_PER_TOKEN).map(|_| rng.lowercase());
    letters.collect()
}
