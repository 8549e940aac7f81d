//! Hosts, callers and the platform of one run.

use async_trait::async_trait;
use base::{Clock, DomainId, Generation, HostId, Key, Ms, RequestId};
use conf::{Fleet, Plan, Settings};
use entry::{Asked, Core, Outlets, Reply, Ticket};
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
use crate::mutation::{Deaf, Grants, Mutation};
use crate::oracle::{End, Told, Violation, judge};
use crate::schedule::{HOSTS, KEYS, Schedule, Step};
use crate::targets::{Targets, Ways};

/// Time after the last step in which all that is open must end.
const REST: Ms = Ms::secs(12);
/// Time that a request has.
const DEADLINE: Ms = Ms::secs(9);

/// What a caller sends.
struct Call {
    turn: usize,
    pipeline: &'static str,
    input: String,
    key: Option<Key>,
    resent: bool,
}

struct World {
    plan: Arc<Plan>,
    faults: Arc<Faults>,
    store: Arc<MemStore>,
    targets: Arc<Targets>,
    ids: Arc<AtomicU64>,
    cast: Cast,
    hosts: Mutex<BTreeMap<usize, Alive>>,
    told: Arc<Mutex<Vec<Told>>>,
}

/// One run of one host.
#[derive(Clone)]
struct Alive {
    core: Arc<Core>,
    gate: Arc<Gate>,
}

/// Which hosts play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cast {
    /// The product.
    Real,
    /// The product without one safeguard.
    Without(Mutation),
    /// One host that decides naively and never fails.
    Naive,
}

/// Plays a schedule and judges it.
pub async fn play(schedule: &Schedule, cast: Cast) -> Result<Vec<Told>, Violation> {
    let world = World::new(schedule.seed, cast);
    for host in 0..HOSTS {
        world.boot(host);
    }
    let keys: Vec<Key> = (0..KEYS).map(|i| Key::at(world.faults.now(), 1 + i as u128)).collect();
    let mut sent = [false; KEYS];
    let mut callers = Vec::new();
    for (turn, (gap, step)) in schedule.steps.iter().enumerate() {
        sleep(gap.duration()).await;
        match *step {
            Step::Write { host, input, patience } => {
                let input = format!("text {input}");
                let call = Call { turn, pipeline: "write", input, key: None, resent: false };
                callers.extend(world.ask(host, call, patience));
            }
            Step::SignOff { host, key, patience } => {
                let input = format!("cabinet {key}");
                let resent = std::mem::replace(&mut sent[key], true);
                let key = Some(keys[key]);
                let call = Call { turn, pipeline: "sign-off", input, key, resent };
                callers.extend(world.ask(host, call, patience));
            }
            _ if cast == Cast::Naive => {}
            Step::Kill { host } => world.kill(host),
            Step::Boot { host } => world.boot(host),
            Step::Pause { host, span } => world.pause(host, span),
            Step::Fault { target, kind, span } => world.targets.fault(target, kind, span),
            Step::Cut { host, target, span } => world.faults.cut(host, target, span),
            Step::Outage { span } => world.platform(span, |f| f.down = true, |f| f.down = false),
            Step::LostAnswers { span } => {
                world.platform(span, |f| f.lost_answers = 50, |f| f.lost_answers = 0);
            }
            Step::LateWrites { span } => {
                world.platform(span, |f| f.late_writes = 50, |f| f.late_writes = 0);
            }
        }
    }
    for caller in callers {
        let _ = caller.await;
    }
    sleep(REST.duration()).await;
    let told = world.told().clone();
    let runs = world.targets.runs();
    judge(&told, &runs)?;
    let killed = schedule.steps.iter().any(|(_, s)| matches!(s, Step::Kill { .. }));
    if cast == Cast::Real && !killed {
        // What was handed to a connection that lost it may have run, for all that can be told.
        let handed = world.targets.handed();
        let unused = |key: &Key| !handed.contains(&key.to_string());
        for key in keys.iter().copied().filter(unused) {
            world.settle(key).await?;
        }
    }
    Ok(told)
}

