//! `arbutusfall check` and `arbutusfall publish` through the real command.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use arbutusfall_standins::Fleet;
use arbutusfall_standins::SiteSize;
use serde_json::Value;
use serde_json::json;

/// A directory that goes with its handle.
struct Files(PathBuf);

impl Files {
    fn new() -> Self {
        let dir = std::env::temp_dir().join(format!("arbutusfall-{}", uuid::Uuid::now_v7()));
        std::fs::create_dir_all(&dir).expect("a directory");
        Self(dir)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let file = self.0.join(name);
        std::fs::write(&file, text).expect("a file");
        file.display().to_string()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        // Left-over files harm nobody.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_arbutusfall_standins"))
        .arg("arbutusfall")
        .args(arguments)
        .output()
        .expect("the command runs")
}

/// Checks a base and an overlay of the site, and returns the exit status with the lines.
fn check(base: &str, overlay: Option<&str>) -> (Option<i32>, Vec<String>) {
    let files = Files::new();
    let base = files.write("base.json", base);
    let overlay = overlay.map(|text| files.write("vitosha.json", text));
    let mut arguments = vec!["check", "--base", &base];
    if let Some(overlay) = &overlay {
        arguments.extend(["--overlay", overlay]);
    }
    let output = run(&arguments);
    let printed = String::from_utf8_lossy(&output.stderr);
    let lines = printed.lines().map(str::to_owned).collect();
    (output.status.code(), lines)
}

fn good_base() -> Value {
    SiteSize::vitosha().base("weighted")
}

#[test]
fn a_good_base_and_overlay_pass() {
    let overlay = json!({ "limits": { "max_connections": 10 } }).to_string();
    let (status, lines) = check(&good_base().to_string(), Some(&overlay));
    assert_eq!((status, lines), (Some(0), Vec::new()));
}

#[test]
fn every_mistake_is_named_with_its_place_and_what_is_allowed() {
    let mut base = good_base();
    let routes = &mut base["services"]["kiosk-api"]["routes"];
    routes[0]["timeout_s"] = json!(2);
    routes[1]["semantics"] = json!("sometimes");
    base["models"]["caption-llm"]["piece_tokens"] = json!("many");
    base["limits"] = json!({ "max_conections": 3 });
    let (status, lines) = check(&base.to_string(), None);
    assert_eq!(status, Some(2));
    let expected = [
        (
            "services.kiosk-api.routes[0].timeout_s",
            "unknown field `timeout_s`",
            "`timeout_ms`",
        ),
        (
            "services.kiosk-api.routes[1].semantics",
            "unknown variant `sometimes`",
            "`non_idempotent`",
        ),
        (
            "models.caption-llm.piece_tokens",
            "invalid type: string \"many\"",
            "u32",
        ),
        (
            "limits.max_conections",
            "unknown field `max_conections`",
            "`max_connections`",
        ),
    ];
    assert_named(&lines, &expected);
}

#[test]
fn numbers_out_of_range_and_contradictions_are_named() {
    let mut base = good_base();
    let mut double = base["services"]["kiosk-api"]["routes"][0].clone();
    double["timeout_ms"] = json!(99_999_999);
    let routes = base["services"]["kiosk-api"]["routes"].as_array_mut();
    routes.expect("routes").push(double);
    base["accounts"]["other"] = base["accounts"]["demo"].clone();
    let model = &mut base["models"]["caption-llm"];
    model["decode_step_ms"] = json!(0);
    model["policy"] = json!({ "goodput_weight": 0.0, "wasted_prefill_weight": 0.0 });
    base["timing"] = json!({ "log_wait_ms": 60_000 });
    let (status, lines) = check(&base.to_string(), None);
    assert_eq!(status, Some(2));
    let expected = [
        (
            "services.kiosk-api.routes[2].timeout_ms",
            "99999999",
            "from 1 to 3600000",
        ),
        (
            "services.kiosk-api.routes[2]",
            "the same method and path",
            "once",
        ),
        (
            "accounts.other.key_sha256",
            "the same key as account `demo`",
            "of its own",
        ),
        ("models.caption-llm.decode_step_ms", "0", "from 1 to 60000"),
        ("models.caption-llm.policy", "both weights are 0", "above 0"),
        ("timing.log_wait_ms", "60000", "from 0 to 6000"),
    ];
    assert_named(&lines, &expected);
}

#[test]
fn duplicate_names_and_overlays_for_no_site_are_named() {
    let (status, lines) = check(r#"{ "sites": ["a"], "limits": {}, "limits": {} }"#, None);
    assert_eq!(status, Some(2));
    assert_named(
        &lines,
        &[("base.json", "duplicate name `limits`", "distinct names")],
    );
    let mut base = good_base();
    base["sites"] = json!(["rinnovo"]);
    let (status, lines) = check(&base.to_string(), Some("{}"));
    assert_eq!(status, Some(2));
    let expected = [("vitosha.json", "overlay for no site: `vitosha`", "rinnovo")];
    assert_named(&lines, &expected);
}

/// Asserts that there is one line for each mistake, with its place, what was found and what is allowed.
fn assert_named(lines: &[String], expected: &[(&str, &str, &str)]) {
    for (path, found, allowed) in expected {
        let named = lines.iter().any(|line| {
            let place = line.contains(&format!("{path}:"));
            place && line.contains(found) && line.contains(allowed)
        });
        assert!(named, "{path}: {found}; {allowed}\nin {lines:#?}");
    }
    assert_eq!(lines.len(), expected.len(), "{lines:#?}");
}

#[test]
fn publish_says_that_the_log_is_down_and_can_be_repeated() {
    let _turn = crate::turn::take();
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"));
    let fleet = Fleet::start_platform(program, &SiteSize::vitosha()).expect("the platform");
    let files = Files::new();
    let base = files.write("base.json", &good_base().to_string());
    let log = fleet.log.address.to_string();
    let down = json!({ "down": true });
    fleet.set_faults(&fleet.log, &down).expect("a fault");
    let id = uuid::Uuid::now_v7().to_string();
    let arguments = ["publish", "base", &base, "--log", &log, "--publish-id", &id];
    let output = run(&arguments);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        printed.contains(&format!("repeat with --publish-id {id}")),
        "{printed}"
    );
    fleet.set_faults(&fleet.log, &json!({})).expect("no fault");
    for _ in 0..2 {
        let output = run(&arguments);
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(0));
        assert!(printed.contains("accepted, revision 0"), "{printed}");
    }
    let wrong = files.write("wrong.json", r#"{ "sitess": [] }"#);
    let output = run(&["publish", "base", &wrong, "--log", &log]);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        printed.contains("rejected") && printed.contains("sitess"),
        "{printed}"
    );
}

#[test]
fn edit_of_an_older_revision_is_rejected() {
    let _turn = crate::turn::take();
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"));
    let fleet = Fleet::start_platform(program, &SiteSize::vitosha()).expect("the platform");
    let files = Files::new();
    let base = files.write("base.json", &good_base().to_string());
    let log = fleet.log.address.to_string();
    let publish = ["publish", "base", &base, "--log", &log];
    assert_eq!(run(&publish).status.code(), Some(0), "revision 0");
    assert_eq!(run(&publish).status.code(), Some(0), "revision 1");
    let edited = |revision| run(&[&publish[..], &["--edited-from", revision]].concat());
    let output = edited("0");
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(printed.contains("revision 1 is in force"), "{printed}");
    assert_eq!(edited("1").status.code(), Some(0));
}
