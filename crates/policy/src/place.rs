//! A stage waits for a target and is sent.

use base::{Ms, RequestId};

use crate::arrive::{No, SOON};
use crate::hedge::{AGAIN, after};
use crate::life::{Phase, Step};
use crate::open::{Open, Run};
use crate::queue::{Item, Place};
use crate::route::{self, Want};
use crate::state::State;
use crate::view::Stage;
use crate::{Code, Decision, Effect, budget};

impl State {
    /// Lets the present stage of a request wait, and sends whoever can be sent.
    pub(crate) fn enqueue(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        self.release(request);
        let Some(open) = self.open.get(&request) else { return };
        let number = open.line();
        let places = open.view.plan.fleet.defaults.queue_len;
        let (flow, weight, cost) = (open.flow, open.rules.weight, open.costs[open.stage]);
        let begun = open.stage > 0 || open.tries > 0;
        let (doom, deadline) = (self.doom(open), open.arrival.deadline);
        let (arrived, lane) = (open.arrived, open.lane(open.stage));
        let possible = self.capacity(now, number).possible;
        let plain = self.without.has(Decision::Queue);
        let fair = &mut self.lines[number as usize].fair;
        let no = match () {
            () if now >= deadline => No { code: Code::DeadlinePassed, after: Some(SOON) },
            () if now >= doom => No { code: Code::Hopeless, after: Some(SOON) },
            () if !possible => No { code: Code::NoTarget, after: Some(SOON) },
            () if plain || begun || fair.has_place(flow, weight, places) => {
                self.seq += 1;
                let came = if plain { now } else { arrived };
                let lane = if plain { 0 } else { lane };
                let place = Place { lane, came, seq: self.seq };
                fair.push(flow, weight, place, Item { request, cost, since: now, doom });
                self.busy.insert(number);
                if let Some(open) = self.open.get_mut(&request) {
                    open.place = Some(place);
                    open.step(Step::Wait);
                }
                self.set_due(request, doom);
                return self.pump(now, number, out);
            }
            () => {
                let code = if fair.over_share(flow) { Code::OverShare } else { Code::Overloaded };
                No { code, after: Some(self.drain(now, number)) }
            }
        };
        self.give_up(now, request, no, out);
    }

    /// Sends what waits in a line while there is room.
    pub(crate) fn pump(&mut self, now: Ms, number: u32, out: &mut Vec<Effect>) {
        loop {
            let Some((_, _, item)) = self.lines[number as usize].fair.next(now) else {
                self.busy.remove(&number);
                return;
            };
            let request = item.request;
            if now >= item.doom {
                self.too_late(now, request, out);
            } else if let Some(target) = self.route(now, request) {
                self.leave_line(request, true);
                self.send(now, request, target, out);
            } else if self.capacity(now, number).possible {
                return;
            } else {
                let no = No { code: Code::NoTarget, after: Some(SOON) };
                self.give_up(now, request, no, out);
            }
        }
    }

    /// Sends what waits for a target that has room again. Of its lines the one goes first whose
    /// next is the most urgent, or chapters for one model would hold up notes for another.
    pub(crate) fn pump_target(&mut self, now: Ms, target: u32, out: &mut Vec<Effect>) {
        let lines = self.targets[target as usize].lines.iter().copied();
        let next = lines.filter_map(|number| {
            let (_, place, _) = self.lines[number as usize].fair.next(now)?;
            Some((place.rank(), number))
        });
        let mut next: Vec<_> = next.collect();
        next.sort_unstable();
        for (_, number) in next {
            self.pump(now, number, out);
        }
    }

    /// When a waiting request can no longer be answered in time, as its stages are predicted.
    fn doom(&self, open: &Open) -> Ms {
        let deadline = open.arrival.deadline;
        if open.forced || self.without.has(Decision::Queue) {
            return deadline;
        }
        let rest = open.stages()[open.stage..].iter();
        let need: f64 = rest.map(|s| self.times(&open.arrival, s)).map(|t| t.mean).sum();
        deadline - Ms(need as u64)
    }

    /// How long the work in a line takes to be done.
    pub(crate) fn drain(&mut self, now: Ms, number: u32) -> Ms {
        let room = self.capacity(now, number);
        let calls = (room.near + room.far).max(1.0);
        Ms((self.lines[number as usize].fair.queued() as f64 / calls) as u64).max(Ms(100))
    }

    fn route(&mut self, now: Ms, request: RequestId) -> Option<u32> {
        let open = self.open.get(&request)?;
        let avoid = open.avoid;
        self.choose(now, request, avoid)
    }

    /// Chooses a target for the present stage of a request.
    fn choose(&mut self, now: Ms, request: RequestId, avoid: Option<u32>) -> Option<u32> {
        let number = self.open.get(&request)?.line();
        let room = self.capacity(now, number);
        let context = self.context(now);
        let open = self.open.get(&request)?;
        let stage = open.stage();
        let time = self.times(&open.arrival, stage).mean;
        let queued = self.lines[number as usize].fair.queued() as f64;
        let first = open.tries == 0 && open.repeatable();
        let want = Want {
            tiers: &stage.tiers,
            placement: open.rules.placement,
            prefix: if stage.engine { open.arrival.prefix } else { 0 },
            avoid,
            marked: self.poison.marked(now, open.arrival.fingerprint),
            probe: first || route::all_slow(&self.targets, &context, &stage.tiers),
            alone: !first && route::all_slow(&self.targets, &context, &stage.tiers),
            wait: (queued + time / 2.0) / room.near.max(0.1),
            time,
            crossing: self.crossing(open, stage, now),
        };
        match self.without.has(Decision::Route) {
            true => route::in_turn(&self.targets, &context, &mut self.turn, &want),
            false => route::choose(&self.targets, &context, &self.cache, &mut self.rng, &want),
        }
    }