impl World {
    fn new(seed: u64, cast: Cast) -> Arc<Self> {
        let fleet = Fleet::parse(include_str!("../small.yaml")).expect("the fleet parses");
        let plan = Plan::new(Generation(1), fleet).expect("the fleet is sound");
        let faults = Arc::new(Faults::new(seed));
        Arc::new(Self {
            plan: Arc::new(plan),
            targets: Targets::new(faults.clone()),
            faults,
            store: MemStore::new(seed),
            ids: Arc::new(AtomicU64::new(1)),
            cast,
            hosts: Mutex::default(),
            told: Arc::default(),
        })
    }

    fn mutation(&self) -> Option<Mutation> {
        match self.cast {
            Cast::Without(mutation) => Some(mutation),
            Cast::Real | Cast::Naive => None,
        }
    }

    fn boot(self: &Arc<Self>, host: usize) {
        if self.alive(host).is_some() {
            return;
        }
        let gate = Arc::new(Gate::new());
        let settings = settings(host);
        let (tells, _) = mpsc::unbounded_channel();
        let (wakes, _) = mpsc::unbounded_channel();
        let ids = self.ids.clone();
        let outlets = Outlets {
            clock: Arc::new(Time(self.faults.clone())),
            journal: self.journal(&settings, &gate),
            dial: Arc::new(Ways {
                targets: self.targets.clone(),
                host,
                gate: gate.clone(),
                mutation: self.mutation(),
            }),
            ids: Box::new(move || {
                RequestId::from_u128(u128::from(ids.fetch_add(1, Ordering::Relaxed)))
            }),
            tells,
            wakes,
        };
        let core = Core::new(&settings, self.reducer(&settings), outlets).expect("a core");
        core.feed(Event::Config(self.plan.clone()));
        let alive = Alive { core, gate };
        self.hosts().insert(host, alive.clone());
        tokio::spawn(async move {
            while !alive.gate.is_dead() {
                alive.gate.pass().await;
                alive.core.tick();
                sleep(Ms(50).duration()).await;
            }
        });
    }

    fn reducer(&self, settings: &Settings) -> Box<dyn Reducer> {
        let placed = HostContext {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            seed: 1,
        };
        let state = Box::new(State::new(placed, &[]));
        match self.cast {
            Cast::Without(Mutation::Ledger) => Box::new(Deaf(state)),
            Cast::Naive => Box::new(Naive::new()),
            Cast::Real | Cast::Without(_) => state,
        }
    }

    fn journal(&self, settings: &Settings, gate: &Arc<Gate>) -> Arc<dyn Journal> {
        if self.mutation() == Some(Mutation::Record) {
            return Arc::new(Grants);
        }
        let config = ShardedConfig {
            host: settings.host.clone(),
            incarnation: self.faults.now().0,
            rules: settings.journal.clone(),
        };
        let inner = self.store.api(settings.host.as_str());
        let api = Arc::new(GatedApi { inner, gate: gate.clone() });
        let clock = Arc::new(Time(self.faults.clone()));
        Arc::new(Sharded::new(config, api, clock, Arc::new(Alone), Arc::new(Alone)))
    }

    fn ask(&self, host: usize, call: Call, patience: Ms) -> Option<JoinHandle<()>> {
        let (host, patience) = match self.cast {
            Cast::Naive => (0, Ms::secs(20)),
            Cast::Real | Cast::Without(_) => (host, patience),
        };
        let Call { turn, pipeline, input, key, resent } = call;
        let alive = self.alive(host)?;
        // Every second hasty caller waits on: its deadline passes, but it doesn't go.
        let deadline = self.faults.now() + patience.min(DEADLINE);
        let patience = if turn % 2 == 1 { Ms::secs(20) } else { patience };
        let asked = Asked {
            ask: Ask { input: input.clone(), ..Ask::default() },
            workspace: "painters".into(),
            plan: self.plan.clone(),
            pipeline: self.plan.pipeline(pipeline).expect("it is declared"),
            priority: None,
            deadline,
            key,
            resent,
            resumable: false,
        };
        let ticket = alive.core.arrive(asked);
        let told = Told {
            turn,
            request: ticket.request().to_string(),
            pipeline,
            input,
            key: key.map(|k| k.to_string()).unwrap_or_default(),
            resent,
            pieces: Vec::new(),
            end: End::Never,
        };
        let (all, faults) = (self.told.clone(), self.faults.clone());
        Some(tokio::spawn(async move {
            let told = listen(ticket, told, &alive.gate, &faults, patience).await;
            all.lock().unwrap_or_else(PoisonError::into_inner).push(told);
        }))
    }

