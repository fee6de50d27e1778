//! Streams and engine memory on real processes under fault injection.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_standins::Caller;
use arbutusfall_standins::CallerError;
use arbutusfall_standins::Completion;
use arbutusfall_standins::Fleet;
use arbutusfall_standins::SiteSpec;
use arbutusfall_standins::VmProcess;
use arbutusfall_standins::expected_text;
use async_executor::Task;
use async_io::Timer;
use serde_json::json;

use crate::fleet_lock;

/// Token limit of a medium completion.
const MEDIUM_MAX_TOKENS: usize = 400;

/// Token limit of a short completion.
const SHORT_MAX_TOKENS: usize = 60;

/// Token limit of a completion that is still running when a killed VM is detected.
const LONG_MAX_TOKENS: usize = 1_000;

/// Minimum length of a completion that is still running when a killed VM is detected, in tokens.
const LONG_MIN_TOKENS: usize = 950;

/// Longest time from the death of an entry VM, to which a caller sent its request, until engines hold none of its
/// requests: a grant's lifetime and two orphan sweeps, plus one second for slow machines.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(7);

/// [`MAX_RELEASE_TIME`] if the shard owner dies too: its successor must detect that first.
const MAX_RELEASE_TIME_WITH_OWNER: Duration = Duration::from_secs(10);

/// Longest pause of a stream whose connection went silent: the configured silence timeout, plus one second for slow
/// machines.
const MAX_PAUSE_SILENT_CONNECTION: Duration = Duration::from_millis(1_500);

/// Duration for which a decode engine is frozen; its stream is being moved by then.
const FREEZE_MS: u64 = 1_500;

/// Longest pause of a stream whose decode engine is frozen: [`FREEZE_MS`], plus one second for slow machines.
const MAX_PAUSE_FROZEN_ENGINE: Duration = Duration::from_millis(2_500);

/// Duration for which a decode engine is frozen that does not go on before its stream is moved.
const LONG_FREEZE_MS: u64 = 6_000;

/// Longest pause of a stream that is moved from a frozen engine: the silence timeout twice and a prefill, plus one second
/// for slow machines.
const MAX_PAUSE_MOVED: Duration = Duration::from_millis(2_500);

/// Duration for which the prefill engines are frozen, so that no move succeeds before the decode engine goes on.
const PREFILL_FREEZE_MS: u64 = 4_000;

/// Longest pause of a stream whose decode engine died: a placement, a prefill and a transfer, plus one second for slow
/// machines.
const MAX_PAUSE_DEAD_ENGINE: Duration = Duration::from_millis(1_500);

/// Statuses of requests that were refused before they ran.
const REFUSALS: [u16; 2] = [429, 503];

/// Result of a completion.
type CompletionResult = Result<Completion, CallerError>;

fn start_fleet(vm_count: usize) -> Fleet {
    let program = Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"));
    Fleet::start(program, &SiteSpec::vitosha(), vm_count).expect("the fleet starts")
}

/// Returns a prompt of slightly more than `tokens` tokens.
fn prompt(tokens: usize, prompt_number: usize) -> String {
    format!("{}caption {prompt_number}", "abc ".repeat(tokens))
}

