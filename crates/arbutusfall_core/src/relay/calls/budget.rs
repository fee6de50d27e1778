//! Retry budget: limits retries to a fraction of the requests, so that retries cannot multiply an overload.
//!
//! The limit holds for all VMs together, in every span of [`SPAN`]. Each VM keeps it for the requests that it received
//! itself, and all VMs share the slack.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use arbutusfall_wire::Name;

/// Length of the spans in which retries are limited.
const SPAN: Duration = Duration::from_secs(10);

/// Length of a bucket of the counts.
const BUCKET: Duration = Duration::from_millis(250);

/// Buckets in a span.
const SPAN_BUCKETS: usize = (SPAN.as_millis() / BUCKET.as_millis()) as usize;

/// Buckets in half a span.
const HALF_SPAN_BUCKETS: usize = SPAN_BUCKETS / 2;

/// Buckets kept: a span, and the span before it.
const KEPT_BUCKETS: usize = 2 * SPAN_BUCKETS + 1;

/// Share of the slack that VMs may use. The rest is for spans in which the load moves from some VMs to others, so that the
/// VMs count different requests.
const USED_SLACK_SHARE: f64 = 0.75;

/// Weight of the newest outcome in the running mean of refusals.
const NEWEST_OUTCOME_WEIGHT: f64 = 0.1;

/// Share of refused sends above which a service refuses nearly all requests.
const NEARLY_ALL_SHARE: f64 = 0.8;

/// Retries kept for streams that have started: their callers have part of an answer, which would be lost.
const STARTED_STREAM_RESERVE: f64 = 1.0;

/// What a retry is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryUse {
    /// A request whose caller has received nothing yet.
    NotStarted,
    /// A stream whose caller has received part of it.
    StartedStream,
}

/// Limit of the retries of all VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries that each request adds to the limit, as a fraction of one retry.
    pub ratio: f64,
    /// Retries allowed in a span besides, for each service and all VMs together.
    pub slack: f64,
    /// Number of VMs that share the slack.
    pub vm_count: u32,
}

impl RetryLimit {
    /// Returns the retries that one VM may send in a span regardless of its requests.
    fn free_retries(&self) -> f64 {
        self.slack * USED_SLACK_SHARE / f64::from(self.vm_count.max(1))
    }
}

/// Counts of one bucket.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requests: u32,
    retries: u32,
}

fn bucket_number(now: Duration) -> u64 {
    u64::try_from(now.as_millis() / BUCKET.as_millis()).unwrap_or(u64::MAX)
}

/// Counts of one service over the last two spans.
#[derive(Debug, Clone)]
struct History {
    /// Number of the newest bucket.
    newest: u64,
    /// Counts up to the newest bucket, oldest first; at least 1 and at most [`KEPT_BUCKETS`].
    buckets: VecDeque<Counts>,
    /// Running mean of the share of sends that endpoints refused.
    refused_share: f64,
}

impl History {
    fn new(now: Duration) -> Self {
        Self {
            newest: bucket_number(now),
            buckets: VecDeque::from([Counts::default()]),
            refused_share: 0.0,
        }
    }

    /// Adds buckets up to the one of `now` and returns it.
    fn newest_bucket(&mut self, now: Duration) -> &mut Counts {
        let number = bucket_number(now).max(self.newest);
        let missing = usize::try_from(number - self.newest).unwrap_or(usize::MAX);
        self.newest = number;
        let new = std::iter::repeat_n(Counts::default(), missing.min(KEPT_BUCKETS));
        self.buckets.extend(new);
        let excess = self.buckets.len().saturating_sub(KEPT_BUCKETS);
        self.buckets.drain(..excess);
        let newest = self.buckets.len() - 1;
        &mut self.buckets[newest]
    }

    /// Returns the retries in the newest bucket and a span before it.
    fn retries_in_span(&self) -> u32 {
        let newest_first = self.buckets.iter().rev();
        let in_span = newest_first.take(SPAN_BUCKETS + 1);
        in_span.map(|counts| counts.retries).sum()
    }

