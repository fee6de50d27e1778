//! The README's main command.

use std::process::Command;

use crate::turn;

#[test]
fn demo_answers_everything_right() {
    let _turn = turn::take();
    let output = Command::new(env!("CARGO_BIN_EXE_arbutusfall_standins"))
        .arg("demo")
        .output()
        .expect("the demo can be started");
    let printed = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{printed}");
    assert!(printed.contains("the service executed the key 1 time(s)"));
}
