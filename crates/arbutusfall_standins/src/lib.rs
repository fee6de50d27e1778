//! Small stand-ins for the systems around arbutusfall: the platform's log service and VM list, engines, a plain
//! service and a collector of spans. Each runs as a separate process, and most inject faults on request.
//!
//! [`Fleet`] starts a whole site on loopback:
//!
//! ```no_run
//! use arbutusfall_standins::Fleet;
//! use arbutusfall_standins::SiteSpec;
//!
//! let program = std::path::Path::new("target/release/arbutusfall_standins");
//! let fleet = Fleet::start(program, &SiteSpec::vitosha(), 7).unwrap();
//! println!("callers connect to {}", fleet.vms[0].caller_address);
//! ```

mod caller;
mod collector;
mod demo;
mod engine;
mod experiment;
mod fleet;
mod free_address;
mod log_service;
mod plain_service;
mod query;
mod site;
mod stand_in;
mod vm_list;

pub use caller::Caller;
pub use caller::CallerError;
pub use caller::Completion;
pub use caller::PlainAnswer;
pub use caller::expected_text;
pub use demo::demo;
pub use experiment::experiment;
pub use fleet::Fleet;
pub use fleet::FleetError;
pub use fleet::Process;
pub use fleet::VmProcess;
pub use free_address::free_address;
pub use site::SiteSpec;
pub use site::Traffic;
pub use stand_in::run_stand_in;
