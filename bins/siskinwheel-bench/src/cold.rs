//! `siskinwheel-bench cold`: compares designs by which all hosts together keep their load on a cold
//! target within what the target can handle.

use anyhow::Result;
use model::cold::{Design, Figures, Partition, Scenario, simulate};
use pico_args::Arguments;

use crate::reject_unknown;
use crate::report::{Output, Table};
use crate::stats::Spread;

pub const HELP: &str = "\
Usage: siskinwheel-bench cold [--seeds N] [--rate R] [--json]

Simulates, in virtual time, a failure domain of ten targets that comes back cold during a burst, for
fleets of 6, 79, 300 and 1,000 hosts, connected and partitioned, and prints the load that reaches a
target, by design.

  --seeds N  repeats, default 8
  --rate R   requests per second offered to each target, default 20";

/// Requests per second that a cold target can handle.
const COLD_LIMIT: f64 = 18.95;
/// Largest difference between the clocks of two hosts.
const CLOCK_SKEW_MS: u64 = 2_400;

const DESIGNS: [(Design, &str); 5] = [
    (Design::Unlimited, "free"),
    (Design::EqualParts, "equal parts"),
    (Design::Turns, "turns by clock"),
    (Design::Permits, "permits"),
    (Design::Shares, "shares in the domain"),
];

const PARTITIONS: [(Partition, &str); 3] =
    [(Partition::None, "none"), (Partition::Halves, "halves"), (Partition::Isolated, "each alone")];

const COLUMNS: [&str; 7] =
    ["design", "hosts", "cut", "worst second", "served/s", "calls a request", "wait ms"];

/// Runs the command.
pub fn run(mut args: Arguments, output: &Output) -> Result<()> {
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(8);
    let rate: f64 = args.opt_value_from_str("--rate")?.unwrap_or(20.0);
    reject_unknown(args)?;
    let mut rows = Vec::new();
    for (design, name) in DESIGNS {
        for hosts in [6, 79, 300, 1_000] {
            for (partition, cut_name) in PARTITIONS {
                let scenario =
                    Scenario { hosts, rate, limit: COLD_LIMIT, partition, skew: CLOCK_SKEW_MS };
                let results: Vec<Figures> =
                    (1..=seeds).map(|seed| simulate(design, scenario, seed)).collect();
                rows.push(row(name, hosts, cut_name, &results));
            }
        }
    }
    let title = format!(
        "Cold target that can handle {COLD_LIMIT} requests/s and is offered {rate}; {seeds} seeds"
    );
    output.tables(&[Table { title, columns: COLUMNS.map(str::to_owned).to_vec(), rows }])
}

fn row(name: &str, hosts: usize, cut: &str, results: &[Figures]) -> Vec<String> {
    let worst = results.iter().map(|f| f.worst).max().unwrap_or(0);
    let spread =
        |of: fn(&Figures) -> f64| Spread::of(&results.iter().map(of).collect::<Vec<f64>>()).show(1);
    vec![
        name.to_owned(),
        hosts.to_string(),
        cut.to_owned(),
        worst.to_string(),
        spread(|f| f.served),
        spread(|f| f.calls),
        spread(|f| f.wait),
    ]
}
