//! Runs of several hosts' journals in virtual time, judged by an oracle.
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
use oracle::{Asked, History, Told, Violation};
use policy::{Grant, Ledger, Ran};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use schedule::{End, KEYS, Run, Schedule, Step};
use std::sync::{Arc, Mutex};
use tokio::time::sleep;
use wire::Answer;
use world::{Host, World};

/// Tries to record an outcome, as the entry host makes them.
const FINISH_TRIES: u32 = 20;
/// Time in which all faults of a schedule pass, and what they left is mended.
const HEAL: Ms = Ms::secs(20);

struct Sim {
    world: Arc<World>,
    history: Arc<Mutex<History>>,
    rules: JournalSettings,
    skews: Vec<i64>,
    mixed: bool,
    keys: Vec<Option<Key>>,
}

/// The schedule of a seed.
pub fn schedule_of(seed: u64) -> Schedule {
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
    runtime.block_on(play(schedule, mutation))
}

async fn play(schedule: &Schedule, mutation: Option<Mutation>) -> Result<(), Violation> {
    let rests = schedule.steps.iter().any(|(_, s)| matches!(s, Step::Rest { .. }));
    let rules = JournalSettings {
        // Old keys and new ones share an object where keys grow old, as new ones make it change.
        shards: if rests { 1 } else { 8 },
        // Keys grow old only where the schedule rests: what is checked at the end is still known
        // in the others.
        window_ms: if rests { Ms::secs(10) } else { Ms::secs(600) },
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
        mixed: schedule.mixed,
        keys: vec![None; 2 * KEYS],
    };
    for host in 0..schedule.hosts {
        sim.boot(host);
    }
    for (gap, step) in &schedule.steps {
        sleep(gap.duration()).await;
        sim.step(step).await;
    }
    let calm = MemFaults::default();
    sleep(HEAL.duration()).await;
    sim.world.store.set_faults(calm);
    (0..schedule.hosts).for_each(|host| sim.restart(host));
    sleep(HEAL.duration()).await;
    let from = sim.history.lock().expect("the history").asked.len();
    for key in 0..KEYS {
        let run = Run { before: Ms(1), takes: Ms(1), end: End::Answered };
        sim.ask(key, key % schedule.hosts, run);
    }
    sleep(HEAL.duration()).await;
    let history = sim.history.lock().expect("the history").clone();
    oracle::check(&history)?;
    if rests || schedule.mixed { Ok(()) } else { oracle::check_healed(&history, from) }
}

impl Sim {
    fn boot(&self, host: usize) {
        let odd = self.mixed && host % 2 == 1;
        let shards = if odd { self.rules.shards / 2 } else { self.rules.shards };
        let rules = JournalSettings { shards, ..self.rules.clone() };
        self.world.boot(host, self.skews[host], &rules);
    }

    fn restart(&self, host: usize) {
        if self.world.host(host).is_none() {
            self.boot(host);
        }
    }

    async fn step(&mut self, step: &Step) {
        let hosts = self.world.hosts;
        match *step {
            Step::Ask { key, host, run } => self.ask(key, host % hosts, run),
            Step::Kill { host } => {
                self.world.kill(host % hosts);
                self.history.lock().expect("the history").kills += 1;
            }
            Step::Restart { host } => self.restart(host % hosts),
            Step::Pause { host, span } => {
                if let Some(host) = self.world.host(host % hosts) {
                    host.gate.pause(true);
                    later(span, move || host.gate.pause(false));
                }
            }
            Step::Cut { a, b, span } => self.world.cut(a % hosts, b % hosts, span),
            Step::Blind { host, other, span } => {
                self.world.blind(host % hosts, other % hosts, span);
            }
            Step::Alone { host, span } => {
                let (store, name) = (self.world.store.clone(), world::name(host % hosts));
                store.cut(&name, true);
                later(span, move || store.cut(&name, false));
            }
            Step::Outage { span } => self.fault(span, MemFaults { down: true, ..calm() }),
            Step::Busy { span } => self.fault(span, MemFaults { busy: true, ..calm() }),
            Step::Doubt { lost, late, stale, span } => {
                let faults = MemFaults {
                    lost_answers: lost,
                    late_writes: late,
                    stale_reads: stale,
                    ..calm()
                };
                self.fault(span, faults);
            }
            Step::Rest { span } => sleep(span.duration()).await,
        }
    }

