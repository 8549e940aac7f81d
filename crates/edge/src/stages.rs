//! The stages of one request: each handed in as soon as those that it reads are done.

mod outputs;
mod place;

use base::{Ms, PoolId};
use catalog::Batch;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use logs::note;
use std::sync::Arc;
use wire::StageWork;

use crate::host::App;
use crate::metrics::ALL_STAGES;
use crate::refusal::Reason;
use crate::request::Call;
use crate::results::{Results, StageOutput};
use crate::submit::{StageFault, submit};

/// Time between looks at a stage that is held back, ms.
const LOOK: Ms = Ms(50);
/// Times that a stage is done again because results that it read are gone.
const REDONE: u32 = 1;

/// Does all stages. Gives their results; the request itself has not run.
pub(crate) async fn run(app: &Arc<App>, call: &Call) -> Result<Results, Reason> {
    let mut run = Run::new(app, call);
    let end = run.finish().await;
    run.ended = true;
    match end {
        Ok(()) => Ok(run.close()),
        Err(_) if call.left(app.core.clock.now()) == Ms::ZERO => Err(Reason::NoTime),
        Err(StageFault::Outside) => Err(Reason::Outside),
        Err(StageFault::Late(wait)) => Err(Reason::Stages(wait.max(longest_call(call)))),
        Err(StageFault::Gone | StageFault::Failed) => Err(Reason::Stages(longest_call(call))),
    }
}

/// Time of the longest full call among a request's stages, as declared: before that nothing changes
/// at a target that is busy.
pub(crate) fn longest_call(call: &Call) -> Ms {
    let batches = call.route.stages.iter().filter_map(|stage| batch(call, &stage.service));
    batches.map(Batch::full).max().unwrap_or_default()
}

type Working = BoxFuture<'static, (usize, Result<StageOutput, StageFault>)>;

struct Run<'a> {
    app: &'a Arc<App>,
    call: &'a Call,
    /// Time that each stage takes, as far as is known.
    times: Vec<Ms>,
    /// Time needed after each stage.
    after: Vec<Ms>,
    /// Handles by stage, once it is done.
    done: Vec<Option<Arc<[String]>>>,
    held: Vec<Option<StageOutput>>,
    begun: Vec<Option<Ms>>,
    /// When each stage's results lapse where they lie.
    lapse: Vec<Ms>,
    working: FuturesUnordered<Working>,
    redone: u32,
    /// Whether it came to an end of its own.
    ended: bool,
}

impl<'a> Run<'a> {
    fn new(app: &'a Arc<App>, call: &'a Call) -> Self {
        let count = call.route.stages.len();
        let time = |service: &PoolId| match batch(call, service) {
            Some(batch) => app.core.estimate().stage(service, batch),
            None => Ms::ZERO,
        };
        // The time of each stage is read first: the estimate is locked once at a time.
        let times: Vec<Ms> = call.route.stages.iter().map(|s| time(&s.service)).collect();
        let of = |service: &PoolId| {
            let at = call.route.stages.iter().position(|s| s.service == *service);
            at.map_or(Ms::ZERO, |i| times[i])
        };
        let first = app.core.estimate().first_event(&call.service, call.head.own_tokens());
        let after = app.core.estimate().after(&call.route, first, of);
        Self {
            app,
            call,
            times,
            after,
            done: vec![None; count],
            held: vec![None; count],
            begun: vec![None; count],
            lapse: vec![Ms::MAX; count],
            working: FuturesUnordered::new(),
            redone: 0,
            ended: false,
        }
    }

    /// What the engine gets.
    fn close(mut self) -> Results {
        if let Some(expected) = self.expected() {
            let took = self.app.core.clock.now() - self.call.arrived;
            self.app.core.metrics.predicted(ALL_STAGES, expected, took);
        }
        let mut results = Results::new(self.app.clone());
        let last = self.call.route.last_stages().filter_map(|i| self.done[i].as_ref());
        results.set_handles(last.flat_map(|h| h.iter().cloned()).collect());
        results.set_home(self.home(self.call.route.last_stages()));
        let held = self.held.iter_mut().filter_map(Option::take);
        held.for_each(|output| results.hold(output));
        results
    }

    /// Time that all stages were expected to take when the request came; none without stages.
    fn expected(&self) -> Option<Ms> {
        let engine =
            self.app.core.estimate().first_event(&self.call.service, self.call.head.own_tokens());
        let pieces = |i: &usize| self.call.head.pieces.get(*i).is_none_or(|p| *p > 0);
        let made = (0..self.times.len()).filter(pieces);
        made.map(|i| self.times[i] + self.after[i] - engine).max()
    }

    async fn finish(&mut self) -> Result<(), StageFault> {
        loop {
            let held_back = self.begin();
            let next = match held_back {
                false => self.working.next().await,
                true => match tokio::time::timeout(LOOK.duration(), self.working.next()).await {
                    Ok(next) => next,
                    Err(_) => continue,
                },
            };
            let Some((i, ended)) = next else { return Ok(()) };
            self.note(i, ended.as_ref().err().copied());
            match ended {
                Ok(output) => self.ended(i, output),
                Err(StageFault::Gone) if self.redone < REDONE => self.redo(i),
                Err(fault) => return Err(fault),
            }
        }
    }

