//! Counters and latency quantiles, as text in the Prometheus exposition format.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

use arbutusfall_core::relay::BufferCounts;
use arbutusfall_core::relay::BufferStatus;
use arbutusfall_core::relay::ConfigStatus;
use arbutusfall_core::relay::LimitStatus;
use arbutusfall_core::relay::LoadCounts;
use arbutusfall_core::relay::LoadStatus;
use arbutusfall_core::relay::QuotaStatus;
use arbutusfall_core::relay::RelayNotice;
use arbutusfall_core::relay::SlowStartCounts;
use arbutusfall_core::relay::SlowStartStatus;
use hdrhistogram::Histogram;

use crate::lock::lock;

/// Longest latency that the histograms distinguish; longer ones are recorded as this value.
const MAX_LATENCY_MS: u64 = 60_000;

/// Significant decimal digits kept for latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Reported quantiles.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Values of a process's state.
#[derive(Debug)]
pub(super) struct StateMetrics {
    /// Configuration in force, if any.
    pub(super) config: Option<ConfigStatus>,
    /// Newest era of the store, if it states any.
    pub(super) store_era: Option<u64>,
    /// Number of parts whose prompts are refused.
    pub(super) blocked_parts: usize,
    /// Requests that are refused because they crash endpoints.
    pub(super) blocked_requests: usize,
    /// Endpoints that rest.
    pub(super) resting_endpoints: usize,
    /// Services whose endpoints this VM does not reach.
    pub(super) unreachable_services: usize,
    /// Whether this VM follows another one for facts of the store.
    pub(super) follows_vm: bool,
    /// Questions of other VMs for facts that are being answered.
    pub(super) followers: usize,
    /// Age of what this VM knows of each topic of the store, by the topic's name.
    pub(super) fact_ages_ms: Vec<(&'static str, u64)>,
    /// Limits that endpoints named.
    pub(super) limits: LimitStatus,
    /// Limits of plain services whose endpoints reject requests.
    pub(super) load: LoadStatus,
    /// Endpoints that get less load until they answer in time.
    pub(super) slow_start: SlowStartStatus,
    /// Bodies in memory.
    pub(super) buffers: BufferStatus,
    /// Decisions on quotas of client accounts.
    pub(super) quota: QuotaStatus,
}

/// Counters and histograms of one process.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    notice_counts: BTreeMap<(&'static str, &'static str), u64>,
    /// Ended requests by whether their route was added, and their outcome.
    request_counts: BTreeMap<(bool, &'static str), u64>,
    latencies: BTreeMap<&'static str, Histogram<u32>>,
}

impl State {
    /// Counts a notice; `reason` is the value of the label: the reason of a failure or, for a sent request, its work.
    fn count(&mut self, event: &'static str, reason: &'static str) {
        *self.notice_counts.entry((event, reason)).or_default() += 1;
    }

    fn count_request(&mut self, is_added_route: bool, outcome: &'static str) {
        let count = self.request_counts.entry((is_added_route, outcome));
        *count.or_default() += 1;
    }

    fn record(&mut self, name: &'static str, latency_ms: u64) {
        if !self.latencies.contains_key(name) {
            // Never fails, because the constant bounds are valid.
            let Ok(empty) = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
            else {
                return;
            };
            self.latencies.insert(name, empty);
        }
        if let Some(histogram) = self.latencies.get_mut(name) {
            histogram.saturating_record(latency_ms);
        }
    }
}

impl Metrics {
    /// Counts a notice and records its latencies.
    pub(super) fn on_notice(&self, notice: &RelayNotice) {
        let mut state = lock(&self.state);
        match notice {
            RelayNotice::GivenUp {
                reason,
                route,
                is_added_route,
                late_ms,
                ..
            } => {
                state.count(notice.name(), reason);
                if route.is_some() {
                    state.count_request(*is_added_route, "given_up");
                }
                if *reason == "timeout" {
                    state.record("late", *late_ms);
                }
            }
            RelayNotice::ExchangeFailed { reason, .. } => state.count(notice.name(), reason),
            RelayNotice::MoveAbandoned { reason, .. } => state.count(notice.name(), reason),
            RelayNotice::StreamEnded { framing, .. } => state.count(notice.name(), framing.name()),
            RelayNotice::EndChecked { finding, .. } => state.count(notice.name(), finding),
            RelayNotice::Sent { work, .. } => state.count(notice.name(), work),
            RelayNotice::ConfigIgnored { reason, .. } => state.count(notice.name(), reason),
            RelayNotice::Store { topic, .. } => state.count(notice.name(), topic.name()),
            RelayNotice::Answered {
                is_added_route,
                after_ms,
                first_event_ms,
                ..
            } => {
                state.count(notice.name(), "");
                state.count_request(*is_added_route, "answered");
                state.record("answer", *after_ms);
                if let Some(first_event_ms) = first_event_ms {
                    state.record("first_event", *first_event_ms);
                }
            }
            _ => state.count(notice.name(), ""),
        }
    }

