//! Settings of one process, from a JSON file.

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

/// What a process must know before it can read its configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, as in the platform's list and in its certificate.
    pub vm: Name,
    /// Data centre in which the VM runs.
    pub data_centre: Name,
    /// Site that the VM serves.
    pub site: Name,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators ask for status and readiness.
    pub operator_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where the platform's log listens.
    pub log_service_address: SocketAddr,
    /// Where the platform's list of VMs listens.
    pub vm_list_address: SocketAddr,
    /// Keys and certificates.
    pub tls: TlsFiles,
    /// Where counters are sent (statsd); none sends no counters.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Where spans are sent (Zipkin v2 JSON over HTTP); none sends no spans.
    #[serde(default)]
    pub trace_address: Option<SocketAddr>,
    /// Form of the log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Least severe log lines that are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Threads that run tasks.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: u16,
}

/// Keys and certificates as PEM files.
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

/// Form of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Severity of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only failures that need somebody's hand.
    Error,
    /// Also what may become a failure.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also what only developers read.
    Debug,
}

fn default_worker_threads() -> u16 {
    2
}

/// Settings could not be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable {
        /// The file.
        file: PathBuf,
    },
    /// The file's content is not valid.
    Invalid {
        /// The file.
        file: PathBuf,
        /// Where in the file, as a dotted path.
        path: String,
        /// What is wrong.
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
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the file, the place and what is wrong.
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

/// Reads a JSON file of settings.
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
