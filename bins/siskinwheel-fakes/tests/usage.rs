//! `--help` prints the usage, and wrong usage exits with code 2.

use std::process::Command;

#[test]
fn help_succeeds_and_wrong_usage_fails() {
    let run = |args: &[&str]| {
        let program = env!("CARGO_BIN_EXE_siskinwheel-fakes");
        Command::new(program).args(args).output().expect("siskinwheel-fakes runs")
    };
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).starts_with("Usage: siskinwheel-fakes"));
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["no-such-command"]).status.code(), Some(2));
}
