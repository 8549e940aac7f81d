//! `policy` prints the same tables and `replay` the same effects each time.

use std::path::PathBuf;
use std::process::{Command, Output};

fn bench(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_siskinwheel-bench"))
        .args(args)
        .output()
        .expect("siskinwheel-bench runs")
}

#[test]
fn same_seed_gives_the_same_table() {
    let args = ["policy", "--seeds", "1", "--pattern", "steady", "--policies", "naive", "--json"];
    let first = bench(&args);
    assert!(first.status.success(), "{}", String::from_utf8_lossy(&first.stderr));
    let tables: serde_json::Value = serde_json::from_slice(&first.stdout).expect("JSON");
    assert_eq!(tables[0]["rows"][0][0], "naive");
    assert_eq!(first.stdout, bench(&args).stdout);
}

#[test]
fn a_recorded_host_replays_to_the_same_bytes() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("replay.jsonl");
    let path = file.to_str().expect("a path in UTF-8");
    assert!(bench(&["policy", "--record", path, "--pattern", "slow-target"]).status.success());
    let first = bench(&["replay", path]);
    assert!(first.status.success(), "{}", String::from_utf8_lossy(&first.stderr));
    assert!(first.stdout.len() > 10_000);
    assert_eq!(first.stdout, bench(&["replay", path]).stdout);
}

#[test]
fn unknown_names_are_rejected_with_the_valid_ones() {
    let unknown = bench(&["policy", "--pattern", "nothing"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("slow-target"));
    assert_eq!(bench(&["replay"]).status.code(), Some(1));
}
