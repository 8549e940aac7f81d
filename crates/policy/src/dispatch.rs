//! Queues stages, sends them to targets, and starts hedges.

use base::{Ms, RequestId};

use crate::arrive::{DEFAULT_RETRY_AFTER, Rejection};
use crate::hedge::{RECHECK_INTERVAL, delay};
use crate::lifecycle::{Phase, Step};
use crate::queue::{Item, Position};
use crate::request::{OpenRequest, Run};
use crate::route::{self, RouteQuery};
use crate::state::State;
use crate::view::Stage;
use crate::{Code, Decision, Effect, budget};

impl State {
    /// Adds the current stage of a request to its queue, and sends whatever can be sent.
    pub(crate) fn enqueue(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        self.release_reservation(request);
        let Some(open) = self.open.get(&request) else { return };
        let queue = open.queue_id();
        let places = open.view.plan.fleet.defaults.queue_len;
        let (flow, weight, cost) = (open.flow, open.rules.weight, open.costs[open.stage]);
        let begun = open.stage > 0 || open.tries > 0;
        let (latest_start, deadline) = (self.latest_start(open), open.arrival.deadline);
        let (arrived, lane) = (open.arrived, open.lane(open.stage));
        let possible = self.capacity(now, queue).possible;
        let fifo = self.disabled.contains(Decision::Queue);
        let fair = &mut self.queues[queue as usize].fair;
        let rejection = match () {
            () if now >= deadline => {
                Rejection { code: Code::DeadlinePassed, retry_after: Some(DEFAULT_RETRY_AFTER) }
            }
            () if now >= latest_start => {
                Rejection { code: Code::Hopeless, retry_after: Some(DEFAULT_RETRY_AFTER) }
            }
            () if !possible => {
                Rejection { code: Code::NoTarget, retry_after: Some(DEFAULT_RETRY_AFTER) }
            }
            () if fifo || begun || fair.has_place(flow, weight, places) => {
                self.seq += 1;
                let arrived = if fifo { now } else { arrived };
                let lane = if fifo { 0 } else { lane };
                let position = Position { lane, arrived, seq: self.seq };
                fair.push(flow, weight, position, Item { request, cost, since: now, latest_start });
                self.busy.insert(queue);
                if let Some(open) = self.open.get_mut(&request) {
                    open.position = Some(position);
                    open.step(Step::Wait);
                }
                self.set_due(request, latest_start);
                return self.dispatch(now, queue, out);
            }
            () => {
                let code = if fair.over_share(flow) { Code::OverShare } else { Code::Overloaded };
                Rejection { code, retry_after: Some(self.drain_time(now, queue)) }
            }
        };
        self.give_up(now, request, rejection, out);
    }

    /// Sends requests from a queue while targets have capacity.
    pub(crate) fn dispatch(&mut self, now: Ms, queue: u32, out: &mut Vec<Effect>) {
        loop {
            let Some((_, _, item)) = self.queues[queue as usize].fair.next(now) else {
                self.busy.remove(&queue);
                return;
            };
            let request = item.request;
            if now >= item.latest_start {
                self.time_out(now, request, out);
            } else if let Some(target) = self.route(now, request) {
                self.dequeue(request, true);
                self.send(now, request, target, out);
            } else if self.capacity(now, queue).possible {
                return;
            } else {
                let rejection =
                    Rejection { code: Code::NoTarget, retry_after: Some(DEFAULT_RETRY_AFTER) };
                self.give_up(now, request, rejection, out);
            }
        }
    }

    /// Sends requests that wait for a target that has capacity again. Its queues are served in the
    /// order of their most urgent request, or long requests for one model would hold up short ones
    /// for another.
    pub(crate) fn dispatch_target(&mut self, now: Ms, target: u32, out: &mut Vec<Effect>) {
        let queues = self.targets[target as usize].queues.iter().copied();
        let next = queues.filter_map(|queue| {
            let (_, position, _) = self.queues[queue as usize].fair.next(now)?;
            Some((position.rank(), queue))
        });
        let mut next: Vec<_> = next.collect();
        next.sort_unstable();
        for (_, queue) in next {
            self.dispatch(now, queue, out);
        }
    }

