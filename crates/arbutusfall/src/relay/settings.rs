//! Settings of a relay process, from a JSON file that the platform writes.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use arbutusfall_core::relay::BufferLimits;
use arbutusfall_core::relay::FactTimes;
use arbutusfall_core::relay::QuotaSettings;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::StrengthClass;
use arbutusfall_core::relay::VmStrength;
use arbutusfall_wire::Name;
use error_stack::Report;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;

use crate::LogLevel;
use crate::SettingsError;
use crate::relay::read_timing::ReadTiming;
use crate::relay::setting_ranges::check_ranges;
use crate::settings::read_settings;

/// Part of `retry_slack` that each VM is assumed to add to it if the number of VMs is not given.
const SLACK_PER_VM: f64 = 2.0;

/// Largest age of the endpoint list, as a share of the leaving bound: more than a VM whose followed VM ends ever has, and less than the
/// bound by the time that a request is on its way.
const MAX_LIST_AGE_SHARE: f64 = 0.9;

/// Allowed values of `memory_limit_mb`.
const MEMORY_LIMIT_RANGE_MB: RangeInclusive<u32> = 8..=1_048_576;

/// Memory that a VM is assumed to have if it is not stated.
const DEFAULT_MEMORY_MB: u32 = 110;

/// Number of answers of the largest size that the memory for answers can hold.
const MIN_CONCURRENT_ANSWERS: usize = 4;

/// Contents of the settings file of a relay process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayProcessSettings {
    /// Name of the VM.
    pub vm: Name,
    /// Data centre in which the VM runs.
    pub data_centre: Name,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the platform reads readiness and metrics.
    pub operator_address: SocketAddr,
    /// Address for requests of other VMs: forwarded ones of callers, questions for facts of the store and about quotas. Without it, this
    /// VM answers and asks none.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Maximum number of retries, as a share of all requests.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Retries to a service that all VMs together may send in 10 s besides `retry_ratio`.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// Number of VMs that share `retry_slack` and, without `peer_address`, the quotas of accounts; half of `retry_slack` if it is not
    /// given.
    #[serde(default)]
    pub vm_count: Option<u32>,
    /// Processor share of the VM in cores. With `link_mbps` it is published to other VMs, so that strong VMs read the store for the others of
    /// their data centre.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Bandwidth of the VM's link in Mbit/s.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Lifetime of the lease whose holder is the only VM to order role changes of engines.
    #[serde(default = "default_lease_lifetime_ms")]
    pub lease_lifetime_ms: u64,
    /// Span in which the use of a client account by all VMs together is bounded, in seconds; the same at all VMs.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Tolerated excess in this span, as a share of what the account's quota allows in it; more than 0 and at most 1.
    #[serde(default = "default_quota_excess_ratio")]
    pub quota_excess_ratio: f64,
    /// Tolerated excess in this span besides, in units of the quota.
    #[serde(default)]
    pub quota_slack: f64,
    /// Time after SIGTERM by which the process must have exited.
    #[serde(default = "default_drain_timeout_s")]
    pub drain_timeout_s: u64,
    /// Maximum time from the store's record that an endpoint is leaving until this VM sends it no more requests.
    #[serde(default = "default_leaving_bound_ms")]
    pub leaving_bound_ms: u64,
    /// Time within which a silent connection to the store must be detected.
    #[serde(default = "default_silence_bound_ms")]
    pub silence_bound_ms: u64,
    /// Memory that the VM may use. If it is stated, half of it bounds all bodies on their way, and answers end that their callers do
    /// not read.
    #[serde(default, deserialize_with = "memory_limit_mb")]
    pub memory_limit_mb: Option<u32>,
    /// Whether endpoints that have started or failed get less load until they answer in time, and slow ones less than others.
    #[serde(default)]
    pub slow_start: bool,
    /// Rate limit of the decision log in bytes per second. Excess lines are dropped and counted, routine ones first.
    #[serde(default = "default_log_bytes_per_s")]
    pub log_bytes_per_s: u32,
    /// Minimum severity of diagnostic log lines.
    #[serde(default)]
    pub log_level: LogLevel,
}

fn default_retry_ratio() -> f64 {
    0.1
}

fn default_retry_slack() -> f64 {
    40.0
}

fn default_quota_window_s() -> f64 {
    8.0
}

fn default_quota_excess_ratio() -> f64 {
    0.1
}

