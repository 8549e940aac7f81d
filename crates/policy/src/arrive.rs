//! A request arrives, is judged, and has its key recorded.

use base::{Attempt, Ms};
use std::sync::Arc;

use crate::admit::{Judged, PROBE, StageWait, judge};
use crate::fair::Ask;
use crate::learn::Times;
use crate::life::{self, Phase, Step};
use crate::open::{Open, Rules, work};
use crate::route;
use crate::state::State;
use crate::view::{View, line};
use crate::wait_queue::{Capacity, measure};
use crate::{Arrival, Code, Decision, Effect, Grant, Ledger, Refusal, Verdict};

/// Where all workspaces' work is counted when they aren't told apart.
const ONE_FLOW: u32 = 0;
/// How many times as long as all that waits now, less urgent work may wait for what overtakes it.
const OVERTAKEN: f64 = 2.0;
/// How soon to come back when nothing is known of when it will be better.
pub(crate) const SOON: Ms = Ms(1_000);

/// Why a request is turned away, and when coming back makes sense.
#[derive(Clone, Copy, Debug)]
pub(crate) struct No {
    pub(crate) code: Code,
    pub(crate) after: Option<Ms>,
}

impl State {
    pub(crate) fn arrive(&mut self, now: Ms, arrival: Arrival, out: &mut Vec<Effect>) {
        let mut open = match self.let_in(now, arrival) {
            Ok(open) => open,
            Err((arrival, no)) => return turn_away(&arrival, no, out),
        };
        let request = open.arrival.request;
        // A key that was sent before may have its answer already: the journal is asked first.
        if !open.arrival.resent
            && let Err(no) = self.judge(now, &mut open)
        {
            return turn_away(&open.arrival, no, out);
        }
        for (stage, &cost) in open.costs.iter().enumerate() {
            let at = line(open.stages()[stage].kind, open.rules.placement);
            self.lines[at as usize].fair.promise(
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
        if !open.is(Phase::Registering {}) {
            self.open.insert(request, open);
            return;
        }
        open.ledger.registered(grant, open.arrival.resent);
        open.registered = grant == Grant::Granted;
        let no = match grant {
            Grant::Granted if open.gone => Some(No { code: Code::CallerGone, after: None }),
            Grant::Granted if open.arrival.resent => self.judge(now, &mut open).err(),
            Grant::Granted => None,
            Grant::Answered => {
                self.open.insert(request, open);
                return self.end(now, request, Verdict::Replayed, out);
            }
            Grant::Running => Some(No { code: Code::Running, after: Some(SOON) }),
            Grant::Unknown => Some(No { code: Code::OutcomeUnknown, after: None }),
            Grant::Unavailable => Some(No { code: Code::JournalUnavailable, after: Some(SOON) }),
            Grant::Expired => Some(No { code: Code::KeyExpired, after: None }),
        };
        self.open.insert(request, open);
        match no {
            Some(no) => self.give_up(now, request, no, out),
            None => self.enqueue(now, request, out),
        }
    }

    /// Makes the record of a request, unless it is refused whatever the load.
    fn let_in(&mut self, now: Ms, arrival: Arrival) -> Result<Open, (Arrival, No)> {
        let found = self.view.clone().and_then(|view| {
            let pipeline = view.plan.pipeline(arrival.pipeline.as_str())?;
            let space = view.plan.workspace(arrival.workspace.as_str())?;
            Some((view, pipeline, space))
        });
        let banned = self.poison.until(now, arrival.fingerprint);
        let no = |code, after| No { code, after };
        let (view, pipeline, space) = match found {
            _ if self.draining => return Err((arrival, no(Code::Draining, Some(SOON)))),
            None => return Err((arrival, no(Code::NoTarget, Some(SOON)))),
            Some(_) if now >= arrival.deadline => {
                return Err((arrival, no(Code::Hopeless, None)));
            }
            Some(found) => found,
        };
        if let Some(until) = banned.filter(|_| !self.without.has(Decision::Poison)) {
            return Err((arrival, no(Code::Poison, Some(until - now))));
        }
        let mut rules = self.rules(now, &view, space, pipeline);
        rules.priority = arrival.priority.unwrap_or(rules.priority);
        let flow = match self.without.has(Decision::Fair) {
            true => ONE_FLOW,
            false => view.spaces[space],
        };
        let stages = view.stages[pipeline].iter();
        let costs = stages.map(|s| self.times(&arrival, s).mean.ceil() as u64).collect();
        Ok(Open {
            view,
            pipeline,
            flow,
            rules,
            life: life::life(),
            ledger: Ledger::default(),
            registered: false,
            exposed: false,
            spent: false,
            gone: false,
            stage: 0,
            attempt: Attempt(0),
            tries: 0,
            offset: 0,
            runs: Vec::new(),
            place: None,
            avoid: None,
            costs,
            released: 0,
            arrived: now,
            hedge: None,
            forced: false,
            hard: Ms::MAX,
            due: Ms::MAX,
            arrival,
        })
    }

    fn rules(&mut self, now: Ms, view: &Arc<View>, space: usize, pipeline: usize) -> Rules {
        let key = (space, pipeline);
        if let Some(rules) = self.rules.get(&key).filter(|r| now < r.until) {
            return *rules;
        }
        let holds = view.plan.effective(space, pipeline, now);
        let ends = view.plan.fleet.exceptions.iter().filter_map(|e| e.until_ms);
        let rules = Rules {
            priority: holds.priority.0,
            placement: holds.placement.0,
            weight: match self.without.has(Decision::Fair) {
                true => 1.0,
                false => holds.weight.0 / view.weight,
            },
            until: ends.filter(|&end| end > now).min().unwrap_or(Ms::MAX),
        };
        self.rules.insert(key, rules);
        rules
    }

    /// What a stage is predicted to take.
    pub(crate) fn times(&self, arrival: &Arrival, stage: &crate::view::Stage) -> Times {
        let learned = &self.learned[stage.kind as usize];
        learned.times(work(arrival, stage), stage.typical, stage.least)
    }

    /// Judges whether a request's stages fit into the time that it has.
    fn judge(&mut self, now: Ms, open: &mut Open) -> Result<(), No> {
        if self.without.has(Decision::Admit) {
            return Ok(());
        }
        let left = open.arrival.deadline - now;
        let slack = left.0 as f64 - open.costs.iter().sum::<u64>() as f64;
        let mut ahead = Vec::with_capacity(open.costs.len());
        for at in 0..open.costs.len() {
            let stage = &open.view.stages[open.pipeline][at];
            let number = line(stage.kind, open.rules.placement);
            let capacity = self.capacity(now, number);
            if !capacity.possible {
                return Err(No { code: Code::NoTarget, after: Some(SOON) });
            }
            let time = self.times(&open.arrival, stage).mean;
            let lane = open.lane(at);
            let fair = &self.lines[number as usize].fair;
            let (age, queued) = (fair.age(now, open.flow, lane), fair.queued());
            let crossing = route::asked(&open.view.crossing, stage.engine, slack);
            let ask = Ask { space: open.flow, weight: open.rules.weight, lane, later: at > 0 };
            let wait = self.wait(number, capacity, &ask, crossing);
            let all = queued as f64 / (capacity.near + capacity.far).max(1.0);
            // Less urgent work is overtaken by what comes later. How old the front is shows by
            // how much; but it is old at the end of a burst too, when little is left.
            let wait = wait.max(age.min(all * OVERTAKEN));
            ahead.push(StageWait { time, wait });
        }
        match judge(left, ahead.iter().copied()) {
            Judged::Fits => Ok(()),
            Judged::Late(by) => {
                let over = open.costs.iter().enumerate().any(|(at, _)| {
                    let kind = open.view.stages[open.pipeline][at].kind;
                    let number = line(kind, open.rules.placement) as usize;
                    self.lines[number].fair.over_share(open.flow)
                });
                let code = if over { Code::OverShare } else { Code::Overloaded };
                Err(No { code, after: Some(by) })
            }
            Judged::Hopeless => self.probe(now, open),
        }
    }

    /// Lets one in against the prediction now and then, so that a wrong one is found out.
    fn probe(&mut self, now: Ms, open: &mut Open) -> Result<(), No> {
        let first = line(open.stage().kind, open.rules.placement);
        let line = &mut self.lines[first as usize];
        if now < line.probe {
            return Err(No { code: Code::Hopeless, after: None });
        }
        line.probe = now + PROBE;
        open.forced = true;
        Ok(())
    }

    /// How long work waits in a line, ms, when a crossing must gain `crossing`, ms.
    fn wait(&self, number: u32, capacity: Capacity, ask: &Ask, crossing: f64) -> f64 {
        let fair = &self.lines[number as usize].fair;
        let wait = |calls| fair.wait(ask, calls);
        match capacity {
            Capacity { near, far, .. } if near + far <= 0.0 => SOON.0 as f64,
            Capacity { near, far, .. } if near <= 0.0 => wait(far),
            Capacity { near, far, .. } if far > 0.0 && wait(near) > crossing => {
                wait(near + far).max(crossing)
            }
            Capacity { near, .. } => wait(near),
        }
    }

    /// Capacity of a queue's targets, taken again when it is too old.
    pub(crate) fn capacity(&mut self, now: Ms, number: u32) -> Capacity {
        if let Some(capacity) = self.lines[number as usize].capacity(now) {
            return capacity;
        }
        let capacity = measure(&self.lines, &self.targets, &self.context(now), number);
        self.lines[number as usize].record(now, capacity);
        capacity
    }
}

/// Refuses a request of which nothing was asked yet.
fn turn_away(arrival: &Arrival, no: No, out: &mut Vec<Effect>) {
    let mut ledger = Ledger::default();
    ledger.refused_unregistered(arrival.resent);
    let refusal = Refusal { code: no.code, ran: ledger.verdict(), retry_after: no.after };
    out.push(Effect::Answer { request: arrival.request, verdict: Verdict::Refused(refusal) });
}
