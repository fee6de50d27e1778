//! Compares policies of admission and placement on real processes, with the same arrivals for each policy.

mod faults;
mod measurements;
mod plots;
mod run;
mod workload;

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use lexopt::ValueExt;

use crate::SiteSpec;

use faults::Faults;
use measurements::RunResult;
use run::RunPlan;

/// Help text for the command line.
const USAGE: &str = "usage: experiment [--policies P,...] [--site S,...] [--vms N,...] [--load X,...] [--faults F,...] \
    [--seconds N] [--seed N] [--repeat N] [--out DIR], or experiment --final [--seconds N] [--seed N] [--out DIR]; \
    policies: least-loaded, quota, owner, affinity, links, weighted; sites: vitosha, rinnovo; \
    faults: none, deaths, stalls, log-outage, leaving";

/// Reason why an experiment failed.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ExperimentError {
    /// The arguments are not valid.
    Usage,
    /// A run failed.
    Run,
    /// The results could not be written.
    Write,
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Usage => USAGE,
            Self::Run => "a run failed",
            Self::Write => "the results could not be written",
        })
    }
}

impl std::error::Error for ExperimentError {}

/// Parsed command-line arguments.
#[derive(Debug)]
struct Options {
    policies: Vec<String>,
    sites: Vec<SiteSpec>,
    vms: Vec<usize>,
    loads: Vec<f64>,
    faults: Vec<(&'static str, Faults)>,
    seconds: f64,
    seed: u64,
    repeat: u64,
    /// Whether `--final` was given: runs [`final_plans`] instead of the combinations of the other options.
    is_final: bool,
    out: PathBuf,
}

/// Runs the experiment that the arguments describe.
pub fn experiment(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    match run_all(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("experiment: {error:?}");
            ExitCode::from(1)
        }
    }
}

fn run_all(arguments: impl Iterator<Item = OsString>) -> Result<(), Report<ExperimentError>> {
    let options = parse(arguments).change_context(ExperimentError::Usage)?;
    std::fs::create_dir_all(&options.out).change_context(ExperimentError::Write)?;
    let plans = if options.is_final {
        final_plans(&options)
    } else {
        plans(&options)
    };
    let started = Instant::now();
    let mut results = Vec::new();
    for (index, plan) in plans.iter().enumerate() {
        let result = run::run(plan).change_context(ExperimentError::Run)?;
        let elapsed_s = started.elapsed().as_secs();
        println!(
            "[{}/{} {elapsed_s} s] {}",
            index + 1,
            plans.len(),
            summary(&result)
        );
        results.push(result);
        write(&options, &results)?;
    }
    print_ratios(&results);
    Ok(())
}

fn summary(result: &RunResult) -> String {
    format!(
        "{} {} vms {} load {} faults {} seed {}: offered {} good {} late {} refused {} failed {} refused attempts {} | \
         prefilled {} tokens wasted {:.2}% | p95 first token {:.0} ms between tokens {:.0} ms | {:.0} B/s per VM {:.2} CPU s per VM | loadavg {:.1}",
        result.site,
        result.policy,
        result.vms,
        result.load,
        result.faults,
        result.seed,
        result.offered,
        result.good,
        result.late,
        result.refused,
        result.failed,
        result.refusals,
        result.prefilled_tokens,
        result.wasted_percent(),
        result.first_token_p95_ms,
        result.between_tokens_p95_ms,
        result.control_bytes_per_vm_per_s,
        result.cpu_seconds_per_vm,
        result.load_average,
    )
}

fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Options, lexopt::Error> {
    let mut options = Options {
        policies: vec!["weighted".to_owned()],
        sites: vec![SiteSpec::vitosha()],
        vms: vec![7],
        loads: vec![1.0],
        faults: vec![Faults::NAMED[0]],
        seconds: 20.0,
        seed: 1,
        repeat: 1,
        is_final: false,
        out: PathBuf::from("experiment"),
    };
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        let lexopt::Arg::Long(name) = argument else {
            return Err(argument.unexpected());
        };
        let name = name.to_owned();
        if name == "final" {
            options.is_final = true;
            continue;
        }
        let value = parser.value()?;
        let text = value.to_string_lossy().into_owned();
        let items = text.split(',');
        match name.as_str() {
            "policies" => options.policies = items.map(str::to_owned).collect(),
            "site" => options.sites = items.map(parse_site).collect::<Result<_, _>>()?,
            "vms" => options.vms = items.map(parse_number).collect::<Result<_, _>>()?,
            "load" => options.loads = items.map(parse_number).collect::<Result<_, _>>()?,
            "faults" => options.faults = items.map(parse_faults).collect::<Result<_, _>>()?,
            "seconds" => options.seconds = value.parse()?,
            "seed" => options.seed = value.parse()?,
            "repeat" => options.repeat = value.parse()?,
            "out" => options.out = value.into(),
            _ => return Err(lexopt::Error::UnexpectedOption(name)),
        }
    }
    Ok(options)
}

fn parse_number<T: std::str::FromStr>(item: &str) -> Result<T, lexopt::Error> {
    item.parse().map_err(|_| USAGE.into())
}

