//! A whole site on loopback, with each stand-in and each VM as a process.

mod error;
mod process;

pub use error::FleetError;
pub use process::Process;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arbutusfall::Executor;
use arbutusfall::LogFormat;
use arbutusfall::LogLevel;
use arbutusfall::Settings;
use arbutusfall::http;
use arbutusfall_core::ListedVm;
use async_io::Timer;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::future;
use serde::Serialize;
use serde_json::Value;

use crate::SiteSpec;
use crate::fleet::process::spawn_stand_in;
use crate::free_address::free_address;

/// Timeout for an awaited condition, such as that a VM is ready.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which an awaited condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout for each step (connecting, headers, body) of an HTTP exchange with a stand-in or a VM's operator address.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// A VM of the system under test.
#[derive(Debug)]
pub struct VmProcess {
    /// The VM's process.
    pub process: Process,
    /// The settings with which it was started.
    pub settings: Settings,
    /// Address to which callers connect.
    pub caller_address: SocketAddr,
    settings_file: PathBuf,
}

/// All processes of a site.
#[derive(Debug)]
pub struct Fleet {
    /// VMs of the system under test, by index.
    pub vms: Vec<VmProcess>,
    /// Engines and processes of the plain service, by endpoint name.
    pub endpoints: BTreeMap<String, Process>,
    /// Stand-in for the platform's log service.
    pub log: Process,
    /// Stand-in for the platform's VM list.
    pub vm_list: Process,
    /// Stand-in for the Zipkin collector.
    pub collector: Process,
    /// Description of the site.
    pub site: SiteSpec,
    /// Executor for HTTP exchanges with the processes.
    pub executor: Arc<Executor>,
    /// Directory of settings, keys, published documents and logs of the VMs; removed on drop.
    pub dir: PathBuf,
    /// Path of the program that runs the stand-ins and the commands of `arbutusfall`.
    pub program: PathBuf,
}

impl Fleet {
    /// Starts a site with the default policy and waits until all VMs are ready.
    ///
    /// `program` is the path of the `arbutusfall_standins` program.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if a process does not start in time.
    pub fn start(program: &Path, site: &SiteSpec, vms: usize) -> Result<Self, Report<FleetError>> {
        let mut fleet = Self::start_stand_ins(program, site)?;
        fleet.publish_site("weighted")?;
        fleet.start_vms(vms)?;
        Ok(fleet)
    }

    /// Starts the stand-ins for the platform and the endpoints, without VMs and without a configuration.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if a process does not start in time.
    pub fn start_stand_ins(program: &Path, site: &SiteSpec) -> Result<Self, Report<FleetError>> {
        let dir = std::env::temp_dir().join(format!("arbutusfall-{}", uuid::Uuid::now_v7()));
        std::fs::create_dir_all(&dir).change_context(FleetError::Setup)?;
        let options = serde_json::to_string(&site.engine_options()).unwrap_or_default();
        let mut endpoints = BTreeMap::new();
        let roles = [
            ("prefill", site.prefill_engines, "engine"),
            ("decode", site.decode_engines, "engine"),
            ("plain", site.service_processes, "service"),
        ];
        for (role, count, kind) in roles {
            for number in 1..=count {
                let name = format!("{role}-{number}");
                endpoints.insert(
                    name.clone(),
                    start_stand_in(program, &name, kind, &options)?,
                );
            }
        }
        let fleet = Self {
            vms: Vec::new(),
            endpoints,
            log: start_stand_in(program, "log", "log", "{}")?,
            vm_list: start_stand_in(program, "vm-list", "vm-list", "{}")?,
            collector: start_stand_in(program, "collector", "collector", "{}")?,
            site: site.clone(),
            executor: Arc::new(Executor::new()),
            dir,
            program: program.to_owned(),
        };
        let mut all: Vec<&Process> = fleet.endpoints.values().collect();
        all.extend([&fleet.log, &fleet.vm_list, &fleet.collector]);
        for process in all {
            wait_until(&process.name, || {
                std::net::TcpStream::connect(process.address).is_ok()
            })?;
        }
        Ok(fleet)
    }

    /// Publishes the site's base and overlay to the log service.
    ///
    /// # Errors
    ///
    /// [`FleetError::Command`] if a publication is not accepted.
    pub fn publish_site(&self, policy: &str) -> Result<(), Report<FleetError>> {
        let addresses = self
            .endpoints
            .iter()
            .map(|(name, process)| (name.clone(), process.address));
        self.publish(&["base"], &self.site.base(policy))?;
        self.publish(
            &["overlay", self.site.name],
            &self.site.overlay(&addresses.collect()),
        )
    }

