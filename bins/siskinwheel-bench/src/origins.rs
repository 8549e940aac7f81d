//! `siskinwheel-bench origins`: compares designs by which a host knows at which software version a
//! stream began that a caller takes up.

use anyhow::Result;
use model::origins::{Design, Figures, Scenario, simulate};
use pico_args::Arguments;

use crate::reject_unknown;
use crate::report::{Output, Table};

pub const HELP: &str = "\
Usage: siskinwheel-bench origins [--seeds N] [--rate R] [--json]

Simulates, in virtual time, fleets of 6, 79 and 400 hosts in front of engines of two software
versions, to which a third is added. Some hosts fail at once, twice, and callers take their streams
up at other hosts. Prints which streams go on, which are mixed, and what it costs, by design.

  --seeds N  repeats, default 5
  --rate R   streams that each host begins in a second, default 5";

/// Writes a second that the store of a small and of a large deployment takes.
const STORE_WRITES: (u64, u64) = (400, 1_200);

const COLUMNS: [&str; 8] = [
    "design",
    "hosts",
    "fail at once",
    "taken up",
    "went on, %",
    "mixed",
    "messages/s a host",
    "records a host",
];

/// Runs the command.
pub fn run(mut args: Arguments, output: &Output) -> Result<()> {
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(5);
    let rate: u64 = args.opt_value_from_str("--rate")?.unwrap_or(5);
    reject_unknown(args)?;
    let mut rows = Vec::new();
    for hosts in [6, 79, 400] {
        let writes = if hosts < 60 { STORE_WRITES.0 } else { STORE_WRITES.1 };
        let designs = [
            (Design::First, "the first host, all are asked"),
            (Design::All, "all are told"),
            (Design::Some(2), "two are told"),
            (Design::Some(6), "six are told"),
            (Design::Hash, "a hash of the attempt"),
            (Design::Store(writes), "a write to the store"),
        ];
        for (design, name) in designs {
            for failing in [1, 50] {
                let scenario = Scenario { hosts, rate, failing };
                let results: Vec<Figures> =
                    (1..=seeds).map(|seed| simulate(design, scenario, seed)).collect();
                rows.push(row(name, scenario, &results));
            }
        }
    }
    let title = format!("Streams taken up while versions are mixed; {seeds} seeds of a minute");
    output.tables(&[Table { title, columns: COLUMNS.map(str::to_owned).to_vec(), rows }])
}

fn row(name: &str, scenario: Scenario, results: &[Figures]) -> Vec<String> {
    let sum = |of: fn(&Figures) -> u64| results.iter().map(of).sum::<u64>();
    let (taken_up, went_on) = (sum(|f| f.taken_up), sum(|f| f.went_on));
    let host_seconds = (results.len() * scenario.hosts * 60) as f64;
    vec![
        name.to_owned(),
        scenario.hosts.to_string(),
        scenario.failed().to_string(),
        taken_up.to_string(),
        format!("{:.1}", went_on as f64 * 100.0 / taken_up.max(1) as f64),
        sum(|f| f.mixed).to_string(),
        format!("{:.1}", sum(|f| f.messages) as f64 / host_seconds),
        results.first().map_or(0, |f| f.records).to_string(),
    ]
}