fn parse_site(item: &str) -> Result<SiteSpec, lexopt::Error> {
    match item {
        "vitosha" => Ok(SiteSpec::vitosha()),
        "rinnovo" => Ok(SiteSpec::rinnovo()),
        _ => Err(USAGE.into()),
    }
}

fn parse_faults(item: &str) -> Result<(&'static str, Faults), lexopt::Error> {
    let named = Faults::NAMED.into_iter().find(|(name, _)| *name == item);
    named.ok_or_else(|| USAGE.into())
}

/// Returns a run for each combination of the options; runs that differ only in their policy are adjacent.
fn plans(options: &Options) -> Vec<RunPlan> {
    let mut plans = Vec::new();
    for repeat in 0..options.repeat {
        for site in &options.sites {
            for faults in &options.faults {
                for load in &options.loads {
                    for vms in &options.vms {
                        plans.extend(options.policies.iter().map(|policy| RunPlan {
                            policy: policy.clone(),
                            site: site.clone(),
                            vms: *vms,
                            load: *load,
                            faults: *faults,
                            measured_s: options.seconds,
                            seed: options.seed + repeat,
                        }));
                    }
                }
            }
        }
    }
    plans
}

fn write(options: &Options, results: &[RunResult]) -> Result<(), Report<ExperimentError>> {
    let text = serde_json::to_string_pretty(results).change_context(ExperimentError::Write)?;
    std::fs::write(options.out.join("results.json"), text)
        .change_context(ExperimentError::Write)?;
    plots::draw(&options.out.join("plots.svg"), results).change_context(ExperimentError::Write)
}

/// Returns the runs of `--final`: all policies, both sites, a single VM, several loads and all faults, to
/// compare with the performance goals. The baseline (`least-loaded`) and the default (`weighted`) are run most often.
fn final_plans(options: &Options) -> Vec<RunPlan> {
    let plan = |policy: &str, site: SiteSpec, load: f64| RunPlan {
        policy: policy.to_owned(),
        site,
        vms: 7,
        load,
        faults: Faults::NAMED[0],
        measured_s: options.seconds,
        seed: options.seed,
    };
    let mut plans = Vec::new();
    for (load, repeats) in [(1.0, 2), (1.3, 2), (0.8, 1), (0.5, 1)] {
        for repeat in 0..repeats {
            plans.extend(["least-loaded", "weighted"].map(|policy| RunPlan {
                seed: options.seed + repeat,
                ..plan(policy, SiteSpec::vitosha(), load)
            }));
        }
    }
    plans.push(RunPlan {
        vms: 1,
        ..plan("weighted", SiteSpec::vitosha(), 1.0)
    });
    let others = ["quota", "owner", "affinity", "links"];
    plans.extend(others.map(|policy| plan(policy, SiteSpec::vitosha(), 1.0)));
    plans.push(plan("least-loaded", SiteSpec::rinnovo(), 1.0));
    plans.push(plan("weighted", SiteSpec::rinnovo(), 1.0));
    for faults in &Faults::NAMED[1..] {
        plans.push(RunPlan {
            faults: *faults,
            ..plan("weighted", SiteSpec::vitosha(), 1.0)
        });
    }
    for faults in &Faults::NAMED[1..3] {
        plans.push(RunPlan {
            faults: *faults,
            ..plan("weighted", SiteSpec::rinnovo(), 1.0)
        });
    }
    plans
}

/// Prints the ratios of goodput and wasted prefill to those of comparable runs of the first policy.
fn print_ratios(results: &[RunResult]) {
    let Some(first) = results.first() else {
        return;
    };
    let mut groups: BTreeMap<String, Vec<(&RunResult, &RunResult)>> = BTreeMap::new();
    for run in results.iter().filter(|run| run.policy != first.policy) {
        let mut baselines = results
            .iter()
            .filter(|baseline| baseline.policy == first.policy);
        if let Some(baseline) = baselines.find(|baseline| baseline.is_comparable(run)) {
            let group = format!("{} load {}", run.series(), run.load);
            groups.entry(group).or_default().push((run, baseline));
        }
    }
    for (group, pairs) in groups {
        let goodput_ratios = pairs
            .iter()
            .map(|(run, baseline)| run.good as f64 / baseline.good.max(1) as f64);
        let wasted_ratios = pairs.iter().map(|(run, baseline)| {
            run.wasted_prefill_tokens as f64 / baseline.wasted_prefill_tokens.max(1) as f64
        });
        println!(
            "{group} relative to {}: goodput ratio {}, wasted prefill ratio {}",
            first.policy,
            format_spread(goodput_ratios.collect()),
            format_spread(wasted_ratios.collect()),
        );
    }
}

/// Formats the median, the minimum, the maximum and the number of ratios, one for each pair of runs.
fn format_spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match (values.first(), values.get(values.len() / 2), values.last()) {
        (Some(min), Some(median), Some(max)) => {
            format!("{median:.2} ({min:.2} to {max:.2}, {} pairs)", values.len())
        }
        _ => "not run".to_owned(),
    }
}
