//! `--help` prints the usage; wrong usage fails with exit code 2 without a command and 1 with an
//! unknown one.

use std::process::Command;

#[test]
fn help_succeeds_and_wrong_usage_fails() {
    let run = |args: &[&str]| {
        let program = env!("CARGO_BIN_EXE_siskinwheel-bench");
        Command::new(program).args(args).output().expect("siskinwheel-bench runs")
    };
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).starts_with("Usage: siskinwheel-bench"));
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["no-such-command"]).status.code(), Some(1));
}