    fn note(&self, i: usize, fault: Option<StageFault>) {
        let now = self.app.core.clock.now();
        let due = self.call.arrived + self.call.route.aim - self.after[i];
        let wait = match fault {
            Some(StageFault::Late(wait)) => Some(wait.0),
            _ => None,
        };
        let event = match fault {
            Some(_) => logs::Event::StageFailed,
            None => logs::Event::StageEnded,
        };
        note!(
            event,
            request = %self.call.head.id,
            stage = i,
            service = %self.call.route.stages[i].service,
            pieces = self.call.head.pieces.get(i).copied().unwrap_or(1),
            fault = fault.map_or("none", StageFault::name),
            took_ms = self.begun[i].map(|begun| (now - begun).0),
            late_ms = (now - due).0,
            left_ms = self.call.left(now).0,
            wait_ms = wait
        );
    }

    fn note_withdrawn(&self) {
        let now = self.app.core.clock.now();
        let open = |i: &usize| self.done[*i].is_none() && self.begun[*i].is_some();
        let open: Vec<usize> = (0..self.done.len()).filter(open).collect();
        let stages = &self.call.route.stages;
        let names: Vec<String> =
            open.iter().map(|i| format!("{i}:{}", stages[*i].service)).collect();
        let since = open.iter().filter_map(|i| self.begun[*i]).min();
        note!(
            logs::Event::StagesWithdrawn,
            request = %self.call.head.id,
            route = %self.call.route.name,
            stages = names.join(","),
            waited_ms = since.map(|at| (now - at).0),
            left_ms = self.call.left(now).0
        );
    }

    /// Hands in every stage whose inputs are there and whose time has come. Says whether one is
    /// held back.
    fn begin(&mut self) -> bool {
        let mut held_back = false;
        for i in 0..self.done.len() {
            let stage = &self.call.route.stages[i];
            let ready = stage.after.iter().all(|a| self.done[*a].is_some());
            if self.done[i].is_some() || self.begun[i].is_some() || !ready {
                continue;
            }
            let pieces = self.call.head.pieces.get(i).copied().unwrap_or(1);
            if pieces == 0 {
                self.done[i] = Some(Arc::from([]));
                // A stage that reads this one may be ready now.
                return self.begin();
            }
            if !self.due_now(i) {
                held_back = true;
                continue;
            }
            self.begun[i] = Some(self.app.core.clock.now());
            let domain = self.domain(i);
            let Some(region) = self.region(i, &domain) else {
                self.working.push(Box::pin(async move { (i, Err(StageFault::Outside)) }));
                continue;
            };
            let mut work = self.work(i, pieces);
            // Where it may not be, there is no domain that it should be in.
            if self.app.core.settings().region_of(&domain) == Some(&region) {
                work.home = domain.as_str().to_owned();
            }
            work.release = self.release(i);
            let app = self.app.clone();
            let service = stage.service.clone();
            self.working
                .push(Box::pin(async move { (i, submit(&app, &service, &region, work).await) }));
        }
        held_back
    }

    fn work(&self, i: usize, pieces: u32) -> StageWork {
        let stage = &self.call.route.stages[i];
        let now = self.app.core.clock.now();
        let due = self.call.arrived + self.call.route.aim - self.after[i];
        let patience = self.call.route.patience.map_or(Ms::MAX, |p| self.call.arrived + p);
        // The stages after it need at least their bare time.
        let expires = self.call.deadline.min(patience) - self.after[i].scale(1, 2);
        // A call that begins after its inputs have lapsed makes nothing.
        let expires = expires.min(self.inputs_lapse(i));
        let inputs = stage.after.iter().filter_map(|a| self.done[*a].as_ref());
        StageWork {
            service: stage.service.as_str().to_owned(),
            request: self.call.head.id.to_string(),
            stage: i as u32,
            pieces,
            key: self.call.head.piece_key.as_deref().unwrap_or_default().to_owned(),
            inputs: inputs.flat_map(|h| h.iter().cloned()).collect(),
            due_ms: (due - now).0,
            expires_ms: (expires - now).0,
            rank: u32::from(self.call.rank()),
            bytes: stage.bytes,
            reads: self.reads(i),
            home: String::new(),
            regions: self.call.residency.regions().iter().map(|r| r.as_str().to_owned()).collect(),
            passed_on: false,
            release: Vec::new(),
        }
    }
}

impl Drop for Run<'_> {
    /// A request that failed, or whose caller has gone, holds nothing any more.
    fn drop(&mut self) {
        if !self.ended {
            self.note_withdrawn();
        }
        (0..self.held.len()).for_each(|i| self.give_up(i));
    }
}

fn batch<'a>(call: &'a Call, service: &PoolId) -> Option<&'a Batch> {
    call.catalog.service(service)?.batch.as_ref()
}
