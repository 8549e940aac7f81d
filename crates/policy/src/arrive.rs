//! Handles arriving requests: the admission check and the registration of idempotency keys.

use base::{Attempt, Ms};
use std::sync::Arc;

use crate::admit::{Assessment, PROBE_INTERVAL, StageWait, assess};
use crate::fair::WaitQuery;
use crate::learn::TimeEstimate;
use crate::lifecycle::{self, Phase, Step};
use crate::request::{OpenRequest, Rules, work};
use crate::route;
use crate::state::State;
use crate::view::{View, queue_id};
use crate::wait_queue::{Capacity, measure};
use crate::{Arrival, Code, Decision, Effect, Grant, Ledger, Refusal, Verdict};

/// The flow of all workspaces when fair queueing is disabled.
const SHARED_FLOW: u32 = 0;
/// Upper bound for the wait of less urgent work, relative to the time that all queued work takes.
/// Such work also waits for later arrivals that overtake it.
const OVERTAKE_FACTOR: f64 = 2.0;
/// Suggested retry delay when nothing is known about when capacity will be available.
pub(crate) const DEFAULT_RETRY_AFTER: Ms = Ms(1_000);

/// Why a request is refused, and when a retry makes sense.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rejection {
    pub(crate) code: Code,
    pub(crate) retry_after: Option<Ms>,
}

impl State {
    pub(crate) fn arrive(&mut self, now: Ms, arrival: Arrival, out: &mut Vec<Effect>) {
        let mut open = match self.open_request(now, arrival) {
            Ok(open) => open,
            Err((arrival, rejection)) => return refuse(&arrival, rejection, out),
        };
        let request = open.arrival.request;
        // A key that was sent before may already have an answer, so the journal is asked first.
        if !open.arrival.resent
            && let Err(rejection) = self.assess(now, &mut open)
        {
            return refuse(&open.arrival, rejection, out);
        }
        for (stage, &cost) in open.costs.iter().enumerate() {
            let at = queue_id(open.stages()[stage].kind, open.rules.placement);
            self.queues[at as usize].fair.reserve(
                open.flow,
                open.rules.weight,
                open.lane(stage),
                cost,
            );
        }
        let keyed = open.arrival.keyed;
        let deadline = open.arrival.deadline;
        self.open.insert(request, open);
        self.set_due(request, deadline);
        match keyed {
            true => {
                self.step(request, Step::Register);
                out.push(Effect::Register { request });
            }
            false => self.enqueue(now, request, out),
        }
    }

    pub(crate) fn registered(
        &mut self,
        now: Ms,
        request: base::RequestId,
        grant: Grant,
        out: &mut Vec<Effect>,
    ) {
        let Some(mut open) = self.open.remove(&request) else { return };
        if !open.in_phase(Phase::Registering {}) {
            self.open.insert(request, open);
            return;
        }
        open.ledger.registered(grant, open.arrival.resent);
        open.registered = grant == Grant::Granted;
        let rejection = match grant {
            Grant::Granted if open.caller_gone => {
                Some(Rejection { code: Code::CallerGone, retry_after: None })
            }
            Grant::Granted if open.arrival.resent => self.assess(now, &mut open).err(),
            Grant::Granted => None,
            Grant::Answered => {
                self.open.insert(request, open);
                return self.end(now, request, Verdict::Replayed, out);
            }
            Grant::Running => {
                Some(Rejection { code: Code::Running, retry_after: Some(DEFAULT_RETRY_AFTER) })
            }
            Grant::Unknown => Some(Rejection { code: Code::OutcomeUnknown, retry_after: None }),
            Grant::Unavailable => Some(Rejection {
                code: Code::JournalUnavailable,
                retry_after: Some(DEFAULT_RETRY_AFTER),
            }),
            Grant::Expired => Some(Rejection { code: Code::KeyExpired, retry_after: None }),
        };
        self.open.insert(request, open);
        match rejection {
            Some(rejection) => self.give_up(now, request, rejection, out),
            None => self.enqueue(now, request, out),
        }
    }

