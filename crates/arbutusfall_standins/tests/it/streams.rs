//! Streams and engine memory on real processes, under faults.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_standins::Caller;
use arbutusfall_standins::CallerError;
use arbutusfall_standins::Completion;
use arbutusfall_standins::Fleet;
use arbutusfall_standins::SiteSize;
use arbutusfall_standins::VmProcess;
use arbutusfall_standins::expected_text;
use async_executor::Task;
use async_io::Timer;
use serde_json::json;

use crate::turn;

/// Tokens that a long answer may have.
const MANY_TOKENS: usize = 400;

/// Tokens that a short answer may have.
const FEW_TOKENS: usize = 60;

/// Tokens that an answer may have which goes on for longer than it takes to notice a dead VM.
const VERY_MANY_TOKENS: usize = 1_000;

/// Tokens that such an answer has at least.
const LONG_ANSWER_TOKENS: usize = 950;

/// Longest time from the death of an entry VM until engines hold nothing for it: a grant's lifetime and two sweeps,
/// with one second for slow machines.
const FREE_BOUND: Duration = Duration::from_secs(7);

/// The same when the owner dies too: its successor first has to notice.
const FREE_BOUND_WITH_OWNER: Duration = Duration::from_secs(10);

/// Longest pause of a stream whose connection went silent: the configured silence, with one second for slow machines.
const SILENT_BOUND: Duration = Duration::from_millis(1_500);

/// Longest pause of a stream whose decode engine died: a placement, a prefill and a transfer, with one second for slow
/// machines.
const DEAD_BOUND: Duration = Duration::from_millis(1_500);

/// Statuses of requests that were not run.
const REFUSALS: [u16; 2] = [429, 503];

/// An answer, or why there is none.
type Answer = Result<Completion, CallerError>;

fn start_fleet(vms: usize) -> Fleet {
    let program = Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"));
    Fleet::start(program, &SiteSize::vitosha(), vms).expect("the fleet starts")
}

/// A prompt of about so many tokens.
fn prompt(tokens: usize, number: usize) -> String {
    format!("{}caption {number}", "abc ".repeat(tokens))
}

/// Asks for a completion, and again when told to come back.
fn ask(fleet: &Fleet, vm: usize, prompt: &str, max_tokens: usize) -> Task<Answer> {
    let caller = Caller {
        executor: fleet.executor.clone(),
        key: fleet.site.key.to_owned(),
    };
    let address = fleet.vms[vm].caller_address;
    let model = fleet.site.model;
    let prompt = prompt.to_owned();
    fleet.executor.spawn(async move {
        loop {
            let answer = caller.complete(address, model, &prompt, max_tokens, None);
            let answer = answer.await?;
            if !REFUSALS.contains(&answer.status) {
                return Ok(answer);
            }
            println!("refused: {:?}", answer.problem);
            Timer::after(answer.retry_after.unwrap_or_default()).await;
        }
    })
}

/// Sum of one figure over the engines of a role that answer.
fn sum(fleet: &Fleet, role: &str, figure: &str) -> u64 {
    let engines = fleet.endpoints.iter();
    engines
        .filter(|(name, _)| name.starts_with(role))
        .filter_map(|(_, engine)| fleet.get(engine.address, "/stats").ok())
        .filter_map(|stats| stats[figure].as_u64())
        .sum()
}

fn held(fleet: &Fleet) -> u64 {
    sum(fleet, "prefill", "held") + sum(fleet, "decode", "held")
}

fn wait_held(fleet: &Fleet, role: &str) {
    let what = format!("a {role} engine holds the request");
    fleet
        .wait_for(&what, || sum(fleet, role, "held") > 0)
        .expect("the stage is reached");
}

fn wait_free(fleet: &Fleet) {
    fleet
        .wait_for("engines hold nothing", || held(fleet) == 0)
        .expect("engine memory is freed");
}

