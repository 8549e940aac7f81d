//! Runs the batchers of the services whose calls this host composes.

mod far;
mod frees;
mod serve;
mod submission;

pub(crate) use serve::StageService;

use base::{Ms, PoolId, RegionId, TargetId};
use catalog::Batch;
use logs::note;
use sched::batch::{Batcher, CallEnd, CallId, Effect, Event, Piece, PieceEnd, PieceId, Place};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot};
use wire::{PieceFault, PieceResult, StageLoad, StageLoads, StageResults, StageWork};

use self::frees::READ_TIME;
use self::submission::{Submission, Withdraw, begun, ended, pieces};
use crate::core::{Core, allowance};
use crate::dialect::StageCall;
use crate::gate::BlockReason;
use crate::links::Link;
use crate::send::{SendFault, send};

/// Name of the system's own calls in a target's answer; answers that name none are taken too.
const OWN_CALL: &str = "";
/// Largest answer of a stage target, bytes.
const ANSWER_BYTES: usize = 1 << 20;
/// Longest wait between looks at the targets, ms, beside being told of changes.
const LOOK: Ms = Ms(500);

type Shared<T> = Arc<Mutex<T>>;

struct State {
    batcher: Batcher,
    waiting: HashMap<PieceId, (Shared<Submission>, usize)>,
    /// Freed results by target, to be told.
    freed: HashMap<TargetId, Vec<String>>,
}

struct Service {
    name: PoolId,
    state: Mutex<State>,
    wake: Notify,
}

