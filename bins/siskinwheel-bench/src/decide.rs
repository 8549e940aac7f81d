//! Measures how long one decision takes and how that grows with the size of the configuration.

use anyhow::{Context, Result};
use base::{
    Attempt, DomainId, Generation, HostId, Ms, PipelineId, RegionId, RequestId, WorkspaceId,
};
use conf::Plan;
use model::{Policy, Size, synthetic};
use policy::{Arrival, Effect, Event, HostContext, Reducer, Usage};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::report::{Axes, Output, Series, Table};
use crate::stats::{Fit, Spread};

/// Sizes at which decisions are timed. One of the three grows at a time, while the other two stay at
/// their largest value.
const TARGETS: [usize; 5] = [38, 75, 150, 300, 600];
const WORKSPACES: [usize; 5] = [56, 112, 225, 450, 900];
const MODELS: [usize; 5] = [1, 3, 7, 11, 15];
const FULL_SIZE: Size = Size { targets: 600, workspaces: 900, models: 15 };
/// Requests at each size, and how many of them come before measuring starts.
const REQUESTS: usize = 6_000;
const WARMUP_REQUESTS: usize = 1_000;
/// Most requests in flight at once.
const MAX_IN_FLIGHT: usize = 64;
const REPEATS: u64 = 5;

/// Kinds of events that are reported separately.
const EVENT_KINDS: [&str; 5] = ["arrive", "done", "load", "tick", "others"];

/// Event times of one run, in ns.
struct Times {
    median: f64,
    p99: f64,
    /// Median of each kind of event.
    kinds: [f64; EVENT_KINDS.len()],
}

/// Measures all sizes, prints the table and writes the plot.
pub fn run(output: &Output) -> Result<()> {
    let dimensions = [
        ("targets", TARGETS.map(|targets| (targets, Size { targets, ..FULL_SIZE }))),
        ("workspaces", WORKSPACES.map(|workspaces| (workspaces, Size { workspaces, ..FULL_SIZE }))),
        ("models", MODELS.map(|models| (models, Size { models, ..FULL_SIZE }))),
    ];
    let columns = ["what grows", "size", "median ns per event", "p99 ns"];
    let kinds = EVENT_KINDS.map(|kind| format!("median ns, {kind}"));
    let columns: Vec<String> = columns.map(str::to_owned).into_iter().chain(kinds).collect();
    let columns = [columns, vec!["growth per unit, ns".to_owned()]].concat();
    let (mut rows, mut lines) = (Vec::new(), Vec::new());
    for (name, sizes) in dimensions {
        let mut points = Vec::new();
        let first = rows.len();
        for (at, size) in sizes {
            let runs: Vec<Times> =
                (1..=REPEATS).map(|seed| measure(size, seed)).collect::<Result<_>>()?;
            let spread =
                |f: &dyn Fn(&Times) -> f64| Spread::of(&runs.iter().map(f).collect::<Vec<_>>());
            let median = spread(&|t| t.median);
            points.push((at as f64, median.median));
            let mut row = vec![name.to_owned(), at.to_string(), median.show(0)];
            row.push(spread(&|t| t.p99).show(0));
            row.extend((0..EVENT_KINDS.len()).map(|k| spread(&|t| t.kinds[k]).show(0)));
            rows.push(row);
        }
        let fit = Fit::of(&points);
        let text = format!("{:.2} (residual {:.0} %)", fit.slope, fit.residual * 100.0);
        rows[first..].iter_mut().for_each(|row| row.push(text.clone()));
        // Sizes are shown as a share of the full size, so that all three lines fit one plot.
        let max = points.last().map_or(1.0, |p| p.0);
        let points = points.iter().map(|(x, y)| (x / max * 100.0, *y)).collect();
        lines.push(Series { name: name.to_owned(), points });
    }
    let title = format!(
        "Time of one reduce, full policy, {} requests a run, {REPEATS} repeats; the other sizes at \
         600 targets, 900 workspaces, 15 models",
        REQUESTS - WARMUP_REQUESTS
    );
    output.tables(&[Table { title, columns, rows }])?;
    let axes = Axes {
        title: "Time of a decision".to_owned(),
        x: "size, % of the full size".to_owned(),
        y: "median, ns".to_owned(),
    };
    output.plot(&axes, &lines)
}

