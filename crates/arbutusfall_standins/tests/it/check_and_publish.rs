//! Runs `arbutusfall check` and `arbutusfall publish`: reported problems, repeats and outdated edits.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use arbutusfall_standins::Fleet;
use arbutusfall_standins::SiteSpec;
use serde_json::Value;
use serde_json::json;

/// A temporary directory, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> Self {
        let dir = std::env::temp_dir().join(format!("arbutusfall-{}", uuid::Uuid::now_v7()));
        std::fs::create_dir_all(&dir).expect("the directory is created");
        Self(dir)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let file = self.0.join(name);
        std::fs::write(&file, text).expect("the file is written");
        file.display().to_string()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // Files left behind in the temporary directory are harmless.
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

/// Runs `check` on a base and an overlay of the site `vitosha`; returns the exit status and the lines of stderr.
fn check(base: &str, overlay: Option<&str>) -> (Option<i32>, Vec<String>) {
    let files = TempDir::new();
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

fn valid_base() -> Value {
    SiteSpec::vitosha().base("weighted")
}

#[test]
fn valid_base_and_overlay_pass() {
    let overlay = json!({ "limits": { "max_connections": 10 } }).to_string();
    let (status, lines) = check(&valid_base().to_string(), Some(&overlay));
    assert_eq!((status, lines), (Some(0), Vec::new()));
}

#[test]
fn each_problem_is_reported_with_its_path_and_the_allowed_values() {
    let mut base = valid_base();
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
    assert_problems(&lines, &expected);
}

#[test]
fn values_out_of_range_and_contradictions_are_reported() {
    let mut base = valid_base();
    let mut duplicate = base["services"]["kiosk-api"]["routes"][0].clone();
    duplicate["timeout_ms"] = json!(99_999_999);
    let routes = base["services"]["kiosk-api"]["routes"].as_array_mut();
    routes.expect("routes").push(duplicate);
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
    assert_problems(&lines, &expected);
}

#[test]
fn duplicate_names_and_overlays_of_unlisted_sites_are_reported() {
    let (status, lines) = check(r#"{ "sites": ["a"], "limits": {}, "limits": {} }"#, None);
    assert_eq!(status, Some(2));
    assert_problems(
        &lines,
        &[("base.json", "duplicate name `limits`", "distinct names")],
    );
    let mut base = valid_base();
    base["sites"] = json!(["rinnovo"]);
    let (status, lines) = check(&base.to_string(), Some("{}"));
    assert_eq!(status, Some(2));
    let expected = [("vitosha.json", "overlay for no site: `vitosha`", "rinnovo")];
    assert_problems(&lines, &expected);
}

/// Asserts that `lines` has exactly one line for each expected problem, with its path, what was found and what is
/// allowed.
fn assert_problems(lines: &[String], expected: &[(&str, &str, &str)]) {
    for (path, found, allowed) in expected {
        let reported = lines.iter().any(|line| {
            let has_path = line.contains(&format!("{path}:"));
            has_path && line.contains(found) && line.contains(allowed)
        });
        assert!(reported, "{path}: {found}; {allowed}\nin {lines:#?}");
    }
    assert_eq!(lines.len(), expected.len(), "{lines:#?}");
}

#[test]
fn publish_reports_a_log_outage_and_can_be_repeated() {
    let _lock = crate::fleet_lock::acquire();
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"));
    let fleet = Fleet::start_stand_ins(program, &SiteSpec::vitosha()).expect("the platform starts");
    let files = TempDir::new();
    let base = files.write("base.json", &valid_base().to_string());
    let log = fleet.log.address.to_string();
    let down = json!({ "down": true });
    fleet
        .set_faults(&fleet.log, &down)
        .expect("the fault is set");
    let id = uuid::Uuid::now_v7().to_string();
    let arguments = ["publish", "base", &base, "--log", &log, "--publish-id", &id];
    let output = run(&arguments);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        printed.contains(&format!("repeat with --publish-id {id}")),
        "{printed}"
    );
    fleet
        .set_faults(&fleet.log, &json!({}))
        .expect("the faults are cleared");
    for _ in 0..2 {
        let output = run(&arguments);
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(0));
        assert!(printed.contains("accepted, revision 0"), "{printed}");
    }
    let invalid = files.write("wrong.json", r#"{ "sitess": [] }"#);
    let output = run(&["publish", "base", &invalid, "--log", &log]);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        printed.contains("rejected") && printed.contains("sitess"),
        "{printed}"
    );
}

#[test]
fn edit_of_an_outdated_revision_is_rejected() {
    let _lock = crate::fleet_lock::acquire();
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_arbutusfall_standins"));
    let fleet = Fleet::start_stand_ins(program, &SiteSpec::vitosha()).expect("the platform starts");
    let files = TempDir::new();
    let base = files.write("base.json", &valid_base().to_string());
    let log = fleet.log.address.to_string();
    let publish = ["publish", "base", &base, "--log", &log];
    assert_eq!(run(&publish).status.code(), Some(0), "revision 0");
    assert_eq!(run(&publish).status.code(), Some(0), "revision 1");
    let publish_edit = |revision| run(&[&publish[..], &["--edited-from", revision]].concat());
    let output = publish_edit("0");
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(printed.contains("revision 1 is in force"), "{printed}");
    assert_eq!(publish_edit("1").status.code(), Some(0));
}