    /// Creates the record of a request, unless it has to be refused regardless of the load.
    fn open_request(
        &mut self,
        now: Ms,
        arrival: Arrival,
    ) -> Result<OpenRequest, (Arrival, Rejection)> {
        let found = self.view.clone().and_then(|view| {
            let pipeline = view.plan.pipeline(arrival.pipeline.as_str())?;
            let workspace = view.plan.workspace(arrival.workspace.as_str())?;
            Some((view, pipeline, workspace))
        });
        let blocked = self.poison.blocked_until(now, arrival.fingerprint);
        let rejection = |code, retry_after| Rejection { code, retry_after };
        let (view, pipeline, workspace) = match found {
            _ if self.draining => {
                return Err((arrival, rejection(Code::Draining, Some(DEFAULT_RETRY_AFTER))));
            }
            None => return Err((arrival, rejection(Code::NoTarget, Some(DEFAULT_RETRY_AFTER)))),
            Some(_) if now >= arrival.deadline => {
                return Err((arrival, rejection(Code::Hopeless, None)));
            }
            Some(found) => found,
        };
        if let Some(until) = blocked.filter(|_| !self.disabled.contains(Decision::Poison)) {
            return Err((arrival, rejection(Code::Poison, Some(until - now))));
        }
        let mut rules = self.rules(now, &view, workspace, pipeline);
        rules.priority = arrival.priority.unwrap_or(rules.priority);
        let flow = match self.disabled.contains(Decision::Fair) {
            true => SHARED_FLOW,
            false => view.workspaces[workspace],
        };
        let stages = view.stages[pipeline].iter();
        let costs = stages.map(|s| self.estimate(&arrival, s).mean.ceil() as u64).collect();
        Ok(OpenRequest {
            view,
            pipeline,
            flow,
            rules,
            lifecycle: lifecycle::start(),
            ledger: Ledger::default(),
            registered: false,
            unresolved: false,
            committed: false,
            caller_gone: false,
            stage: 0,
            attempt: Attempt(0),
            tries: 0,
            offset: 0,
            runs: Vec::new(),
            position: None,
            avoid: None,
            costs,
            released: 0,
            arrived: now,
            hedge_at: None,
            probe: false,
            cutoff: Ms::MAX,
            due: Ms::MAX,
            arrival,
        })
    }

    fn rules(&mut self, now: Ms, view: &Arc<View>, workspace: usize, pipeline: usize) -> Rules {
        let key = (workspace, pipeline);
        if let Some(rules) = self.rules.get(&key).filter(|r| now < r.until) {
            return *rules;
        }
        let effective = view.plan.effective(workspace, pipeline, now);
        let expiries = view.plan.fleet.exceptions.iter().filter_map(|e| e.until_ms);
        let rules = Rules {
            priority: effective.priority.0,
            placement: effective.placement.0,
            weight: match self.disabled.contains(Decision::Fair) {
                true => 1.0,
                false => effective.weight.0 / view.weight,
            },
            until: expiries.filter(|&end| end > now).min().unwrap_or(Ms::MAX),
        };
        self.rules.insert(key, rules);
        rules
    }

    /// Predicts the duration of a stage.
    pub(crate) fn estimate(&self, arrival: &Arrival, stage: &crate::view::Stage) -> TimeEstimate {
        let learned = &self.learned[stage.kind as usize];
        learned.estimate(work(arrival, stage), stage.typical, stage.least)
    }