/// A reducer under a steady stream of requests whose stages complete in the order they were sent.
struct Bench {
    reducer: Box<dyn Reducer>,
    now: Ms,
    sent: VecDeque<(RequestId, usize, Attempt)>,
    /// Time of each event after the warm-up, in ns, by kind.
    times: [Vec<f64>; EVENT_KINDS.len()],
    measuring: bool,
}

impl Bench {
    fn feed(&mut self, event: Event) {
        let kind = kind(&event);
        let mut effects = Vec::with_capacity(8);
        let start = Instant::now();
        self.reducer.reduce(self.now, event, &mut effects);
        let took = start.elapsed().as_nanos() as f64;
        if self.measuring {
            self.times[kind].push(took);
        }
        for effect in effects {
            if let Effect::Send { request, stage, attempt, .. } = effect {
                self.sent.push_back((request, stage, attempt));
                self.feed(Event::Sent { request, stage, attempt });
            }
        }
    }

    fn complete_oldest(&mut self) {
        let Some((request, stage, attempt)) = self.sent.pop_front() else { return };
        self.feed(Event::Piece { request, stage, attempt, offset: 32 });
        let usage = Usage { tokens_in: 600, tokens_out: 64, cached: 0, bytes: 4_096 };
        self.feed(Event::Done { request, stage, attempt, usage });
    }
}

fn measure(size: Size, seed: u64) -> Result<Times> {
    let fleet = synthetic(size).context("generating the configuration")?;
    let plan = Plan::new(Generation(1), fleet).context("checking the configuration")?;
    let targets: Vec<_> = plan.targets.iter().map(|t| t.name.clone()).collect();
    let placed = HostContext {
        host: HostId::from("host-1"),
        domain: DomainId::from("domain-0"),
        region: RegionId::from("region-0"),
        seed,
    };
    let mut bench = Bench {
        reducer: Policy::Full.reducer(placed),
        now: Ms::secs(1_000),
        sent: VecDeque::new(),
        times: Default::default(),
        measuring: false,
    };
    bench.feed(Event::Config(Arc::new(plan)));
    bench.feed(Event::Hosts { live: 50 });
    for i in 0..REQUESTS {
        bench.measuring = i >= WARMUP_REQUESTS;
        // A host of the full-size deployment receives 15 requests per second. Here one arrives every
        // 16 ms.
        bench.now += Ms(16);
        let at = bench.now;
        bench.feed(Event::Arrive(arrival(i, size, at)));
        while bench.sent.len() > MAX_IN_FLIGHT {
            bench.complete_oldest();
        }
        let target = targets[i * 7 % targets.len()].clone();
        bench.feed(Event::Load { target, running: 3, queued: 0, at });
        if i % 6 == 0 {
            bench.feed(Event::Tick);
        }
    }
    let mut all: Vec<f64> = bench.times.concat();
    let kinds = bench.times.map(|mut times| quantile(&mut times, 50));
    Ok(Times { median: quantile(&mut all, 50), p99: quantile(&mut all, 99), kinds })
}

fn quantile(times: &mut [f64], share: usize) -> f64 {
    times.sort_by(f64::total_cmp);
    times.get(times.len() * share / 100).copied().unwrap_or(f64::NAN)
}

fn kind(event: &Event) -> usize {
    match event {
        Event::Arrive(_) => 0,
        Event::Done { .. } => 1,
        Event::Load { .. } => 2,
        Event::Tick => 3,
        _ => 4,
    }
}

fn arrival(i: usize, size: Size, now: Ms) -> Arrival {
    Arrival {
        request: RequestId::from_u128(i as u128),
        workspace: WorkspaceId::from(format!("workspace-{}", i * 31 % size.workspaces)),
        pipeline: PipelineId::from(format!("ask-model-{}", i * 13 % size.models)),
        priority: None,
        deadline: now + Ms::secs(9),
        tokens_in: 600,
        max_tokens: 64,
        prefix: if i.is_multiple_of(2) { i as u64 % 200 + 1 } else { 0 },
        fingerprint: i as u64 + 1,
        keyed: false,
        resent: false,
    }
}

/// Median time of an arrival and of any event, in µs.
pub(crate) fn decision_times_us(size: Size) -> Result<(f64, f64)> {
    let times = measure(size, 1)?;
    Ok((times.kinds[0] / 1000.0, times.median / 1000.0))
}
