//! Arrivals of one run: the same for every policy that is compared.

use std::time::Duration;

use fastrand::Rng;

use crate::SiteSize;
use crate::Traffic;
use crate::site::BYTES_PER_TOKEN;
use crate::site::DECODE_STEP_MS;
use crate::site::PIECE_TOKENS;
use crate::site::SLOTS;

/// Share of the allowed output that the stand-in engines generate on average.
const MEAN_OUTPUT_SHARE: f64 = 0.8;

/// Requests from which the full load is worked out.
const SAMPLES: usize = 4_000;

/// One caller's request.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    /// Time since the run's start.
    pub(crate) at: Duration,
    document: Option<usize>,
    own_tokens: usize,
    number: usize,
    /// Most tokens to generate.
    pub(crate) output_tokens: usize,
}

/// Requests and the documents with which their prompts begin.
#[derive(Debug)]
pub(crate) struct Workload {
    documents: Vec<String>,
    /// In the order of their instants.
    pub(crate) arrivals: Vec<Arrival>,
}

impl Workload {
    /// Poisson arrivals at a share of the site's full load.
    pub(crate) fn new(site: &SiteSize, load: f64, seconds: f64, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let lengths: Vec<usize> = (0..site.traffic.documents)
            .map(|_| log_uniform(&mut rng, site.traffic.document_tokens))
            .collect();
        let documents = lengths.iter().enumerate();
        let documents = documents.map(|(number, tokens)| text(number as u64 + 1, *tokens));
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
            arrivals.push(draw(&mut rng, &site.traffic, number, at_s));
        }
        Self {
            documents,
            arrivals,
        }
    }

    /// Text of a request's prompt.
    pub(crate) fn prompt(&self, arrival: &Arrival) -> String {
        let document = arrival.document.map_or("", |index| &self.documents[index]);
        let own = text(arrival.number as u64 + 1_000_000, arrival.own_tokens);
        format!("{document}{own}")
    }
}

/// Requests a second at which the scarcer pool is just full:
/// `min(prefill tokens/s / tokens that no cache can hold, decode slots / time that a request holds one)`.
///
/// Whole pieces of shared documents count as cached. A slot is held for the transfer and for the mean output at the
/// step of a full batch.
fn full_load_per_s(site: &SiteSize, lengths: &[usize]) -> f64 {
    let mut rng = Rng::with_seed(0);
    let (mut uncached, mut slot_s) = (0.0, 0.0);
    for number in 0..SAMPLES {
        let arrival = draw(&mut rng, &site.traffic, number, 0.0);
        let document = arrival.document.map_or(0, |index| lengths[index]);
        let prompt = document + arrival.own_tokens;
        uncached += (document % PIECE_TOKENS + arrival.own_tokens) as f64;
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

fn draw(rng: &mut Rng, traffic: &Traffic, number: usize, at_s: f64) -> Arrival {
    let with_document = rng.u32(0..100) < traffic.with_document_percent;
    Arrival {
        at: Duration::from_secs_f64(at_s),
        document: with_document.then(|| popular(rng, traffic)),
        own_tokens: log_uniform(rng, traffic.own_tokens),
        number,
        output_tokens: log_uniform(rng, traffic.output_tokens),
    }
}

/// A document by its popularity.
fn popular(rng: &mut Rng, traffic: &Traffic) -> usize {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-traffic.popularity);
    let total: f64 = (0..traffic.documents).map(weight).sum();
    let mut left = rng.f64() * total;
    for rank in 0..traffic.documents {
        left -= weight(rank);
        if left <= 0.0 {
            return rank;
        }
    }
    0
}

fn log_uniform(rng: &mut Rng, (least, most): (usize, usize)) -> usize {
    let (least, most) = ((least as f64).ln(), (most as f64).ln());
    (least + rng.f64() * (most - least)).exp() as usize
}

/// Words that follow from a seed.
fn text(seed: u64, tokens: usize) -> String {
    let mut rng = Rng::with_seed(seed);
    let letters = (0..tokens * BYTES_PER_TOKEN).map(|_| rng.lowercase());
    letters.collect()
}