    /// Returns the requests that count in every span that the newest bucket is part of.
    ///
    /// The requests of a span are those of the span itself, of the one before it or of the one half a span before it,
    /// whichever has most. A span may begin at any time within a bucket, so only whole buckets count.
    fn requests_of_every_span(&self) -> u32 {
        let sums = self.request_sums();
        // Age of the bucket in which the span begins; the newest bucket has age 0.
        let starts = 0..=SPAN_BUCKETS;
        let of_spans = starts.map(|start| {
            let itself = sums.of_ages(0..start);
            let before = sums.of_ages(start + 1..start + SPAN_BUCKETS);
            let half_before = sums
                .of_ages((start + 1).saturating_sub(HALF_SPAN_BUCKETS)..start + HALF_SPAN_BUCKETS);
            itself.max(before).max(half_before)
        });
        of_spans.min().unwrap_or_default()
    }

    fn request_sums(&self) -> RequestSums {
        let newest_first = self.buckets.iter().rev();
        let mut sum = 0;
        let sums = newest_first.map(|counts| {
            sum += counts.requests;
            sum
        });
        RequestSums(std::iter::once(0).chain(sums).collect())
    }
}

/// Sums of the requests in the newest buckets; entry `n` is the sum over the `n` newest ones.
struct RequestSums(Vec<u32>);

impl RequestSums {
    /// Returns the requests in the buckets of these ages.
    fn of_ages(&self, ages: Range<usize>) -> u32 {
        self.of_newest(ages.end) - self.of_newest(ages.start)
    }

    fn of_newest(&self, buckets: usize) -> u32 {
        self.0[buckets.min(self.0.len() - 1)]
    }
}

/// Retry budget of one VM, kept per service.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    limit: RetryLimit,
    histories: BTreeMap<Name, History>,
}

impl RetryBudget {
    pub(crate) fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            histories: BTreeMap::new(),
        }
    }

    fn history(&mut self, service: &Name, now: Duration) -> &mut History {
        let history = self.histories.entry(service.clone());
        history.or_insert_with(|| History::new(now))
    }

    /// Counts an arriving request.
    pub(crate) fn on_request(&mut self, service: &Name, now: Duration) {
        self.history(service, now).newest_bucket(now).requests += 1;
    }

    /// Takes a request off the count that goes on at another VM, which counts it.
    pub(crate) fn on_request_left(&mut self, service: &Name, now: Duration) {
        let newest = self.history(service, now).newest_bucket(now);
        newest.requests = newest.requests.saturating_sub(1);
    }

    /// Records whether an endpoint refused a request or answered it.
    pub(crate) fn on_outcome(&mut self, service: &Name, is_refused: bool, now: Duration) {
        let newest = if is_refused { 1.0 } else { 0.0 };
        let share = &mut self.history(service, now).refused_share;
        *share += (newest - *share) * NEWEST_OUTCOME_WEIGHT;
    }

    /// Returns whether the service's endpoints have refused nearly all requests of late.
    pub(crate) fn refuses_nearly_all(&self, service: &Name) -> bool {
        let history = self.histories.get(service);
        history.is_some_and(|history| history.refused_share > NEARLY_ALL_SHARE)
    }

    /// Gives a retry back that was taken at `taken_at` and not used.
    pub(crate) fn give_back(&mut self, service: &Name, taken_at: Duration, now: Duration) {
        let history = self.history(service, now);
        history.newest_bucket(now);
        let age = history.newest.saturating_sub(bucket_number(taken_at));
        let age = usize::try_from(age).unwrap_or(usize::MAX);
        if let Some(counts) = history.buckets.iter_mut().rev().nth(age) {
            counts.retries = counts.retries.saturating_sub(1);
        }
    }

    /// Spends one retry and returns true if the budget allows it.
    pub(crate) fn try_take(&mut self, service: &Name, retry_use: RetryUse, now: Duration) -> bool {
        let limit = self.limit;
        let history = self.history(service, now);
        history.newest_bucket(now);
        let requests = f64::from(history.requests_of_every_span());
        let allowed = limit.free_retries() + limit.ratio * requests;
        let reserve = match retry_use {
            RetryUse::NotStarted => STARTED_STREAM_RESERVE,
            RetryUse::StartedStream => 0.0,
        };
        if f64::from(history.retries_in_span() + 1) > allowed - reserve {
            return false;
        }
        history.newest_bucket(now).retries += 1;
        true
    }
}
