//! Sends keyed requests at a steady mean rate and measures the results.

use super::world::{Calls, Design, World};
use base::{Key, Ms, RequestId, WorkspaceId};
use hdrhistogram::Histogram;
use journal::{Claim, ClaimResult, Journal, Outcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::{Instant, sleep, sleep_until};
use wire::Answer;

/// Size of each answer in bytes, that of a job sign-off.
const ANSWER_BYTES: usize = 200;
/// Percentage of requests that are sent again, to a host chosen anew.
const RESEND_PERCENT: u32 = 10;
/// A request that took longer than this counts as delayed by a fault.
const LATE_AFTER: Ms = Ms(100);
/// Time before measuring starts.
const WARM_UP: Ms = Ms::secs(3);

/// Fault that is injected while the load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The host that writes the keys dies.
    Death,
    /// The platform is unavailable for this long.
    Outage(Ms),
}

/// Rate, duration and seed of the load.
#[derive(Clone, Copy, Debug)]
pub struct LoadConfig {
    /// Requests per second.
    pub rate: u32,
    /// Measured time.
    pub span: Ms,
    pub seed: u64,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Figures {
    pub writes_s: f64,
    pub reads_s: f64,
    pub kbytes_s: f64,
    /// From the intended send time to the grant, in 0.1 ms.
    pub grants: Histogram<u64>,
    /// From the intended send time to the refusal, in 0.1 ms.
    pub refusals: Histogram<u64>,
    /// From the fault's end (its start, for a death) until all requests are granted in time again.
    pub recovery: Ms,
    /// Requests after that moment that were refused or took longer than [`LATE_AFTER`].
    pub late: u64,
    /// Re-sends of finished keys during the outage, and how many of them got the stored answer.
    pub replays: (u64, u64),
    pub keys: u64,
    pub twice: u64,
}

struct Load {
    world: World,
    start: Instant,
    state: Mutex<State>,
}

struct State {
    rng: ChaCha8Rng,
    /// Whether requests are being measured.
    measuring: bool,
    dead: Option<usize>,
    /// Requests due from this moment on count towards the recovery if they are delayed or refused.
    fault: Option<Instant>,
    outage: bool,
    recovery: Ms,
    late: u64,
    grants: Histogram<u64>,
    refusals: Histogram<u64>,
    replays: (u64, u64),
    runs: HashMap<Key, u64>,
    finished: Vec<(Key, Instant)>,
    next: u128,
}

/// Runs the load against `world`.
pub async fn run(world: World, design: Design, config: LoadConfig, fault: Fault) -> Figures {
    let load = Arc::new(Load {
        world,
        start: Instant::now(),
        state: Mutex::new(State {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            measuring: false,
            dead: None,
            fault: None,
            outage: false,
            recovery: Ms::ZERO,
            late: 0,
            grants: histogram(),
            refusals: histogram(),
            replays: (0, 0),
            runs: HashMap::new(),
            finished: Vec::new(),
            next: 1,
        }),
    });
    let arrivals = tokio::spawn(send_arrivals(load.clone(), config));
    sleep(WARM_UP.duration()).await;
    let (before, from) = (load.world.calls(), Instant::now());
    load.lock().measuring = true;
    let third = config.span.scale(1, 3);
    sleep(third.duration()).await;
    load.inject(design, fault).await;
    sleep_until(from + config.span.duration()).await;
    let (after, seconds) = (load.world.calls(), from.elapsed().as_secs_f64());
    load.lock().measuring = false;
    // Lets the last requests get their answers.
    let _ = arrivals.await;
    sleep(Ms::secs(5).duration()).await;
    load.figures(before, after, seconds)
}

async fn send_arrivals(load: Arc<Load>, config: LoadConfig) {
    let end = load.start + (WARM_UP + config.span).duration();
    let mut at = load.start;
    while at < end {
        let gap = {
            let mut state = load.lock();
            let unit: f64 = state.rng.random_range(f64::EPSILON..1.0);
            -unit.ln() / f64::from(config.rate)
        };
        at += std::time::Duration::from_secs_f64(gap);
        sleep_until(at).await;
        tokio::spawn(load.clone().request(at));
    }
}

impl Load {
    async fn request(self: Arc<Self>, at: Instant) {
        let (key, resend, first, second, run_time, resend_delay, replay) = {
            let mut state = self.lock();
            let hosts = self.world.journals.len();
            let seed = state.next;
            state.next += 1;
            let now = self.world.clock.now();
            let replay = if state.outage { state.old_key() } else { None };
            let resend = state.rng.random_range(0..100) < RESEND_PERCENT;
            let (first, second) = (state.live_host(hosts), state.live_host(hosts));
            let run_time = Ms(state.rng.random_range(100..2_000));
            let resend_delay = Ms(state.rng.random_range(50..1_000));
            (Key::at(now, seed), resend, first, second, run_time, resend_delay, replay)
        };
        if let Some(key) = replay {
            let granted = self.world.journals[first].register(&self.claim(key)).await;
            let mut state = self.lock();
            state.replays.0 += 1;
            state.replays.1 += u64::from(matches!(granted, ClaimResult::Answered(_)));
            return;
        }
        if resend {
            let load = self.clone();
            tokio::spawn(async move {
                sleep(resend_delay.duration()).await;
                load.send(key, second, run_time, None).await;
            });
        }
        self.send(key, first, run_time, Some(at)).await;
    }

