//! A child process of a fleet.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use error_stack::Report;
use error_stack::ResultExt;
use rustix::process::Pid;
use rustix::process::Signal;

use crate::FleetError;

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Endpoint name, VM name or kind of stand-in.
    pub name: String,
    /// Address on which it listens; for a VM its peer address.
    pub address: SocketAddr,
    pub(super) child: Child,
}

impl Process {
    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // Fails if the process has already exited.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        // The process has been killed; its exit status is not needed.
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, on which a VM drains and exits.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with SIGSTOP until [`Self::thaw`].
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Returns the exit status if the process has exited; -1 if a signal ended it.
    pub fn exit_status(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a stand-in without waiting until it listens.
///
/// # Errors
///
/// [`FleetError::Start`] with its name if it cannot be started.
pub(super) fn spawn_stand_in(
    program: &Path,
    name: &str,
    kind: &str,
    address: SocketAddr,
    options: &str,
) -> Result<Child, Report<FleetError>> {
    Command::new(program)
        .args(["stand-in", kind, &address.to_string(), options])
        .stdin(Stdio::null())
        .spawn()
        .change_context_lazy(|| FleetError::Start(name.to_owned()))
}
