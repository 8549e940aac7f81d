//! The stages of one request: each handed in as soon as those that it reads are done.

use base::{Ms, PoolId};
use catalog::Batch;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use logs::note;
use peer::PeerError;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{PieceFault, StageResults, StageWork};

use crate::host::App;
use crate::members::Owner;
use crate::refusal::Reason;
use crate::request::Call;
use crate::results::{Results, StageOutput, free};

/// Times that a stage is done again because results that it read are gone.
const REDONE: u32 = 1;

/// How a stage failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StageFault {
    /// What it read is gone.
    Gone,
    /// Its time ran out.
    Late,
    /// Its targets failed.
    Failed,
}

/// Does all stages. Gives their results; the request itself has not run.
pub(crate) async fn run(app: &Arc<App>, call: &Call) -> Result<Results, Reason> {
    let mut run = Run::new(app, call);
    let ended = run.finish().await;
    let Run { held, done, .. } = run;
    let mut results = Results::new(app.clone());
    let last = call.route.last_stages().filter_map(|i| done[i].as_ref());
    results.set_handles(last.flat_map(|h| h.iter().cloned()).collect());
    // What a failed request holds is given up with `results`.
    held.into_iter().flatten().for_each(|output| results.hold(output));
    match ended {
        Ok(()) => Ok(results),
        Err(_) if call.left(app.core.clock.now()) == Ms::ZERO => Err(Reason::NoTime),
        Err(StageFault::Late) => Err(Reason::NoTime),
        Err(StageFault::Gone | StageFault::Failed) => Err(Reason::Stages),
    }
}

type Working = BoxFuture<'static, (usize, Result<StageOutput, StageFault>)>;

struct Run<'a> {
    app: &'a Arc<App>,
    call: &'a Call,
    /// Time needed after each stage.
    after: Vec<Ms>,
    /// Handles by stage, once it is done.
    done: Vec<Option<Arc<[String]>>>,
    held: Vec<Option<StageOutput>>,
    begun: Vec<Option<Ms>>,
    working: FuturesUnordered<Working>,
    redone: u32,
}

impl<'a> Run<'a> {
    fn new(app: &'a Arc<App>, call: &'a Call) -> Self {
        let count = call.route.stages.len();
        let time = |service: &PoolId| match batch(call, service) {
            Some(batch) => app.core.estimate().stage(service, batch),
            None => Ms::ZERO,
        };
        let after = match count {
            0 => Vec::new(),
            // The time of each stage is read first: the estimate is locked once at a time.
            _ => {
                let times: Vec<Ms> = call.route.stages.iter().map(|s| time(&s.service)).collect();
                let of = |service: &PoolId| {
                    let at = call.route.stages.iter().position(|s| s.service == *service);
                    at.map_or(Ms::ZERO, |i| times[i])
                };
                app.core.estimate().after(&call.route, call.ask.tokens_in, of)
            }
        };
        Self {
            app,
            call,
            after,
            done: vec![None; count],
            held: vec![None; count],
            begun: vec![None; count],
            working: FuturesUnordered::new(),
            redone: 0,
        }
    }

