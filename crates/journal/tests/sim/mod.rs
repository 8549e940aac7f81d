//! Simulates the journals of several hosts in virtual time and checks the result with an oracle.
#![allow(dead_code)]

pub mod mutation;
pub mod oracle;
pub mod schedule;
pub mod world;

use base::{Key, Ms, RequestId, WorkspaceId};
use conf::JournalSettings;
use fakes::MemFaults;
use journal::{Claim, ClaimResult, Journal, JournalError, Outcome};
use mutation::Mutation;
use oracle::{History, Response, Violation};
use policy::{Grant, Ledger, Ran};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use schedule::{End, KEYS, Schedule, Step, Work};
use std::sync::{Arc, Mutex};
use tokio::time::sleep;
use wire::Answer;
use world::{Host, World};

/// Attempts to record an outcome, as many as an entry host makes.
const FINISH_TRIES: u32 = 20;
/// Time in which all faults of a schedule end and the hosts recover.
const HEAL_MS: Ms = Ms::secs(20);

struct Sim {
    world: Arc<World>,
    history: Arc<Mutex<History>>,
    rules: JournalSettings,
    skews: Vec<i64>,
    mixed_settings: bool,
    keys: Vec<Option<Key>>,
}

/// Generates the schedule of a seed.
pub fn schedule_for_seed(seed: u64) -> Schedule {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    schedule::schedule().new_tree(&mut runner).expect("a schedule").current()
}

/// Runs a schedule in virtual time.
pub fn run(schedule: &Schedule, mutation: Option<Mutation>) -> Result<(), Violation> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(simulate(schedule, mutation))
}

async fn simulate(schedule: &Schedule, mutation: Option<Mutation>) -> Result<(), Violation> {
    let keys_grow_old = schedule.steps.iter().any(|(_, s)| matches!(s, Step::Wait { .. }));
    let rules = JournalSettings {
        // Where keys grow old, old and new ones share one object, since new keys make it change.
        shards: if keys_grow_old { 1 } else { 8 },
        // Keys grow old only in schedules that wait. In the others everything that is checked at
        // the end is still recorded.
        window_ms: if keys_grow_old { Ms::secs(10) } else { Ms::secs(600) },
        ahead_ms: Ms::secs(3),
        running_ms: Ms::secs(15),
        claim_ms: Ms::secs(1),
        ..JournalSettings::default()
    };
    let world = World::new(schedule.seed, schedule.hosts, mutation);
    let mut sim = Sim {
        world,
        history: Arc::default(),
        rules,
        skews: schedule.skews.clone(),
        mixed_settings: schedule.mixed_settings,
        keys: vec![None; 2 * KEYS],
    };
    for host in 0..schedule.hosts {
        sim.start_host(host);
    }
    for (gap, step) in &schedule.steps {
        sleep(gap.duration()).await;
        sim.step(step).await;
    }
    let healthy = MemFaults::default();
    sleep(HEAL_MS.duration()).await;
    sim.world.store.set_faults(healthy);
    (0..schedule.hosts).for_each(|host| sim.restart(host));
    sleep(HEAL_MS.duration()).await;
    let from = sim.history.lock().expect("the history").requests.len();
    for key in 0..KEYS {
        let work = Work { send_delay: Ms(1), duration: Ms(1), end: End::Answered };
        sim.send_key(key, key % schedule.hosts, work);
    }
    sleep(HEAL_MS.duration()).await;
    let history = sim.history.lock().expect("the history").clone();
    oracle::check(&history)?;
    if keys_grow_old || schedule.mixed_settings {
        Ok(())
    } else {
        oracle::check_healed(&history, from)
    }
}

impl Sim {
    fn start_host(&self, host: usize) {
        let odd = self.mixed_settings && host % 2 == 1;
        let shards = if odd { self.rules.shards / 2 } else { self.rules.shards };
        let rules = JournalSettings { shards, ..self.rules.clone() };
        self.world.start_host(host, self.skews[host], &rules);
    }

    fn restart(&self, host: usize) {
        if self.world.host(host).is_none() {
            self.start_host(host);
        }
    }

    async fn step(&mut self, step: &Step) {
        let hosts = self.world.hosts;
        match *step {
            Step::Send { key, host, work } => self.send_key(key, host % hosts, work),
            Step::Kill { host } => {
                self.world.kill(host % hosts);
                self.history.lock().expect("the history").kills += 1;
            }
            Step::Restart { host } => self.restart(host % hosts),
            Step::Pause { host, span } => {
                if let Some(host) = self.world.host(host % hosts) {
                    host.gate.pause(true);
                    run_after(span, move || host.gate.pause(false));
                }
            }
            Step::CutLink { a, b, span } => self.world.cut(a % hosts, b % hosts, span),
            Step::HideHost { host, other, span } => {
                self.world.hide(host % hosts, other % hosts, span);
            }
            Step::CutFromPlatform { host, span } => {
                let (store, name) = (self.world.store.clone(), world::name(host % hosts));
                store.cut(&name, true);
                run_after(span, move || store.cut(&name, false));
            }
            Step::Outage { span } => self.fault(span, MemFaults { down: true, ..no_faults() }),
            Step::Busy { span } => self.fault(span, MemFaults { busy: true, ..no_faults() }),
            Step::ApiFaults { lost, late, stale, span } => {
                let faults = MemFaults {
                    lost_answers: lost,
                    late_writes: late,
                    stale_reads: stale,
                    ..no_faults()
                };
                self.fault(span, faults);
            }
            Step::Wait { span } => sleep(span.duration()).await,
        }
    }

