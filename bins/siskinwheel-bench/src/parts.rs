//! `siskinwheel-bench parts`: compares designs that find a part of prompts which ends engines.

use anyhow::Result;
use model::parts::{Design, Figures, Scenario, simulate};
use pico_args::Arguments;

use crate::reject_unknown;
use crate::report::{Output, Table};

pub const HELP: &str = "\
Usage: siskinwheel-bench parts [--seeds N] [--json]

Simulates, in virtual time, fleets of 6, 79 and 400 hosts whose engines end when they begin to answer
requests with one of some parts in their prompts. Prints how many engines end, which requests reach
them too late, and which sound requests are refused, by design.

  --seeds N  repeats, default 5";

const COLUMNS: [&str; 10] = [
    "design",
    "hosts",
    "bad a second",
    "bad parts",
    "engines ended",
    "sent late",
    "sound refused, %",
    "sound begun, %",
    "found",
    "found after, s",
];

/// Hosts, engines, and sound requests a second.
const FLEETS: [(usize, usize, u64); 3] = [(6, 9, 40), (79, 60, 200), (400, 600, 1_000)];

/// Runs the command.
pub fn run(mut args: Arguments, output: &Output) -> Result<()> {
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(5);
    reject_unknown(args)?;
    let designs = [
        (Design::Own, "each host counts its own"),
        (Design::Told, "all are told"),
        (Design::Cleared, "sound answers clear"),
        (Design::Diagnosed, "diagnosed together"),
    ];
    let mut rows = Vec::new();
    for (hosts, engines, sound) in FLEETS {
        for (bad, parts) in [(0, 1), (1, 1), (10, 1), (10, 3), (60, 1)] {
            for (design, name) in designs {
                let scenario = Scenario { hosts, engines, sound, bad, parts };
                let results: Vec<Figures> =
                    (1..=seeds).map(|seed| simulate(design, scenario, seed)).collect();
                rows.push(row(name, scenario, &results));
            }
        }
    }
    let title = format!("Parts that end engines; {seeds} seeds of a minute");
    output.tables(&[Table { title, columns: COLUMNS.map(str::to_owned).to_vec(), rows }])
}

fn row(name: &str, scenario: Scenario, results: &[Figures]) -> Vec<String> {
    let sum = |of: fn(&Figures) -> u64| results.iter().map(of).sum::<u64>();
    let percent = |of: u64, all: u64| format!("{:.1}", of as f64 / all.max(1) as f64 * 100.0);
    let mean = |of: u64| format!("{:.1}", of as f64 / results.len() as f64);
    let found: Vec<u64> = results.iter().filter_map(|f| f.found).map(|found| found.0).collect();
    let after = found.iter().sum::<u64>() as f64 / found.len().max(1) as f64 / 1_000.0;
    vec![
        name.to_owned(),
        scenario.hosts.to_string(),
        scenario.bad.to_string(),
        scenario.parts.to_string(),
        mean(sum(|f| f.ends)),
        mean(sum(|f| f.late)),
        percent(sum(|f| f.refused), sum(|f| f.asked)),
        percent(sum(|f| f.begun), sum(|f| f.after)),
        format!("{} of {}", found.len(), results.len()),
        format!("{after:.1}"),
    ]
}
