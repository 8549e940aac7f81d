//! Batches stage work into calls to stage targets.
//!
//! For each service and region one host is the composer: all hosts of the region hand it the pieces
//! of their requests' stages, and it groups them into calls. This module keeps one [`Batcher`] for
//! each service that this host composes, sends the calls it asks for and returns the results.

mod call;
mod guests;
mod holders;
mod load;
mod offload;
mod release;
mod report;
mod serve;
mod submission;
mod takeover;
mod targets;

pub(crate) use serve::StageService;

use base::{Ms, PoolId, RegionId, TargetId};
use catalog::Batch;
use logs::note;
use sched::batch::{Batcher, Effect, Event, GivenUp, HandedOut, PieceId};
use sched::holders::Holders;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot, watch};
use wire::{PieceFault, PieceResult, StageResults, StageWork};

use self::release::READ_TIME;
use self::report::log_foreign;
use self::submission::{Submission, Withdraw, origin, piece_ended, piece_started, pieces};
use crate::core::{Core, allowance};

/// Request id of calls that hosts make on their own account: they belong to no caller's request, and
/// their answers name none.
const NO_REQUEST_ID: &str = "";
/// Largest answer that is read from a stage target, bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Interval at which the targets to compose for are re-evaluated, in addition to doing so on each
/// change notification.
const REFRESH_INTERVAL: Ms = Ms(500);

/// Largest number of requests that one log line names.
const MAX_LOGGED: usize = 8;

type Shared<T> = Arc<Mutex<T>>;

struct State {
    batcher: Batcher,
    /// The submission that each piece belongs to, and the piece's index in it.
    waiting: HashMap<PieceId, (Shared<Submission>, usize)>,
    /// Handles of freed results by target; the targets are yet to be notified.
    freed: HashMap<TargetId, Vec<String>>,
    /// The hosts that hold the results made here.
    holders: Holders,
    /// Time for which this host did not run, as far as the batcher knows.
    paused: Ms,
}

struct Service {
    name: PoolId,
    state: Mutex<State>,
    wake: Notify,
}

/// The services for which this host composes calls.
pub(crate) struct Composer {
    core: Arc<Core>,
    services: Mutex<HashMap<PoolId, Arc<Service>>>,
    next_piece: AtomicU64,
    /// Results that stage targets have returned.
    handed_out: Mutex<HandedOut>,
    /// Load of a service in another region: when it was fetched, and the expected wait for a call.
    region_loads: Mutex<HashMap<(PoolId, RegionId), (Ms, Ms)>>,
    /// When another host was last seen to compose a service in this region.
    other_owners: Mutex<HashMap<PoolId, Ms>>,
    /// Number of open stages of other hosts.
    guests: watch::Sender<usize>,
}

