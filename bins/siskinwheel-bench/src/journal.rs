//! `siskinwheel-bench journal`: cost of running a key at most once, under three designs of the
//! journal: one object per key, a log owned by the holder of a lease, and shard objects.

mod leased;
mod load;
mod world;

use crate::report::{Output, Table};
use crate::stats::Spread;
use anyhow::{Context, Result};
use base::Ms;
use conf::JournalSettings;
use hdrhistogram::Histogram;
use load::{Fault, Figures, LoadConfig};
use pico_args::Arguments;
use world::{Design, Place, World};

/// Help for this command.
pub const HELP: &str = "\
Usage: siskinwheel-bench journal [--rate N] [--seconds N] [--hosts N,N] [--seeds N] [--memory]
                                 [--shards N] [--lanes N] [--commit MS]

Runs keyed requests under three designs of the journal and measures writes per second to the object
API, added latency, recovery after the host that writes has died, and the effect of an outage of the
platform. Up to 6 hosts run over loopback in real time, more of them in memory in virtual time.

  --rate N      keyed requests per second (300)
  --seconds N   measured time (15)
  --hosts N,N   numbers of hosts (1,6,400)
  --seeds N     runs of each combination (3)
  --memory      run all sizes in memory, in virtual time
  --shards N    number of shard objects (default of the settings)
  --lanes N     shards that accept new keys at a time (default of the settings)
  --commit MS   shortest time between two commits of a shard (default of the settings)";

/// Largest number of hosts that run over loopback; more run in memory.
const MAX_LOOPBACK_HOSTS: usize = 6;
/// Length of the platform outage.
const OUTAGE: Ms = Ms::secs(4);

struct Sizes {
    rate: u32,
    span: Ms,
    hosts: Vec<usize>,
    seeds: u64,
    memory: bool,
    rules: JournalSettings,
}

/// Runs the command.
pub fn run(mut args: Arguments, output: &Output) -> Result<()> {
    let hosts = |text: &str| text.split(',').map(str::parse).collect::<Result<Vec<_>, _>>();
    let default = JournalSettings::default();
    let rules = JournalSettings {
        shards: args.opt_value_from_str("--shards")?.unwrap_or(default.shards),
        lanes: args.opt_value_from_str("--lanes")?.unwrap_or(default.lanes),
        commit_ms: args.opt_value_from_str("--commit")?.map_or(default.commit_ms, Ms),
        ..default
    };
    let sizes = Sizes {
        rate: args.opt_value_from_str("--rate")?.unwrap_or(300),
        span: Ms::secs(args.opt_value_from_str("--seconds")?.unwrap_or(15)),
        hosts: args.opt_value_from_fn("--hosts", hosts)?.unwrap_or(vec![1, 6, 400]),
        seeds: args.opt_value_from_str("--seeds")?.unwrap_or(3),
        memory: args.contains("--memory"),
        rules,
    };
    crate::reject_unknown(args)?;
    let Sizes { rate, span, seeds, rules, .. } = &sizes;
    let JournalSettings { shards, lanes, commit_ms, .. } = rules;
    let title = |what: &str| {
        format!(
            "{what}: {rate} keyed requests/s, {span}, {seeds} seeds, {shards} shards, {lanes} \
             lanes, commits {commit_ms} apart; median (least-most)"
        )
    };
    let steady = table(
        &sizes,
        Fault::None,
        title("Steady"),
        &[
            "writes/s",
            "reads/s",
            "written KB/s",
            "median ms",
            "p99 ms",
            "refused",
            "keys run twice",
        ],
        |runs| {
            let twice: u64 = runs.iter().map(|r| r.twice).sum();
            let keys: u64 = runs.iter().map(|r| r.keys).sum();
            vec![
                spread(runs, 1, |r| r.writes_s),
                spread(runs, 1, |r| r.reads_s),
                spread(runs, 0, |r| r.kbytes_s),
                spread(runs, 1, |r| quantile_ms(&r.grants, 0.5)),
                spread(runs, 1, |r| quantile_ms(&r.grants, 0.99)),
                spread(runs, 0, |r| r.refusals.len() as f64),
                format!("{twice} of {keys}"),
            ]
        },
    )?;
    let death = table(
        &sizes,
        Fault::Death,
        title("Death of the host that writes"),
        &["recovery ms", "late", "refused", "p99 ms", "keys run twice"],
        |runs| {
            let twice: u64 = runs.iter().map(|r| r.twice).sum();
            vec![
                spread(runs, 0, |r| r.recovery.0 as f64),
                spread(runs, 0, |r| r.late as f64),
                spread(runs, 0, |r| r.refusals.len() as f64),
                spread(runs, 1, |r| quantile_ms(&r.grants, 0.99)),
                twice.to_string(),
            ]
        },
    )?;
    let outage = table(
        &sizes,
        Fault::Outage(OUTAGE),
        title(&format!("Platform outage of {OUTAGE}")),
        &["refused after ms", "p99 ms", "re-sends answered %", "recovery ms", "keys run twice"],
        |runs| {
            let twice: u64 = runs.iter().map(|r| r.twice).sum();
            vec![
                spread(runs, 1, |r| quantile_ms(&r.refusals, 0.5)),
                spread(runs, 1, |r| quantile_ms(&r.refusals, 0.99)),
                spread(runs, 0, |r| 100.0 * r.replays.1 as f64 / r.replays.0.max(1) as f64),
                spread(runs, 0, |r| r.recovery.0 as f64),
                twice.to_string(),
            ]
        },
    )?;
    output.tables(&[steady, death, outage])
}

