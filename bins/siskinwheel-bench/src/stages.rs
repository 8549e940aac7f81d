//! `siskinwheel-bench stages`: compares designs that differ in who batches the calls to stage
//! targets, in virtual time.

use anyhow::Result;
use model::stages::{Design, Fault, KINDS, Load, RUN_LENGTH, RunStats, simulate};
use pico_args::Arguments;

use crate::reject_unknown;
use crate::report::{Axes, Output, Series, Table};
use crate::stats::Spread;

pub const HELP: &str = "\
Usage: siskinwheel-bench stages [--seeds N] [--hosts A,B] [--faults] [--json] [--plot FILE.svg]

Simulates requests whose stages run in batches, in virtual time, and prints the share of requests
that is answered in time, by design: median and range over the seeds 1 to N.

  --seeds N     repeats, default 10
  --hosts A,B   numbers of entry hosts, default 6,30,86
  --faults      inject faults at normal load with the first number of hosts, instead of growing
                the load";

const DESIGNS: [(Design, &str); 6] = [
    (Design::Single, "single calls"),
    (Design::PerHost, "hosts alone"),
    (Design::Window, "alone, window"),
    (Design::Lease, "leased turns"),
    (Design::PerTarget, "own targets"),
    (Design::Composer, "composer"),
];

/// Load as a multiple of normal load: half, normal and two bursts.
const LOAD_FACTORS: [f64; 4] = [0.5, 1.0, 1.7, 2.3];

const FAULTS: [(Fault, &str); 5] = [
    (Fault::None, "none"),
    (Fault::Slow, "slow target"),
    (Fault::Lost, "lost target"),
    (Fault::Host, "lost host"),
    (Fault::Split, "two composers"),
];

const COLUMNS: [&str; 9] = [
    "design",
    "hosts",
    "load",
    "fault",
    "in time %",
    "to hosts alone",
    "by kind %",
    "worth in time/s",
    "pieces a call",
];

/// Runs the command.
pub fn run(mut args: Arguments, output: &Output) -> Result<()> {
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(10);
    let hosts =
        args.opt_value_from_fn("--hosts", parse_host_counts)?.unwrap_or_else(|| vec![6, 30, 86]);
    let faults = args.contains("--faults");
    reject_unknown(args)?;
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    let loads: Vec<(Load, &str)> = match faults {
        true => {
            let load = |fault| Load { hosts: hosts[0], factor: 1.0, fault };
            FAULTS.map(|(fault, name)| (load(fault), name)).to_vec()
        }
        false => {
            let all = hosts.iter().flat_map(|h| LOAD_FACTORS.map(|f| (*h, f)));
            all.map(|(hosts, factor)| (Load { hosts, factor, fault: Fault::None }, "none"))
                .collect()
        }
    };
    for (load, fault) in loads {
        let values = add_rows(&mut rows, load, fault, seeds);
        lines.push((load.hosts, load.factor, values));
    }
    let title = format!("Batched stages, days of {} s, seeds 1 to {seeds}", RUN_LENGTH.0 / 1000);
    output.tables(&[Table { title, columns: COLUMNS.map(str::to_owned).to_vec(), rows }])?;
    plot(output, &lines)
}

fn parse_host_counts(text: &str) -> Result<Vec<usize>, String> {
    let all: Result<Vec<usize>, _> = text.split(',').map(str::parse).collect();
    match all {
        Ok(all) if !all.contains(&0) => Ok(all),
        _ => Err(format!(
            "invalid numbers of hosts '{text}'; expected numbers from 1 up, such as 6,30"
        )),
    }
}

/// Adds one row for each design. Returns the worth served in time per second of each design.
fn add_rows(rows: &mut Vec<Vec<String>>, load: Load, fault: &str, seeds: u64) -> Vec<f64> {
    let runs: Vec<Vec<RunStats>> = DESIGNS
        .iter()
        .map(|(design, _)| (1..=seeds).map(|seed| simulate(*design, load, seed)).collect())
        .collect();
    let share = |runs: &[RunStats]| spread(runs, |d| d.in_time() * 100.0);
    let alone = share(&runs[1]).median;
    let mut values = Vec::new();
    for ((_, name), runs) in DESIGNS.iter().zip(&runs) {
        let value = spread(runs, |d| d.value.1 * 1000.0 / RUN_LENGTH.0 as f64);
        let fill = spread(runs, |d| d.calls.1 as f64 / d.calls.0.max(1) as f64);
        rows.push(vec![
            (*name).to_owned(),
            load.hosts.to_string(),
            load.factor.to_string(),
            fault.to_owned(),
            share(runs).show(1),
            format!("{:.2}", share(runs).median / alone.max(0.1)),
            by_kind(runs),
            value.show(1),
            fill.show(1),
        ]);
        values.push(value.median);
    }
    values
}

fn spread(runs: &[RunStats], of: impl Fn(&RunStats) -> f64) -> Spread {
    Spread::of(&runs.iter().map(of).collect::<Vec<_>>())
}

fn by_kind(runs: &[RunStats]) -> String {
    let share = |i: usize| {
        let one = |d: &RunStats| d.kinds[i].1 as f64 * 100.0 / d.kinds[i].0.max(1) as f64;
        format!("{} {:.0}", KINDS[i].name, spread(runs, one).median)
    };
    (0..KINDS.len()).map(share).collect::<Vec<_>>().join(", ")
}

fn plot(output: &Output, lines: &[(usize, f64, Vec<f64>)]) -> Result<()> {
    let max_hosts = lines.iter().map(|(hosts, ..)| *hosts).max().unwrap_or(0);
    let line = |i: usize| Series {
        name: DESIGNS[i].1.to_owned(),
        points: lines.iter().filter(|l| l.0 == max_hosts).map(|l| (l.1, l.2[i])).collect(),
    };
    let series: Vec<Series> = (0..DESIGNS.len()).map(line).collect();
    let axes = Axes {
        title: format!("Worth served in time, {max_hosts} hosts"),
        x: "load, as a multiple of normal load".to_owned(),
        y: "worth a second".to_owned(),
    };
    output.plot(&axes, &series)
}
