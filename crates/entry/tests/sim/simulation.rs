//! One simulation run: its hosts, callers and platform.

use async_trait::async_trait;
use base::{Clock, DomainId, Generation, HostId, Key, Ms, RequestId};
use conf::{Fleet, Plan, Settings};
use entry::{CheckedRequest, Core, CoreDeps, Reply, ReplyReceiver};
use fakes::{Gate, GatedApi, MemFaults, MemStore};
use journal::{Journal, Sharded, ShardedConfig};
use peer::{PeerError, Peers, View, ViewHost};
use policy::{Event, HostContext, Naive, Reducer, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use wire::{Ask, Claim, Exchange, Finish, Grant};

use crate::faults::Faults;
use crate::mutation::{GrantAll, IgnoreSent, Mutation};
use crate::oracle::{CallerRecord, End, Violation, check_records};
use crate::schedule::{HOSTS, KEYS, Schedule, Step};
use crate::targets::{MemConnector, Targets};

/// Time after the last step within which every open request must end.
const SETTLE_TIME: Ms = Ms::secs(12);
/// Longest time from a request to its deadline.
const DEADLINE: Ms = Ms::secs(9);

/// A request as a caller sends it.
struct CallerRequest {
    step_index: usize,
    pipeline: &'static str,
    input: String,
    key: Option<Key>,
    resent: bool,
}

struct Simulation {
    plan: Arc<Plan>,
    faults: Arc<Faults>,
    store: Arc<MemStore>,
    targets: Arc<Targets>,
    ids: Arc<AtomicU64>,
    mode: HostMode,
    hosts: Mutex<BTreeMap<usize, RunningHost>>,
    records: Arc<Mutex<Vec<CallerRecord>>>,
}

/// A host from its start until it is killed.
#[derive(Clone)]
struct RunningHost {
    core: Arc<Core>,
    gate: Arc<Gate>,
}

/// Which implementation of the hosts runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostMode {
    /// The real hosts.
    Real,
    /// The real hosts without one safeguard.
    Without(Mutation),
    /// One host with the naive policy and without faults.
    Naive,
}

/// Plays a schedule and checks what callers were told.
pub async fn play(schedule: &Schedule, mode: HostMode) -> Result<Vec<CallerRecord>, Violation> {
    let sim = Simulation::new(schedule.seed, mode);
    for host in 0..HOSTS {
        sim.start_host(host);
    }
    let keys: Vec<Key> = (0..KEYS).map(|i| Key::at(sim.faults.now(), 1 + i as u128)).collect();
    let mut sent = [false; KEYS];
    let mut callers = Vec::new();
    for (step_index, (delay, step)) in schedule.steps.iter().enumerate() {
        sleep(delay.duration()).await;
        match *step {
            Step::Write { host, input, max_wait } => {
                let input = format!("text {input}");
                let call = CallerRequest {
                    step_index,
                    pipeline: "write",
                    input,
                    key: None,
                    resent: false,
                };
                callers.extend(sim.ask(host, call, max_wait));
            }
            Step::SignOff { host, key, max_wait } => {
                let input = format!("cabinet {key}");
                let resent = std::mem::replace(&mut sent[key], true);
                let key = Some(keys[key]);
                let call = CallerRequest { step_index, pipeline: "sign-off", input, key, resent };
                callers.extend(sim.ask(host, call, max_wait));
            }
            _ if mode == HostMode::Naive => {}
            Step::Kill { host } => sim.kill_host(host),
            Step::Boot { host } => sim.start_host(host),
            Step::Pause { host, duration } => sim.pause_host(host, duration),
            Step::Fault { target, kind, duration } => sim.targets.fault(target, kind, duration),
            Step::Cut { host, target, duration } => sim.faults.cut_link(host, target, duration),
            Step::Outage { duration } => {
                sim.fault_platform(duration, |f| f.down = true, |f| f.down = false)
            }
            Step::LostAnswers { duration } => {
                sim.fault_platform(duration, |f| f.lost_answers = 50, |f| f.lost_answers = 0);
            }
            Step::LateWrites { duration } => {
                sim.fault_platform(duration, |f| f.late_writes = 50, |f| f.late_writes = 0);
            }
        }
    }
    for caller in callers {
        let _ = caller.await;
    }
    sleep(SETTLE_TIME.duration()).await;
    let records = sim.records().clone();
    let runs = sim.targets.runs();
    check_records(&records, &runs)?;
    let killed = schedule.steps.iter().any(|(_, s)| matches!(s, Step::Kill { .. }));
    if mode == HostMode::Real && !killed {
        // Keys that were handed to a connection are excluded: if the connection lost the call, the
        // host can't tell whether it ran.
        let handed_keys = sim.targets.handed_keys();
        let never_sent = |key: &Key| !handed_keys.contains(&key.to_string());
        for key in keys.iter().copied().filter(never_sent) {
            sim.check_key_runs(key).await?;
        }
    }
    Ok(records)
}

