//! Runs the batchers of the services whose calls this host composes.

use async_trait::async_trait;
use base::{Ms, PoolId, RegionId, TargetId};
use logs::note;
use peer::StageServer;
use sched::batch::{
    Batcher, CallEnd, CallId, Effect, Event, Piece, PieceEnd, PieceId, Place, Source,
};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot};
use wire::{
    HostNews, PieceFault, PieceResult, StageFree, StageLoad, StageLoads, StageRelease,
    StageResults, StageWork,
};

use crate::core::{Core, allowance};
use crate::dialect::StageCall;
use crate::links::Link;
use crate::members::Owner;
use crate::remote::{self, Missed};
use crate::results;
use crate::send::{SendFault, send};

/// Name of the system's own calls in a target's answer; answers that name none are taken too.
const OWN_CALL: &str = "";
/// Largest answer of a stage target, bytes.
const ANSWER_BYTES: usize = 1 << 20;
/// Time for which freed results are gathered into one call, ms: a call for each would cost the
/// target more than the room is worth for so short a time.
const FREE_WAIT: Ms = Ms(20);
/// Wait for the answer to such a call, ms.
const FREE_SILENCE: Ms = Ms(1_000);
/// How much sooner another region must be able to start a stage for it to go there, ms: the way
/// there and back, twice, and some, since its load is known from a while ago.
const FAR_COST: Ms = Ms(120);
/// Bytes of results that weigh as much as a ms of waiting when they cross regions: two megabytes,
/// which cross for the price of a twelfth of a long report, weigh as half a call.
const BYTES_PER_MS: u64 = 16_000;
/// Age up to which another region's load is believed, ms.
const LOAD_AGE: Ms = Ms(1_000);
/// Longest wait between looks at the targets, ms, beside being told of changes.
const LOOK: Ms = Ms(500);

/// Time after the beginning of a call in which a target reads its inputs, ms: there and back to a
/// target in another region, and the bytes.
const READ_TIME: Ms = Ms(80);

