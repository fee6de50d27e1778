//! Settings of a relaying process, from a JSON file that the platform fills in.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use arbutusfall_wire::Name;
use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::LogLevel;
use crate::SettingsError;
use crate::settings::read_settings;

/// Time allowed for a call of the store beyond what it may hold back.
pub(super) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Shortest time for which a read of the configuration is held back.
const MIN_CONFIG_WAIT: Duration = Duration::from_millis(200);

/// Share of the time within which endpoints that leave must be known, after which the list is read again; the rest is for a
/// slow answer.
const DIRECTORY_SHARE: f64 = 0.55;

/// What a relaying process must know before it can read its configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayFileSettings {
    /// Name of the VM.
    pub vm: Name,
    /// Data centre in which the VM runs.
    pub data_centre: Name,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the platform asks whether the VM takes connections, and for counters.
    pub operator_address: SocketAddr,
    /// Where the platform's store listens.
    pub store_address: SocketAddr,
    /// Requests that may be sent again, as a share of all.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Lifetime of the lease under which one VM at a time gives orders to engines.
    #[serde(default = "default_lease_lifetime_ms")]
    pub lease_lifetime_ms: u64,
    /// Time that the process has to end after SIGTERM.
    #[serde(default = "default_drain_timeout_s")]
    pub drain_timeout_s: u64,
    /// Time within which an endpoint must get no more requests after the store took in that it leaves.
    #[serde(default = "default_leaving_bound_ms")]
    pub leaving_bound_ms: u64,
    /// Time after which a connection that went silent must have been noticed.
    #[serde(default = "default_silence_bound_ms")]
    pub silence_bound_ms: u64,
    /// Bytes of decisions that are logged in a second; more are left out and counted, failures last.
    #[serde(default = "default_log_bytes_per_s")]
    pub log_bytes_per_s: u32,
    /// Least severe log lines that are written.
    #[serde(default)]
    pub log_level: LogLevel,
}

fn default_retry_ratio() -> f64 {
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

fn default_log_bytes_per_s() -> u32 {
    64 * 1024
}

fn default_drain_timeout_s() -> u64 {
    8
}

impl RelayFileSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the file, the place and what is wrong.
    pub fn load(file: &Path) -> Result<Self, Report<SettingsError>> {
        read_settings(file)
    }

    /// Interval at which the list of endpoints is read; endpoints write to it too often to wait for each record.
    pub fn directory_interval(&self) -> Duration {
        Duration::from_millis(self.leaving_bound_ms).mul_f64(DIRECTORY_SHARE)
    }

    /// Time for which the store may hold a read of the configuration back: a connection that went silent shows only when
    /// that and the time allowed for a call are over.
    pub fn config_wait(&self) -> Duration {
        let bound = Duration::from_millis(self.silence_bound_ms);
        bound
            .saturating_sub(STORE_CALL_TIMEOUT)
            .max(MIN_CONFIG_WAIT)
    }
}
