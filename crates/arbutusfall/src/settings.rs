//! Settings of one process, read from a JSON file.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use arbutusfall_wire::Name;
use error_stack::Report;
use error_stack::ResultExt;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Settings that a process needs before it can read its configuration from the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, as in the platform's VM list and in the VM's certificate.
    pub vm: Name,
    /// Data centre in which the VM runs.
    pub data_centre: Name,
    /// Site that the VM serves.
    pub site: Name,
    /// Address to listen on for callers.
    pub caller_address: SocketAddr,
    /// Address to listen on for operators: liveness, readiness and status.
    pub operator_address: SocketAddr,
    /// Address to listen on for peers.
    pub peer_address: SocketAddr,
    /// Address of the platform's log service.
    pub log_service_address: SocketAddr,
    /// Address of the platform's VM list.
    pub vm_list_address: SocketAddr,
    /// Key and certificates for peer connections.
    pub tls: TlsFiles,
    /// Address to which counters are sent (statsd); if missing, none are sent.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Address to which spans are sent (Zipkin v2 JSON over HTTP); if missing, none are sent.
    #[serde(default)]
    pub trace_address: Option<SocketAddr>,
    /// Format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Lowest severity that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Number of threads that run tasks, at least 1.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: u16,
}

/// PEM files with the key and certificates for peer connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificate of the deployment's authority.
    pub authority_file: PathBuf,
    /// This VM's certificate.
    pub certificate_file: PathBuf,
    /// This VM's private key.
    pub key_file: PathBuf,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Lowest severity that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only failures that need an operator's action.
    Error,
    /// Also conditions that may become a failure.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also details for developers.
    Debug,
}

fn default_worker_threads() -> u16 {
    2
}

/// Error while loading settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable {
        /// The file.
        file: PathBuf,
    },
    /// The file's content is invalid.
    Invalid {
        /// The file.
        file: PathBuf,
        /// Dotted path of the invalid value.
        path: String,
        /// Description of the mistake.
        found: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file } => write!(f, "{}: cannot be read", file.display()),
            Self::Invalid { file, path, found } => write!(f, "{}: {path}: {found}", file.display()),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file cannot be read or its content is invalid.
    pub fn load(file: &Path) -> Result<Self, Report<SettingsError>> {
        let settings: Self = read_settings(file)?;
        if settings.worker_threads == 0 {
            return Err(Report::new(SettingsError::Invalid {
                file: file.to_owned(),
                path: "worker_threads".to_owned(),
                found: "0; at least one thread is needed".to_owned(),
            }));
        }
        Ok(settings)
    }
}

/// Reads and deserializes a JSON file of settings.
pub(crate) fn read_settings<T: DeserializeOwned>(file: &Path) -> Result<T, Report<SettingsError>> {
    let unreadable = || SettingsError::Unreadable {
        file: file.to_owned(),
    };
    let text = std::fs::read_to_string(file).change_context_lazy(unreadable)?;
    let invalid = |path: String, found: String| {
        Report::new(SettingsError::Invalid {
            file: file.to_owned(),
            path,
            found,
        })
    };
    let value = arbutusfall_core::config::parse_document(&text)
        .map_err(|error| invalid(error.path, error.found))?;
    serde_path_to_error::deserialize(&value)
        .map_err(|error| invalid(error.path().to_string(), error.inner().to_string()))
}
