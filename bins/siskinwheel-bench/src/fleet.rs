//! `siskinwheel-bench fleet`: cost of gossip and of spreading the configuration, by fleet size.
//!
//! The hosts' real reducers run in virtual time. Bytes are those of the real messages as they are
//! encoded. CPU time is measured and covers the reducer and the codec.

use anyhow::Result;
use base::{Ms, Version};
use mesh::{FleetSize, Mesh, Target, fleet_yaml, host_config, object};
use pico_args::Arguments;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::LeavingTarget;

use crate::report::{Axes, Output, Series, Table};
use crate::stats::Spread;

pub const HELP: &str = "\
Usage: siskinwheel-bench fleet [--sizes 6,50,100,200,400] [--seeds N] [--targets N]
                               [--changes N] [--json] [--plot FILE.svg]

Simulates fleets of each size in virtual time: time until a configuration is in force, traffic, CPU
time, platform calls, time until hosts send no new work to a leaving target, and restarts of hosts
during an outage of the platform.";

/// Time after the start in which all hosts learn of each other.
const SETTLE: Ms = Ms::secs(60);
/// Time over which steady traffic is measured.
const STEADY: Ms = Ms::secs(30);
/// Time given to each change to reach all hosts.
const CHANGE_WAIT: Ms = Ms::secs(20);
/// Changes of the configuration per day, and milliseconds of a day.
const CHANGES_PER_DAY: f64 = 1_100.0;
const DAY_MS: f64 = 86_400_000.0;
/// Workspaces in the configuration.
const WORKSPACES: usize = 900;

struct Args {
    sizes: Vec<usize>,
    seeds: u64,
    targets: usize,
    changes: u64,
}

/// Measurements at one fleet size, over all seeds.
#[derive(Default)]
struct Figures {
    in_force: Vec<f64>,
    leaving: Vec<f64>,
    restart: Vec<f64>,
    bytes: f64,
    most_bytes: f64,
    change_bytes: f64,
    busy: f64,
    reads: f64,
    load_age: Vec<f64>,
    memory: f64,
    config_bytes: usize,
}

/// Runs the command.
pub fn run(mut args: Arguments, output: &Output) -> Result<()> {
    let sizes: String = args.opt_value_from_str("--sizes")?.unwrap_or("6,50,100,200,400".into());
    let sizes = sizes.split(',').map(str::parse).collect::<Result<_, _>>()?;
    let mut rest = args;
    let args = Args {
        sizes,
        seeds: rest.opt_value_from_str("--seeds")?.unwrap_or(1),
        targets: rest.opt_value_from_str("--targets")?.unwrap_or(600),
        changes: rest.opt_value_from_str("--changes")?.unwrap_or(5),
    };
    crate::reject_unknown(rest)?;
    let mut times = Table {
        title: format!("Time over {} changes, s, seeds 1 to {}", args.changes, args.seeds),
        columns: columns(&[
            "hosts",
            "in force, median (least-most)",
            "last new work after leaving, median (least-most)",
            "serving after a restart in an outage, median (least-most)",
        ]),
        rows: Vec::new(),
    };
    let mut costs = Table {
        title: format!("Cost of control per host, {} targets, in and out together", args.targets),
        columns: columns(&[
            "hosts",
            "bytes/s, mean",
            "bytes/s, most of a host",
            "of it for 1,100 changes a day",
            "core, %",
            "memory, MB",
            "platform calls/s, fleet",
            "age of a load, s, median (least-most)",
            "configuration, KB",
        ]),
        rows: Vec::new(),
    };
    let (mut in_force_points, mut bytes) = (Vec::new(), Vec::new());
    for size in &args.sizes {
        let mut all = Figures::default();
        for seed in 1..=args.seeds {
            eprintln!("{size} hosts, seed {seed}");
            all.memory += host_memory_mb(*size, seed, &args);
            measure(&mut all, *size, seed, &args);
        }
        let n = args.seeds as f64;
        let spread = |values: &[f64]| Spread::of(values).show(3);
        times.rows.push(vec![
            size.to_string(),
            spread(&all.in_force),
            spread(&all.leaving),
            spread(&all.restart),
        ]);
        let daily = all.change_bytes / n * CHANGES_PER_DAY / DAY_MS * 1000.0;
        costs.rows.push(vec![
            size.to_string(),
            format!("{:.0}", all.bytes / n + daily),
            format!("{:.0}", all.most_bytes + daily),
            format!("{daily:.0}"),
            format!("{:.3}", all.busy / n * 100.0),
            format!("{:.1}", all.memory / n),
            format!("{:.1}", all.reads / n),
            Spread::of(&all.load_age).show(2),
            format!("{:.0}", all.config_bytes as f64 / 1000.0),
        ]);
        in_force_points.push((*size as f64, Spread::of(&all.in_force).most));
        bytes.push((*size as f64, (all.bytes / n + daily) / 1000.0));
    }
    output.tables(&[times, costs])?;
    let axes = Axes {
        title: "Cost of gossip and configuration by fleet size".into(),
        x: "hosts".into(),
        y: "s, KB/s".into(),
    };
    let series = [
        Series { name: "in force everywhere, worst, s".into(), points: in_force_points },
        Series { name: "traffic per host, KB/s".into(), points: bytes },
    ];
    output.plot(&axes, &series)
}