impl Simulation {
    fn new(seed: u64, mode: HostMode) -> Arc<Self> {
        let fleet = Fleet::parse(include_str!("../small.yaml")).expect("the fleet parses");
        let plan = Plan::new(Generation(1), fleet).expect("the fleet is valid");
        let faults = Arc::new(Faults::new(seed));
        Arc::new(Self {
            plan: Arc::new(plan),
            targets: Targets::new(faults.clone()),
            faults,
            store: MemStore::new(seed),
            ids: Arc::new(AtomicU64::new(1)),
            mode,
            hosts: Mutex::default(),
            records: Arc::default(),
        })
    }

    fn mutation(&self) -> Option<Mutation> {
        match self.mode {
            HostMode::Without(mutation) => Some(mutation),
            HostMode::Real | HostMode::Naive => None,
        }
    }

    fn start_host(self: &Arc<Self>, host: usize) {
        if self.running(host).is_some() {
            return;
        }
        let gate = Arc::new(Gate::new());
        let settings = settings(host);
        let (announcements, _) = mpsc::unbounded_channel();
        let (wakeups, _) = mpsc::unbounded_channel();
        let ids = self.ids.clone();
        let deps = CoreDeps {
            clock: Arc::new(SimClock(self.faults.clone())),
            journal: self.journal(&settings, &gate),
            connector: Arc::new(MemConnector {
                targets: self.targets.clone(),
                host,
                gate: gate.clone(),
                mutation: self.mutation(),
            }),
            ids: Box::new(move || {
                RequestId::from_u128(u128::from(ids.fetch_add(1, Ordering::Relaxed)))
            }),
            announcements,
            wakeups,
        };
        let core = Core::new(&settings, self.reducer(&settings), deps).expect("a core");
        core.handle_event(Event::Config(self.plan.clone()));
        let running = RunningHost { core, gate };
        self.hosts().insert(host, running.clone());
        tokio::spawn(async move {
            while !running.gate.is_dead() {
                running.gate.pass().await;
                running.core.tick();
                sleep(Ms(50).duration()).await;
            }
        });
    }

    fn reducer(&self, settings: &Settings) -> Box<dyn Reducer> {
        let context = HostContext {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            seed: 1,
        };
        let state = Box::new(State::new(context, &[]));
        match self.mode {
            HostMode::Without(Mutation::Ledger) => Box::new(IgnoreSent(state)),
            HostMode::Naive => Box::new(Naive::new()),
            HostMode::Real | HostMode::Without(_) => state,
        }
    }

    fn journal(&self, settings: &Settings, gate: &Arc<Gate>) -> Arc<dyn Journal> {
        if self.mutation() == Some(Mutation::Record) {
            return Arc::new(GrantAll);
        }
        let config = ShardedConfig {
            host: settings.host.clone(),
            incarnation: self.faults.now().0,
            rules: settings.journal.clone(),
        };
        let inner = self.store.api(settings.host.as_str());
        let api = Arc::new(GatedApi { inner, gate: gate.clone() });
        let clock = Arc::new(SimClock(self.faults.clone()));
        Arc::new(Sharded::new(config, api, clock, Arc::new(IsolatedHost), Arc::new(IsolatedHost)))
    }

    fn ask(&self, host: usize, call: CallerRequest, max_wait: Ms) -> Option<JoinHandle<()>> {
        let (host, max_wait) = match self.mode {
            HostMode::Naive => (0, Ms::secs(20)),
            HostMode::Real | HostMode::Without(_) => (host, max_wait),
        };
        let CallerRequest { step_index, pipeline, input, key, resent } = call;
        let running = self.running(host)?;
        // Every second caller with a short `max_wait` keeps waiting past its deadline; the others
        // disconnect when their `max_wait` is over.
        let deadline = self.faults.now() + max_wait.min(DEADLINE);
        let max_wait = if step_index % 2 == 1 { Ms::secs(20) } else { max_wait };
        let checked = CheckedRequest {
            ask: Ask { input: input.clone(), ..Ask::default() },
            workspace: "painters".into(),
            plan: self.plan.clone(),
            pipeline: self.plan.pipeline(pipeline).expect("the pipeline is declared"),
            priority: None,
            deadline,
            key,
            resent,
            resumable: false,
        };
        let replies = running.core.submit(checked);
        let record = CallerRecord {
            step_index,
            request: replies.request().to_string(),
            pipeline,
            input,
            key: key.map(|k| k.to_string()).unwrap_or_default(),
            resent,
            pieces: Vec::new(),
            end: End::Never,
        };
        let (records, faults) = (self.records.clone(), self.faults.clone());
        Some(tokio::spawn(async move {
            let record = await_replies(replies, record, &running.gate, &faults, max_wait).await;
            records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        }))
    }

