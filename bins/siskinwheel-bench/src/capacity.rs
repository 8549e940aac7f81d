//! `siskinwheel-bench capacity`: measures how resource use grows with size, at four sizes or more
//! each, and extrapolates to the full size of the deployment.

use anyhow::{Context, Result};
use base::{Generation, Ms};
use bytes::Bytes;
use conf::{Fleet, Plan};
use hyper::{Request, StatusCode};
use indicatif::ProgressBar;
use link::{Pool, PoolConfig};
use local::{Cluster, Options, RequestSpec};
use model::{Size, synthetic};
use pico_args::Arguments;
use std::sync::Arc;
use std::time::Instant;

use crate::process::{cpu_seconds, resident_mb};
use crate::report::{Output, Table};
use crate::stats::Fit;
use crate::{decide, fleet, journal, reject_unknown};

pub const HELP: &str = "\
Usage: siskinwheel-bench capacity [--json]

Measures how resource use grows, each slope from four sizes or more, with its fit and residual:
processor time of a request by number of stages and of a streamed token, memory of an open request
and of the configuration, time of a decision, control traffic between hosts (gossip and
configuration) with its processor time and memory, and the journal's writes. Processor times of
requests are those of the host, the fake target and the caller together, so they are an upper bound
for the host.";

/// A call fails after this long without data.
const SILENCE_TIMEOUT: Ms = Ms::secs(60);
/// An answer larger than this fails the run.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Configurations held in memory at each size; the memory of one is their mean.
const PLANS_PER_SIZE: u64 = 40;

/// A quantity measured at several sizes, as pairs of size and value.
struct Slope {
    what: &'static str,
    unit: &'static str,
    per: &'static str,
    points: Vec<(f64, f64)>,
    /// Size in the full deployment.
    full: f64,
}

/// Runs the command.
pub fn run(args: Arguments, output: &Output) -> Result<()> {
    reject_unknown(args)?;
    let bar = ProgressBar::new(7).with_message("slopes");
    let mut slopes = Vec::new();
    let mut add = |more: Vec<Slope>| {
        slopes.extend(more);
        bar.inc(1);
    };
    add(vec![stages()?]);
    add(vec![tokens()?]);
    add(vec![open_requests()?]);
    add(vec![configuration()?]);
    add(decisions()?);
    add(store_calls()?);
    add(control()?);
    bar.finish_and_clear();
    let rows = slopes.iter().map(|s| {
        let fit = Fit::of(&s.points);
        let sizes: Vec<_> = s.points.iter().map(|(x, y)| format!("{x}: {y:.3}")).collect();
        let max_size = s.points.iter().map(|p| p.0).fold(0.0, f64::max);
        vec![
            s.what.to_owned(),
            s.unit.to_owned(),
            sizes.join(", "),
            format!("{:.4} per {}", fit.slope, s.per),
            format!("{:.3}", fit.base),
            format!("{:.0} %", fit.residual * 100.0),
            format!("{:.3} at {}", fit.at(s.full), s.full),
            if s.full > max_size { "extrapolated" } else { "measured range" }.to_owned(),
        ]
    });
    let columns = ["what", "unit", "sizes", "slope", "at zero", "residual", "full size", "how"];
    let columns = columns.map(str::to_owned).to_vec();
    let title = "Slopes, one run".to_owned();
    output.tables(&[Table { title, columns, rows: rows.collect() }])
}

fn control() -> Result<Vec<Slope>> {
    let sizes = [50, 100, 200, 400];
    let all: Vec<_> = sizes.iter().map(|&n| (n as f64, fleet::control(n, 600))).collect();
    let slope = |what, unit, f: fn(&fleet::Control) -> f64| Slope {
        what,
        unit,
        per: "host",
        points: all.iter().map(|(n, c)| (*n, f(c))).collect(),
        full: 400.0,
    };
    Ok(vec![
        slope("control traffic of a host, in and out", "bytes/s", |c| c.bytes_s),
        slope("control processor time of a host", "% of a core", |c| c.core),
        slope("control memory of a host", "MB", |c| c.memory),
        slope("platform calls of the fleet", "calls/s", |c| c.calls_s),
    ])
}

fn configuration() -> Result<Slope> {
    let mut points = Vec::new();
    // Plans of all sizes are kept: memory freed by a smaller size would be reused by the next one and
    // be missing from its difference.
    let mut kept = Vec::new();
    for workspaces in [225, 450, 675, 900] {
        let fleet = synthetic(Size { targets: 600, workspaces, models: 15 })?;
        let before = resident_mb()?;
        for i in 0..PLANS_PER_SIZE {
            let plan = Plan::new(Generation(i), fleet.clone());
            kept.push(plan.context("validating the configuration")?);
        }
        points.push((workspaces as f64, (resident_mb()? - before) / PLANS_PER_SIZE as f64));
    }
    let what = "configuration in memory, 600 targets";
    Ok(Slope { what, unit: "MB", per: "workspace", points, full: 900.0 })
}

fn decisions() -> Result<Vec<Slope>> {
    let (mut arrive, mut any) = (Vec::new(), Vec::new());
    for targets in [75, 150, 300, 600] {
        let (one, all) = decide::decision_times_us(Size { targets, workspaces: 900, models: 15 })?;
        arrive.push((targets as f64, one));
        any.push((targets as f64, all));
    }
    let slope = |what, points| Slope { what, unit: "µs", per: "target", points, full: 600.0 };
    Ok(vec![slope("decision on an arrival", arrive), slope("decision on any event", any)])
}