    async fn finish(&mut self) -> Result<(), StageFault> {
        loop {
            self.begin();
            let Some((i, ended)) = self.working.next().await else { return Ok(()) };
            match ended {
                Ok(output) => self.ended(i, output),
                Err(StageFault::Gone) if self.redone < REDONE => self.redo(i),
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Hands in every stage whose inputs are there.
    fn begin(&mut self) {
        for i in 0..self.done.len() {
            let stage = &self.call.route.stages[i];
            let ready = stage.after.iter().all(|a| self.done[*a].is_some());
            if self.done[i].is_some() || self.begun[i].is_some() || !ready {
                continue;
            }
            let pieces = self.call.ask.pieces.get(i).copied().unwrap_or(1);
            if pieces == 0 {
                self.done[i] = Some(Arc::from([]));
                // A stage that reads this one may be ready now.
                return self.begin();
            }
            self.begun[i] = Some(self.app.core.clock.now());
            let work = self.work(i, pieces);
            let (app, expires) = (self.app.clone(), Ms(work.expires_ms));
            let service = stage.service.clone();
            self.working.push(Box::pin(async move {
                (i, submit(&app, &service, work, expires).await)
            }));
        }
    }

    fn work(&self, i: usize, pieces: u32) -> StageWork {
        let stage = &self.call.route.stages[i];
        let now = self.app.core.clock.now();
        let due = self.call.arrived + self.call.route.aim - self.after[i];
        // The stages after it need at least their bare time.
        let expires = self.call.deadline - self.after[i].scale(1, 2);
        let inputs = stage.after.iter().filter_map(|a| self.done[*a].as_ref());
        StageWork {
            service: stage.service.as_str().to_owned(),
            request: self.call.ask.id.to_string(),
            stage: i as u32,
            pieces,
            key: self.call.ask.piece_key.as_deref().unwrap_or_default().to_owned(),
            inputs: inputs.flat_map(|h| h.iter().cloned()).collect(),
            due_ms: (due - now).0,
            expires_ms: (expires - now).0,
            rank: u32::from(self.call.rank()),
            bytes: stage.bytes,
            passed_on: false,
        }
    }

    fn ended(&mut self, i: usize, output: StageOutput) {
        let now = self.app.core.clock.now();
        let service = &self.call.route.stages[i].service;
        if let Some(begun) = self.begun[i] {
            self.app.core.estimate().record(service, now - begun);
            self.app.core.metrics.stage(service.as_str(), now - begun);
        }
        self.done[i] = Some(output.results.iter().map(|r| r.handle.clone()).collect());
        self.held[i] = Some(output);
        // Stages that no one reads any more are given up at once.
        for before in self.call.route.stages[i].after.clone() {
            if self.readers_done(before) {
                self.give_up(before);
            }
        }
    }

    fn readers_done(&self, stage: usize) -> bool {
        let mut stages = self.call.route.stages.iter().zip(&self.done);
        stages.all(|(s, done)| done.is_some() || !s.after.contains(&stage))
    }

    fn give_up(&mut self, stage: usize) {
        if let Some(output) = self.held[stage].take() {
            free(self.app, output);
        }
    }

    /// What this stage read is gone: it and what it reads are done again.
    fn redo(&mut self, i: usize) {
        self.redone += 1;
        note!(logs::Event::StageRedone, request = %self.call.ask.id, stage = i);
        self.begun[i] = None;
        for before in self.call.route.stages[i].after.clone() {
            self.give_up(before);
            self.done[before] = None;
            self.begun[before] = None;
        }
    }
}

fn batch<'a>(call: &'a Call, service: &PoolId) -> Option<&'a Batch> {
    call.catalog.service(service)?.batch.as_ref()
}

/// Hands a stage to whoever composes its service's calls.
async fn submit(
    app: &Arc<App>,
    service: &PoolId,
    work: StageWork,
    within: Ms,
) -> Result<StageOutput, StageFault> {
    let core = &app.core;
    let settings = core.settings().clone();
    let owner = core.members.owner(&settings, service, settings.region()).unwrap_or(Owner::Me);
    if let Owner::Peer { host, addr } = &owner {
        match remote(app, *addr, &work, within).await {
            Ok(results) => return output(service, owner, results),
            Err(err) => {
                note!(
                    logs::Event::PeerFailed,
                    request = %work.request,
                    host = %host,
                    call = "submit",
                    why = %err
                );
                core.members.suspect(host);
            }
        }
    }
    // Alone: calls are less full, and nothing is lost.
    let results = app.composer.submit(work).await;
    output(service, Owner::Me, results)
}

/// Waits for another host's results, as long as it shows that it lives.
async fn remote(
    app: &Arc<App>,
    addr: SocketAddr,
    work: &StageWork,
    within: Ms,
) -> Result<StageResults, PeerError> {
    let peers = app.core.members.peers();
    let submit = peers.submit(addr, work.clone(), within);
    tokio::select! {
        results = submit => results,
        () = app.core.pulses.lost(&app.core, addr) => Err(PeerError::Silent),
    }
}

fn output(
    service: &PoolId,
    owner: Owner,
    results: StageResults,
) -> Result<StageOutput, StageFault> {
    let results = results.results;
    let fault = |f: PieceFault| results.iter().any(|r| r.fault() == f);
    let failed = match () {
        () if results.is_empty() => Some(StageFault::Failed),
        () if fault(PieceFault::Gone) => Some(StageFault::Gone),
        () if fault(PieceFault::Late) => Some(StageFault::Late),
        () if fault(PieceFault::Room) || fault(PieceFault::Failed) => Some(StageFault::Failed),
        () => None,
    };
    match failed {
        None => Ok(StageOutput { service: service.clone(), owner, results }),
        Some(fault) => Err(fault),
    }
}
