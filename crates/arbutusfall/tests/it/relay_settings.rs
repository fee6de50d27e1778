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
        let pause = settings(bound_ms, 3_000).endpoint_list_pause();
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

#[test]
fn silent_connection_is_noticed_within_the_silence_bound() {
    for bound_ms in [1_500, 3_000, 4_000] {
        let wait = settings(2_000, bound_ms).config_wait();
        // The request timeout is 1 s.
        let noticed_after = wait + Duration::from_secs(1);
        assert!(noticed_after <= Duration::from_millis(bound_ms));
    }
}

/// Each VM must send few requests to the store, because 410 VMs share its capacity.
#[test]
fn store_load_of_an_idle_vm_is_below_two_reads_per_second() {
    for (leaving_ms, silence_ms) in [(2_000, 3_000), (3_000, 4_000)] {
        let settings = settings(leaving_ms, silence_ms);
        let reads = 1.0 / settings.endpoint_list_pause().as_secs_f64()
            + 1.0 / settings.config_wait().as_secs_f64();
        // A lease renewal, once per second, is assumed to cost the store a tenth of a read.
        assert!(
            reads + 0.1 < 2.0,
            "{reads} reads per second, without the lease"
        );
    }
}