/// Pieces of one stage, until all have ended.
struct Submission {
    left: usize,
    /// Pieces that were never in a call.
    unread: usize,
    /// What they read and nobody else does.
    release: Vec<StageRelease>,
    results: Vec<PieceResult>,
    done: Option<oneshot::Sender<StageResults>>,
}

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
            unread: count,
            release: work.release.clone(),
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
        let results = results.await.unwrap_or_default();
        // What was never read, since the stage failed, is given up all the same.
        let release = std::mem::take(&mut lock(&withdraw.submission).release);
        self.release(Ms::ZERO, release);
        withdraw.close();
        results
    }

    /// Results are given up.
    pub(crate) fn free(self: &Arc<Self>, free: StageFree) {
        let Some(service) = self.service(&PoolId::from(free.service.as_str())) else { return };
        let made = free.results.into_iter().filter(|r| !r.handle.is_empty());
        self.free_results(&service, made.map(|r| (r.target.into(), r.handle)).collect());
    }

    fn free_results(self: &Arc<Self>, service: &Arc<Service>, freed: Vec<(TargetId, String)>) {
        if freed.is_empty() {
            return;
        }
        let mut state = lock(&service.state);
        let first = state.freed.is_empty();
        for (target, handle) in freed {
            state.freed.entry(target).or_default().push(handle);
        }
        drop(state);
        if first {
            tokio::spawn(self.clone().tell_freed(service.clone()));
        }
    }

    async fn tell_freed(self: Arc<Self>, service: Arc<Service>) {
        tokio::time::sleep(FREE_WAIT.duration()).await;
        let freed = std::mem::take(&mut lock(&service.state).freed);
        let calls =
            freed.into_iter().map(|(target, handles)| self.tell_target(&service, target, handles));
        futures::future::join_all(calls).await;
    }

    async fn tell_target(
        self: &Arc<Self>,
        service: &Arc<Service>,
        target: TargetId,
        handles: Vec<String>,
    ) {
        if let Some(link) = self.core.links().named(&target).cloned() {
            let build = || self.core.dialect.stage_free(link.name(), &handles);
            // Not heard, the results go when their time to live is over.
            if let Ok(answered) = send(&self.core, &link, OWN_CALL, FREE_SILENCE, build).await {
                let read = link::read(answered.body, ANSWER_BYTES);
                if let Ok(Ok(_)) = tokio::time::timeout(FREE_SILENCE.duration(), read).await {
                    answered.lease.close();
                }
            }
        }
        // Only now is there room for others.
        for handle in handles {
            self.feed(service, Event::Freed(target.clone(), handle));
        }
    }

    /// The batcher of a service; none for one that runs no stages.
    fn service(self: &Arc<Self>, name: &PoolId) -> Option<Arc<Service>> {
        let mut services = lock(&self.services);
        if let Some(service) = services.get(name) {
            return Some(service.clone());
        }
        let catalog = self.core.catalog()?;
        let shape = catalog.service(name)?.batch.clone()?;
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

    /// Targets of a service that this host composes calls for: those of its region, or all where
    /// no other host composes for them.
    ///
    /// Two composers for one target each believe its place and its room to be their own: calls are
    /// turned away, or find no room.
    fn places(&self, service: &PoolId) -> Vec<Place> {
        let links = self.core.links();
        let settings = self.core.settings();
        let place = |l: &Arc<Link>| Place { id: l.entry.id.clone(), born: l.entry.born };
        let composed = |l: &Arc<Link>| match settings.region_of(&l.entry.domain) {
            Some(region) if region == settings.region() => true,
            Some(region) => !self.core.members.composes(&settings, service, region),
            None => true,
        };
        let all = links.of(service);
        let near = |l: &&Arc<Link>| settings.region_of(&l.entry.domain) == Some(settings.region());
        let own: Vec<Place> = all.iter().filter(near).map(place).collect();
        match own.is_empty() {
            true => all.iter().filter(|l| composed(l)).map(place).collect(),
            false => own,
        }
    }

    /// Ticks a batcher when it asks for it, and tells it of its targets.
    async fn drive(self: Arc<Self>, service: Arc<Service>) {
        let mut moved = self.core.moved.subscribe();
        loop {
            let now = self.core.clock.now();
            let wake = lock(&service.state).batcher.wake(now);
            let rest = wake.map_or(LOOK, |at| at - now).min(LOOK);
            tokio::select! {
                () = tokio::time::sleep(rest.duration()) => {
                    self.feed(&service, Event::Tick);
                }
                () = service.wake.notified() => {}
                _ = moved.changed() => {
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
                    self.release(READ_TIME, read);
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

    /// Gives results up that have been read by then.
    ///
    /// A target reads the inputs of a call when its turn comes. Kept until the call ends, they lie
    /// at their own targets for as long again, and calls there shrink to the room that is left:
    /// the stage before loses a third of what it can do. When the call fails after that, what it
    /// read is made again.
    fn release(self: &Arc<Self>, wait: Ms, release: Vec<StageRelease>) {
        if release.is_empty() {
            return;
        }
        let composer = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait.duration()).await;
            for StageRelease { owner, free } in release {
                let Some(free) = free else { continue };
                let addr = owner.parse::<std::net::SocketAddr>();
                match addr {
                    Ok(addr) if addr != composer.core.settings().peer => {
                        results::tell(&composer.core, addr, free).await;
                    }
                    _ => composer.free(free),
                }
            }
        });
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
        self.core.dialect.stage_end(answered.parts.status, &answered.head, &body)
    }

    /// A region that can start the stage much sooner than this one.
    fn better_region(&self, service: &PoolId, work: &StageWork) -> Option<(RegionId, Owner)> {
        if work.passed_on {
            return None;
        }
        let now = self.core.clock.now();
        let shape = self.core.catalog()?.service(service)?.batch.clone()?;
        let known = lock(&self.services).get(service).cloned();
        let here = match known {
            Some(service) => lock(&service.state).batcher.wait(now),
            None => (!self.places(service).is_empty()).then_some(Ms::ZERO),
        };
        let cost = FAR_COST + Ms(work.bytes * u64::from(work.pieces) / BYTES_PER_MS);
        let far = lock(&self.far).iter().filter(|((s, _), _)| s == service).fold(
            None,
            |best: Option<(Ms, RegionId)>, ((_, region), (at, wait))| match best {
                _ if now - *at > LOAD_AGE => best,
                Some((least, _)) if least <= *wait => best,
                _ => Some((*wait, region.clone())),
            },
        );
        let region = match (here, far) {
            (Some(here), Some((wait, _))) if here <= wait + cost => return None,
            (_, Some((_, region))) => region,
            (Some(_), None) => return None,
            // Nothing here, and no word of the others yet: any that has a target.
            (None, None) => self.region_with_target(service, &work.request)?,
        };
        if let Some((_, wait)) = lock(&self.far).get_mut(&(service.clone(), region.clone())) {
            // What goes there now is not in its load yet.
            *wait += Ms((shape.call_ms * f64::from(work.pieces) / shape.size as f64) as u64);
        }
        match self.core.members.owner(&self.core.settings(), service, &region)? {
            Owner::Me => None,
            owner => Some((region, owner)),
        }
    }

    fn region_with_target(&self, service: &PoolId, request: &str) -> Option<RegionId> {
        let links = self.core.links();
        let settings = self.core.settings();
        let targets = links.of(service);
        let draw = base::hash_parts(&[request.as_bytes()]) as usize % targets.len().max(1);
        settings.region_of(&targets.get(draw)?.entry.domain).cloned()
    }

    async fn pass_on(
        &self,
        service: &PoolId,
        region: &RegionId,
        owner: Owner,
        work: &StageWork,
    ) -> Option<StageResults> {
        let Owner::Peer { host, addr } = owner else { return None };
        self.core.metrics.passed_on(service.as_str());
        match remote::make(&self.core, &host, addr, work.clone()).await {
            Ok(mut results) if !results.results.is_empty() => {
                results.owner = addr.to_string();
                Some(results)
            }
            Ok(_) => None,
            // The time is over: nothing is made here either.
            Err(Missed::Late) => Some(StageResults::default()),
            Err(Missed::Lost) => {
                lock(&self.far).remove(&(service.clone(), region.clone()));
                None
            }
        }
    }

    /// Asks the other regions for their loads of the services that this host composes.
    pub(crate) async fn watch_far(self: Arc<Self>) {
        loop {
            tokio::time::sleep(FAR_LOOK.duration()).await;
            let names: Vec<PoolId> = lock(&self.services).keys().cloned().collect();
            let settings = self.core.settings().clone();
            let mut regions: Vec<&RegionId> =
                settings.domains.values().filter(|r| *r != settings.region()).collect();
            regions.sort();
            regions.dedup();
            for name in &names {
                let mine = self.core.members.owner(&settings, name, settings.region());
                if mine != Some(Owner::Me) {
                    continue;
                }
                for region in &regions {
                    let owner = self.core.members.owner(&settings, name, region);
                    if let Some(Owner::Peer { addr, .. }) = owner {
                        tokio::spawn(self.clone().ask_far(name.clone(), (*region).clone(), addr));
                    }
                }
            }
        }
    }

    async fn ask_far(self: Arc<Self>, name: PoolId, region: RegionId, addr: std::net::SocketAddr) {
        let Ok(loads) = self.core.members.peers().loads(addr).await else {
            lock(&self.far).remove(&(name, region));
            return;
        };
        let now = self.core.clock.now();
        let found = loads.loads.iter().find(|l| l.service == name.as_str());
        let mut far = lock(&self.far);
        match found {
            Some(load) => drop(far.insert((name, region), (now, Ms(load.wait_ms)))),
            None => drop(far.remove(&(name, region))),
        }
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

/// Time between looks at the other regions, ms: half the time of a call.
const FAR_LOOK: Ms = Ms(200);

#[async_trait]
impl StageServer for StageService {
    async fn submit(&self, work: StageWork) -> StageResults {
        self.0.submit(work).await
    }

    async fn loads(&self) -> StageLoads {
        self.0.loads()
    }

    async fn free(&self, free: StageFree) {
        self.0.free(free);
    }

    async fn news(&self, news: HostNews) {
        let now = self.0.core.clock.now();
        for crash in news.crashes {
            self.0.core.poison().record(now, crash.fingerprint, &crash.target.into());
        }
    }
}

/// The composer, for other hosts.
pub(crate) struct StageService(pub(crate) Arc<Composer>);

/// Withdraws pieces that nobody waits for any more, and gives up those that are made.
struct Withdraw {
    composer: Arc<Composer>,
    service: Arc<Service>,
    submission: Shared<Submission>,
    ids: Vec<PieceId>,
}

impl Withdraw {
    /// They have all ended.
    fn close(mut self) {
        self.ids.clear();
    }
}

impl Drop for Withdraw {
    fn drop(&mut self) {
        if self.ids.is_empty() {
            return;
        }
        let ids = std::mem::take(&mut self.ids);
        {
            let mut state = lock(&self.service.state);
            ids.iter().for_each(|id| drop(state.waiting.remove(id)));
        }
        self.composer.feed(&self.service, Event::Withdraw(ids));
        // Left to their time to live, results that nobody reads would take others' room.
        let (made, release) = {
            let mut submission = lock(&self.submission);
            (std::mem::take(&mut submission.results), std::mem::take(&mut submission.release))
        };
        self.composer.release(Ms::ZERO, release);
        let made = made.into_iter().filter(|r| !r.handle.is_empty());
        let unread = made.map(|r| (r.target.into(), r.handle)).collect();
        self.composer.free_results(&self.service, unread);
    }
}

fn pieces(now: Ms, work: &StageWork) -> Vec<Piece> {
    let source = match work.inputs.is_empty() {
        true => Source::Key(work.key.as_str().into()),
        false => Source::Inputs(work.inputs.clone().into()),
    };
    let request: Arc<str> = work.request.as_str().into();
    let piece = |index| Piece {
        request: request.clone(),
        stage: work.stage,
        index,
        source: source.clone(),
        due: now + Ms(work.due_ms),
        expires: now + Ms(work.expires_ms),
        rank: work.rank.min(9) as u8,
        bytes: work.bytes,
    };
    (0..work.pieces).map(piece).collect()
}

/// Notes that a piece is in a call. Gives what all pieces of its stage have read then.
fn begun(state: &mut State, piece: &PieceId) -> Vec<StageRelease> {
    let Some((submission, _)) = state.waiting.get(piece) else { return Vec::new() };
    let mut submission = lock(submission);
    submission.unread = submission.unread.saturating_sub(1);
    match submission.unread {
        0 => std::mem::take(&mut submission.release),
        _ => Vec::new(),
    }
}

/// Notes the end of a piece. Gives the results that nobody reads: those of a stage that failed.
fn ended(
    state: &mut State,
    piece: PieceId,
    end: PieceEnd,
    target: Option<TargetId>,
) -> Vec<(TargetId, String)> {
    let Some((submission, i)) = state.waiting.remove(&piece) else { return Vec::new() };
    let (fault, handle) = match end {
        PieceEnd::Made(handle) => (PieceFault::None, handle),
        PieceEnd::Late => (PieceFault::Late, String::new()),
        PieceEnd::Gone => (PieceFault::Gone, String::new()),
        PieceEnd::Room => (PieceFault::Room, String::new()),
        PieceEnd::Failed => (PieceFault::Failed, String::new()),
    };
    let target = target.map_or_else(String::new, |t| t.as_str().to_owned());
    let mut submission = lock(&submission);
    submission.results[i] = PieceResult { fault: fault.into(), handle, target };
    submission.left -= 1;
    if submission.left > 0 {
        return Vec::new();
    }
    let mut results = std::mem::take(&mut submission.results);
    let mut unread = Vec::new();
    if results.iter().any(|r| r.fault() != PieceFault::None) {
        for result in results.iter_mut().filter(|r| !r.handle.is_empty()) {
            unread.push((result.target.as_str().into(), std::mem::take(&mut result.handle)));
        }
    }
    if let Some(done) = submission.done.take() {
        // Its submitter may have gone; then the results go when their time to live is over.
        let _ = done.send(StageResults { results, owner: String::new() });
    }
    unread
}