fn table(
    sizes: &Sizes,
    fault: Fault,
    title: String,
    columns: &[&str],
    row: impl Fn(&[Figures]) -> Vec<String>,
) -> Result<Table> {
    let mut rows = Vec::new();
    for &hosts in &sizes.hosts {
        // With a single host, no host is left to measure after its death.
        if hosts == 1 && fault == Fault::Death {
            continue;
        }
        let place = match sizes.memory || hosts > MAX_LOOPBACK_HOSTS {
            true => Place::Memory,
            false => Place::Loopback,
        };
        let designs = [Design::Direct, Design::Leased, Design::Sharded];
        let mut runs = designs.map(|_| Vec::new());
        // The designs run alternately, so that other load on the machine affects them all alike.
        for seed in 1..=sizes.seeds {
            for (runs, design) in runs.iter_mut().zip(designs) {
                let config = LoadConfig { rate: sizes.rate, span: sizes.span, seed };
                eprintln!("{design:?}, {hosts} hosts, {fault:?}, seed {seed}");
                runs.push(run_once(design, place, hosts, config, fault, &sizes.rules)?);
            }
        }
        for (runs, design) in runs.iter().zip(designs) {
            let first = [format!("{design:?}"), hosts.to_string(), format!("{place:?}")];
            rows.push(first.into_iter().chain(row(runs)).collect());
        }
    }
    let columns = ["design", "hosts", "where"].iter().chain(columns);
    Ok(Table { title, columns: columns.map(ToString::to_string).collect(), rows })
}

fn run_once(
    design: Design,
    place: Place,
    hosts: usize,
    config: LoadConfig,
    fault: Fault,
    rules: &JournalSettings,
) -> Result<Figures> {
    let mut builder = match place {
        Place::Loopback => tokio::runtime::Builder::new_multi_thread(),
        Place::Memory => tokio::runtime::Builder::new_current_thread(),
    };
    builder.worker_threads(2).enable_all().start_paused(place == Place::Memory);
    let runtime = builder.build().context("starting the runtime")?;
    runtime.block_on(async {
        let world = World::start(design, place, hosts, config.seed, rules).await?;
        Ok(load::run(world, design, config, fault).await)
    })
}

fn spread(runs: &[Figures], digits: usize, value: impl Fn(&Figures) -> f64) -> String {
    Spread::of(&runs.iter().map(value).collect::<Vec<_>>()).show(digits)
}

/// A quantile in milliseconds; the histogram counts in 0.1 ms.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 10.0
}

/// Measures writes, reads and written KB per second at the object API for `rate` keyed requests per
/// second, in virtual time.
pub(crate) fn store_calls(hosts: usize, rate: u32) -> Result<(f64, f64, f64)> {
    let config = LoadConfig { rate, span: Ms::secs(10), seed: 1 };
    let rules = JournalSettings::default();
    let run = run_once(Design::Sharded, Place::Memory, hosts, config, Fault::None, &rules)?;
    Ok((run.writes_s, run.reads_s, run.kbytes_s))
}
