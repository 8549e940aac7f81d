//! `siskinwheel-bench admission`: measures how long one decision on the admission of a request with
//! stages takes.

use anyhow::Result;
use base::{Ms, PoolId, RegionId};
use pico_args::Arguments;
use sched::admission::fluid::StageWait;
use sched::admission::load::{ServiceLoad, Work, WorkspaceKey};
use sched::admission::{Admission, Request, Stage};
use std::hint::black_box;
use std::time::Instant;

use crate::reject_unknown;
use crate::report::{Output, Table};

pub const HELP: &str = "\
Usage: siskinwheel-bench admission [--workspaces N] [--json]

Times decisions on requests with a chain of three stages, whose services have work of N workspaces
(default 16) in three ranks, by the number of requests that the host has admitted since the last
report.";

const SERVICES: [&str; 3] = ["first", "second", "third"];
const AFTER: [&[usize]; 3] = [&[], &[0], &[1]];
const RANKS: u8 = 3;
/// Requests that the host admitted since the last report.
const ADMITTED: [usize; 4] = [0, 10, 25, 100];
const REPEATS: usize = 5_000;

/// Runs the command.
pub fn run(mut args: Arguments, output: &Output) -> Result<()> {
    let workspaces: u32 = args.opt_value_from_str("--workspaces")?.unwrap_or(16);
    reject_unknown(args)?;
    let rows = ADMITTED.iter().map(|admitted| row(workspaces, *admitted)).collect();
    let columns = ["admitted since the report", "median us", "p99 us"];
    output.tables(&[Table {
        title: format!("Decision with {workspaces} workspaces, {RANKS} ranks, {REPEATS} repeats"),
        columns: columns.map(str::to_owned).to_vec(),
        rows,
    }])
}

fn row(workspaces: u32, admitted: usize) -> Vec<String> {
    let mut times = measure(workspaces, admitted);
    times.sort_by(f64::total_cmp);
    let quantile = |share: usize| format!("{:.1}", times[times.len() * share / 100]);
    vec![admitted.to_string(), quantile(50), quantile(99)]
}

/// Times of decisions, in us.
fn measure(workspaces: u32, admitted: usize) -> Vec<f64> {
    let names = SERVICES.map(PoolId::from);
    let region = RegionId::from("region");
    let stage = |i: usize| Stage { service: &names[i], pieces: 4, after: AFTER[i], alone: Ms(300) };
    let stages: Vec<Stage<'_>> = (0..names.len()).map(stage).collect();
    let request = Request {
        region: &region,
        rank: 1,
        workspace: WorkspaceKey(0),
        most_urgent: false,
        movable: true,
        stages: &stages,
        last: StageWait { time: 100.0, wait: 0.0 },
    };
    let mut admission = Admission::default();
    let mut now = Ms::secs(1_000);
    let mut times = Vec::with_capacity(REPEATS);
    for _ in 0..REPEATS {
        // Long enough for the requests of the last round to be forgotten.
        now += Ms::secs(2);
        for i in 0..names.len() {
            admission.record(now, &region, &names[i], load(workspaces, &names[i + 1..]));
        }
        (0..admitted).for_each(|_| drop(admission.decide(now, Ms::secs(10), &request)));
        let start = Instant::now();
        black_box(admission.decide(now, Ms::secs(10), &request));
        times.push(start.elapsed().as_nanos() as f64 / 1_000.0);
    }
    times
}

fn load(workspaces: u32, later: &[PoolId]) -> ServiceLoad {
    let of_rank =
        |rank| (0..workspaces).map(move |w| Work { rank, workspace: WorkspaceKey(w), pieces: 1 });
    let works: Vec<Work> = (0..RANKS).flat_map(of_rank).collect();
    ServiceLoad {
        throughput: 1_000.0,
        call_ms: 400.0,
        elsewhere: None,
        coming: later.iter().map(|service| (service.clone(), works.clone())).collect(),
        queued: works,
    }
}