    fn fault(&self, span: Ms, faults: MemFaults) {
        let store = self.world.store.clone();
        store.set_faults(faults);
        run_after(span, move || store.set_faults(no_faults()));
    }

    /// A caller sends a key to a host.
    fn send_key(&mut self, key: usize, host: usize, work: Work) {
        let now = self.world.now();
        let seed = key as u128 + 1;
        let id = *self.keys[key].get_or_insert_with(|| Key::at(now, seed));
        let mut history = self.history.lock().expect("the history");
        let index = history.requests.len();
        let attempt = RequestId::from_u128(index as u128 + 1);
        let resent = history.requests.iter().any(|a| a.key == key);
        history.requests.push(oracle::Request { key, attempt, response: None, ran_at: None });
        drop(history);
        let claim = Claim { workspace: WorkspaceId::from("painters"), key: id, attempt };
        let request = Request {
            history: self.history.clone(),
            world: self.world.clone(),
            index,
            key,
            resent,
            claim,
            work,
        };
        match self.world.host(host) {
            None => request.record_response(Response::HostDied),
            Some(host) => _ = tokio::spawn(request.serve(host)),
        }
    }
}

fn no_faults() -> MemFaults {
    MemFaults::default()
}

fn run_after(span: Ms, then: impl FnOnce() + Send + 'static) {
    tokio::spawn(async move {
        sleep(span.duration()).await;
        then();
    });
}

/// One request at an entry host, which handles a key as the crate `entry` does.
struct Request {
    history: Arc<Mutex<History>>,
    world: Arc<World>,
    index: usize,
    key: usize,
    resent: bool,
    claim: Claim,
    work: Work,
}

impl Request {
    fn record_response(&self, response: Response) {
        let now = self.world.now();
        let mut history = self.history.lock().expect("the history");
        history.requests[self.index].response.get_or_insert((now, response));
    }

    async fn serve(self, host: Arc<Host>) {
        let gate = host.gate.clone();
        tokio::select! {
            biased;
            () = gate.dead() => self.record_response(Response::HostDied),
            response = self.answer(&host) => self.record_response(response),
        }
    }

    async fn answer(&self, host: &Arc<Host>) -> Response {
        let mutation = self.world.mutation;
        let mut ledger = Ledger::default();
        let early_output = match mutation {
            Some(Mutation::SendBeforeRecord) => Some(self.send()),
            _ => None,
        };
        let granted = host.journal.register(&self.claim).await;
        host.gate.pass().await;
        let granted = match granted {
            ClaimResult::Unavailable if mutation == Some(Mutation::RunWithoutRecord) => {
                ClaimResult::Granted
            }
            granted => granted,
        };
        let (grant, kept) = match granted {
            ClaimResult::Granted => (Grant::Granted, None),
            ClaimResult::Answered(answer) => (Grant::Answered, Some(answer)),
            ClaimResult::Running => (Grant::Running, None),
            ClaimResult::Unknown => (Grant::Unknown, None),
            ClaimResult::Unavailable => (Grant::Unavailable, None),
            ClaimResult::Expired => (Grant::Expired, None),
        };
        ledger.registered(grant, self.resent);
        match (grant, kept) {
            (Grant::Granted, _) => self.execute(host, ledger, early_output).await,
            (_, Some(answer)) => Response::Answered(answer.output),
            _ => Response::Refused(ledger.verdict()),
        }
    }

    async fn execute(
        &self,
        host: &Arc<Host>,
        mut ledger: Ledger,
        early_output: Option<String>,
    ) -> Response {
        let Work { send_delay, duration, end } = self.work;
        sleep(send_delay.duration()).await;
        host.gate.pass().await;
        if end == End::Unsent && early_output.is_none() {
            self.finish(host, Outcome::Released);
            return Response::Refused(ledger.verdict());
        }
        ledger.sent();
        let output = early_output.unwrap_or_else(|| self.send());
        sleep(duration.duration()).await;
        host.gate.pass().await;
        if end == End::TargetLost {
            let released = self.world.mutation == Some(Mutation::ReleaseSent);
            self.finish(host, if released { Outcome::Released } else { Outcome::Lost });
            return Response::Refused(Ran::Unknown);
        }
        let answer = Answer { output: output.clone(), ..Answer::default() };
        self.finish(host, Outcome::Done(answer));
        Response::Answered(output)
    }

    /// The first byte reaches the target, which runs the work.
    fn send(&self) -> String {
        let now = self.world.now();
        let mut history = self.history.lock().expect("the history");
        let runs =
            history.requests.iter().filter(|a| a.key == self.key && a.ran_at.is_some()).count();
        history.requests[self.index].ran_at = Some(now);
        oracle::answer(self.key, runs as u32 + 1)
    }

    fn finish(&self, host: &Arc<Host>, outcome: Outcome) {
        let (host, claim) = (host.clone(), self.claim.clone());
        let tries = match self.world.mutation {
            Some(Mutation::NoFinish) => 0,
            _ => FINISH_TRIES,
        };
        tokio::spawn(async move {
            for _ in 0..tries {
                match host.journal.finish(&claim, outcome.clone()).await {
                    Ok(()) | Err(JournalError::NotHolder) => return,
                    Err(JournalError::Unavailable) => sleep(Ms(500).duration()).await,
                }
            }
        });
    }
}