fn wait_tokens(fleet: &Fleet) {
    fleet
        .wait_for("tokens are generated", || {
            sum(fleet, "decode", "generating") > 4
        })
        .expect("the request decodes");
}

/// The decode engine that holds a request, once it generated a few tokens.
fn decoding_engine(fleet: &Fleet) -> String {
    wait_tokens(fleet);
    let engines = fleet.endpoints.iter();
    let mut holding = engines.filter(|(name, engine)| {
        let stats = fleet.get(engine.address, "/stats").unwrap_or_default();
        name.starts_with("decode") && stats["held"].as_u64() > Some(0)
    });
    let (name, _) = holding.next().expect("an engine decodes");
    name.clone()
}

/// Sets a fault at all engines of a role.
fn set_faults(fleet: &Fleet, role: &str, faults: &serde_json::Value) {
    for (name, engine) in &fleet.endpoints {
        if name.starts_with(role) {
            fleet.set_faults(engine, faults).expect("faults are set");
        }
    }
}

fn longest_pause(answer: &Completion) -> Duration {
    let pauses = answer.token_times.windows(2).map(|pair| pair[1] - pair[0]);
    pauses.max().unwrap_or_default()
}

#[test]
fn caller_that_leaves_frees_the_engines_at_each_stage() {
    let _turn = turn::take();
    let fleet = start_fleet(2);
    let prefilling = ask(&fleet, 0, &prompt(12_000, 1), MANY_TOKENS);
    wait_held(&fleet, "prefill");
    drop(prefilling);
    wait_free(&fleet);
    assert_eq!(sum(&fleet, "decode", "held"), 0);

    set_faults(&fleet, "prefill", &json!({ "stall_transfers": 1 }));
    let transferring = ask(&fleet, 1, &prompt(2_000, 2), MANY_TOKENS);
    wait_held(&fleet, "decode");
    drop(transferring);
    wait_free(&fleet);
    set_faults(&fleet, "prefill", &json!({}));

    let decoding = ask(&fleet, 0, &prompt(2_000, 3), MANY_TOKENS);
    wait_tokens(&fleet);
    drop(decoding);
    wait_free(&fleet);
}

#[test]
fn engine_that_refuses_to_cancel_is_told_again() {
    let _turn = turn::take();
    let (fleet, _, _, task) = fleet_with_answer();
    let refusing = json!({ "ignore_cancels": 3, "slow_cancel_ms": 200 });
    set_faults(&fleet, "decode", &refusing);
    drop(task);
    let began = Instant::now();
    wait_free(&fleet);
    let took = began.elapsed();
    assert!(took < Duration::from_secs(4), "cancelled after {took:?}");
}

#[test]
fn caller_of_a_frozen_engine_that_leaves_frees_it_once_it_goes_on() {
    let _turn = turn::take();
    let fleet = start_fleet(2);
    let task = ask(&fleet, 0, &prompt(2_000, 1), MANY_TOKENS);
    let engine = decoding_engine(&fleet);
    let frozen = json!({ "freeze_ms": 3_000 });
    fleet
        .set_faults(&fleet.endpoints[&engine], &frozen)
        .expect("the engine freezes");
    drop(task);
    wait_free(&fleet);
}

#[test]
fn cancel_that_overtakes_its_order_frees_the_engine() {
    let _turn = turn::take();
    let fleet = start_fleet(2);
    let entry = 1 - find_owner(&fleet);
    let orders = sum(&fleet, "prefill", "orders");
    let cancelled = sum(&fleet, "prefill", "cancelled");
    set_faults(&fleet, "prefill", &json!({ "slow_orders_ms": 150 }));
    let task = ask(&fleet, entry, &prompt(12_000, 2), MANY_TOKENS);
    fleet
        .wait_for("the order is sent", || {
            sum(&fleet, "prefill", "orders") > orders
        })
        .expect("the stage is reached");
    drop(task);
    fleet
        .wait_for("the order is cancelled", || {
            sum(&fleet, "prefill", "cancelled") > cancelled
        })
        .expect("the second cancellation finds it");
    wait_free(&fleet);
}

