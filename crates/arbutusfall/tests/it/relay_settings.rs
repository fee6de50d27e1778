//! Read intervals and long-polling waits that follow from the settings of a relay process.

use std::time::Duration;

use arbutusfall::RelayProcessSettings;
use serde_json::json;

/// Duration of a store request while the store is slow.
const SLOW_REQUEST_TIME: Duration = Duration::from_millis(400);

fn settings(leaving_bound_ms: u64, silence_bound_ms: u64) -> RelayProcessSettings {
    let document = json!({
        "vm": "plovdiv-a-1",
        "data_centre": "plovdiv-a",
        "caller_address": "10.0.0.1:8080",
        "operator_address": "10.0.0.1:8081",
        "store_address": "10.0.9.1:7000",
        "leaving_bound_ms": leaving_bound_ms,
        "silence_bound_ms": silence_bound_ms,
    });
    serde_json::from_value(document).expect("valid settings")
}

#[test]
fn leaving_endpoint_is_noticed_within_the_leaving_bound() {
    for bound_ms in [500, 2_000, 3_000] {
        let pause = settings(bound_ms, 3_000).endpoint_list_timing().pause;
        let bound = Duration::from_millis(bound_ms);
        assert!(pause < bound, "a pause of {pause:?} exceeds {bound:?}");
        // If the bound is at least 2 s, it must leave time for two slow requests: one that just misses the record and
        // one that returns it.
        assert!(
            bound_ms < 2_000 || pause + 2 * SLOW_REQUEST_TIME <= bound,
            "two slow requests and a pause of {pause:?} exceed {bound:?}"
        );
    }
}

// Guards against a read that begins just before the store recovers, is never answered and leaves no time for another one
// within the bound (incident CONFIG).
#[test]
fn fresh_read_fits_into_the_silence_bound() {
    for bound_ms in [200, 500, 1_000, 1_500, 3_000, 4_000] {
        let bound = Duration::from_millis(bound_ms);
        let timing = settings(2_000, bound_ms).config_timing();
        let left = bound.saturating_sub(timing.max_time_to_fresh_read());
        assert!(left >= bound / 8, "{left:?} of {bound:?} are left");
        assert!(
            bound_ms < 3_000 || left >= SLOW_REQUEST_TIME,
            "{left:?} of {bound:?} are less than a slow request takes"
        );
    }
}

#[test]
fn silent_connection_is_noticed_within_the_silence_bound() {
    for bound_ms in [200, 500, 1_000, 1_500, 3_000, 4_000] {
        let timing = settings(2_000, bound_ms).config_timing();
        let noticed_after = timing.wait + timing.answer_timeout;
        assert!(noticed_after <= Duration::from_millis(bound_ms));
    }
}

#[test]
fn slow_answer_is_awaited() {
    let settings = settings(2_000, 3_000);
    for timing in [settings.config_timing(), settings.endpoint_list_timing()] {
        assert!(timing.answer_timeout > SLOW_REQUEST_TIME, "{timing:?}");
    }
}

/// Each VM must send few requests to the store, because 410 VMs share its capacity.
#[test]
fn store_load_of_an_idle_vm_is_below_two_reads_per_second() {
    for (leaving_ms, silence_ms) in [(2_000, 3_000), (3_000, 4_000)] {
        let settings = settings(leaving_ms, silence_ms);
        let reads = 1.0 / settings.endpoint_list_timing().pause.as_secs_f64()
            + 1.0 / settings.config_timing().wait.as_secs_f64();
        // A lease renewal, once per second, is assumed to cost the store a tenth of a read.
        assert!(
            reads + 0.1 < 2.0,
            "{reads} reads per second, without the lease"
        );
    }
}
