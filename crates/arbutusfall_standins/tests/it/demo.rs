//! The `demo` command, which the README shows first.

use std::process::Command;

use crate::fleet_lock;

#[test]
fn demo_succeeds_and_executes_the_call_once() {
    let _lock = fleet_lock::acquire();
    let output = Command::new(env!("CARGO_BIN_EXE_arbutusfall_standins"))
        .arg("demo")
        .output()
        .expect("the demo starts");
    let printed = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{printed}");
    assert!(printed.contains("the service executed the key 1 time(s)"));
}