fn columns(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn apply_config(mesh: &mut Mesh, fleet_size: FleetSize, generation: u64) {
    let before = mesh.platform.get("fleet", "fleet").cloned();
    let audit =
        before.as_ref().and_then(|o| serde_json::from_str::<wire::FleetObject>(&o.body).ok());
    let audit = audit.map(|o| o.audit).unwrap_or_default();
    let yaml = fleet_yaml(fleet_size, generation);
    let next = object(generation, &format!("change-{generation}"), yaml, &audit);
    let body = serde_json::to_string(&next).unwrap_or_default();
    let version = Version(before.map_or(0, |o| o.version));
    let written = mesh.put("fleet", "fleet", version, body);
    assert!(written.is_ok(), "the benchmark is the only writer");
}

/// Resident memory in MB that each host adds to the process when each holds its own copy of the
/// configuration.
fn host_memory_mb(hosts: usize, seed: u64, args: &Args) -> f64 {
    // Memory that earlier fleets have freed may be reused here and would then be missing from the
    // difference.
    let before = resident_mb();
    let mut mesh = start_mesh(hosts, seed, args, true);
    mesh.run(SETTLE);
    let after = resident_mb();
    drop(mesh);
    (after - before).max(0.0) / hosts as f64
}

/// Resident memory of this process in MB of 1000 KB; zero if the system does not report it.
fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kb.unwrap_or_default() / 1000.0
}

fn fleet_size(hosts: usize, args: &Args) -> FleetSize {
    let domains = if hosts > 20 { 8 } else { 3 };
    FleetSize { hosts, domains, targets: args.targets, workspaces: WORKSPACES }
}

fn start_mesh(hosts: usize, seed: u64, args: &Args, own_plans: bool) -> Mesh {
    let fleet_size = fleet_size(hosts, args);
    let mut mesh = Mesh::new((0..hosts).map(|i| host_config(fleet_size, i, seed)).collect());
    mesh.own_plans = own_plans;
    for target in 0..args.targets {
        mesh.targets.insert(format!("target-{target}"), Target::default());
    }
    apply_config(&mut mesh, fleet_size, 1);
    for host in 0..hosts {
        mesh.start(host);
    }
    mesh
}

fn measure(all: &mut Figures, hosts: usize, seed: u64, args: &Args) {
    let fleet_size = fleet_size(hosts, args);
    let mut mesh = start_mesh(hosts, seed, args, false);
    all.config_bytes = fleet_yaml(fleet_size, 1).len();
    mesh.run(SETTLE);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    measure_steady(all, &mut mesh, &mut rng);
    for generation in 2..2 + args.changes {
        measure_change(all, &mut mesh, fleet_size, generation, args.changes);
    }
    for n in 0..args.changes {
        measure_leaving(all, &mut mesh, n as usize * 7 % args.targets);
    }
    measure_restarts(all, &mut mesh, args.changes, &mut rng);
}

/// Measures steady traffic while the loads of the targets change at every poll, so that each poll
/// gives a load worth gossiping.
fn measure_steady(all: &mut Figures, mesh: &mut Mesh, rng: &mut ChaCha8Rng) {
    let before = totals(mesh);
    let calls = mesh.platform.calls;
    mesh.measure = true;
    let end = mesh.now() + STEADY;
    while mesh.now() < end {
        for target in mesh.targets.values_mut() {
            target.running = rng.random_range(0..=8);
            target.queued = rng.random_range(0..=4);
        }
        mesh.run(Ms(500));
    }
    mesh.measure = false;
    let after = totals(mesh);
    let secs = STEADY.0 as f64 / 1000.0;
    let bytes: Vec<f64> =
        after.iter().zip(&before).map(|(a, b)| (a.0 - b.0) as f64 / secs).collect();
    let now = mesh.now();
    let ages = (0..mesh.len()).flat_map(|i| mesh.learned(i).load_at.values());
    all.load_age.extend(ages.map(|at| (now - *at).0 as f64 / 1000.0));
    let n = mesh.len() as f64;
    all.bytes += bytes.iter().sum::<f64>() / n;
    all.most_bytes = bytes.iter().copied().fold(all.most_bytes, f64::max);
    all.busy += after.iter().zip(&before).map(|(a, b)| a.1 - b.1).sum::<f64>() / n / secs;
    all.reads += (mesh.platform.calls - calls) as f64 / secs;
}

