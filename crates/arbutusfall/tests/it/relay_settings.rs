//! Read intervals and long-polling waits that follow from the settings of a relay process.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutusfall::RelayProcessSettings;
use arbutusfall_core::relay::LIST_RECOVERY_GRACE;
use arbutusfall_core::relay::VmStrength;
use serde_json::json;

/// Duration of a store request while the store is slow.
const SLOW_REQUEST_TIME: Duration = Duration::from_millis(400);

/// Duration of a store request without faults, on a small VM.
const NORMAL_REQUEST_TIME: Duration = Duration::from_millis(50);

/// Time after an outage within which live endpoints are listed again, as the platform states it.
const RELISTING_TIME: Duration = Duration::from_secs(2);

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
// within the bound.
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

// Guards against endpoints that left unseen during an outage and are still used when the silence bound has passed: the
// times of a silent read, a slow one and the grace period add up.
#[test]
fn missing_endpoints_are_removed_within_the_silence_bound() {
    for (leaving_ms, silence_ms) in [(2_000, 3_000), (3_000, 4_000)] {
        let timing = settings(leaving_ms, silence_ms).endpoint_list_timing();
        let fresh_read_at = timing.wait + timing.answer_timeout;
        let removed_after = fresh_read_at + NORMAL_REQUEST_TIME + LIST_RECOVERY_GRACE;
        assert!(
            removed_after <= Duration::from_millis(silence_ms),
            "removed after {removed_after:?}"
        );
    }
}

// Guards against removing an endpoint that is listed again in time: the list must be read between the platform's
// relisting time and the end of the grace period.
#[test]
fn list_is_read_again_within_the_grace_period() {
    for (leaving_ms, silence_ms) in [(2_000, 3_000), (3_000, 4_000)] {
        let timing = settings(leaving_ms, silence_ms).endpoint_list_timing();
        let cycle = timing.pause_after_failure + NORMAL_REQUEST_TIME;
        let mut reads = (1..10).map(|number| cycle * number);
        let last_read = reads.rfind(|at| *at <= LIST_RECOVERY_GRACE);
        assert!(last_read >= Some(RELISTING_TIME), "{last_read:?}");
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

// Guards against a memory limit that leaves no room for answers, or that is taken in another unit.
#[test]
fn memory_for_answers_follows_from_the_memory_limit_of_the_vm() {
    let document = |memory_limit_mb: u64| {
        json!({
            "vm": "plovdiv-a-1",
            "data_centre": "plovdiv-a",
            "caller_address": "10.0.0.1:8080",
            "operator_address": "10.0.0.1:8081",
            "store_address": "10.0.9.1:7000",
            "memory_limit_mb": memory_limit_mb,
        })
    };
    for memory_limit_mb in [0, 7, 110_000_000] {
        let parsed = serde_json::from_value::<RelayProcessSettings>(document(memory_limit_mb));
        let error = parsed.expect_err("out of range").to_string();
        assert!(error.contains("is not from 8 to"), "{error}");
    }
    let settings: RelayProcessSettings =
        serde_json::from_value(document(110)).expect("valid settings");
    let limits = settings.buffer_limits();
    assert!(limits.read_answer_bytes < 110_000_000 / 4);
    assert!(settings.max_answer_bytes() * 4 <= limits.read_answer_bytes);
    assert!(limits.total_bytes() <= 110_000_000 / 2);
}

// Guards against a VM whose strength is published in another unit, or not at all.
#[test]
fn strength_of_the_vm_follows_from_its_settings() {
    assert_eq!(settings(2_000, 3_000).strength(), VmStrength::default());
    let document = json!({
        "vm": "plovdiv-a-1",
        "data_centre": "plovdiv-a",
        "caller_address": "10.0.0.1:8080",
        "operator_address": "10.0.0.1:8081",
        "store_address": "10.0.9.1:7000",
        "cpu_share": 0.09,
        "link_mbps": 10,
    });
    let settings: RelayProcessSettings = serde_json::from_value(document).expect("valid settings");
    let expected = VmStrength {
        cpu_milli: Some(90),
        link_mbps: Some(10),
    };
    assert_eq!(settings.strength(), expected);
}

/// Number of the last settings file of this process, whose tests run at the same time.
static LAST_FILE: AtomicU64 = AtomicU64::new(0);

/// Loads settings from a file with one more field.
fn load_with(name: &str, value: serde_json::Value) -> Result<RelayProcessSettings, String> {
    let mut document = serde_json::to_value(settings(2_000, 3_000)).expect("settings are JSON");
    document[name] = value;
    let number = LAST_FILE.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("relay-{}-{number}.json", std::process::id()));
    std::fs::write(&file, document.to_string()).expect("the file is written");
    let loaded = RelayProcessSettings::load(&file);
    std::fs::remove_file(&file).expect("the file is removed");
    loaded.map_err(|error| error.current_context().to_string())
}

// Guards against a VM that starts with numbers by which it lets no request pass, or all: they were replaced without a message.
#[test]
fn numbers_outside_their_ranges_are_rejected_by_name() {
    let rejected = [
        ("quota_window_s", json!(0)),
        ("quota_window_s", json!(-8)),
        ("quota_window_s", json!(1e30)),
        ("quota_excess_ratio", json!(0)),
        ("quota_excess_ratio", json!(-0.1)),
        ("quota_excess_ratio", json!(1.1)),
        ("quota_slack", json!(-1)),
        ("retry_ratio", json!(-0.1)),
        ("retry_slack", json!(-1)),
        ("vm_count", json!(0)),
        ("cpu_share", json!(0)),
        ("cpu_share", json!(-0.5)),
        ("link_mbps", json!(0)),
        ("link_mbps", json!(-10)),
        ("lease_lifetime_ms", json!(0)),
        ("leaving_bound_ms", json!(0)),
        ("silence_bound_ms", json!(0)),
        ("silence_bound_ms", json!(u64::MAX)),
        ("memory_limit_mb", json!(-8)),
    ];
    for (name, value) in rejected {
        let error = load_with(name, value.clone()).expect_err(name);
        assert!(error.contains(&format!("{name}: ")), "{error}");
        assert!(
            error.contains("must be") || error.contains("is not from"),
            "{error}"
        );
    }
}

// Guards against a deployment that no longer starts.
#[test]
fn numbers_within_their_ranges_are_accepted() {
    let accepted = [
        ("quota_window_s", json!(0.5)),
        ("quota_excess_ratio", json!(1)),
        ("quota_slack", json!(0)),
        ("retry_ratio", json!(0)),
        ("retry_slack", json!(0)),
        ("vm_count", json!(1)),
        ("cpu_share", json!(0.09)),
        ("link_mbps", json!(10)),
        ("drain_timeout_s", json!(0)),
        ("log_bytes_per_s", json!(0)),
    ];
    for (name, value) in accepted {
        load_with(name, value).expect(name);
    }
}