    /// Publishes a configuration document, which `document_arguments` name: `["base"]` or `["overlay", SITE]`.
    ///
    /// # Errors
    ///
    /// [`FleetError::Command`] if it is not accepted.
    pub fn publish(
        &self,
        document_arguments: &[&str],
        document: &Value,
    ) -> Result<(), Report<FleetError>> {
        let file = self.dir.join("document.json");
        std::fs::write(&file, document.to_string()).change_context(FleetError::Setup)?;
        let mut arguments: Vec<String> = vec!["publish".to_owned()];
        arguments.extend(document_arguments.iter().map(ToString::to_string));
        arguments.push(file.display().to_string());
        arguments.extend(["--log".to_owned(), self.log.address.to_string()]);
        self.run_command(&arguments)
    }

    /// Runs a command of `arbutusfall` and waits for its exit.
    ///
    /// # Errors
    ///
    /// [`FleetError::Command`] with its standard error output if its exit status is not 0.
    pub fn run_command(&self, arguments: &[String]) -> Result<(), Report<FleetError>> {
        let failed = || FleetError::Command(arguments.join(" "));
        let output = Command::new(&self.program)
            .arg("arbutusfall")
            .args(arguments)
            .output()
            .change_context_lazy(failed)?;
        if output.status.success() {
            return Ok(());
        }
        let printed = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(Report::new(FleetError::Command(printed)))
    }

    /// Starts further VMs, updates the VM list and waits until the new VMs are ready.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if a VM is not ready in time.
    pub fn start_vms(&mut self, count: usize) -> Result<(), Report<FleetError>> {
        let first = self.vms.len();
        for index in first..first + count {
            let settings = self.prepare_vm(index)?;
            let vm = self.start_vm(settings)?;
            self.vms.push(vm);
        }
        self.set_vm_list(&[])?;
        for vm in &self.vms[first..] {
            self.wait_ready(vm)?;
        }
        Ok(())
    }

    /// Waits until a VM's `/ready` path answers with success.
    ///
    /// # Errors
    ///
    /// [`FleetError::Timeout`] if the VM is not ready in time.
    pub fn wait_ready(&self, vm: &VmProcess) -> Result<(), Report<FleetError>> {
        let address = vm.settings.operator_address;
        wait_until(&vm.process.name, || self.get(address, "/ready").is_ok())
    }

    /// Creates the certificate of a new VM and returns its settings.
    fn prepare_vm(&self, index: usize) -> Result<Settings, Report<FleetError>> {
        let data_centre = self.site.data_centres[index % self.site.data_centres.len()];
        let vm = format!("{data_centre}-vm-{index}");
        let lifetime = Duration::from_secs(24 * 3_600);
        arbutusfall::make_authority(&self.dir, lifetime).change_context(FleetError::Setup)?;
        let tls = arbutusfall::make_vm_certificate(&self.dir, &vm, lifetime)
            .change_context(FleetError::Setup)?;
        Ok(Settings {
            vm: vm.into(),
            data_centre: data_centre.into(),
            site: self.site.name.into(),
            caller_address: free_address()?,
            operator_address: free_address()?,
            peer_address: free_address()?,
            log_service_address: self.log.address,
            vm_list_address: self.vm_list.address,
            tls,
            metrics_address: None,
            trace_address: Some(self.collector.address),
            log_format: LogFormat::Text,
            log_level: LogLevel::Info,
            worker_threads: 2,
        })
    }

    /// Starts a VM's process without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// [`FleetError::Start`] if it cannot be started.
    pub fn start_vm(&self, settings: Settings) -> Result<VmProcess, Report<FleetError>> {
        let settings_file = self.dir.join(format!("{}.json", settings.vm));
        let text = serde_json::to_string_pretty(&settings).change_context(FleetError::Setup)?;
        std::fs::write(&settings_file, text).change_context(FleetError::Setup)?;
        let failed = || FleetError::Start(settings.vm.to_string());
        let child = Command::new(&self.program)
            .args(["arbutusfall", "serve", "--settings"])
            .arg(&settings_file)
            .stderr(log_file(&self.dir, &settings.vm)?)
            .spawn()
            .change_context_lazy(failed)?;
        let process = Process {
            name: settings.vm.to_string(),
            address: settings.peer_address,
            child,
        };
        Ok(VmProcess {
            process,
            caller_address: settings.caller_address,
            settings,
            settings_file,
        })
    }

