//! Requests of one run, determined by its seed and independent of the policy.

use std::time::Duration;

use fastrand::Rng;

use crate::SiteSize;
use crate::Traffic;
use crate::site::BYTES_PER_TOKEN;
use crate::site::DECODE_STEP_MS;
use crate::site::PIECE_TOKENS;
use crate::site::SLOTS;

/// Mean output of the stand-in engines as a fraction of the requested maximum.
const MEAN_OUTPUT_SHARE: f64 = 0.8;

/// Number of sampled requests from which the full load is computed.
const SAMPLES: usize = 4_000;

/// One caller's request.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    /// Time of arrival since the start of the run.
    pub(crate) at: Duration,
    /// Index of the shared document with which the prompt begins, if any.
    document: Option<usize>,
    unique_tokens: usize,
    number: usize,
    /// Maximum number of tokens to generate.
    pub(crate) output_tokens: usize,
}

/// Requests of a run and the shared documents with which their prompts begin.
#[derive(Debug)]
pub(crate) struct Workload {
    documents: Vec<String>,
    /// Requests in order of arrival.
    pub(crate) arrivals: Vec<Arrival>,
}

impl Workload {
    /// Generates Poisson arrivals at a fraction of the site's full load.
    pub(crate) fn new(site: &SiteSize, load: f64, seconds: f64, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let lengths: Vec<usize> = (0..site.traffic.documents)
            .map(|_| log_uniform(&mut rng, site.traffic.document_tokens))
            .collect();
        let documents = lengths.iter().enumerate();
        let documents = documents.map(|(number, tokens)| random_text(number as u64 + 1, *tokens));
        let documents = documents.collect();
        let rate = full_load_per_s(site, &lengths) * load;
        let mut arrivals = Vec::new();
        let mut at_s = 0.0;
        loop {
            at_s += -(1.0 - rng.f64()).ln() / rate;
            if at_s >= seconds {
                break;
            }
            let number = arrivals.len();
            arrivals.push(draw_arrival(&mut rng, &site.traffic, number, at_s));
        }
        Self {
            documents,
            arrivals,
        }
    }

    /// Returns the prompt of a request.
    pub(crate) fn prompt(&self, arrival: &Arrival) -> String {
        let document = arrival.document.map_or("", |index| &self.documents[index]);
        let own = random_text(arrival.number as u64 + 1_000_000, arrival.unique_tokens);
        format!("{document}{own}")
    }
}

/// Returns the requests per second that just saturate the scarcer pool:
/// `min(prefill tokens/s / uncacheable tokens per request, decode slots / time for which a request holds a slot)`.
///
/// Whole pieces of shared documents count as cached. A slot is held for the transfer and for the mean output, at the
/// step time of a full batch.
fn full_load_per_s(site: &SiteSize, lengths: &[usize]) -> f64 {
    let mut rng = Rng::with_seed(0);
    let (mut uncached, mut slot_s) = (0.0, 0.0);
    for number in 0..SAMPLES {
        let arrival = draw_arrival(&mut rng, &site.traffic, number, 0.0);
        let document = arrival.document.map_or(0, |index| lengths[index]);
        let prompt = document + arrival.unique_tokens;
        uncached += (document % PIECE_TOKENS + arrival.unique_tokens) as f64;
        let transfer = prompt as f64 * site.kv_bytes_per_token as f64;
        slot_s += transfer / site.link_bytes_per_s as f64;
        let output = arrival.output_tokens as f64 * MEAN_OUTPUT_SHARE;
        slot_s += output * DECODE_STEP_MS / 1_000.0;
    }
    let samples = SAMPLES as f64;
    let prefill = site.prefill_engines as f64 * f64::from(site.prefill_tokens_per_s);
    let slots = (site.decode_engines * SLOTS) as f64;
    (prefill / (uncached / samples)).min(slots / (slot_s / samples))
}

fn draw_arrival(rng: &mut Rng, traffic: &Traffic, number: usize, at_s: f64) -> Arrival {
    let with_document = rng.u32(0..100) < traffic.with_document_percent;
    Arrival {
        at: Duration::from_secs_f64(at_s),
        document: with_document.then(|| draw_document(rng, traffic)),
        unique_tokens: log_uniform(rng, traffic.unique_tokens),
        number,
        output_tokens: log_uniform(rng, traffic.output_tokens),
    }
}

/// Draws a document; the weight of each falls with its rank by a power law (Zipf).
fn draw_document(rng: &mut Rng, traffic: &Traffic) -> usize {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-traffic.popularity_exponent);
    let total: f64 = (0..traffic.documents).map(weight).sum();
    let mut remaining = rng.f64() * total;
    for rank in 0..traffic.documents {
        remaining -= weight(rank);
        if remaining <= 0.0 {
            return rank;
        }
    }
    0
}

/// Draws an integer whose logarithm is uniformly distributed.
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
