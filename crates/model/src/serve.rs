//! The path of an attempt from its host through a target and back.

use base::{Attempt, Ms, RequestId};
use conf::{PlanStage, PoolKind};
use policy::Fault;
use rand::RngExt;

use crate::job::Job;
use crate::queue::{AttemptEvent, SimEvent};
use crate::server::{Health, to_ms};
use crate::world::{World, index};

/// Size of an intermediate result such as documents, vectors or scores, bytes.
pub(crate) const RESULT_BYTES: u64 = 8_192;
/// Size of a prompt token, and of a generated token with its framing, bytes.
const IN_BYTES: u64 = 4;
const OUT_BYTES: u64 = 6;

impl World<'_> {
    /// The call that an attempt belongs to.
    pub fn call_of(&self, job: usize) -> &crate::load::Call {
        &self.calls[self.requests[index(self.jobs[job].request)].call]
    }

    /// The stage that an attempt runs.
    pub fn stage_of(&self, job: usize) -> &PlanStage {
        &self.model.plan.stages[self.call_of(job).pipeline][self.jobs[job].stage]
    }

    /// One-way latency between an attempt's host and target.
    pub fn latency(&self, job: usize) -> Ms {
        let job = &self.jobs[job];
        self.model.link(self.hosts[job.host].domain, self.model.target_domains[job.target])
    }

    /// Schedules an event of an attempt for delivery to its host.
    pub fn deliver_at(&mut self, at: Ms, job: usize, update: AttemptEvent) {
        self.events.schedule(at, SimEvent::Deliver { job, update });
    }

    /// Sends an attempt to its target.
    pub fn send(&mut self, job: Job) {
        let (host, target) = (job.host, job.target);
        self.check(&job);
        let id = self.jobs.len();
        self.attempts.insert((job.request, job.attempt), id);
        self.jobs.push(job);
        self.tally.sent(target);
        let (from, to) = (self.hosts[host].domain, self.model.target_domains[target]);
        let first = if self.jobs[id].stage == 0 { 0 } else { RESULT_BYTES };
        let bytes = first + IN_BYTES * u64::from(self.call_of(id).tokens_in);
        let latency = self.latency(id);
        match self.servers[target].health {
            Health::Down => self.deliver_at(
                self.now + latency + latency,
                id,
                AttemptEvent::Failed(Fault::Connect),
            ),
            health => {
                self.deliver_at(self.now, id, AttemptEvent::Sent);
                if health == Health::Silent || self.lost[from] != self.lost[to] {
                    return self.sever(id);
                }
                self.count_transfer(from, to, bytes);
                self.events.schedule(self.now + latency, SimEvent::Reach { job: id });
            }
        }
    }

    fn count_transfer(&mut self, from: usize, to: usize, bytes: u64) {
        if self.model.crosses(from, to) {
            self.tally.cross.0 += bytes;
            self.tally.cross.1 += bytes as f64 / 1e9 * self.model.price(from, to);
        }
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, request: RequestId, attempt: Attempt) {
        let Some(&job) = self.attempts.get(&(request, attempt)) else { return };
        self.jobs[job].closed = true;
        self.events.schedule(self.now + self.latency(job), SimEvent::Stop { job });
    }

    /// Handles a cancellation that reaches the target.
    pub fn stop(&mut self, job: usize) {
        let target = self.jobs[job].target;
        let held = self.servers[target].drop_job(job);
        self.end(job);
        if held {
            self.start_queued(target);
        }
    }

    /// Handles the arrival of an attempt at its target.
    pub fn reach(&mut self, job: usize) {
        let target = self.jobs[job].target;
        if self.jobs[job].closed {
            return;
        }
        let back = self.now + self.latency(job);
        let server = &mut self.servers[target];
        match server.health {
            Health::Down => self.deliver_at(back, job, AttemptEvent::Failed(Fault::Broken)),
            Health::Silent => self.sever(job),
            Health::Up if server.queue.len() >= self.model.times.queue_capacity => {
                self.deliver_at(back, job, AttemptEvent::Failed(Fault::Full));
            }
            Health::Up => {
                server.queue.push_back(job);
                self.start_queued(target);
            }
        }
    }

    /// Starts queued attempts while slots are free.
    fn start_queued(&mut self, target: usize) {
        while self.servers[target].has_slot() {
            let Some(job) = self.servers[target].queue.pop_front() else { return };
            self.servers[target].running.push(job);
            self.start(job);
        }
    }

    fn start(&mut self, id: usize) {
        let target = self.jobs[id].target;
        let call = self.call_of(id).clone();
        let times = &self.model.times;
        let (straggle, times_longer) = times.straggle;
        let slowdown = if self.rng.random::<f64>() < straggle { times_longer } else { 1.0 };
        let engine = self.servers[target].kind == PoolKind::Engine;
        let cost = self.stage_of(id).cost_call;
        let name = self.stage_of(id).name.clone();
        self.tally.spent(name.as_str(), cost);
        let job = &mut self.jobs[id];
        (job.running, job.slowdown) = (true, slowdown);
        if !engine {
            let call_ms = times.call_ms * self.rng.random_range(0.5..1.5);
            return self.schedule_step(id, call_ms, 0);
        }
        if call.poison {
            self.events.schedule(self.now + times.crash_ms, SimEvent::Step { job: id });
            return;
        }
        if self.servers[target].errors > 0.0
            && self.rng.random::<f64>() < self.servers[target].errors
        {
            let at = self.rng.random_range(0..call.tokens_out.max(1));
            self.jobs[id].fails_at = Some(at);
        }
        let hit = call.prefix != 0 && self.use_prefix(target, call.prefix);
        let saved = if hit { times.prefix_share } else { 0.0 };
        let job = &mut self.jobs[id];
        job.cached = (f64::from(call.tokens_in) * saved) as u32;
        let read = call.tokens_in - job.cached + job.offset;
        // The first piece is a single token; later pieces are larger.
        let tokens = 1.min(call.tokens_out - job.offset);
        self.tally.read(call.tokens_in, self.jobs[id].cached);
        self.schedule_step(id, self.model.work(read, tokens), tokens);
    }

    /// Schedules the end of a job's next step, which takes `work` ms on an otherwise idle target.
    fn schedule_step(&mut self, id: usize, work: f64, tokens: u32) {
        let job = &mut self.jobs[id];
        job.step = tokens;
        let time = work * job.slowdown * self.servers[job.target].slowdown(&self.model.times);
        self.events.schedule(self.now + to_ms(time), SimEvent::Step { job: id });
    }

    /// Handles the end of a step of a running attempt.
    pub fn step(&mut self, id: usize) {
        if !self.jobs[id].running {
            return;
        }
        let call = self.call_of(id);
        let (poison, all) = (call.poison, call.tokens_out);
        let target = self.jobs[id].target;
        let engine = self.servers[target].kind == PoolKind::Engine;
        if poison && engine {
            self.tally.crashes += 1;
            return self.crash(target);
        }
        let back = self.now + self.latency(id);
        let job = &mut self.jobs[id];
        job.generated += job.step;
        let held = job.offset + job.generated;
        if job.fails_at.is_some_and(|at| job.generated > at) {
            self.release_slot(id);
            return self.deliver_at(back, id, AttemptEvent::Failed(Fault::Error));
        }
        if engine && self.stage_of(id).stream {
            self.respond(id, OUT_BYTES * u64::from(self.jobs[id].step));
            self.deliver_at(back, id, AttemptEvent::Piece(held));
        }
        if engine && held < all {
            let tokens = self.model.times.piece_tokens.min(all - held);
            return self.schedule_step(id, self.model.work(0, tokens), tokens);
        }
        if !engine {
            self.respond(id, RESULT_BYTES);
        }
        self.release_slot(id);
        self.deliver_at(back, id, AttemptEvent::Done);
    }

    fn release_slot(&mut self, id: usize) {
        let target = self.jobs[id].target;
        self.servers[target].drop_job(id);
        self.end(id);
        self.start_queued(target);
    }

    fn respond(&mut self, id: usize, bytes: u64) {
        let (from, to) = (self.model.target_domains[self.jobs[id].target], self.jobs[id].host);
        self.count_transfer(from, self.hosts[to].domain, bytes);
    }

    /// Ends a job at its target and adds the cost of the tokens that it read and generated.
    pub fn end(&mut self, id: usize) {
        if !std::mem::replace(&mut self.jobs[id].running, false) {
            return;
        }
        let (cached, generated) = (self.jobs[id].cached, self.jobs[id].generated);
        let read = self.call_of(id).tokens_in - cached;
        let stage = self.stage_of(id);
        let tokens = f64::from(read) * stage.cost_in + f64::from(generated) * stage.cost_out;
        let name = stage.name.clone();
        self.tally.spent(name.as_str(), tokens / 1000.0);
    }
}