    /// Latest time at which a waiting request can start and still be answered in time, given the
    /// predicted duration of its stages.
    fn latest_start(&self, open: &OpenRequest) -> Ms {
        let deadline = open.arrival.deadline;
        if open.probe || self.disabled.contains(Decision::Queue) {
            return deadline;
        }
        let rest = open.stages()[open.stage..].iter();
        let need: f64 = rest.map(|s| self.estimate(&open.arrival, s)).map(|t| t.mean).sum();
        deadline - Ms(need as u64)
    }

    /// Time that the work in a queue takes.
    pub(crate) fn drain_time(&mut self, now: Ms, queue: u32) -> Ms {
        let capacity = self.capacity(now, queue);
        let calls = (capacity.near + capacity.far).max(1.0);
        Ms((self.queues[queue as usize].fair.queued() as f64 / calls) as u64).max(Ms(100))
    }

    fn route(&mut self, now: Ms, request: RequestId) -> Option<u32> {
        let open = self.open.get(&request)?;
        let avoid = open.avoid;
        self.choose(now, request, avoid)
    }

    /// Chooses a target for the current stage of a request.
    fn choose(&mut self, now: Ms, request: RequestId, avoid: Option<u32>) -> Option<u32> {
        let queue = self.open.get(&request)?.queue_id();
        let capacity = self.capacity(now, queue);
        let context = self.context(now);
        let open = self.open.get(&request)?;
        let stage = open.stage();
        let time = self.estimate(&open.arrival, stage).mean;
        let queued = self.queues[queue as usize].fair.queued() as f64;
        let first = open.tries == 0 && open.repeatable();
        let query = RouteQuery {
            tiers: &stage.tiers,
            placement: open.rules.placement,
            prefix: if stage.engine { open.arrival.prefix } else { 0 },
            avoid,
            marked: self.poison.is_marked(now, open.arrival.fingerprint),
            may_probe: first || route::all_slow(&self.targets, &context, &stage.tiers),
            all_slow: !first && route::all_slow(&self.targets, &context, &stage.tiers),
            wait: (queued + time / 2.0) / capacity.near.max(0.1),
            time,
            crossing: self.crossing(open, stage, now),
        };
        match self.disabled.contains(Decision::Route) {
            true => route::round_robin(&self.targets, &context, &mut self.turn, &query),
            false => route::choose(&self.targets, &context, &self.cache, &mut self.rng, &query),
        }
    }

    /// Time that a call to another region must gain for the current stage, ms.
    fn crossing(&self, open: &OpenRequest, stage: &Stage, now: Ms) -> f64 {
        let rest = open.stages()[open.stage..].iter();
        let need: f64 = rest.map(|s| self.estimate(&open.arrival, s).mean).sum();
        let slack = (open.arrival.deadline - now).0 as f64 - need;
        route::min_gain(&open.view.crossing, stage.engine, slack)
    }

    fn send(&mut self, now: Ms, request: RequestId, target: u32, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&request) else { return };
        let queue = open.queue_id();
        let marked = self.poison.is_marked(now, open.arrival.fingerprint);
        let left = open.arrival.deadline - now;
        let rest =
            || open.stages()[open.stage + 1..].iter().map(|s| self.estimate(&open.arrival, s));
        let own = self.estimate(&open.arrival, open.stage());
        let split = budget::split(
            left,
            own.mean,
            rest().map(|t| t.mean).sum(),
            rest().map(|t| t.low).sum(),
        );
        let split = Some(split).filter(|_| !self.disabled.contains(Decision::Budget));
        let hedged = open.repeatable() && open.runs.is_empty();
        let hedge = Some(())
            .filter(|()| hedged && !self.disabled.contains(Decision::Hedge))
            .and_then(|()| delay(own.high, split.map(|s| s.soft)));
        let share = open.view.plan.fleet.defaults.hedge_share;