/// Starts a completion, which is retried after Retry-After while it is refused.
fn start_completion(
    fleet: &Fleet,
    vm: usize,
    prompt: &str,
    max_tokens: usize,
) -> Task<CompletionResult> {
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

/// Returns the sum of one field of `/stats` over the reachable engines of a role.
fn sum_stats(fleet: &Fleet, role: &str, field: &str) -> u64 {
    let engines = fleet.endpoints.iter();
    engines
        .filter(|(name, _)| name.starts_with(role))
        .filter_map(|(_, engine)| fleet.get(engine.address, "/stats").ok())
        .filter_map(|stats| stats[field].as_u64())
        .sum()
}

fn held_requests(fleet: &Fleet) -> u64 {
    sum_stats(fleet, "prefill", "held") + sum_stats(fleet, "decode", "held")
}

fn wait_until_held(fleet: &Fleet, role: &str) {
    let what = format!("a {role} engine holds the request");
    fleet
        .wait_for(&what, || sum_stats(fleet, role, "held") > 0)
        .expect("an engine holds the request in time");
}

fn wait_until_free(fleet: &Fleet) {
    fleet
        .wait_for("engines hold nothing", || held_requests(fleet) == 0)
        .expect("engine memory is freed");
}

fn wait_until_decoding(fleet: &Fleet) {
    fleet
        .wait_for("tokens are generated", || {
            sum_stats(fleet, "decode", "generating") > 4
        })
        .expect("the request decodes in time");
}

/// Waits until a few tokens are generated, and returns the name of the decode engine that holds the request.
fn decoding_engine(fleet: &Fleet) -> String {
    wait_until_decoding(fleet);
    let engines = fleet.endpoints.iter();
    let mut holding = engines.filter(|(name, engine)| {
        let stats = fleet.get(engine.address, "/stats").unwrap_or_default();
        name.starts_with("decode") && stats["held"].as_u64() > Some(0)
    });
    let (name, _) = holding.next().expect("an engine decodes");
    name.clone()
}

/// Sets faults at all engines of a role.
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

/// Starts two VMs and a request that a decode engine is answering; returns the engine's name and the request too.
fn start_decoding_fleet() -> (Fleet, String, Task<CompletionResult>) {
    let fleet = start_fleet(2);
    let task = start_completion(&fleet, 0, &prompt(2_000, 1), MEDIUM_MAX_TOKENS);
    let engine = decoding_engine(&fleet);
    (fleet, engine, task)
}

/// Waits for the whole answer to the request of [`start_decoding_fleet`]; returns its longest pause.
fn finish_and_find_longest_pause(fleet: &Fleet, task: Task<CompletionResult>) -> Duration {
    let answer = fleet.block_on(task).expect("the answer is complete");
    let expected = expected_text(&prompt(2_000, 1), MEDIUM_MAX_TOKENS);
    assert_eq!(answer.text, expected);
    longest_pause(&answer)
}

#[test]
fn caller_disconnect_frees_the_engines_at_each_stage() {
    let _lock = fleet_lock::acquire();
    let fleet = start_fleet(2);
    let prefilling = start_completion(&fleet, 0, &prompt(12_000, 1), MEDIUM_MAX_TOKENS);
    wait_until_held(&fleet, "prefill");
    drop(prefilling);
    wait_until_free(&fleet);
    assert_eq!(sum_stats(&fleet, "decode", "held"), 0);

    set_faults(&fleet, "prefill", &json!({ "stall_transfers": 1 }));
    let transferring = start_completion(&fleet, 1, &prompt(2_000, 2), MEDIUM_MAX_TOKENS);
    wait_until_held(&fleet, "decode");
    drop(transferring);
    wait_until_free(&fleet);
    set_faults(&fleet, "prefill", &json!({}));

    let decoding = start_completion(&fleet, 0, &prompt(2_000, 3), MEDIUM_MAX_TOKENS);
    wait_until_decoding(&fleet);
    drop(decoding);
    wait_until_free(&fleet);
}

#[test]
fn refused_cancel_is_retried() {
    let _lock = fleet_lock::acquire();
    let (fleet, _, _, task) = start_fleet_with_completion();
    let failing = json!({ "ignore_cancels": 3, "slow_cancel_ms": 200 });
    set_faults(&fleet, "decode", &failing);
    drop(task);
    let started = Instant::now();
    wait_until_free(&fleet);
    let took = started.elapsed();
    assert!(
        took < Duration::from_secs(4),
        "engine memory was free after {took:?}"
    );
}

#[test]
fn caller_disconnect_frees_a_frozen_engine_once_it_resumes() {
    let _lock = fleet_lock::acquire();
    let (fleet, engine, task) = start_decoding_fleet();
    let freeze = json!({ "freeze_ms": 3_000 });
    fleet
        .set_faults(&fleet.endpoints[&engine], &freeze)
        .expect("the engine freezes");
    drop(task);
    wait_until_free(&fleet);
}

#[test]
fn cancel_that_overtakes_its_prefill_request_frees_the_engine() {
    let _lock = fleet_lock::acquire();
    let fleet = start_fleet(2);
    // With two VMs, the entry VM is the one that is not the owner.
    let entry = 1 - find_shard_owner(&fleet);
    let requests_before = sum_stats(&fleet, "prefill", "orders");
    let cancelled_before = sum_stats(&fleet, "prefill", "cancelled");
    set_faults(&fleet, "prefill", &json!({ "slow_orders_ms": 150 }));
    let task = start_completion(&fleet, entry, &prompt(12_000, 2), MEDIUM_MAX_TOKENS);
    fleet
        .wait_for("the prefill request is received", || {
            sum_stats(&fleet, "prefill", "orders") > requests_before
        })
        .expect("the engine receives the request in time");
    drop(task);
    fleet
        .wait_for("the prefill request is cancelled", || {
            sum_stats(&fleet, "prefill", "cancelled") > cancelled_before
        })
        .expect("a repeated cancel finds the request");
    wait_until_free(&fleet);
}

#[test]
fn stream_with_the_text_of_another_request_is_discarded() {
    let _lock = fleet_lock::acquire();
    let fleet = start_fleet(2);
    fleet
        .set_faults(&fleet.endpoints["decode-1"], &json!({ "swap_streams": 1 }))
        .expect("faults are set");
    let prompts: Vec<String> = (0..2)
        .map(|prompt_number| prompt(500, prompt_number))
        .collect();
    let tasks: Vec<Task<CompletionResult>> = prompts
        .iter()
        .map(|prompt| start_completion(&fleet, 0, prompt, SHORT_MAX_TOKENS))
        .collect();
    for (task, prompt) in tasks.into_iter().zip(&prompts) {
        let answer = fleet.block_on(task).expect("the answer is complete");
        assert_eq!(answer.text, expected_text(prompt, SHORT_MAX_TOKENS));
    }
    let status = fleet.get(fleet.vms[0].settings.operator_address, "/status");
    let counters = &status.expect("the VM answers")["counters"];
    assert_eq!(
        counters["decodes.moved"], 1,
        "only the swapped stream is moved"
    );
    wait_until_free(&fleet);
}

#[test]
fn decode_engine_that_dies_does_not_truncate_the_answer() {
    let _lock = fleet_lock::acquire();
    let (mut fleet, engine, task) = start_decoding_fleet();
    fleet
        .endpoints
        .get_mut(&engine)
        .expect("the engine is there")
        .kill();
    let pause = finish_and_find_longest_pause(&fleet, task);
    println!("dead decode engine: pause of {pause:?}");
    assert!(pause < MAX_PAUSE_DEAD_ENGINE, "pause of {pause:?}");
    wait_until_free(&fleet);
}

#[test]
fn silent_connections_do_not_truncate_the_answer() {
    let _lock = fleet_lock::acquire();
    let (fleet, engine, task) = start_decoding_fleet();
    let silent = json!({ "silence": true });
    fleet
        .set_faults(&fleet.endpoints[&engine], &silent)
        .expect("the engine's connections go silent");
    let pause = finish_and_find_longest_pause(&fleet, task);
    println!("silent connection: pause of {pause:?}");
    assert!(pause < MAX_PAUSE_SILENT_CONNECTION, "pause of {pause:?}");
    // The prompt has slightly more than 2,000 tokens.
    let prefilled = sum_stats(&fleet, "prefill", "prefilled_tokens");
    assert!(
        prefilled <= 2_100,
        "{prefilled} tokens were prefilled, more than once for the prompt"
    );
    wait_until_free(&fleet);
}

#[test]
fn frozen_decode_engine_goes_on_while_its_stream_cannot_be_moved() {
    let _lock = fleet_lock::acquire();
    let (fleet, engine, task) = start_decoding_fleet();
    set_faults(
        &fleet,
        "prefill",
        &json!({ "freeze_ms": PREFILL_FREEZE_MS }),
    );
    let freeze = json!({ "freeze_ms": FREEZE_MS });
    fleet
        .set_faults(&fleet.endpoints[&engine], &freeze)
        .expect("the engine freezes");
    let pause = finish_and_find_longest_pause(&fleet, task);
    println!("frozen decode engine: pause of {pause:?}");
    assert!(pause < MAX_PAUSE_FROZEN_ENGINE, "pause of {pause:?}");
    let status = fleet.get(fleet.vms[0].settings.operator_address, "/status");
    let counters = &status.expect("the VM answers")["counters"];
    let moved = counters["decodes.moved"].as_u64().unwrap_or_default();
    assert_eq!(moved, 0, "the stream stays at its engine: {counters}");
    wait_until_free(&fleet);
}

#[test]
fn stream_of_a_decode_engine_that_stays_frozen_is_moved() {
    let _lock = fleet_lock::acquire();
    let (fleet, engine, task) = start_decoding_fleet();
    let freeze = json!({ "freeze_ms": LONG_FREEZE_MS });
    fleet
        .set_faults(&fleet.endpoints[&engine], &freeze)
        .expect("the engine freezes");
    let pause = finish_and_find_longest_pause(&fleet, task);
    println!("decode engine that stays frozen: pause of {pause:?}");
    assert!(pause < MAX_PAUSE_MOVED, "pause of {pause:?}");
    wait_until_free(&fleet);
}

#[test]
fn stalled_transfer_is_redirected_without_a_second_prefill() {
    let _lock = fleet_lock::acquire();
    let fleet = start_fleet(2);
    set_faults(&fleet, "prefill", &json!({ "stall_transfers": 1 }));
    let prompt = prompt(2_000, 1);
    let task = start_completion(&fleet, 0, &prompt, SHORT_MAX_TOKENS);
    let answer = fleet.block_on(task).expect("the answer is complete");
    assert_eq!(answer.text, expected_text(&prompt, SHORT_MAX_TOKENS));
    // The prompt has slightly more than 2,000 tokens.
    let prefilled = sum_stats(&fleet, "prefill", "prefilled_tokens");
    assert!(
        prefilled <= 2_100,
        "{prefilled} tokens were prefilled, more than once for the prompt"
    );
    assert_eq!(sum_stats(&fleet, "prefill", "wasted_tokens"), 0);
    wait_until_free(&fleet);
}

/// Returns the index of the VM that owns the model's only shard, identified by its grants; a completion must be in
/// progress.
fn wait_for_owner(fleet: &Fleet) -> usize {
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

/// Finds the owner of the shard with a request that is cancelled afterwards.
fn find_shard_owner(fleet: &Fleet) -> usize {
    let request = start_completion(fleet, 0, &prompt(2_000, 1), MEDIUM_MAX_TOKENS);
    wait_until_decoding(fleet);
    let owner = wait_for_owner(fleet);
    drop(request);
    wait_until_free(fleet);
    owner
}

/// Kills VMs, waits until engines hold no requests and returns the time from the kill.
fn kill_and_wait_until_free(fleet: &mut Fleet, vms: &[usize]) -> Duration {
    for vm in vms {
        fleet.vms[*vm].process.kill();
    }
    let killed_at = Instant::now();
    wait_until_free(fleet);
    killed_at.elapsed()
}

/// Returns a prompt whose completion takes about fifteen seconds.
fn long_prompt() -> String {
    let is_long = |prompt: &String| {
        let answer = expected_text(prompt, LONG_MAX_TOKENS);
        answer.split_whitespace().count() >= LONG_MIN_TOKENS
    };
    let mut prompts = (2..).map(|prompt_number| prompt(2_000, prompt_number));
    prompts
        .find(is_long)
        .expect("a prompt with a long answer exists")
}

/// Starts a fleet and one long completion at an entry VM that is not the shard owner; returns the fleet, the owner, the
/// entry VM and the completion.
fn start_fleet_with_completion() -> (Fleet, usize, usize, Task<CompletionResult>) {
    let fleet = start_fleet(4);
    let owner = find_shard_owner(&fleet);
    let entry = (owner + 1) % fleet.vms.len();
    let task = start_completion(&fleet, entry, &long_prompt(), LONG_MAX_TOKENS);
    wait_until_decoding(&fleet);
    (fleet, owner, entry, task)
}

#[test]
fn engines_free_the_requests_of_a_killed_entry_vm() {
    let _lock = fleet_lock::acquire();
    let (mut fleet, _, entry, _task) = start_fleet_with_completion();
    let took = kill_and_wait_until_free(&mut fleet, &[entry]);
    assert!(
        took < MAX_RELEASE_TIME,
        "engine memory was free after {took:?}"
    );
    println!("entry VM killed: free after {took:?}");
}

#[test]
fn engines_free_the_requests_of_a_killed_entry_vm_and_owner() {
    let _lock = fleet_lock::acquire();
    let (mut fleet, owner, entry, _task) = start_fleet_with_completion();
    let took = kill_and_wait_until_free(&mut fleet, &[entry, owner]);
    assert!(took < MAX_RELEASE_TIME_WITH_OWNER, "free after {took:?}");
    println!("entry VM and owner killed: free after {took:?}");
}

#[test]
fn killed_owner_does_not_truncate_answers_of_other_vms() {
    let _lock = fleet_lock::acquire();
    let mut fleet = start_fleet(4);
    let owner = find_shard_owner(&fleet);
    let entry = (owner + 1) % fleet.vms.len();
    let prompt = prompt(2_000, 2);
    let task = start_completion(&fleet, entry, &prompt, MEDIUM_MAX_TOKENS);
    wait_until_decoding(&fleet);
    fleet.vms[owner].process.kill();
    let answer = fleet.block_on(task).expect("the answer is complete");
    assert_eq!(answer.text, expected_text(&prompt, MEDIUM_MAX_TOKENS));
    wait_until_free(&fleet);
}

#[test]
fn thawed_entry_vm_sends_each_token_of_the_answer_once() {
    let _lock = fleet_lock::acquire();
    let (fleet, _, entry, task) = start_fleet_with_completion();
    fleet.vms[entry].process.freeze();
    wait_until_free(&fleet);
    fleet.vms[entry].process.thaw();
    let answer = fleet.block_on(task).expect("the answer is complete");
    assert_eq!(answer.text, expected_text(&long_prompt(), LONG_MAX_TOKENS));
    wait_until_free(&fleet);
}