#[test]
fn swapped_streams_reach_no_caller() {
    let _turn = turn::take();
    let fleet = start_fleet(2);
    fleet
        .set_faults(&fleet.endpoints["decode-1"], &json!({ "swap_streams": 1 }))
        .expect("faults are set");
    let prompts: Vec<String> = (0..2).map(|number| prompt(500, number)).collect();
    let tasks: Vec<Task<Answer>> = prompts
        .iter()
        .map(|prompt| ask(&fleet, 0, prompt, FEW_TOKENS))
        .collect();
    for (task, prompt) in tasks.into_iter().zip(&prompts) {
        let answer = fleet.block_on(task).expect("the answer is whole");
        assert_eq!(answer.text, expected_text(prompt, FEW_TOKENS));
    }
    let status = fleet.get(fleet.vms[0].settings.operator_address, "/status");
    let counters = &status.expect("the VM answers")["counters"];
    assert_eq!(counters["decodes.moved"], 1, "one stream was swapped");
    wait_free(&fleet);
}

#[test]
fn decode_engine_that_dies_does_not_cut_the_answer() {
    let _turn = turn::take();
    let mut fleet = start_fleet(2);
    let prompt = prompt(2_000, 1);
    let task = ask(&fleet, 0, &prompt, MANY_TOKENS);
    let engine = decoding_engine(&fleet);
    fleet
        .endpoints
        .get_mut(&engine)
        .expect("the engine is there")
        .kill();
    let answer = fleet.block_on(task).expect("the answer is whole");
    assert_eq!(answer.text, expected_text(&prompt, MANY_TOKENS));
    let pause = longest_pause(&answer);
    println!("dead decode engine: pause of {pause:?}");
    assert!(pause < DEAD_BOUND, "pause of {pause:?}");
    wait_free(&fleet);
}

#[test]
fn silent_connections_do_not_cut_the_answer() {
    let _turn = turn::take();
    let fleet = start_fleet(2);
    let prompt = prompt(2_000, 1);
    let task = ask(&fleet, 0, &prompt, MANY_TOKENS);
    let engine = decoding_engine(&fleet);
    let silent = json!({ "silence": true });
    fleet
        .set_faults(&fleet.endpoints[&engine], &silent)
        .expect("the engine's connections go silent");
    let answer = fleet.block_on(task).expect("the answer is whole");
    assert_eq!(answer.text, expected_text(&prompt, MANY_TOKENS));
    let pause = longest_pause(&answer);
    println!("silent connection: pause of {pause:?}");
    assert!(pause < SILENT_BOUND, "pause of {pause:?}");
    let again = sum(&fleet, "prefill", "prefilled_tokens");
    assert!(again <= 2_100, "the stream goes on at the same engine");
    wait_free(&fleet);
}

#[test]
fn stalled_transfer_is_redirected_without_a_second_prefill() {
    let _turn = turn::take();
    let fleet = start_fleet(2);
    set_faults(&fleet, "prefill", &json!({ "stall_transfers": 1 }));
    let prompt = prompt(2_000, 1);
    let task = ask(&fleet, 0, &prompt, FEW_TOKENS);
    let answer = fleet.block_on(task).expect("the answer is whole");
    assert_eq!(answer.text, expected_text(&prompt, FEW_TOKENS));
    let computed = sum(&fleet, "prefill", "prefilled_tokens");
    assert!(computed <= 2_100, "{computed} tokens were prefilled");
    assert_eq!(sum(&fleet, "prefill", "wasted_tokens"), 0);
    wait_free(&fleet);
}

