//! Streams and engine memory on real processes, under faults.

use std::path::Path;
use std::time::Duration;

use arbutusfall_standins::Caller;
use arbutusfall_standins::CallerError;
use arbutusfall_standins::Completion;
use arbutusfall_standins::Fleet;
use arbutusfall_standins::SiteSize;
use arbutusfall_standins::expected_text;
use async_executor::Task;
use serde_json::json;

/// Tokens that a long answer may have.
const MANY_TOKENS: usize = 400;

/// Tokens that a short answer may have.
const FEW_TOKENS: usize = 60;

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

fn ask(fleet: &Fleet, vm: usize, prompt: &str, max_tokens: usize) -> Task<Answer> {
    let caller = Caller {
        executor: fleet.executor.clone(),
        key: fleet.site.key.to_owned(),
    };
    let address = fleet.vms[vm].caller_address;
    let model = fleet.site.model;
    let prompt = prompt.to_owned();
    fleet.executor.spawn(async move {
        caller
            .complete(address, model, &prompt, max_tokens, None)
            .await
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

    set_faults(
        &fleet,
        "decode",
        &json!({ "ignore_cancels": 3, "slow_cancel_ms": 200 }),
    );
    let decoding = ask(&fleet, 0, &prompt(2_000, 3), MANY_TOKENS);
    wait_tokens(&fleet);
    drop(decoding);
    wait_free(&fleet);
}

#[test]
fn caller_of_a_frozen_engine_that_leaves_frees_it_once_it_goes_on() {
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
fn decode_engine_that_dies_does_not_cut_the_answer() {
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
    println!("pause: {:?}", longest_pause(&answer));
    wait_free(&fleet);
}

#[test]
fn silent_connections_do_not_cut_the_answer() {
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
    println!("pause: {:?}", longest_pause(&answer));
    let again = sum(&fleet, "prefill", "prefilled_tokens");
    assert!(again <= 2_100, "the stream goes on at the same engine");
    wait_free(&fleet);
}

#[test]
fn stalled_transfer_is_redirected_without_a_second_prefill() {
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