fn store_calls() -> Result<Vec<Slope>> {
    let (mut writes, mut bytes) = (Vec::new(), Vec::new());
    for rate in [75, 150, 300, 600] {
        let (written, _, kb) = journal::store_calls(6, rate)?;
        writes.push((f64::from(rate), written));
        bytes.push((f64::from(rate), kb));
    }
    let per = "keyed request/s";
    Ok(vec![
        Slope { what: "journal writes", unit: "writes/s", per, points: writes, full: 620.0 },
        Slope { what: "journal bytes written", unit: "KB/s", per, points: bytes, full: 620.0 },
    ])
}

fn stages() -> Result<Slope> {
    let mut points = Vec::new();
    for stages in [1, 2, 4, 6] {
        let used = with_host(stages, 16, 0, |host| async move {
            let start = cpu_seconds()?;
            send_requests(host, 4_000, 16).await?;
            Ok((cpu_seconds()? - start) / 4_000.0 * 1e6)
        })?;
        points.push((stages as f64, used));
    }
    let what = "processor time of a request";
    Ok(Slope { what, unit: "µs", per: "stage", points, full: 6.0 })
}

fn tokens() -> Result<Slope> {
    let mut points = Vec::new();
    for tokens in [50, 100, 200, 400] {
        let used = with_host(0, tokens, 0, |host| async move {
            let start = cpu_seconds()?;
            send_requests(host, 400, 16).await?;
            Ok((cpu_seconds()? - start) / 400.0 * 1e6)
        })?;
        points.push((tokens as f64, used));
    }
    let what = "processor time of a streamed request";
    Ok(Slope { what, unit: "µs", per: "token", points, full: 210.0 })
}

fn open_requests() -> Result<Slope> {
    let mut points = Vec::new();
    for open in [50, 100, 200, 400] {
        let used = with_host(1, 16, 3_000, move |host| async move {
            let before = resident_mb()?;
            let load = tokio::spawn(send_requests(host, open, open));
            tokio::time::sleep(Ms(1_500).duration()).await;
            let used = resident_mb()? - before;
            load.await??;
            Ok(used)
        })?;
        points.push((open as f64, used));
    }
    let what = "memory of open requests";
    Ok(Slope { what, unit: "MB", per: "request", points, full: 140.0 })
}

/// Runs `work` against one host with a pipeline of `stages` plain stages or, if `stages` is zero, of
/// one engine stage that streams `tokens` tokens.
fn with_host<F, Fut>(stages: usize, tokens: u32, call_ms: u64, work: F) -> Result<f64>
where
    F: FnOnce(std::net::SocketAddr) -> Fut,
    Fut: Future<Output = Result<f64>>,
{
    let list = match stages {
        0 => format!("[{{name: g, pool: engines, model: m, stream: true, max_tokens: {tokens}}}]"),
        n => {
            let one = |i| format!("{{name: s{i}, pool: echo, typical_ms: 2}}");
            format!("[{}]", (0..n).map(one).collect::<Vec<_>>().join(", "))
        }
    };
    let yaml = format!(
        "{{deployment: bench, cost_weight: 0.5, defaults: {{placement: domain, hedge_share: 0.0}},
          regions: [{{name: r, domains: [{{name: d}}]}}], models: [{{name: m}}],
          pools: [
            {{name: echo, kind: stage, targets: [
              {{name: echo-1, domain: d, address: '127.0.0.1:1', slots: 4096}}]}},
            {{name: engines, kind: engine, targets: [
              {{name: engine-1, domain: d, address: '127.0.0.1:2', slots: 4096, models: [m]}}]}}],
          workspaces: [{{name: w}}],
          pipelines: [{{name: p, deadline_ms: 60000, stages: {list}}}]}}"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("starting a runtime")?;
    runtime.block_on(async {
        let options = Options { hosts: 1, call_ms, token_ms: 0, settings: String::new() };
        let cluster = Cluster::start(Fleet::parse(&yaml)?, options).await?;
        let used = work(cluster.hosts[0].listen()).await;
        cluster.close().await;
        used
    })
}

/// Sends `requests` requests, at most `at_once` of them in flight at a time.
async fn send_requests(host: std::net::SocketAddr, requests: usize, at_once: usize) -> Result<()> {
    let pool = Arc::new(Pool::new(
        host,
        PoolConfig { idle: at_once, connect_ms: SILENCE_TIMEOUT, ..PoolConfig::default() },
    ));
    let asking = RequestSpec { pipeline: "p", workspace: "w", input: "x", headers: &[] };
    let request: Request<Bytes> = asking.request();
    let mut open = tokio::task::JoinSet::new();
    let start = Instant::now();
    for _ in 0..requests {
        if open.len() >= at_once {
            open.join_next().await.context("no request in flight")???;
        }
        let (pool, request) = (pool.clone(), request.clone());
        open.spawn(async move {
            let response = link::call(&pool, request, SILENCE_TIMEOUT, MAX_ANSWER_BYTES).await?;
            let text = || String::from_utf8_lossy(response.body()).into_owned();
            anyhow::ensure!(response.status() == StatusCode::OK, "refused: {}", text());
            anyhow::Ok(())
        });
    }
    while let Some(ended) = open.join_next().await {
        ended??;
    }
    anyhow::ensure!(
        start.elapsed() < SILENCE_TIMEOUT.duration() * 4,
        "the requests took 240 s or longer; the machine is too busy"
    );
    Ok(())
}