fn default_lease_lifetime_ms() -> u64 {
    3_000
}

fn default_leaving_bound_ms() -> u64 {
    2_000
}

fn default_silence_bound_ms() -> u64 {
    3_000
}

fn memory_limit_mb<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u32>, D::Error> {
    // The platform may state fractions.
    let Some(value) = Option::<f64>::deserialize(deserializer)? else {
        return Ok(None);
    };
    let rounded = value.round() as u32;
    if MEMORY_LIMIT_RANGE_MB.contains(&rounded) {
        return Ok(Some(rounded));
    }
    let (least, most) = (MEMORY_LIMIT_RANGE_MB.start(), MEMORY_LIMIT_RANGE_MB.end());
    Err(D::Error::custom(format!(
        "{value} is not from {least} to {most}"
    )))
}

fn bytes_of_mb(mb: u32) -> usize {
    mb as usize * 1_000_000
}

fn default_log_bytes_per_s() -> u32 {
    64 * 1024
}

fn default_drain_timeout_s() -> u64 {
    8
}

impl RelayProcessSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file cannot be read or is invalid; it names the file, the position and the problem.
    pub fn load(file: &Path) -> Result<Self, Report<SettingsError>> {
        let settings: Self = read_settings(file)?;
        match check_ranges(&settings) {
            Ok(()) => Ok(settings),
            Err(error) => Err(Report::new(SettingsError::Invalid {
                file: file.to_owned(),
                path: error.name.to_owned(),
                found: error.to_string(),
            })),
        }
    }

    /// Returns the limit of the retries of all VMs together.
    pub fn retry_limit(&self) -> RetryLimit {
        let vm_count = self.vm_count;
        RetryLimit {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            vm_count: vm_count.unwrap_or((self.retry_slack / SLACK_PER_VM).ceil() as u32),
        }
    }

    /// Returns the settings of the quotas of client accounts.
    pub fn quota_settings(&self) -> QuotaSettings {
        QuotaSettings {
            window: Duration::try_from_secs_f64(self.quota_window_s).unwrap_or_default(),
            excess_ratio: self.quota_excess_ratio.clamp(0.0, 1.0),
            slack: self.quota_slack.max(0.0),
        }
    }

    /// Returns what this VM publishes of its own processor and link.
    pub fn strength(&self) -> VmStrength {
        VmStrength {
            cpu_milli: self.cpu_share.map(|share| (share * 1_000.0).round() as u32),
            link_mbps: self.link_mbps.map(|link| link.round() as u32),
        }
    }

    /// Returns whether this VM asks stronger ones for newest records before it reads them from the store.
    pub(super) fn seeks_newest(&self) -> bool {
        self.peer_address.is_some() && self.strength().class() != StrengthClass::UNKNOWN
    }

    /// Returns the limits of the memory for bodies; the configuration limits the size of each request's.
    pub fn buffer_limits(&self) -> BufferLimits {
        match self.memory_limit_mb {
            Some(memory_mb) => BufferLimits::of_memory(bytes_of_mb(memory_mb)),
            None => BufferLimits::of_unstated_memory(bytes_of_mb(DEFAULT_MEMORY_MB)),
        }
    }

    /// Returns the size of the largest answer that is read completely.
    pub fn max_answer_bytes(&self) -> usize {
        self.buffer_limits().read_answer_bytes / MIN_CONCURRENT_ANSWERS
    }

    /// Returns the times of reads of the endpoint list.
    pub fn endpoint_list_timing(&self) -> ReadTiming {
        ReadTiming::of_endpoint_list(
            Duration::from_millis(self.leaving_bound_ms),
            Duration::from_millis(self.silence_bound_ms),
        )
    }

    /// Returns the age of the endpoint list that no request is sent by while the list can be read.
    pub fn max_list_age(&self) -> Duration {
        Duration::from_millis(self.leaving_bound_ms).mul_f64(MAX_LIST_AGE_SHARE)
    }

    /// Returns the times of the facts that VMs pass on to each other.
    pub fn fact_times(&self) -> FactTimes {
        FactTimes {
            wait: self.endpoint_list_timing().pause,
        }
    }

    /// Returns the times of reads of the configuration.
    pub fn config_timing(&self) -> ReadTiming {
        ReadTiming::of_config(Duration::from_millis(self.silence_bound_ms))
    }
}
