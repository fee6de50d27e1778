//! Learnt lengths of answers, as shares of what requests may generate.

use std::collections::BTreeMap;

use arbutusfall_wire::Name;

/// Classes into which shares are sorted.
const CLASSES: usize = 20;

/// Answers after which older ones weigh half as much.
const HALF_LIFE: f64 = 200.0;

/// Weight of the assumption that answers are as long as they may be.
const PRIOR_WEIGHT: f64 = 3.0;

/// Lengths of answers by account.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutputLengths {
    by_account: BTreeMap<Name, Shares>,
}

/// Weights of the classes of shares.
#[derive(Debug, Clone)]
struct Shares([f64; CLASSES]);

impl Default for Shares {
    fn default() -> Self {
        let mut weights = [0.0; CLASSES];
        weights[CLASSES - 1] = PRIOR_WEIGHT;
        Self(weights)
    }
}

impl OutputLengths {
    /// An answer is complete.
    pub(crate) fn learn(&mut self, account: &Name, generated_tokens: u32, max_tokens: u32) {
        let shares = self.by_account.entry(account.clone()).or_default();
        let decay = 0.5_f64.powf(1.0 / HALF_LIFE);
        for weight in &mut shares.0 {
            *weight *= decay;
        }
        shares.0[class_of(generated_tokens, max_tokens)] += 1.0;
    }

    /// Tokens that are expected to come after those generated so far.
    pub(crate) fn expected_left(
        &self,
        account: Option<&Name>,
        generated_tokens: u32,
        max_tokens: u32,
    ) -> f64 {
        let known = account.and_then(|account| self.by_account.get(account));
        let unknown = Shares::default();
        let shares = known.unwrap_or(&unknown);
        let reached = class_of(generated_tokens, max_tokens);
        let (mut total, mut sum) = (0.0, 0.0);
        for (class, weight) in shares.0.iter().enumerate().skip(reached) {
            total += weight;
            sum += weight * (class as f64 + 0.5) / CLASSES as f64;
        }
        let share = if total > 0.0 { sum / total } else { 1.0 };
        let length = share * f64::from(max_tokens);
        (length - f64::from(generated_tokens)).max(1.0)
    }
}

fn class_of(tokens: u32, max_tokens: u32) -> usize {
    let class = u64::from(tokens) * CLASSES as u64 / u64::from(max_tokens.max(1));
    usize::try_from(class).unwrap_or(CLASSES).min(CLASSES - 1)
}