/// The VM that owns the shard: the one with grants.
fn owner(fleet: &Fleet) -> usize {
    let with_grants = |vm: &VmProcess| {
        let status = fleet.get(vm.settings.operator_address, "/status");
        let status = status.unwrap_or_default();
        let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
        endpoints
            .iter()
            .any(|endpoint| endpoint["grants"].as_u64() > Some(0))
    };
    let mut found = None;
    fleet
        .wait_for("a VM owns the shard", || {
            found = fleet.vms.iter().position(with_grants);
            found.is_some()
        })
        .expect("a grant is in use");
    found.expect("a grant is in use")
}

/// Finds the owner of the shard by means of a request, which is then given up.
fn find_owner(fleet: &Fleet) -> usize {
    let first = ask(fleet, 0, &prompt(2_000, 1), MANY_TOKENS);
    wait_tokens(fleet);
    let owner = owner(fleet);
    drop(first);
    wait_free(fleet);
    owner
}

/// Kills VMs and waits until engines hold nothing for them; returns the time that this took.
fn kill_and_wait_free(fleet: &mut Fleet, vms: &[usize]) -> Duration {
    for vm in vms {
        fleet.vms[*vm].process.kill();
    }
    let killed_at = Instant::now();
    wait_free(fleet);
    killed_at.elapsed()
}

/// A prompt whose answer takes about fourteen seconds.
fn long_prompt() -> String {
    let is_long = |prompt: &String| {
        let answer = expected_text(prompt, VERY_MANY_TOKENS);
        answer.split_whitespace().count() >= LONG_ANSWER_TOKENS
    };
    let mut prompts = (2..).map(|number| prompt(2_000, number));
    prompts.find(is_long).expect("some answer is long")
}

/// Starts a fleet and one long answer that enters by a VM other than the owner.
fn fleet_with_answer() -> (Fleet, usize, usize, Task<Answer>) {
    let fleet = start_fleet(4);
    let owner = find_owner(&fleet);
    let entry = (owner + 1) % fleet.vms.len();
    let task = ask(&fleet, entry, &long_prompt(), VERY_MANY_TOKENS);
    wait_tokens(&fleet);
    (fleet, owner, entry, task)
}

#[test]
fn killed_entry_vm_leaves_nothing_at_the_engines() {
    let _turn = turn::take();
    let (mut fleet, _, entry, _task) = fleet_with_answer();
    let took = kill_and_wait_free(&mut fleet, &[entry]);
    assert!(took < FREE_BOUND, "engine memory was free after {took:?}");
    println!("entry VM killed: free after {took:?}");
}

#[test]
fn killed_entry_vm_and_owner_leave_nothing_at_the_engines() {
    let _turn = turn::take();
    let (mut fleet, owner, entry, _task) = fleet_with_answer();
    let took = kill_and_wait_free(&mut fleet, &[entry, owner]);
    assert!(took < FREE_BOUND_WITH_OWNER, "free after {took:?}");
    println!("entry VM and owner killed: free after {took:?}");
}

#[test]
fn killed_owner_does_not_touch_the_answers_of_others() {
    let _turn = turn::take();
    let mut fleet = start_fleet(4);
    let owner = find_owner(&fleet);
    let entry = (owner + 1) % fleet.vms.len();
    let prompt = prompt(2_000, 2);
    let task = ask(&fleet, entry, &prompt, MANY_TOKENS);
    wait_tokens(&fleet);
    fleet.vms[owner].process.kill();
    let answer = fleet.block_on(task).expect("the answer is whole");
    assert_eq!(answer.text, expected_text(&prompt, MANY_TOKENS));
    wait_free(&fleet);
}

#[test]
fn frozen_entry_vm_that_goes_on_answers_once_and_whole() {
    let _turn = turn::take();
    let (fleet, _, entry, task) = fleet_with_answer();
    fleet.vms[entry].process.freeze();
    wait_free(&fleet);
    fleet.vms[entry].process.thaw();
    let answer = fleet.block_on(task).expect("the answer is whole");
    assert_eq!(answer.text, expected_text(&long_prompt(), VERY_MANY_TOKENS));
    wait_free(&fleet);
}