    /// Kills a VM's process and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// [`FleetError::Start`] if it cannot be started.
    pub fn restart_vm(&mut self, index: usize) -> Result<(), Report<FleetError>> {
        self.vms[index].process.kill();
        let settings = self.vms[index].settings.clone();
        debug_assert!(self.vms[index].settings_file.exists());
        self.vms[index] = self.start_vm(settings)?;
        Ok(())
    }

    /// Restarts an engine at the same address, and kills it first if it still runs.
    ///
    /// # Errors
    ///
    /// [`FleetError::Start`] if there is no such engine or it cannot be started.
    pub fn restart_engine(&mut self, name: &str) -> Result<(), Report<FleetError>> {
        let process = self.endpoints.get_mut(name);
        let process = process.ok_or_else(|| Report::new(FleetError::Start(name.to_owned())))?;
        process.kill();
        let options = serde_json::to_string(&self.site.engine_options()).unwrap_or_default();
        process.child = spawn_stand_in(&self.program, name, "engine", process.address, &options)?;
        Ok(())
    }

    /// Sets the VM list to all VMs; those with an index in `leaving` are listed as leaving.
    ///
    /// # Errors
    ///
    /// [`FleetError::Command`] if the stand-in does not answer.
    pub fn set_vm_list(&self, leaving: &[usize]) -> Result<(), Report<FleetError>> {
        let listed = self.vms.iter().enumerate().map(|(index, vm)| ListedVm {
            vm: vm.settings.vm.clone(),
            peer_address: vm.settings.peer_address,
            data_centre: vm.settings.data_centre.clone(),
            site: vm.settings.site.clone(),
            leaving: leaving.contains(&index),
        });
        let list: Vec<ListedVm> = listed.collect();
        self.post(self.vm_list.address, "/vms", &list)?;
        Ok(())
    }

    /// Sets the faults that a stand-in injects. They replace the earlier ones, except for a freeze in progress and
    /// silenced streams.
    ///
    /// # Errors
    ///
    /// [`FleetError::Command`] if the stand-in does not answer.
    pub fn set_faults(&self, process: &Process, faults: &Value) -> Result<(), Report<FleetError>> {
        self.post(process.address, "/faults", faults).map(|_| ())
    }

    /// Sends a GET request and returns the JSON answer.
    ///
    /// # Errors
    ///
    /// [`FleetError::Command`] if the exchange fails or its status is not a success.
    pub fn get(&self, address: SocketAddr, path: &str) -> Result<Value, Report<FleetError>> {
        let exchange = http::get_json(&self.executor, address, path, STEP_TIMEOUT);
        let answer: Result<Value, _> = future::block_on(self.executor.run(exchange));
        answer.change_context_lazy(|| FleetError::Command(path.to_owned()))
    }

    /// Sends a POST request with a JSON document and returns the JSON answer.
    ///
    /// # Errors
    ///
    /// [`FleetError::Command`] if the exchange fails or its status is not a success.
    pub fn post(
        &self,
        address: SocketAddr,
        path: &str,
        document: &impl Serialize,
    ) -> Result<Value, Report<FleetError>> {
        let exchange = http::post_json(&self.executor, address, path, document, STEP_TIMEOUT);
        let answer: Result<Value, _> = future::block_on(self.executor.run(exchange));
        answer.change_context_lazy(|| FleetError::Command(path.to_owned()))
    }

    /// Runs a future on this thread, together with the other tasks of the fleet's executor.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        future::block_on(self.executor.run(future))
    }

    /// Waits until a condition holds; `awaited` names it in the error.
    ///
    /// # Errors
    ///
    /// [`FleetError::Timeout`] if it does not hold in time.
    pub fn wait_for(
        &self,
        awaited: &str,
        condition: impl FnMut() -> bool,
    ) -> Result<(), Report<FleetError>> {
        wait_until(awaited, condition)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vms.clear();
        // Files left in the temporary directory are harmless.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn start_stand_in(
    program: &Path,
    name: &str,
    kind: &str,
    options: &str,
) -> Result<Process, Report<FleetError>> {
    let address = free_address()?;
    let child = spawn_stand_in(program, name, kind, address, options)?;
    Ok(Process {
        name: name.to_owned(),
        address,
        child,
    })
}

fn log_file(dir: &Path, vm: &str) -> Result<std::fs::File, Report<FleetError>> {
    std::fs::File::create(dir.join(format!("{vm}.log"))).change_context(FleetError::Setup)
}

fn wait_until(
    awaited: &str,
    mut condition: impl FnMut() -> bool,
) -> Result<(), Report<FleetError>> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() >= deadline {
            return Err(Report::new(FleetError::Timeout(awaited.to_owned())));
        }
        future::block_on(Timer::after(POLL_INTERVAL));
    }
    Ok(())
}