fn log_given_up(service: &PoolId, given_up: &GivenUp) {
    let GivenUp { requests, pieces, chance } = given_up;
    note!(
        logs::Event::PiecesGivenUp,
        service = %service,
        requests = requests.iter().take(MAX_LOGGED).map(|id| &**id).collect::<Vec<_>>().join(","),
        pieces,
        waited_ms = chance.span.0,
        calls = chance.calls,
        taken = chance.taken
    );
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Composer {
    /// A composer without any services.
    pub(crate) fn new(core: Arc<Core>) -> Self {
        Self {
            core,
            services: Mutex::default(),
            next_piece: AtomicU64::new(1),
            handed_out: Mutex::default(),
            region_loads: Mutex::default(),
            other_owners: Mutex::default(),
            guests: watch::Sender::new(0),
        }
    }

    /// The state shared by all parts of the host.
    pub(crate) fn core(&self) -> &Core {
        &self.core
    }

    /// Produces all pieces of a stage. If the future is dropped, the pieces are withdrawn.
    ///
    /// `declared` are the batch parameters under which the request of the stage was admitted, for a
    /// service that the configuration in force doesn't declare; none for the stage of another host.
    /// Returns no results if the service is not declared at all.
    pub(crate) async fn submit(
        self: &Arc<Self>,
        mut work: StageWork,
        declared: Option<&Batch>,
    ) -> StageResults {
        let service = PoolId::from(work.service.as_str());
        let mut results = match self.better_region(&service, &work) {
            Some((region, owner)) => {
                work.passed_on = true;
                match self.pass_on(&service, &region, owner, &work).await {
                    Some(results) => results,
                    None => {
                        work.passed_on = false;
                        self.run_pieces(&service, work, declared).await
                    }
                }
            }
            None => self.run_pieces(&service, work, declared).await,
        };
        // That of this region, also if the work was passed on.
        results.load = self.load(&service).filter(|load| load.throughput.is_some());
        results
    }

    async fn run_pieces(
        self: &Arc<Self>,
        name: &PoolId,
        work: StageWork,
        declared: Option<&Batch>,
    ) -> StageResults {
        let Some(service) = self.service(name, declared) else { return StageResults::default() };
        let (done, results) = oneshot::channel();
        let count = work.pieces as usize;
        let submission = Arc::new(Mutex::new(Submission {
            unfinished: count,
            not_started: vec![true; count],
            release: work.release.clone(),
            holder: work.holder.clone().map(holders::holder),
            bytes: work.bytes,
            inputs_read: false,
            results: vec![PieceResult::default(); count],
            done: Some(done),
        }));
        let first = self.next_piece.fetch_add(count as u64, Ordering::Relaxed);
        let ids: Vec<PieceId> = (first..first + count as u64).map(PieceId).collect();
        let pieces = pieces(self.core.clock.now(), &work);
        let origin = origin(&work);
        {
            let mut state = lock(&service.state);
            for (i, id) in ids.iter().enumerate() {
                state.waiting.insert(*id, (submission.clone(), i));
            }
        }
        let submitted = ids.iter().copied().zip(pieces).collect();
        let withdraw =
            Withdraw { composer: self.clone(), service: service.clone(), submission, ids };
        self.feed(&service, Event::SubmitFrom(origin, submitted));
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

    /// The batch parameters of a service, as currently declared.
    fn batch_config(&self, name: &PoolId) -> Option<Batch> {
        self.core.catalog()?.service(name)?.batch.clone()
    }

    /// The batcher of a service, created and started on first use with the parameters in force, or
    /// else with the `declared` ones; none if there are neither.
    fn service(self: &Arc<Self>, name: &PoolId, declared: Option<&Batch>) -> Option<Arc<Service>> {
        let mut services = lock(&self.services);
        if let Some(service) = services.get(name) {
            return Some(service.clone());
        }
        let batch = self.batch_config(name).or_else(|| declared.cloned())?;
        let batcher = Batcher::new(name.clone(), batch, allowance(&self.core.settings()));
        let state = State {
            batcher,
            waiting: HashMap::new(),
            freed: HashMap::new(),
            holders: Holders::default(),
            paused: self.core.pauses.lost(),
        };
        let service =
            Arc::new(Service { name: name.clone(), state: Mutex::new(state), wake: Notify::new() });
        services.insert(name.clone(), service.clone());
        drop(services);
        self.refresh(&service);
        tokio::spawn(self.clone().drive(service.clone()));
        Some(service)
    }

    /// Ticks a batcher when it is due, and passes it changes of its targets, of the declaration and
    /// of the number of live hosts.
    async fn drive(self: Arc<Self>, service: Arc<Service>) {
        let mut changed = self.core.changed.subscribe();
        // Which targets this host composes for also depends on which hosts are alive.
        let mut refresh = tokio::time::interval(REFRESH_INTERVAL.duration());
        loop {
            let now = self.core.clock.now();
            let wake = lock(&service.state).batcher.wake(now);
            let rest = wake.map_or(REFRESH_INTERVAL, |at| at - now).min(REFRESH_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep(rest.duration()) => {
                    self.feed(&service, Event::Tick);
                }
                () = service.wake.notified() => {}
                _ = refresh.tick() => self.refresh(&service),
                Ok(()) = changed.changed() => {
                    if let Some(batch) = self.batch_config(&service.name) {
                        self.feed(&service, Event::Config(batch));
                    }
                    self.refresh(&service);
                }
            }
        }
    }

    /// Passes an event to the batcher and carries out the resulting effects.
    fn feed(self: &Arc<Self>, service: &Arc<Service>, event: Event) {
        let now = self.core.clock.now();
        let mut effects = Vec::new();
        let mut state = lock(&service.state);
        let before = state.batcher.wake(now);
        // Before any other event: the batcher would take calls whose answers are still unread for
        // overdue, and have their pieces made twice.
        let paused = self.core.pauses.lost();
        let pause = paused - std::mem::replace(&mut state.paused, paused);
        if pause > Ms::ZERO {
            state.batcher.reduce(now, Event::Paused(pause), &mut effects);
        }
        state.batcher.reduce(now, event, &mut effects);
        if let Some(given_up) = state.batcher.take_given_up() {
            log_given_up(&service.name, &given_up);
        }
        state.batcher.take_foreign(now).iter().for_each(|change| log_foreign(service, change));
        let sooner = match (before, state.batcher.wake(now)) {
            (Some(before), Some(after)) => after < before,
            (None, after) => after.is_some(),
            (Some(_), None) => false,
        };
        let mut unread = Vec::new();
        for effect in effects {
            match effect {
                Effect::Free { target, handle } => unread.push((target, handle)),
                Effect::Report(target) => {
                    tokio::spawn(self.clone().fetch_report(service.clone(), target));
                }
                Effect::Call { call, target, pieces, ids, timeout } => {
                    let read = ids.iter().flat_map(|id| piece_started(&mut state, id)).collect();
                    self.release_read(READ_TIME, read);
                    self.core.metrics.call(service.name.as_str(), pieces.len());
                    let (composer, service) = (self.clone(), service.clone());
                    tokio::spawn(async move {
                        let end = composer.call(&target, &pieces, timeout).await;
                        composer.count_rejected(&service, &end, pieces.len());
                        composer.call_ended(&service, call, &target, end);
                    });
                }
                Effect::End { piece, end, target } => {
                    let expires = now + state.batcher.result_ttl();
                    unread.extend(piece_ended(&mut state, piece, end, target, expires));
                }
            }
        }
        drop(state);
        self.free_results(service, unread);
        if sooner {
            service.wake.notify_one();
        }
    }
}