    fn fault(&self, span: Ms, faults: MemFaults) {
        let store = self.world.store.clone();
        store.set_faults(faults);
        later(span, move || store.set_faults(calm()));
    }

    /// A caller sends a key.
    fn ask(&mut self, key: usize, host: usize, run: Run) {
        let now = self.world.now();
        let seed = key as u128 + 1;
        let id = *self.keys[key].get_or_insert_with(|| Key::at(now, seed));
        let mut history = self.history.lock().expect("the history");
        let index = history.asked.len();
        let attempt = RequestId::from_u128(index as u128 + 1);
        let resent = history.asked.iter().any(|a| a.key == key);
        history.asked.push(Asked { key, attempt, told: None, ran: None });
        drop(history);
        let claim = Claim { workspace: WorkspaceId::from("painters"), key: id, attempt };
        let request = Request {
            history: self.history.clone(),
            world: self.world.clone(),
            index,
            key,
            resent,
            claim,
            run,
        };
        match self.world.host(host) {
            None => request.tell(Told::Nothing),
            Some(host) => _ = tokio::spawn(request.serve(host)),
        }
    }
}

fn calm() -> MemFaults {
    MemFaults::default()
}

fn later(span: Ms, then: impl FnOnce() + Send + 'static) {
    tokio::spawn(async move {
        sleep(span.duration()).await;
        then();
    });
}

/// One request at an entry host, which does what `entry` does with a key.
struct Request {
    history: Arc<Mutex<History>>,
    world: Arc<World>,
    index: usize,
    key: usize,
    resent: bool,
    claim: Claim,
    run: Run,
}

impl Request {
    fn tell(&self, told: Told) {
        let now = self.world.now();
        let mut history = self.history.lock().expect("the history");
        history.asked[self.index].told.get_or_insert((now, told));
    }

    async fn serve(self, host: Arc<Host>) {
        let gate = host.gate.clone();
        tokio::select! {
            biased;
            () = gate.dead() => self.tell(Told::Nothing),
            told = self.answer(&host) => self.tell(told),
        }
    }

    async fn answer(&self, host: &Arc<Host>) -> Told {
        let mutation = self.world.mutation;
        let mut ledger = Ledger::default();
        let early = match mutation {
            Some(Mutation::SendFirst) => Some(self.send()),
            _ => None,
        };
        let granted = host.journal.register(&self.claim).await;
        host.gate.pass().await;
        let granted = match granted {
            ClaimResult::Unavailable if mutation == Some(Mutation::RunRefused) => {
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
            (Grant::Granted, _) => self.execute(host, ledger, early).await,
            (_, Some(answer)) => Told::Whole(answer.output),
            _ => Told::Refused(ledger.verdict()),
        }
    }

    async fn execute(&self, host: &Arc<Host>, mut ledger: Ledger, early: Option<String>) -> Told {
        let Run { before, takes, end } = self.run;
        sleep(before.duration()).await;
        host.gate.pass().await;
        if end == End::Unsent && early.is_none() {
            self.finish(host, Outcome::Released);
            return Told::Refused(ledger.verdict());
        }
        ledger.sent();
        let output = early.unwrap_or_else(|| self.send());
        sleep(takes.duration()).await;
        host.gate.pass().await;
        if end == End::TargetLost {
            let released = self.world.mutation == Some(Mutation::ReleaseSent);
            self.finish(host, if released { Outcome::Released } else { Outcome::Lost });
            return Told::Refused(Ran::Unknown);
        }
        let answer = Answer { output: output.clone(), ..Answer::default() };
        self.finish(host, Outcome::Done(answer));
        Told::Whole(output)
    }

    /// The first byte reaches the target, which runs the work.
    fn send(&self) -> String {
        let now = self.world.now();
        let mut history = self.history.lock().expect("the history");
        let runs = history.asked.iter().filter(|a| a.key == self.key && a.ran.is_some()).count();
        history.asked[self.index].ran = Some(now);
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
