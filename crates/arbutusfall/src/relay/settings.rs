//! Settings of a relay process, from a JSON file that the platform writes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use arbutusfall_core::relay::RetryLimit;
use arbutusfall_wire::Name;
use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::LogLevel;
use crate::SettingsError;
use crate::relay::read_timing::ReadTiming;
use crate::settings::read_settings;

/// Part of `retry_slack` that each VM is assumed to add to it if the number of VMs is not given.
const SLACK_PER_VM: f64 = 2.0;

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
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Maximum number of retries, as a share of all requests.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Retries to a service that all VMs together may send in 10 s besides `retry_ratio`.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// Number of VMs that share `retry_slack`; half of `retry_slack` if it is not given.
    #[serde(default)]
    pub vm_count: Option<u32>,
    /// Lifetime of the lease whose holder is the only VM to order role changes of engines.
    #[serde(default = "default_lease_lifetime_ms")]
    pub lease_lifetime_ms: u64,
    /// Time after SIGTERM by which the process must have exited.
    #[serde(default = "default_drain_timeout_s")]
    pub drain_timeout_s: u64,
    /// Maximum time from the store's record that an endpoint is leaving until this VM sends it no more requests.
    #[serde(default = "default_leaving_bound_ms")]
    pub leaving_bound_ms: u64,
    /// Time within which a silent connection to the store must be detected.
    #[serde(default = "default_silence_bound_ms")]
    pub silence_bound_ms: u64,
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

fn default_lease_lifetime_ms() -> u64 {
    3_000
}

fn default_leaving_bound_ms() -> u64 {
    2_000
}

fn default_silence_bound_ms() -> u64 {
    3_000
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
        read_settings(file)
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

    /// Returns the times of reads of the endpoint list.
    pub fn endpoint_list_timing(&self) -> ReadTiming {
        ReadTiming::of_endpoint_list(
            Duration::from_millis(self.leaving_bound_ms),
            Duration::from_millis(self.silence_bound_ms),
        )
    }

    /// Returns the times of reads of the configuration.
    pub fn config_timing(&self) -> ReadTiming {
        ReadTiming::of_config(Duration::from_millis(self.silence_bound_ms))
    }
}