    /// Counts an event that has no log line.
    pub(super) fn count(&self, event: &'static str, reason: &'static str) {
        lock(&self.state).count(event, reason);
    }

    /// Returns all counters, quantiles and values of the state in the exposition format.
    pub(super) fn text(&self, values: &StateMetrics) -> String {
        let state = lock(&self.state);
        let mut text = String::new();
        state.write_counters(&mut text, values);
        state.write_latencies(&mut text);
        if let Some(config) = values.config {
            write_config(&mut text, config);
        }
        if let Some(era) = values.store_era {
            write_gauge(&mut text, "store_era", era);
        }
        write_gauge(&mut text, "blocked_parts", values.blocked_parts as u64);
        write_gauge(
            &mut text,
            "blocked_requests",
            values.blocked_requests as u64,
        );
        write_gauge(
            &mut text,
            "resting_endpoints",
            values.resting_endpoints as u64,
        );
        write_gauge(
            &mut text,
            "unreachable_services",
            values.unreachable_services as u64,
        );
        write_gauge(&mut text, "follows_vm", u64::from(values.follows_vm));
        write_gauge(&mut text, "followers", values.followers as u64);
        write_fact_ages(&mut text, &values.fact_ages_ms);
        let limits = values.limits;
        write_gauge(&mut text, "limited_endpoints", limits.endpoints as u64);
        let limited_services = values.load.limited_services as u64;
        write_gauge(&mut text, "limited_services", limited_services);
        let starting = values.slow_start.endpoints as u64;
        write_gauge(&mut text, "starting_endpoints", starting);
        let owned = values.quota.owned_accounts as u64;
        write_gauge(&mut text, "owned_accounts", owned);
        write_gauge(&mut text, "limit_shares_held", limits.held_shares as u64);
        write_buffers(&mut text, values.buffers);
        text
    }
}

// Writing to a string cannot fail.

impl State {
    fn write_counters(&self, text: &mut String, values: &StateMetrics) {
        text.push_str("# TYPE arbutusfall_events_total counter\n");
        for ((event, reason), count) in &self.notice_counts {
            let _ = writeln!(
                text,
                "arbutusfall_events_total{{event=\"{event}\",reason=\"{reason}\"}} {count}"
            );
        }
        write_quota_counters(text, values.quota);
        write_load_counters(text, values.load.counts);
        write_slow_start_counters(text, values.slow_start.counts);
        write_buffer_counters(text, values.buffers.counts);
        write_granted_tokens(text, values.quota);
        text.push_str("# TYPE arbutusfall_requests_total counter\n");
        for ((is_added_route, outcome), count) in &self.request_counts {
            let routes = if *is_added_route { "added" } else { "first" };
            let _ = writeln!(
                text,
                "arbutusfall_requests_total{{routes=\"{routes}\",outcome=\"{outcome}\"}} {count}"
            );
        }
    }

    fn write_latencies(&self, text: &mut String) {
        text.push_str("# TYPE arbutusfall_latency_milliseconds summary\n");
        for (name, histogram) in &self.latencies {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "arbutusfall_latency_milliseconds{{of=\"{name}\",quantile=\"{quantile}\"}} {value}"
                );
            }
            let count = histogram.len();
            let _ = writeln!(
                text,
                "arbutusfall_latency_milliseconds_count{{of=\"{name}\"}} {count}"
            );
        }
    }
}

/// Writes counters without a reason, which belong to the metric of events.
fn write_events(text: &mut String, counters: &[(&str, u64)]) {
    for (event, count) in counters {
        let _ = writeln!(
            text,
            "arbutusfall_events_total{{event=\"{event}\",reason=\"\"}} {count}"
        );
    }
}

