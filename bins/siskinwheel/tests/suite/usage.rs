//! Help, wrong usage and a closed output pipe.

use std::process::Command;

#[test]
fn help_and_wrong_usage() {
    let run = |args: &[&str]| {
        let program = env!("CARGO_BIN_EXE_siskinwheel");
        Command::new(program).args(args).output().expect("it runs")
    };
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).starts_with("Usage: siskinwheel"));
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["no-such-command"]).status.code(), Some(2));
}

// `head` exits after the lines it needs while the report is still being printed. Without handling
// of the closed pipe the operator sees a panic with a backtrace instead of the lines.
#[test]
fn a_closed_output_pipe_is_not_a_failure() {
    use std::process::{Command, Stdio};
    let mut child = Command::new(env!("CARGO_BIN_EXE_siskinwheel"))
        .args(["account", "/dev/null"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("it ends");
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert!(output.status.success(), "{}", output.status);
}