    /// Sends a key that never ran, once all faults are over: it must run now.
    async fn settle(&self, key: Key) -> Result<(), Violation> {
        let (pipeline, input) = ("sign-off", "settle".to_owned());
        let call = Call { turn: usize::MAX, pipeline, input, key: Some(key), resent: true };
        let asked = self.ask(0, call, Ms::secs(20)).expect("the host lives");
        asked.await.expect("the caller waits");
        let told = self.told().last().cloned().expect("it was told");
        match told.end {
            End::Whole(_) => Ok(()),
            end => Err(Violation::Stuck { key: key.to_string(), end: format!("{end:?}") }),
        }
    }

    fn kill(&self, host: usize) {
        if let Some(alive) = self.hosts().remove(&host) {
            alive.gate.kill();
        }
    }

    fn pause(&self, host: usize, span: Ms) {
        let Some(Alive { gate, .. }) = self.alive(host) else { return };
        gate.pause(true);
        tokio::spawn(async move {
            sleep(span.duration()).await;
            gate.pause(false);
        });
    }

    fn platform(&self, span: Ms, on: fn(&mut MemFaults), off: fn(&mut MemFaults)) {
        let mut faults = MemFaults::default();
        on(&mut faults);
        self.store.set_faults(faults.clone());
        let store = self.store.clone();
        tokio::spawn(async move {
            sleep(span.duration()).await;
            off(&mut faults);
            store.set_faults(faults);
        });
    }

    fn alive(&self, host: usize) -> Option<Alive> {
        self.hosts().get(&host).cloned()
    }

    fn hosts(&self) -> MutexGuard<'_, BTreeMap<usize, Alive>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn told(&self) -> MutexGuard<'_, Vec<Told>> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn listen(
    mut ticket: Ticket,
    mut told: Told,
    gate: &Gate,
    faults: &Faults,
    patience: Ms,
) -> Told {
    loop {
        match timeout(patience.duration(), ticket.next()).await {
            // A dead host's answers reach nobody.
            _ if gate.is_dead() => break told.end = End::Gone,
            Err(_) if patience < Ms::secs(20) => break told.end = End::Gone,
            Err(_) | Ok(None) => break told.end = End::Never,
            Ok(Some(Reply::Piece { offset, text, .. })) => told.pieces.push((offset, text)),
            Ok(Some(Reply::Whole(answer))) => break told.end = End::Whole(answer.output),
            Ok(Some(Reply::Refused(refusal))) => {
                break told.end = End::Refused { ran: refusal.ran, at: faults.now() };
            }
        }
    }
    told
}

fn settings(host: usize) -> Settings {
    let yaml = format!(
        "host: host-{host}\ndomain: a\nregion: west\nlisten: 127.0.0.1:1\nadmin: 127.0.0.1:2\n\
         peer: 127.0.0.1:3\nplatform: 127.0.0.1:4\nsilence: {{target_ms: 300}}\n"
    );
    Settings::parse(&yaml).expect("the settings are sound")
}

struct Time(Arc<Faults>);

impl Clock for Time {
    fn now(&self) -> Ms {
        self.0.now()
    }
}

/// A host that sees no other: it writes its keys itself, and the conditional writes alone decide.
struct Alone;

impl View for Alone {
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
impl Peers for Alone {
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
