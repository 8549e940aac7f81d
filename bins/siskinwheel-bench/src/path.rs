//! `siskinwheel-bench path`: latency that an entry host adds over calling a fake target directly,
//! requests per second on two cores, and resident memory.

use anyhow::{Context, Result};
use base::Ms;
use bytes::Bytes;
use conf::Fleet;
use hdrhistogram::Histogram;
use hyper::{Method, Request, StatusCode};
use indicatif::ProgressBar;
use link::{Pool, PoolConfig};
use local::{Cluster, Options, RequestSpec};
use pico_args::Arguments;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use wire::StageCall;

use crate::process::resident_mb;
use crate::reject_unknown;
use crate::report::{Output, Table};
use crate::stats::Spread;

pub const HELP: &str = "\
Usage: siskinwheel-bench path [--repeats N] [--requests N] [--threads N] [--rate N] [--json]

Runs the fake platform and targets, one entry host and callers in this process on loopback. Each
repeat measures direct calls and calls through the host in turn. `--threads` limits the cores of the
host and the fake servers together (default 2); callers have their own.";

/// An answer larger than this fails the run.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// A call fails after this long without data.
const SILENCE_TIMEOUT: Ms = Ms::secs(10);

struct Sizes {
    repeats: usize,
    requests: usize,
    threads: usize,
    rate: u64,
}

/// Runs the command.
pub fn run(mut args: Arguments, output: &Output) -> Result<()> {
    let sizes = Sizes {
        repeats: args.opt_value_from_str("--repeats")?.unwrap_or(5),
        requests: args.opt_value_from_str("--requests")?.unwrap_or(2_000),
        threads: args.opt_value_from_str("--threads")?.unwrap_or(2),
        rate: args.opt_value_from_str("--rate")?.unwrap_or(2_000),
    };
    reject_unknown(args)?;
    let served = runtime(sizes.threads)?;
    let callers = runtime(2)?;
    let cluster = served.block_on(start_cluster())?;
    let memory_idle = resident_mb()?;
    let host = cluster.hosts[0].listen();
    let fake_target = cluster.targets["echo-1"].addr();
    let bar = ProgressBar::new(sizes.repeats as u64).with_message("repeats");
    let mut added = [AddedLatency::default(), AddedLatency::default()];
    let mut open = Vec::new();
    for _ in 0..sizes.repeats {
        for (stages, added) in [1, 4].into_iter().zip(&mut added) {
            let direct = callers.block_on(sequential(
                fake_target,
                direct_request(),
                sizes.requests,
                stages,
            ))?;
            let through =
                callers.block_on(sequential(host, host_request(stages), sizes.requests, 1))?;
            added.record(&direct, &through);
        }
        open.push(callers.block_on(open_loop(host, host_request(1), &sizes))?);
        bar.inc(1);
    }
    bar.finish_and_clear();
    let rates: Result<Vec<f64>> = (0..sizes.repeats)
        .map(|_| callers.block_on(closed_loop(host, host_request(1), sizes.requests * 10)))
        .collect();
    let memory_loaded = resident_mb()?;
    output.tables(&tables(&sizes, &added, &open, &rates?, memory_idle, memory_loaded))?;
    served.block_on(cluster.close());
    Ok(())
}

/// Latencies in ms, one value per repeat: direct, and what the host adds.
#[derive(Default)]
struct AddedLatency {
    median: Vec<f64>,
    p99: Vec<f64>,
    direct: Vec<f64>,
}

impl AddedLatency {
    fn record(&mut self, direct: &Histogram<u64>, through: &Histogram<u64>) {
        let at = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e6;
        self.direct.push(at(direct, 0.5));
        self.median.push(at(through, 0.5) - at(direct, 0.5));
        self.p99.push(at(through, 0.99) - at(direct, 0.99));
    }
}

fn runtime(threads: usize) -> Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(threads).enable_all().build().context("starting a runtime")
}

async fn start_cluster() -> Result<Cluster> {
    let stages = |n: usize| {
        let one = |i| format!("{{name: s{i}, pool: echo, typical_ms: 2}}");
        (1..=n).map(one).collect::<Vec<_>>().join(", ")
    };
    let fleet = format!(
        "{{deployment: bench, cost_weight: 0.5, defaults: {{placement: domain}},
          regions: [{{name: r, domains: [{{name: d}}]}}],
          pools: [{{name: echo, kind: stage, targets: [
            {{name: echo-1, domain: d, address: '127.0.0.1:1', slots: 512}}]}}],
          workspaces: [{{name: w}}],
          pipelines: [{{name: p1, stages: [{}]}}, {{name: p4, stages: [{}]}}]}}",
        stages(1),
        stages(4)
    );
    let options = Options { hosts: 1, call_ms: 0, token_ms: 0, settings: String::new() };
    Ok(Cluster::start(Fleet::parse(&fleet)?, options).await?)
}

fn direct_request() -> Request<Bytes> {
    let call = StageCall { request: "r".into(), stage: "s".into(), ..StageCall::default() };
    post("/v1/stage", &serde_json::to_vec(&call).unwrap_or_default())
}

