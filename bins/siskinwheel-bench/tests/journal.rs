//! `journal` in virtual time gives the same results for the same seed, and no key runs twice.

use std::process::Command;

fn run(args: &[&str]) -> String {
    let program = env!("CARGO_BIN_EXE_siskinwheel-bench");
    let output = Command::new(program).args(args).output().expect("siskinwheel-bench runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn same_seed_gives_the_same_results() {
    let args = ["journal", "--memory", "--hosts", "2", "--seconds", "3", "--seeds", "1", "--json"];
    let first = run(&args);
    assert_eq!(first, run(&args));
    let tables: serde_json::Value = serde_json::from_str(&first).expect("tables");
    let rows = tables[0]["rows"].as_array().expect("rows");
    assert_eq!(rows.len(), 3, "{first}");
    let run_twice = rows.iter().filter_map(|row| row.as_array()?.last()?.as_str());
    assert!(run_twice.clone().all(|t| t.starts_with("0 of ")), "{first}");
}
