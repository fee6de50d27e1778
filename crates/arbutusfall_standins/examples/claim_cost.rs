//! Measures log appends and latency of non-idempotent calls, each of which makes one claim, with 1, 7 and 50
//! concurrent callers on a site of 7 VMs.
//!
//! Run it with `cargo build --release -p arbutusfall_standins` and then
//! `cargo run --release -p arbutusfall_standins --example claim_cost`.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_standins::Caller;
use arbutusfall_standins::Fleet;
use arbutusfall_standins::FleetError;
use arbutusfall_standins::SiteSpec;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::future;
use hyper::Method;

const VMS: usize = 7;

/// Total calls per measurement, split evenly among the callers.
const CALLS: usize = 1_400;

fn main() -> Result<(), Report<FleetError>> {
    let fleet = Fleet::start(&program()?, &SiteSpec::vitosha(), VMS)?;
    for concurrency in [1, 7, 50] {
        measure(&fleet, concurrency)?;
    }
    Ok(())
}

/// Returns the path of the `arbutusfall_standins` program, which Cargo builds in the parent directory of the examples.
fn program() -> Result<PathBuf, Report<FleetError>> {
    let own = std::env::current_exe().change_context(FleetError::Setup)?;
    let built = own.ancestors().nth(2).unwrap_or(&own);
    Ok(built.join("arbutusfall_standins"))
}

fn measure(fleet: &Fleet, concurrency: usize) -> Result<(), Report<FleetError>> {
    let before = appends(fleet)?;
    let started = Instant::now();
    let callers: Vec<_> = (0..concurrency)
        .map(|index| start_caller(fleet, index, CALLS / concurrency))
        .collect();
    let mut times = Vec::new();
    for caller in callers {
        let failed = |_| Report::new(FleetError::Command("caller thread panicked".to_owned()));
        times.extend(caller.join().map_err(failed)?);
    }
    let elapsed = started.elapsed();
    times.sort_unstable();
    let appends = appends(fleet)? - before;
    let calls = times.len();
    println!(
        "{concurrency} callers: {calls} calls, {:.0} calls/s, {:.2} appends per claim, {:.0} appends/s, \
         median {:.1?}, p95 {:.1?}, max {:.1?}",
        calls as f64 / elapsed.as_secs_f64(),
        appends as f64 / calls as f64,
        appends as f64 / elapsed.as_secs_f64(),
        times[calls / 2],
        times[calls * 95 / 100],
        times[calls - 1],
    );
    Ok(())
}

/// Starts a thread that makes calls one after another and returns the duration of each.
fn start_caller(fleet: &Fleet, index: usize, calls: usize) -> thread::JoinHandle<Vec<Duration>> {
    let caller = Caller {
        executor: fleet.executor.clone(),
        key: fleet.site.key.to_owned(),
    };
    let vm = fleet.vms[index % VMS].caller_address;
    let path = fleet.site.non_idempotent_path;
    thread::spawn(move || {
        let mut times = Vec::new();
        for _ in 0..calls {
            let idempotency_key = uuid::Uuid::now_v7().to_string();
            let headers = [("idempotency-key", &*idempotency_key)];
            let sent_at = Instant::now();
            let call = caller.call(vm, Method::POST, path, &headers);
            let answer = future::block_on(caller.executor.run(call));
            assert!(answer.is_ok_and(|answer| answer.status == 200));
            times.push(sent_at.elapsed());
        }
        times
    })
}

fn appends(fleet: &Fleet) -> Result<u64, Report<FleetError>> {
    let stats = fleet.get(fleet.log.address, "/stats")?;
    Ok(stats["appends"].as_u64().unwrap_or_default())
}
