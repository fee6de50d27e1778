//! Runs all commands of `arbutusfall` with valid and invalid arguments.

use std::path::Path;
use std::process::Command;

use arbutusfall_standins::Fleet;
use serde_json::Value;

use crate::fleet_lock;
use crate::support::caller;
use crate::support::program;
use crate::support::small_site;

/// Exit status and output of a command.
#[derive(Debug)]
struct CommandResult {
    status: i32,
    stdout: String,
    stderr: String,
}

fn run(arguments: &[&str]) -> CommandResult {
    run_with_log_address(arguments, None)
}

fn run_with_log_address(arguments: &[&str], log_address: Option<&str>) -> CommandResult {
    let mut command = Command::new(program());
    command.arg("arbutusfall").args(arguments);
    command.env_remove("ARBUTUSFALL_LOG");
    command.envs(log_address.map(|log_address| ("ARBUTUSFALL_LOG", log_address)));
    let output = command.output().expect("the program runs");
    CommandResult {
        status: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

#[test]
fn invalid_arguments_are_reported_on_one_line() {
    let cases: [&[&str]; 20] = [
        &[],
        &["fly"],
        &["--fly"],
        &["serve"],
        &["serve", "--settings"],
        &["check", "--overlay", "a.json"],
        &["publish", "base"],
        &["publish", "base", "a.json"],
        &["publish", "base", "a.json", "--log", "nowhere"],
        &[
            "publish",
            "base",
            "a.json",
            "--log",
            "127.0.0.1:1",
            "--publish-id",
            "x",
        ],
        &["status", "--vm", "localhost"],
        &["explain", "--path", "/look/7"],
        &["explain", "--vm", "127.0.0.1:1"],
        &["explain", "--vm", "127.0.0.1:1", "--path", "look"],
        &["explain", "--vm", "127.0.0.1:1", "--key", "sk-1"],
        &[
            "explain",
            "--vm",
            "127.0.0.1:1",
            "--path",
            "/look/7",
            "--request-id",
            "a",
        ],
        &[
            "explain",
            "--vm",
            "127.0.0.1:1",
            "--path",
            "/look/7",
            "--token-counts",
            "many",
        ],
        &[
            "explain",
            "--vm",
            "127.0.0.1:1",
            "--path",
            "/look/7",
            "--deadline-ms",
            "soon",
        ],
        &["keys"],
        &["keys", "--out", "a", "--days", "0"],
    ];
    for arguments in cases {
        let result = run(arguments);
        assert_eq!(result.status, 2, "{arguments:?}: {result:?}");
        assert_eq!(
            result.stderr.lines().count(),
            1,
            "{arguments:?}: {result:?}"
        );
        assert!(result.stdout.is_empty(), "{arguments:?}: {result:?}");
    }
}

#[test]
fn every_command_has_help_and_version() {
    for command in ["serve", "check", "publish", "status", "explain", "keys", ""] {
        let arguments: &[&str] = if command.is_empty() { &[] } else { &[command] };
        for (option, shown) in [
            ("--help", "Usage:"),
            ("-h", "Usage:"),
            ("--version", "arbutusfall 0"),
            ("-V", "arbutusfall 0"),
        ] {
            let result = run(&[arguments, &[option]].concat());
            assert_eq!(result.status, 0, "{command} {option}: {result:?}");
            assert!(
                result.stdout.starts_with(shown),
                "{command} {option}: {result:?}"
            );
        }
    }
}

// Guards against settings with which `relay` starts although `check` rejects them, and the other way round.
#[test]
fn relay_settings_are_checked_by_check_and_at_start() {
    let file = std::env::temp_dir().join(format!("arbutusfall-{}.json", uuid::Uuid::now_v7()));
    let path = file.display().to_string();
    let write = |quota_window_s: i32| {
        let settings = serde_json::json!({
            "vm": "one", "data_centre": "milano-a",
            "caller_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
            "store_address": "127.0.0.1:1", "quota_window_s": quota_window_s,
        });
        std::fs::write(&file, settings.to_string()).expect("the file is written");
    };
    write(8);
    let result = run(&["check", "--relay-settings", &path]);
    assert_eq!(result.status, 0, "{result:?}");
    write(-8);
    let line =
        format!("arbutusfall: {path}: quota_window_s: -8 must be more than 0 and at most 86400\n");
    let result = run(&["check", "--relay-settings", &path]);
    assert_eq!((result.status, &*result.stderr), (2, &*line));
    let result = run(&["relay", "--settings", &path]);
    assert_eq!((result.status, &*result.stderr), (1, &*line));
    std::fs::remove_file(&file).expect("the file is removed");
}

#[test]
fn serve_fails_at_start_with_unusable_certificates_or_settings() {
    let dir = std::env::temp_dir().join(format!("arbutusfall-{}", uuid::Uuid::now_v7()));
    let foreign = dir.join("foreign");
    for out in [&dir, &foreign] {
        let out = out.display().to_string();
        let result = run(&["keys", "--out", &out, "--vm", "one", "--vm", "two"]);
        assert_eq!(result.status, 0, "{result:?}");
    }
    let start = |vm_name: &str, authority: &Path, certificate: &str, key: &str| {
        let settings = serde_json::json!({
            "vm": vm_name, "data_centre": "milano-a", "site": "rinnovo",
            "caller_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0", "log_service_address": "127.0.0.1:1",
            "vm_list_address": "127.0.0.1:1",
            "tls": {
                "authority_file": authority.join("authority.pem"),
                "certificate_file": dir.join(certificate),
                "key_file": dir.join(key),
            },
        });
        let file = dir.join("settings.json");
        std::fs::write(&file, settings.to_string()).expect("the file is written");
        run(&["serve", "--settings", &file.display().to_string()])
    };
    let cases = [
        (
            start("one", &dir, "one.pem", "two-key.pem"),
            "not usable together",
        ),
        (
            start("one", &foreign, "one.pem", "one-key.pem"),
            "one.pem: peers would not accept it",
        ),
        (
            start("two", &dir, "one.pem", "one-key.pem"),
            "not issued to the VM two",
        ),
        (
            start("one", &dir, "absent.pem", "one-key.pem"),
            "absent.pem",
        ),
        (
            start("one", &dir, "one-key.pem", "one-key.pem"),
            "one-key.pem",
        ),
    ];
    for (result, line) in cases {
        assert_eq!(result.status, 1, "{result:?}");
        assert!(result.stderr.contains(line), "{line}: {result:?}");
        assert_eq!(result.stderr.lines().count(), 1, "{result:?}");
    }
    let result = run(&["serve", "--settings", "/nowhere/settings.json"]);
    assert_eq!(
        (result.status, result.stderr.lines().count()),
        (1, 1),
        "{result:?}"
    );
    std::fs::remove_dir_all(&dir).expect("the directory is removed");
}

#[test]
fn operator_publishes_configuration_and_reads_the_status() {
    let _lock = fleet_lock::acquire();
    let site = small_site();
    let mut fleet = Fleet::start_stand_ins(program(), &site).expect("the platform starts");
    let file = fleet.dir.join("base.json");
    std::fs::write(&file, site.base("weighted").to_string()).expect("the file is written");
    let base = file.display().to_string();
    let log = fleet.log.address.to_string();
    let result = run_with_log_address(&["publish", "base", &base], Some(&log));
    assert_eq!(result.status, 0, "{result:?}");
    let lines: Vec<&str> = result.stdout.lines().collect();
    let id = lines[0]
        .strip_prefix("publish id ")
        .expect("the first line is the publish id");
    assert_eq!(lines[1], "accepted, revision 0");
    let repeat = run(&["publish", "base", &base, "--log", &log, "--publish-id", id]);
    assert_eq!(
        repeat.stdout, result.stdout,
        "the repeat reported another publication"
    );
    let invalid = fleet.dir.join("wrong.json");
    std::fs::write(&invalid, "{\"sites\":[\"rinnovo\"],\"fly\":1}").expect("the file is written");
    let invalid = run(&[
        "publish",
        "base",
        &invalid.display().to_string(),
        "--log",
        &log,
    ]);
    assert_eq!(invalid.status, 1, "{invalid:?}");
    assert!(invalid.stderr.contains("rejected: "), "{invalid:?}");
    let unreachable = run(&["publish", "base", &base, "--log", "127.0.0.1:1"]);
    assert_eq!(unreachable.status, 1, "{unreachable:?}");
    assert!(
        unreachable.stdout.starts_with("publish id "),
        "{unreachable:?}"
    );
    assert!(
        unreachable.stderr.contains("--publish-id"),
        "{unreachable:?}"
    );
    let overlay = fleet.dir.join("rinnovo.json");
    let addresses = fleet.endpoints.iter();
    let addresses = addresses.map(|(name, process)| (name.clone(), process.address));
    let content = site.overlay(&addresses.collect()).to_string();
    std::fs::write(&overlay, content).expect("the file is written");
    let overlay = overlay.display().to_string();
    let checked = run(&["check", "--base", &base, "--overlay", &overlay]);
    assert_eq!(checked.status, 0, "{checked:?}");
    // The command below needs the settings of a VM, and a VM gets ready only with a base and an overlay, so these are
    // published first.
    fleet
        .publish_site("weighted")
        .expect("the site is published");
    fleet.start_vms(1).expect("the VM starts");
    let settings = fleet.dir.join(format!("{}.json", fleet.vms[0].settings.vm));
    let settings = settings.display().to_string();
    let result = run(&[
        "publish",
        "overlay",
        site.name,
        &overlay,
        "--settings",
        &settings,
    ]);
    assert_eq!(result.status, 0, "{result:?}");
    assert_status_output(&fleet);
}

fn assert_status_output(fleet: &Fleet) {
    let caller_address = fleet.vms[0].caller_address;
    let caller = caller(fleet);
    let completion = caller.complete(caller_address, fleet.site.model, "a", 2, None);
    fleet.block_on(completion).expect("an answer arrives");
    let operator_address = fleet.vms[0].settings.operator_address.to_string();
    let text = run(&["status", "--vm", &operator_address]).stdout;
    for part in [
        "state             ready\n",
        "site              rinnovo\n",
        "VM             DATA CENTRE  STATE\nmilano-a-vm-0  milano-a     alive\n",
        "ENDPOINT  SERVES        GRANTS  SLOTS\n",
        "decode-1  draft-models  0       20\n",
        "COUNTER",
    ] {
        assert!(text.contains(part), "{part:?} in {text}");
    }
    let json = run(&["status", "--vm", &operator_address, "--json"]).stdout;
    let json: Value = serde_json::from_str(&json).expect("a JSON document");
    assert_eq!(json["identity"]["site"], "rinnovo");
    let unreachable = run(&["status", "--vm", "127.0.0.1:1"]);
    assert_eq!(
        (unreachable.status, unreachable.stderr.lines().count()),
        (1, 1)
    );
}