/// Bytes sent and received and CPU seconds of each host.
fn totals(mesh: &Mesh) -> Vec<(u64, f64)> {
    let host = |i| mesh.traffic(i);
    (0..mesh.len()).map(|i| (host(i).sent + host(i).heard, host(i).busy.as_secs_f64())).collect()
}

/// Measures the time until an accepted change is in force on all hosts, and the bytes that a host
/// sends and receives beyond those of an equally long time without a change.
fn measure_change(
    all: &mut Figures,
    mesh: &mut Mesh,
    fleet_size: FleetSize,
    generation: u64,
    changes: u64,
) {
    let sum = |mesh: &Mesh| totals(mesh).iter().map(|t| t.0).sum::<u64>() as f64;
    mesh.measure = true;
    let start = sum(mesh);
    mesh.run(CHANGE_WAIT);
    let baseline = sum(mesh);
    let at = mesh.now();
    apply_config(mesh, fleet_size, generation);
    mesh.run(CHANGE_WAIT);
    mesh.measure = false;
    let extra = (sum(mesh) - baseline) - (baseline - start);
    all.change_bytes += extra.max(0.0) / mesh.len() as f64 / changes as f64;
    let seen = |i: usize| {
        let generations = &mesh.learned(i).generations;
        generations.iter().find(|g| g.1 >= generation).map_or(Ms::MAX, |g| g.0)
    };
    let last = (0..mesh.len()).map(seen).max().unwrap_or_default();
    all.in_force.push((last - at).0 as f64 / 1000.0);
}

/// Marks a target as leaving, as an operator does, and measures the time until all hosts know. A
/// host may send the target new work until it learns of the mark.
fn measure_leaving(all: &mut Figures, mesh: &mut Mesh, target: usize) {
    let at = mesh.now();
    let name = format!("target-{target}");
    let mark = LeavingTarget {
        target: name.clone(),
        since_ms: at.0,
        leaving: true,
        ..LeavingTarget::default()
    };
    let body = serde_json::to_string(&mark).unwrap_or_default();
    let written = mesh.put("leaving", &name, Version(0), body);
    assert!(written.is_ok(), "each target is marked once");
    mesh.run(CHANGE_WAIT);
    let seen = |i: usize| mesh.learned(i).leaving.get(&name).map_or(Ms::MAX, |w| w.0);
    let last = (0..mesh.len()).map(seen).max().unwrap_or_default();
    all.leaving.push((last - at).0 as f64 / 1000.0);
}

/// Restarts hosts while the platform is down and measures the time until each one serves, which it
/// does once it has a configuration.
fn measure_restarts(all: &mut Figures, mesh: &mut Mesh, times: u64, rng: &mut ChaCha8Rng) {
    mesh.platform.faults.down = true;
    mesh.run(CHANGE_WAIT);
    for _ in 0..times {
        let host = rng.random_range(0..mesh.len());
        mesh.kill(host);
        mesh.run(Ms::secs(3));
        let at = mesh.now();
        mesh.start(host);
        mesh.run(CHANGE_WAIT);
        let serving = mesh.learned(host).generations.first().map_or(Ms::MAX, |g| g.0);
        all.restart.push((serving - at).0 as f64 / 1000.0);
    }
}

/// Cost of gossip and configuration for one host, and platform calls of the fleet.
pub(crate) struct Control {
    /// Bytes per second, received and sent together.
    pub(crate) bytes_s: f64,
    /// CPU time as a share of one core, %.
    pub(crate) core: f64,
    /// Resident memory, MB.
    pub(crate) memory: f64,
    /// Calls per second of the whole fleet to the platform.
    pub(crate) calls_s: f64,
}

/// Measures one fleet size with `targets` targets and no changes of the configuration.
pub(crate) fn control(hosts: usize, targets: usize) -> Control {
    let args = Args { sizes: vec![hosts], seeds: 1, targets, changes: 0 };
    let memory = host_memory_mb(hosts, 1, &args);
    let mut all = Figures::default();
    let mut mesh = start_mesh(hosts, 1, &args, false);
    mesh.run(SETTLE);
    measure_steady(&mut all, &mut mesh, &mut ChaCha8Rng::seed_from_u64(1));
    Control { bytes_s: all.bytes, core: all.busy * 100.0, memory, calls_s: all.reads }
}
