//! Learned distribution of answer lengths, as fractions of `max_output_tokens`.

use std::collections::BTreeMap;

use arbutusfall_wire::Name;

/// Buckets of a histogram, of equal width.
const BUCKETS: usize = 20;

/// Answers after which the weight of an older answer has halved.
const HALF_LIFE_ANSWERS: f64 = 200.0;

/// Weight, in answers, of the initial assumption that answers reach `max_output_tokens`.
const PRIOR_WEIGHT: f64 = 3.0;

/// Answer lengths by account.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerLengths {
    by_account: BTreeMap<Name, Histogram>,
}

/// Weights of the buckets, from short answers to full length.
#[derive(Debug, Clone)]
struct Histogram([f64; BUCKETS]);

impl Default for Histogram {
    fn default() -> Self {
        let mut weights = [0.0; BUCKETS];
        weights[BUCKETS - 1] = PRIOR_WEIGHT;
        Self(weights)
    }
}

impl AnswerLengths {
    /// Adds a complete answer.
    pub(crate) fn learn(&mut self, account: &Name, generated_tokens: u32, max_output_tokens: u32) {
        let histogram = self.by_account.entry(account.clone()).or_default();
        let decay = 0.5_f64.powf(1.0 / HALF_LIFE_ANSWERS);
        for weight in &mut histogram.0 {
            *weight *= decay;
        }
        histogram.0[bucket_of(generated_tokens, max_output_tokens)] += 1.0;
    }

    /// Returns the expected number of tokens still to be generated; at least 1.
    pub(crate) fn expected_remaining(
        &self,
        account: Option<&Name>,
        generated_tokens: u32,
        max_output_tokens: u32,
    ) -> f64 {
        let learned = account.and_then(|account| self.by_account.get(account));
        let prior = Histogram::default();
        let histogram = learned.unwrap_or(&prior);
        let first_bucket = bucket_of(generated_tokens, max_output_tokens);
        let (mut total, mut sum) = (0.0, 0.0);
        for (bucket, weight) in histogram.0.iter().enumerate().skip(first_bucket) {
            total += weight;
            sum += weight * (bucket as f64 + 0.5) / BUCKETS as f64;
        }
        let mean_fraction = if total > 0.0 { sum / total } else { 1.0 };
        let length = mean_fraction * f64::from(max_output_tokens);
        (length - f64::from(generated_tokens)).max(1.0)
    }
}

fn bucket_of(tokens: u32, max_output_tokens: u32) -> usize {
    let bucket = u64::from(tokens) * BUCKETS as u64 / u64::from(max_output_tokens.max(1));
    usize::try_from(bucket).unwrap_or(BUCKETS).min(BUCKETS - 1)
}