    /// Checks whether a request's stages are expected to finish in the time that it has.
    fn assess(&mut self, now: Ms, open: &mut OpenRequest) -> Result<(), Rejection> {
        if self.disabled.contains(Decision::Admit) {
            return Ok(());
        }
        let left = open.arrival.deadline - now;
        let slack = left.0 as f64 - open.costs.iter().sum::<u64>() as f64;
        let mut ahead = Vec::with_capacity(open.costs.len());
        for at in 0..open.costs.len() {
            let stage = &open.view.stages[open.pipeline][at];
            let queue = queue_id(stage.kind, open.rules.placement);
            let capacity = self.capacity(now, queue);
            if !capacity.possible {
                return Err(Rejection {
                    code: Code::NoTarget,
                    retry_after: Some(DEFAULT_RETRY_AFTER),
                });
            }
            let time = self.estimate(&open.arrival, stage).mean;
            let lane = open.lane(at);
            let fair = &self.queues[queue as usize].fair;
            let (age, queued) = (fair.wait_by_age(now, open.flow, lane), fair.queued());
            let crossing = route::min_gain(&open.view.crossing, stage.engine, slack);
            let query = WaitQuery {
                workspace: open.flow,
                weight: open.rules.weight,
                lane,
                later_stage: at > 0,
            };
            let wait = self.wait(queue, capacity, &query, crossing);
            let all = queued as f64 / (capacity.near + capacity.far).max(1.0);
            // Less urgent work is overtaken by later arrivals. The age of the front shows by how
            // much. But the front is old at the end of a burst too, when little work is left, so
            // the wait is bounded.
            let wait = wait.max(age.min(all * OVERTAKE_FACTOR));
            ahead.push(StageWait { time, wait });
        }
        match assess(left, ahead.iter().copied()) {
            Assessment::Fits => Ok(()),
            Assessment::FitsLater(by) => {
                let over = open.costs.iter().enumerate().any(|(at, _)| {
                    let kind = open.view.stages[open.pipeline][at].kind;
                    let queue = queue_id(kind, open.rules.placement) as usize;
                    self.queues[queue].fair.over_share(open.flow)
                });
                let code = if over { Code::OverShare } else { Code::Overloaded };
                Err(Rejection { code, retry_after: Some(by) })
            }
            Assessment::Hopeless => self.probe(now, open),
        }
    }

    /// Occasionally admits a request against the prediction, so that a wrong prediction is
    /// detected.
    fn probe(&mut self, now: Ms, open: &mut OpenRequest) -> Result<(), Rejection> {
        let first = queue_id(open.stage().kind, open.rules.placement);
        let queue = &mut self.queues[first as usize];
        if now < queue.next_probe {
            return Err(Rejection { code: Code::Hopeless, retry_after: None });
        }
        queue.next_probe = now + PROBE_INTERVAL;
        open.probe = true;
        Ok(())
    }

    /// Predicted wait of work in a queue, ms, if a call to another region must gain at least
    /// `crossing` ms.
    fn wait(&self, queue: u32, capacity: Capacity, query: &WaitQuery, crossing: f64) -> f64 {
        let fair = &self.queues[queue as usize].fair;
        let wait = |calls| fair.wait(query, calls);
        match capacity {
            Capacity { near, far, .. } if near + far <= 0.0 => DEFAULT_RETRY_AFTER.0 as f64,
            Capacity { near, far, .. } if near <= 0.0 => wait(far),
            Capacity { near, far, .. } if far > 0.0 && wait(near) > crossing => {
                wait(near + far).max(crossing)
            }
            Capacity { near, .. } => wait(near),
        }
    }

    /// Capacity of a queue's targets, measured again if the cached value is too old.
    pub(crate) fn capacity(&mut self, now: Ms, queue: u32) -> Capacity {
        if let Some(capacity) = self.queues[queue as usize].capacity(now) {
            return capacity;
        }
        let capacity = measure(&self.queues, &self.targets, &self.context(now), queue);
        self.queues[queue as usize].record(now, capacity);
        capacity
    }
}

/// Refuses a request for which nothing was sent or registered yet.
fn refuse(arrival: &Arrival, rejection: Rejection, out: &mut Vec<Effect>) {
    let mut ledger = Ledger::default();
    ledger.refused_unregistered(arrival.resent);
    let refusal =
        Refusal { code: rejection.code, ran: ledger.verdict(), retry_after: rejection.retry_after };
    out.push(Effect::Answer { request: arrival.request, verdict: Verdict::Refused(refusal) });
}