        let known = &mut self.targets[target as usize];
        known.begin(marked);
        route::record_placement(known, now);
        let name = known.name.clone();
        self.queues[queue as usize].running += 1;
        if hedged {
            self.hedges.earn(share);
        }
        let Some(open) = self.open.get_mut(&request) else { return };
        open.attempt = open.attempt.next();
        open.tries += 1;
        open.hedge_at = hedge.map(|delay| now + delay);
        // Non-repeatable work is never cancelled before the deadline: its outcome would be lost.
        open.cutoff = match split {
            Some(split) if !open.probe && open.stage().repeatable => now + split.hard,
            _ => open.arrival.deadline,
        };
        open.step(Step::Send);
        let attempt = open.attempt;
        open.runs.push(Run {
            attempt,
            target,
            started: now,
            sent: false,
            streamed: false,
            from_start: open.offset == 0,
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
        let due = open.hedge_at.unwrap_or(Ms::MAX).min(open.cutoff).min(open.arrival.deadline);
        self.set_due(request, due);
    }

    /// Starts a straggler a second time on another target, if that is allowed and possible.
    pub(crate) fn hedge(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.hedge_at = None;
        let [run] = open.runs[..] else { return };
        if run.streamed || !open.repeatable() {
            return;
        }
        let (queue, stage) = (open.queue_id(), open.stage);
        let left = (open.arrival.deadline - now).0 as f64;
        let Some(open) = self.open.get(&request) else { return };
        let expected = self.estimate(&open.arrival, &open.stages()[stage]).mean;
        // The time taken so far already says something about the target.
        self.targets[run.target as usize]
            .limit
            .still_running((now - run.started).0 as f64, expected);
        let waits = self.queues[queue as usize].fair.len() > 0;
        let marked = self.poison.is_marked(now, open.arrival.fingerprint);
        let target = match () {
            () if waits || marked || expected > left || !self.hedges.available() => None,
            () => self.choose(now, request, Some(run.target)).filter(|&t| t != run.target),
        };
        match target {
            Some(target) if self.hedges.spend() => self.send(now, request, target, out),
            _ => {
                if let Some(open) = self.open.get_mut(&request) {
                    open.hedge_at = Some(now + RECHECK_INTERVAL);
                }
            }
        }
    }

    /// Releases the reservation of the current stage, whose work has now arrived in its queue.
    fn release_reservation(&mut self, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.released <= open.stage {
            let (queue, flow, cost) = (open.queue_id(), open.flow, open.costs[open.stage]);
            let lane = open.lane(open.stage);
            open.released = open.stage + 1;
            self.queues[queue as usize].fair.release(flow, lane, cost);
        }
    }

    /// Removes a request from its queue.
    pub(crate) fn dequeue(&mut self, request: RequestId, served: bool) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(position) = open.position.take() else { return };
        let (queue, flow) = (open.queue_id(), open.flow);
        self.queues[queue as usize].fair.remove(flow, position, served);
    }

    pub(crate) fn step(&mut self, request: RequestId, step: Step) {
        if let Some(open) = self.open.get_mut(&request) {
            open.step(step);
        }
    }

    /// Sets when a request is to be checked next.
    pub(crate) fn set_due(&mut self, request: RequestId, due: Ms) {
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.due != due {
            self.timers.remove(&(open.due, request));
            open.due = due;
            self.timers.insert((due, request));
        }
    }

    /// Checks a request whose timer has expired.
    pub(crate) fn on_timer(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.due = Ms::MAX;
        let running = open.in_phase(Phase::Running {});
        let hedge = open.hedge_at.is_some_and(|at| at <= now);
        match () {
            () if now >= open.arrival.deadline => self.time_out(now, request, out),
            () if running && now >= open.cutoff => self.time_out(now, request, out),
            () if !running => self.time_out(now, request, out),
            () if hedge => self.hedge(now, request, out),
            () => {}
        }
        let Some(open) = self.open.get(&request) else { return };
        let due = open.hedge_at.unwrap_or(Ms::MAX).min(open.cutoff).min(open.arrival.deadline);
        self.set_due(request, due);
    }
}