fn host_request(stages: usize) -> Request<Bytes> {
    let pipeline = format!("p{stages}");
    let asking = RequestSpec { pipeline: &pipeline, workspace: "w", input: "x", headers: &[] };
    asking.request()
}

fn post(path: &str, body: &[u8]) -> Request<Bytes> {
    let mut request = Request::new(Bytes::copy_from_slice(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    request.headers_mut().insert("host", hyper::header::HeaderValue::from_static("bench"));
    request
}

/// Sends requests one after the other from one caller; each sample is the time of `calls` of them.
async fn sequential(
    addr: SocketAddr,
    request: Request<Bytes>,
    requests: usize,
    calls: usize,
) -> Result<Histogram<u64>> {
    let pool = Pool::new(addr, PoolConfig::default());
    let mut times = Histogram::new(3)?;
    for i in 0..requests + requests / 10 {
        let start = Instant::now();
        for _ in 0..calls {
            send(&pool, request.clone()).await?;
        }
        // The first samples warm up connections and caches and are not recorded.
        if i >= requests / 10 {
            times.record(start.elapsed().as_nanos() as u64)?;
        }
    }
    Ok(times)
}

/// Sends requests at a fixed rate, regardless of the answers; latency counts from the intended send
/// time.
async fn open_loop(
    addr: SocketAddr,
    request: Request<Bytes>,
    sizes: &Sizes,
) -> Result<Histogram<u64>> {
    let pool = Arc::new(Pool::new(addr, PoolConfig { idle: 256, ..PoolConfig::default() }));
    let gap = Duration::from_nanos(1_000_000_000 / sizes.rate.max(1));
    let start = Instant::now();
    let mut open = tokio::task::JoinSet::new();
    for i in 0..sizes.requests {
        let due = start + gap * i as u32;
        tokio::time::sleep_until(due.into()).await;
        let (pool, request) = (pool.clone(), request.clone());
        open.spawn(async move {
            send(&pool, request).await?;
            anyhow::Ok(due.elapsed().as_nanos() as u64)
        });
    }
    let mut times = Histogram::new(3)?;
    while let Some(time) = open.join_next().await {
        times.record(time??)?;
    }
    Ok(times)
}

/// Measures requests per second with 64 callers that each wait for their answer.
async fn closed_loop(addr: SocketAddr, request: Request<Bytes>, requests: usize) -> Result<f64> {
    let left = Arc::new(AtomicU64::new(requests as u64));
    let start = Instant::now();
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..64 {
        let (left, request) = (left.clone(), request.clone());
        callers.spawn(async move {
            let pool = Pool::new(addr, PoolConfig::default());
            while left.fetch_sub(1, Ordering::Relaxed).wrapping_sub(1) < requests as u64 {
                send(&pool, request.clone()).await?;
            }
            anyhow::Ok(())
        });
    }
    while let Some(ended) = callers.join_next().await {
        ended??;
    }
    Ok(requests as f64 / start.elapsed().as_secs_f64())
}

async fn send(pool: &Pool, request: Request<Bytes>) -> Result<()> {
    let response = link::call(pool, request, SILENCE_TIMEOUT, MAX_ANSWER_BYTES).await?;
    anyhow::ensure!(
        response.status() == StatusCode::OK,
        "request refused: {}",
        String::from_utf8_lossy(response.body())
    );
    Ok(())
}

fn tables(
    sizes: &Sizes,
    added: &[AddedLatency],
    open: &[Histogram<u64>],
    rates: &[f64],
    idle: f64,
    loaded: f64,
) -> Vec<Table> {
    let Sizes { repeats, requests, threads, rate } = sizes;
    let columns = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    let rows = added.iter().zip(["1", "4"]).map(|(a, stages)| {
        let show = |values: &[f64]| Spread::of(values).show(3);
        vec![stages.to_owned(), show(&a.direct), show(&a.median), show(&a.p99)]
    });
    let time = Table {
        title: format!(
            "time added by an entry host, ms, median (least-most) of {repeats} repeats of \
             {requests} requests, one caller"
        ),
        columns: columns(&["stages", "direct, median", "added, median", "added, p99"]),
        rows: rows.collect(),
    };
    let at = |q: f64| {
        let values: Vec<f64> = open.iter().map(|h| h.value_at_quantile(q) as f64 / 1e6).collect();
        Spread::of(&values).show(3)
    };
    let load = Table {
        title: format!(
            "one stage, host and fake target on {threads} threads; open loop at {rate}/s, closed \
             loop with 64 callers; memory is this whole process's"
        ),
        columns: columns(&[
            "open loop p50, ms",
            "open loop p99, ms",
            "closed loop, requests/s",
            "resident idle, MB",
            "resident loaded, MB",
        ]),
        rows: vec![vec![
            at(0.5),
            at(0.99),
            Spread::of(rates).show(0),
            format!("{idle:.1}"),
            format!("{loaded:.1}"),
        ]],
    };
    vec![time, load]
}
