//! `fleet` gives the same times for the same seeds, and rejects unknown arguments.

use std::process::{Command, Output};

fn fleet(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_siskinwheel-bench");
    Command::new(program).arg("fleet").args(args).output().expect("siskinwheel-bench runs")
}

#[test]
fn fixed_seeds_give_the_same_times() {
    let args = ["--sizes", "6", "--targets", "24", "--changes", "2", "--json"];
    let times = || {
        let out = fleet(&args);
        assert!(out.status.success());
        let tables: serde_json::Value = serde_json::from_slice(&out.stdout).expect("JSON");
        tables[0]["rows"].clone()
    };
    assert_eq!(times(), times());
}

#[test]
fn unknown_arguments_are_rejected() {
    assert_eq!(fleet(&["--size", "6"]).status.code(), Some(1));
}
