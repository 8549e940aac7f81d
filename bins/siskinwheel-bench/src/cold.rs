//! `siskinwheel-bench cold`: how hosts keep together to what a cold target stands, by design.

use anyhow::Result;
use model::cold::{Design, Figures, Partition, Scenario, simulate};
use pico_args::Arguments;

use crate::finish;
use crate::report::{Output, Table};
use crate::stats::Spread;

pub const HELP: &str = "\
Usage: siskinwheel-bench cold [--seeds N] [--rate R] [--json]

Plays a failure domain of ten targets that comes back cold into a burst, in virtual time, for fleets
of 6, 79, 300 and 1,000 hosts, whole and cut, and prints what reaches a target, by design.

  --seeds N  repeats, default 8
  --rate R   requests a second that would go to each target, default 20";

/// What a cold target stands in a second.
const LIMIT: f64 = 18.95;
/// Largest difference between two hosts' clocks, ms.
const SKEW: u64 = 2_400;

const DESIGNS: [(Design, &str); 5] = [
    (Design::Unlimited, "free"),
    (Design::EqualParts, "equal parts"),
    (Design::Turns, "turns by clock"),
    (Design::Permits, "permits"),
    (Design::Shares, "shares in the domain"),
];

const CUTS: [(Partition, &str); 3] =
    [(Partition::None, "none"), (Partition::Halves, "halves"), (Partition::Isolated, "each alone")];

const COLUMNS: [&str; 7] =
    ["design", "hosts", "cut", "worst second", "served/s", "calls a request", "wait ms"];

/// Runs the command.
pub fn run(mut args: Arguments, output: &Output) -> Result<()> {
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(8);
    let rate: f64 = args.opt_value_from_str("--rate")?.unwrap_or(20.0);
    finish(args)?;
    let mut rows = Vec::new();
    for (design, name) in DESIGNS {
        for hosts in [6, 79, 300, 1_000] {
            for (partition, cut_name) in CUTS {
                let world = Scenario { hosts, rate, limit: LIMIT, partition, skew: SKEW };
                let played: Vec<Figures> =
                    (1..=seeds).map(|seed| simulate(design, world, seed)).collect();
                rows.push(row(name, hosts, cut_name, &played));
            }
        }
    }
    let title = format!(
        "a cold target stands {LIMIT} requests a second, and {rate} would go to it; {seeds} seeds"
    );
    output.tables(&[Table { title, columns: COLUMNS.map(str::to_owned).to_vec(), rows }])
}

fn row(name: &str, hosts: usize, cut: &str, played: &[Figures]) -> Vec<String> {
    let worst = played.iter().map(|f| f.worst).max().unwrap_or(0);
    let spread =
        |of: fn(&Figures) -> f64| Spread::of(&played.iter().map(of).collect::<Vec<f64>>()).show(1);
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
