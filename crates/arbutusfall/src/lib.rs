//! The `arbutusfall` process: runs the reducer of `arbutusfall_core` with sockets, files and clocks.
//!
//! Run a VM from its settings:
//!
//! ```no_run
//! use arbutusfall::Settings;
//! use arbutusfall::serve;
//!
//! let settings = Settings::load("settings.json".as_ref()).unwrap();
//! serve(settings).unwrap();
//! ```

mod call_table;
mod callers;
mod check;
mod cli;
mod clock;
mod driver;
mod engines;
mod explain;
mod keys;
mod lock;
mod log_client;
mod operators;
mod peers;
mod publish;
mod relay;
mod serve;
mod services;
mod settings;
mod status;
mod telemetry;
mod tls;
mod trace;
mod vm_list;

pub mod http;

pub use check::CheckError;
pub use check::check_files;
pub use cli::run_command_line;
pub use clock::Clock;
pub use clock::SystemClock;
pub use explain::ExplainDocument;
pub use explain::ExplainQuestion;
pub use explain::FetchExplanationError;
pub use explain::fetch_explanation;
pub use keys::KeysError;
pub use keys::make_authority;
pub use keys::make_vm_certificate;
pub use log_client::LogClient;
pub use log_client::LogError;
pub use log_client::ReadPage;
pub use operators::StatusDocument;
pub use publish::PublishError;
pub use publish::PublishOutcome;
pub use publish::publish;
pub use relay::ReadTiming;
pub use relay::RelayProcessSettings;
pub use relay::serve_relay;
pub use serve::ServeError;
pub use serve::serve;
pub use settings::LogFormat;
pub use settings::LogLevel;
pub use settings::Settings;
pub use settings::SettingsError;
pub use settings::TlsFiles;
pub use status::StatusError;
pub use status::fetch_status;

/// Async executor shared by all tasks of a process.
pub type Executor = async_executor::Executor<'static>;