    fn claim(&self, key: Key) -> Claim {
        let mut state = self.lock();
        state.next += 1;
        let attempt = RequestId::from_u128(state.next);
        Claim { workspace: WorkspaceId::from("w"), key, attempt }
    }

    async fn send(&self, key: Key, host: usize, run_time: Ms, at: Option<Instant>) {
        let claim = self.claim(key);
        let journal: Arc<dyn Journal> = self.world.journals[host].clone();
        let granted = journal.register(&claim).await;
        if !self.lock().record(host, at, &granted, key) {
            return;
        }
        sleep(run_time.duration()).await;
        if self.lock().dead == Some(host) {
            return;
        }
        let output = "x".repeat(ANSWER_BYTES);
        let outcome = Outcome::Done(Answer { output, ..Answer::default() });
        if journal.finish(&claim, outcome).await.is_ok() {
            self.lock().finished.push((key, Instant::now()));
        }
    }

    async fn inject(&self, design: Design, fault: Fault) {
        match fault {
            Fault::None => {}
            Fault::Death => {
                let writer = self.world.writer(design).await;
                {
                    let mut state = self.lock();
                    state.dead = Some(writer);
                    state.fault = Some(Instant::now());
                }
                self.world.kill(writer).await;
            }
            Fault::Outage(span) => {
                self.lock().outage = true;
                self.world.set_outage(true);
                sleep(span.duration()).await;
                self.world.set_outage(false);
                let mut state = self.lock();
                state.outage = false;
                state.fault = Some(Instant::now());
            }
        }
    }

    fn figures(&self, before: Calls, after: Calls, seconds: f64) -> Figures {
        let state = self.lock();
        let rate = |a: u64, b: u64| (b - a) as f64 / seconds;
        Figures {
            writes_s: rate(before.writes, after.writes),
            reads_s: rate(before.reads, after.reads),
            kbytes_s: rate(before.bytes, after.bytes) / 1_000.0,
            grants: state.grants.clone(),
            refusals: state.refusals.clone(),
            recovery: state.recovery,
            late: state.late,
            replays: state.replays,
            keys: state.runs.len() as u64,
            twice: state.runs.values().filter(|runs| **runs > 1).count() as u64,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// A random host that is alive, as a load balancer would pick it.
    fn live_host(&mut self, hosts: usize) -> usize {
        let picked = self.rng.random_range(0..hosts);
        match self.dead {
            Some(dead) if dead == picked => (picked + 1) % hosts,
            _ => picked,
        }
    }

    /// A key that finished at least a second ago, for one request in four.
    fn old_key(&mut self) -> Option<Key> {
        let now = Instant::now();
        let old = self.finished.iter().filter(|(_, at)| *at + WARM_UP.duration() / 3 < now);
        let old: Vec<_> = old.map(|(key, _)| *key).collect();
        let wanted = self.rng.random_range(0..4) == 0 && !old.is_empty();
        wanted.then(|| old[self.rng.random_range(0..old.len())])
    }

    /// Records the result of a claim. Returns true if the attempt runs.
    fn record(
        &mut self,
        host: usize,
        at: Option<Instant>,
        granted: &ClaimResult,
        key: Key,
    ) -> bool {
        if self.dead == Some(host) {
            return false;
        }
        let runs = *granted == ClaimResult::Granted;
        if runs {
            *self.runs.entry(key).or_default() += 1;
        }
        let Some(at) = at.filter(|_| self.measuring) else { return runs };
        let took = at.elapsed();
        let tenths = took.as_micros() as u64 / 100;
        let refused = *granted == ClaimResult::Unavailable;
        match refused {
            true => self.refusals.saturating_record(tenths),
            false => self.grants.saturating_record(tenths),
        }
        if let Some(fault) = self.fault.filter(|f| at >= *f)
            && (refused || took > LATE_AFTER.duration())
        {
            self.late += 1;
            let until = at + took - fault;
            self.recovery = self.recovery.max(Ms(until.as_millis() as u64));
        }
        runs
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 1_000_000, 3).expect("valid bounds")
}