    /// Sends a key that never ran, after all faults are over, and checks that it runs now.
    async fn check_key_runs(&self, key: Key) -> Result<(), Violation> {
        let (pipeline, input) = ("sign-off", "settle".to_owned());
        let call =
            CallerRequest { step_index: usize::MAX, pipeline, input, key: Some(key), resent: true };
        let checked = self.ask(0, call, Ms::secs(20)).expect("the host is running");
        checked.await.expect("the caller task ends");
        let record = self.records().last().cloned().expect("the caller is recorded");
        match record.end {
            End::Whole(_) => Ok(()),
            end => Err(Violation::Stuck { key: key.to_string(), end: format!("{end:?}") }),
        }
    }

    fn kill_host(&self, host: usize) {
        if let Some(running) = self.hosts().remove(&host) {
            running.gate.kill();
        }
    }

    fn pause_host(&self, host: usize, duration: Ms) {
        let Some(RunningHost { gate, .. }) = self.running(host) else { return };
        gate.pause(true);
        tokio::spawn(async move {
            sleep(duration.duration()).await;
            gate.pause(false);
        });
    }

    fn fault_platform(&self, duration: Ms, on: fn(&mut MemFaults), off: fn(&mut MemFaults)) {
        let mut faults = MemFaults::default();
        on(&mut faults);
        self.store.set_faults(faults.clone());
        let store = self.store.clone();
        tokio::spawn(async move {
            sleep(duration.duration()).await;
            off(&mut faults);
            store.set_faults(faults);
        });
    }

    fn running(&self, host: usize) -> Option<RunningHost> {
        self.hosts().get(&host).cloned()
    }

    fn hosts(&self) -> MutexGuard<'_, BTreeMap<usize, RunningHost>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn records(&self) -> MutexGuard<'_, Vec<CallerRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn await_replies(
    mut replies: ReplyReceiver,
    mut record: CallerRecord,
    gate: &Gate,
    faults: &Faults,
    max_wait: Ms,
) -> CallerRecord {
    loop {
        match timeout(max_wait.duration(), replies.next()).await {
            // The replies of a killed host reach nobody.
            _ if gate.is_dead() => break record.end = End::Gone,
            Err(_) if max_wait < Ms::secs(20) => break record.end = End::Gone,
            Err(_) | Ok(None) => break record.end = End::Never,
            Ok(Some(Reply::Piece { offset, text, .. })) => record.pieces.push((offset, text)),
            Ok(Some(Reply::Whole(answer))) => break record.end = End::Whole(answer.output),
            Ok(Some(Reply::Refused(refusal))) => {
                break record.end = End::Refused { ran: refusal.ran, at: faults.now() };
            }
        }
    }
    record
}

fn settings(host: usize) -> Settings {
    let yaml = format!(
        "host: host-{host}\ndomain: a\nregion: west\nlisten: 127.0.0.1:1\nadmin: 127.0.0.1:2\n\
         peer: 127.0.0.1:3\nplatform: 127.0.0.1:4\nsilence: {{target_ms: 300}}\n"
    );
    Settings::parse(&yaml).expect("the settings are valid")
}

struct SimClock(Arc<Faults>);

impl Clock for SimClock {
    fn now(&self) -> Ms {
        self.0.now()
    }
}

/// The view of a host that knows no other. Each host writes its keys to the platform itself, so
/// only the conditional writes decide which host gets a key.
struct IsolatedHost;

impl View for IsolatedHost {
    fn hosts(&self) -> Arc<[ViewHost]> {
        let (host, domain) = (HostId::from("host-0"), DomainId::from("a"));
        Arc::new([ViewHost {
            host,
            domain,
            address: SocketAddr::from(([127, 0, 0, 1], 3)),
            capacity: 0,
        }])
    }
}

#[async_trait]
impl Peers for IsolatedHost {
    async fn exchange(&self, _: SocketAddr, _: Exchange) -> Result<Exchange, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn claim(&self, _: SocketAddr, _: Claim) -> Result<Grant, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn finish(&self, _: SocketAddr, _: Finish) -> Result<bool, PeerError> {
        Err(PeerError::Unreachable)
    }
}