/// Writes the counters of limits on plain services, which belong to the metric of events.
fn write_load_counters(text: &mut String, counts: LoadCounts) {
    let counters = [
        ("load.rejected", counts.rejected),
        ("load.beyond_limit", counts.beyond_limit),
        ("load.refused", counts.refused),
    ];
    write_events(text, &counters);
}

/// Writes the counters of slow start, which belong to the metric of events.
fn write_slow_start_counters(text: &mut String, counts: SlowStartCounts) {
    let counters = [
        ("slow_start.begun", counts.begun),
        ("slow_start.shrunk", counts.shrunk),
        ("slow_start.held_back", counts.held_back),
    ];
    write_events(text, &counters);
}

/// Writes the counters of memory for bodies, which belong to the metric of events.
fn write_buffer_counters(text: &mut String, counts: BufferCounts) {
    let counters = [
        ("buffers.request_refused", counts.request_refused),
        ("buffers.answer_paused", counts.answer_paused),
        ("buffers.stream_paused", counts.stream_paused),
        ("buffers.endpoint_full", counts.endpoint_full),
    ];
    write_events(text, &counters);
}

fn write_buffers(text: &mut String, buffers: BufferStatus) {
    let request_bytes = buffers.request_bytes as u64;
    write_gauge(text, "buffered_request_bytes", request_bytes);
    write_gauge(text, "buffered_answer_bytes", buffers.answer_bytes as u64);
    write_gauge(text, "buffered_stream_bytes", buffers.stream_bytes as u64);
}

/// Writes the counters of quotas, which belong to the metric of events.
fn write_quota_counters(text: &mut String, quota: QuotaStatus) {
    let counts = quota.counts;
    let counters = [
        ("quota.refused", counts.refused),
        ("quota.asked", counts.asked),
        ("quota.failed", counts.failed),
        ("quota.emergency", counts.emergency),
        ("quota.renewed", quota.renewed),
    ];
    write_events(text, &counters);
}

/// Writes the sum of the granted tokens, which are no events.
fn write_granted_tokens(text: &mut String, quota: QuotaStatus) {
    let _ = writeln!(
        text,
        "# TYPE arbutusfall_quota_granted_tokens_total counter\narbutusfall_quota_granted_tokens_total {}",
        quota.counts.granted_tokens as u64
    );
}

fn write_fact_ages(text: &mut String, ages_ms: &[(&'static str, u64)]) {
    text.push_str("# TYPE arbutusfall_fact_age_milliseconds gauge\n");
    for (topic, age_ms) in ages_ms {
        let _ = writeln!(
            text,
            "arbutusfall_fact_age_milliseconds{{topic=\"{topic}\"}} {age_ms}"
        );
    }
}

fn write_gauge(text: &mut String, name: &str, value: u64) {
    let _ = writeln!(
        text,
        "# TYPE arbutusfall_{name} gauge\narbutusfall_{name} {value}"
    );
}

fn write_config(text: &mut String, config: ConfigStatus) {
    let unread_ms = config.unread_for.as_millis();
    let _ = writeln!(
        text,
        "# TYPE arbutusfall_config_version gauge\narbutusfall_config_version {}\n\
         # TYPE arbutusfall_config_routes gauge\narbutusfall_config_routes {}\n\
         # TYPE arbutusfall_config_unread_milliseconds gauge\narbutusfall_config_unread_milliseconds {unread_ms}",
        config.version, config.routes
    );
}

#[cfg(test)]
mod tests {
    use arbutusfall_core::relay::QuotaCounts;
    use arbutusfall_core::relay::QuotaStatus;

    use super::write_granted_tokens;
    use super::write_quota_counters;

    // Guards against a sum over all events that includes tokens.
    #[test]
    fn granted_tokens_are_not_among_the_events() {
        let quota = QuotaStatus {
            counts: QuotaCounts {
                refused: 3,
                granted_tokens: 40_000.5,
                ..QuotaCounts::default()
            },
            ..QuotaStatus::default()
        };
        let mut events = String::new();
        write_quota_counters(&mut events, quota);
        assert!(
            events.contains("arbutusfall_events_total{event=\"quota.refused\",reason=\"\"} 3\n")
        );
        assert!(!events.contains("40000"), "{events}");
        let mut tokens = String::new();
        write_granted_tokens(&mut tokens, quota);
        assert_eq!(
            tokens,
            "# TYPE arbutusfall_quota_granted_tokens_total counter\narbutusfall_quota_granted_tokens_total 40000\n"
        );
    }
}