/// The services whose calls this host composes.
pub(crate) struct Composer {
    core: Arc<Core>,
    services: Mutex<HashMap<PoolId, Arc<Service>>>,
    next: AtomicU64,
    far: Mutex<HashMap<(PoolId, RegionId), (Ms, Ms)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Composer {
    /// Composes nothing yet.
    pub(crate) fn new(core: Arc<Core>) -> Self {
        Self { core, services: Mutex::default(), next: AtomicU64::new(1), far: Mutex::default() }
    }

    /// Makes all pieces of a stage. Dropped, they are withdrawn.
    pub(crate) async fn submit(self: &Arc<Self>, mut work: StageWork) -> StageResults {
        let service = PoolId::from(work.service.as_str());
        if let Some((region, owner)) = self.better_region(&service, &work) {
            work.passed_on = true;
            match self.pass_on(&service, &region, owner, &work).await {
                Some(results) => return results,
                None => work.passed_on = false,
            }
        }
        self.make(&service, work).await
    }

    async fn make(self: &Arc<Self>, name: &PoolId, work: StageWork) -> StageResults {
        let Some(service) = self.service(name) else { return StageResults::default() };
        let (done, results) = oneshot::channel();
        let count = work.pieces as usize;
        let submission = Arc::new(Mutex::new(Submission {
            left: count,
            unread: vec![true; count],
            release: work.release.clone(),
            read: false,
            results: vec![PieceResult::default(); count],
            done: Some(done),
        }));
        let first = self.next.fetch_add(count as u64, Ordering::Relaxed);
        let ids: Vec<PieceId> = (first..first + count as u64).map(PieceId).collect();
        let pieces = pieces(self.core.clock.now(), &work);
        {
            let mut state = lock(&service.state);
            for (i, id) in ids.iter().enumerate() {
                state.waiting.insert(*id, (submission.clone(), i));
            }
        }
        let submitted = ids.iter().copied().zip(pieces).collect();
        let withdraw =
            Withdraw { composer: self.clone(), service: service.clone(), submission, ids };
        self.feed(&service, Event::Submit(submitted));
        let mut results = results.await.unwrap_or_default();
        if results.results.iter().any(|r| r.fault() == PieceFault::Late) {
            let wait = lock(&service.state).batcher.wait(self.core.clock.now());
            results.wait_ms = wait.unwrap_or_default().0;
        }
        let release = std::mem::take(&mut lock(&withdraw.submission).release);
        self.release(Ms::ZERO, release);
        withdraw.close();
        results
    }

    /// How a service's targets run calls, as it is declared now.
    fn shape(&self, name: &PoolId) -> Option<Batch> {
        self.core.catalog()?.service(name)?.batch.clone()
    }

    /// The batcher of a service; none for one that runs no stages.
    fn service(self: &Arc<Self>, name: &PoolId) -> Option<Arc<Service>> {
        let mut services = lock(&self.services);
        if let Some(service) = services.get(name) {
            return Some(service.clone());
        }
        let shape = self.shape(name)?;
        let batcher = Batcher::new(name.clone(), shape, allowance(&self.core.settings()));
        let state = State { batcher, waiting: HashMap::new(), freed: HashMap::new() };
        let service =
            Arc::new(Service { name: name.clone(), state: Mutex::new(state), wake: Notify::new() });
        services.insert(name.clone(), service.clone());
        drop(services);
        self.feed(&service, Event::Targets(self.places(name)));
        tokio::spawn(self.clone().drive(service.clone()));
        Some(service)
    }

    /// Targets of a service that this host composes calls for: those of its region, and those of
    /// regions where no other host composes for them. Where it has some of its own, the others are
    /// for pieces that may be made nowhere nearer.
    ///
    /// Two composers for one target each believe its place and its room to be their own: calls are
    /// turned away, or find no room.
    fn places(&self, service: &PoolId) -> Vec<Place> {
        let links = self.core.links();
        let settings = self.core.settings();
        let targets: Vec<(&Arc<Link>, Option<&RegionId>)> =
            links.of(service).iter().map(|l| (l, settings.region_of(&l.entry.domain))).collect();
        let near = |region: Option<&RegionId>| region == Some(settings.region());
        let any_near = targets.iter().any(|(_, region)| near(*region));
        let composed = |region: Option<&RegionId>| match region {
            Some(region) => !self.core.members.peer_composes(&settings, service, region),
            None => !any_near,
        };
        let mine = targets.into_iter().filter(|(_, region)| near(*region) || composed(*region));
        let place = |(link, region): (&Arc<Link>, Option<&RegionId>)| Place {
            id: link.entry.id.clone(),
            born: link.entry.born,
            domain: link.entry.domain.clone(),
            region: region.cloned(),
            reserved: any_near && !near(region),
        };
        mine.map(place).collect()
    }

    /// Ticks a batcher when it asks for it, and tells it of its targets.
    async fn drive(self: Arc<Self>, service: Arc<Service>) {
        let mut moved = self.core.moved.subscribe();
        // Which targets are this host's to compose for changes with the live hosts too.
        let mut members = tokio::time::interval(LOOK.duration());
        loop {
            let now = self.core.clock.now();
            let wake = lock(&service.state).batcher.wake(now);
            let rest = wake.map_or(LOOK, |at| at - now).min(LOOK);
            tokio::select! {
                () = tokio::time::sleep(rest.duration()) => {
                    self.feed(&service, Event::Tick);
                }
                () = service.wake.notified() => {}
                _ = members.tick() => {
                    self.feed(&service, Event::Targets(self.places(&service.name)));
                }
                _ = moved.changed() => {
                    if let Some(shape) = self.shape(&service.name) {
                        self.feed(&service, Event::Shape(shape));
                    }
                    self.feed(&service, Event::Targets(self.places(&service.name)));
                    let hosts = self.core.members.hosts().len();
                    self.feed(&service, Event::Hosts(hosts));
                }
            }
        }
    }

    /// Feeds an event and carries out what it brings.
    fn feed(self: &Arc<Self>, service: &Arc<Service>, event: Event) {
        let now = self.core.clock.now();
        let mut effects = Vec::new();
        let mut state = lock(&service.state);
        let before = state.batcher.wake(now);
        state.batcher.reduce(now, event, &mut effects);
        let sooner = match (before, state.batcher.wake(now)) {
            (Some(before), Some(after)) => after < before,
            (None, after) => after.is_some(),
            (Some(_), None) => false,
        };
        let mut unread = Vec::new();
        for effect in effects {
            match effect {
                Effect::Free { target, handle } => unread.push((target, handle)),
                Effect::Call { call, target, pieces, ids, timeout } => {
                    let read = ids.iter().flat_map(|id| begun(&mut state, id)).collect();
                    self.spare(READ_TIME, read);
                    self.core.metrics.call(service.name.as_str(), pieces.len());
                    let (composer, service) = (self.clone(), service.clone());
                    tokio::spawn(async move {
                        let end = composer.call(&target, &pieces, timeout).await;
                        composer.called(&service, call, &target, end);
                    });
                }
                Effect::End { piece, end, target } => {
                    unread.extend(ended(&mut state, piece, end, target));
                }
            }
        }
        drop(state);
        self.free_results(service, unread);
        if sooner {
            service.wake.notify_one();
        }
    }

    fn called(
        self: &Arc<Self>,
        service: &Arc<Service>,
        call: CallId,
        target: &TargetId,
        end: CallEnd,
    ) {
        let (queued, kept) = {
            let state = lock(&service.state);
            (state.batcher.queued(), state.batcher.kept(self.core.clock.now(), target))
        };
        match &end {
            CallEnd::Done(ends) => note!(
                logs::Event::StageCallEnded,
                service = %service.name,
                target = %target,
                pieces = ends.len(),
                made = ends.iter().filter(|e| matches!(e, PieceEnd::Made(_))).count(),
                no_room = ends.iter().filter(|e| **e == PieceEnd::Room).count(),
                gone = ends.iter().filter(|e| **e == PieceEnd::Gone).count(),
                queued,
                kept
            ),
            end => note!(
                logs::Event::StageCallFailed,
                service = %service.name,
                target = %target,
                end = ?end
            ),
        }
        self.feed(service, Event::Ended(call, end));
    }

    async fn call(&self, target: &TargetId, pieces: &[Piece], timeout: Ms) -> CallEnd {
        let Some(link) = self.core.links().named(target).cloned() else {
            return CallEnd::NoConnection;
        };
        let build = || {
            let call = StageCall { target: link.name(), pieces, now: self.core.clock.now() };
            self.core.dialect.stage_call(&call)
        };
        let answered = match send(&self.core, &link, OWN_CALL, timeout, build).await {
            Ok(answered) => answered,
            Err(SendFault::Barred(BlockReason::Limited(rest) | BlockReason::Paused(rest))) => {
                return CallEnd::Barred(rest);
            }
            // An evacuated target is taken off the list, a cold one stands a call in a moment.
            Err(SendFault::Barred(_)) => return CallEnd::Full,
            Err(SendFault::NoConnection) => return CallEnd::NoConnection,
            Err(SendFault::Silent) => return CallEnd::Silent,
            Err(SendFault::Broken | SendFault::Mismatch) => return CallEnd::Broken,
        };
        let read = link::read(answered.body, ANSWER_BYTES);
        let body = match tokio::time::timeout(timeout.duration(), read).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return CallEnd::Broken,
            Err(_) => return CallEnd::Silent,
        };
        answered.lease.close();
        self.core.dialect.parse_stage_response(answered.parts.status, &answered.head, &body)
    }

    /// Loads of all services that run stages, as this host would compose them.
    fn loads(&self) -> StageLoads {
        let now = self.core.clock.now();
        let Some(catalog) = self.core.catalog() else { return StageLoads::default() };
        let services = lock(&self.services);
        let wait = |name: &PoolId| match services.get(name) {
            Some(service) => lock(&service.state).batcher.wait(now),
            None => (!self.core.links().of(name).is_empty()).then_some(Ms::ZERO),
        };
        let load = |name: &PoolId| {
            Some(StageLoad { service: name.as_str().to_owned(), wait_ms: wait(name)?.0 })
        };
        let staged = catalog.services().filter(|s| s.batch.is_some());
        StageLoads { loads: staged.filter_map(|s| load(&s.name)).collect() }
    }
}