    /// Time that a crossing between regions must gain for the present stage, ms.
    fn crossing(&self, open: &Open, stage: &Stage, now: Ms) -> f64 {
        let rest = open.stages()[open.stage..].iter();
        let need: f64 = rest.map(|s| self.times(&open.arrival, s).mean).sum();
        let slack = (open.arrival.deadline - now).0 as f64 - need;
        route::asked(&open.view.crossing, stage.engine, slack)
    }

    fn send(&mut self, now: Ms, request: RequestId, target: u32, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&request) else { return };
        let number = open.line();
        let marked = self.poison.marked(now, open.arrival.fingerprint);
        let left = open.arrival.deadline - now;
        let rest = || open.stages()[open.stage + 1..].iter().map(|s| self.times(&open.arrival, s));
        let own = self.times(&open.arrival, open.stage());
        let split = budget::split(
            left,
            own.mean,
            rest().map(|t| t.mean).sum(),
            rest().map(|t| t.low).sum(),
        );
        let split = Some(split).filter(|_| !self.without.has(Decision::Budget));
        let hedged = open.repeatable() && open.runs.is_empty();
        let hedge = Some(())
            .filter(|()| hedged && !self.without.has(Decision::Hedge))
            .and_then(|()| after(own.high, split.map(|s| s.soft)));
        let share = open.view.plan.fleet.defaults.hedge_share;

        let known = &mut self.targets[target as usize];
        known.begin(marked);
        route::placed(known, now);
        let name = known.name.clone();
        self.lines[number as usize].running += 1;
        if hedged {
            self.hedges.earn(share);
        }
        let Some(open) = self.open.get_mut(&request) else { return };
        open.attempt = open.attempt.next();
        open.tries += 1;
        open.hedge = hedge.map(|after| now + after);
        // Work that may not be repeated is never cut off early: its outcome would be lost.
        open.hard = match split {
            Some(split) if !open.forced && open.stage().repeatable => now + split.hard,
            _ => open.arrival.deadline,
        };
        open.step(Step::Send);
        let attempt = open.attempt;
        open.runs.push(Run {
            attempt,
            target,
            at: now,
            sent: false,
            piece: false,
            whole: open.offset == 0,
            marked,
        });
        out.push(Effect::Send {
            request,
            stage: open.stage,
            attempt,
            target: name,
            offset: open.offset,
            budget: split.map_or(left, |s| s.hard.max(Ms(1))),
        });
        let due = open.hedge.unwrap_or(Ms::MAX).min(open.hard).min(open.arrival.deadline);
        self.set_due(request, due);
    }

    /// Starts a straggler a second time, if that may and can be done.
    pub(crate) fn hedge(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.hedge = None;
        let [run] = open.runs[..] else { return };
        if run.piece || !open.repeatable() {
            return;
        }
        let (number, stage) = (open.line(), open.stage);
        let left = (open.arrival.deadline - now).0 as f64;
        let Some(open) = self.open.get(&request) else { return };
        let usual = self.times(&open.arrival, &open.stages()[stage]).mean;
        // What it has taken so far already speaks of the target.
        self.targets[run.target as usize].limit.slower((now - run.at).0 as f64, usual);
        let waits = self.lines[number as usize].fair.len() > 0;
        let marked = self.poison.marked(now, open.arrival.fingerprint);
        let target = match () {
            () if waits || marked || usual > left || !self.hedges.any() => None,
            () => self.choose(now, request, Some(run.target)).filter(|&t| t != run.target),
        };
        match target {
            Some(target) if self.hedges.spend() => self.send(now, request, target, out),
            _ => {
                if let Some(open) = self.open.get_mut(&request) {
                    open.hedge = Some(now + AGAIN);
                }
            }
        }
    }

    /// The present stage's work has come to its line, and is no longer on its way there.
    fn release(&mut self, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.released <= open.stage {
            let (number, flow, cost) = (open.line(), open.flow, open.costs[open.stage]);
            let lane = open.lane(open.stage);
            open.released = open.stage + 1;
            self.lines[number as usize].fair.release(flow, lane, cost);
        }
    }

    /// Takes a request out of its line.
    pub(crate) fn leave_line(&mut self, request: RequestId, served: bool) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(place) = open.place.take() else { return };
        let (number, flow) = (open.line(), open.flow);
        self.lines[number as usize].fair.remove(flow, place, served);
    }

    pub(crate) fn step(&mut self, request: RequestId, step: Step) {
        if let Some(open) = self.open.get_mut(&request) {
            open.step(step);
        }
    }

    /// Sets when a request is to be looked at.
    pub(crate) fn set_due(&mut self, request: RequestId, due: Ms) {
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.due != due {
            self.timers.remove(&(open.due, request));
            open.due = due;
            self.timers.insert((due, request));
        }
    }

    /// Looks at a request whose time has come.
    pub(crate) fn timer(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.due = Ms::MAX;
        let running = open.is(Phase::Running {});
        let hedge = open.hedge.is_some_and(|at| at <= now);
        match () {
            () if now >= open.arrival.deadline => self.too_late(now, request, out),
            () if running && now >= open.hard => self.too_late(now, request, out),
            () if !running => self.too_late(now, request, out),
            () if hedge => self.hedge(now, request, out),
            () => {}
        }
        let Some(open) = self.open.get(&request) else { return };
        let due = open.hedge.unwrap_or(Ms::MAX).min(open.hard).min(open.arrival.deadline);
        self.set_due(request, due);
    }
}
