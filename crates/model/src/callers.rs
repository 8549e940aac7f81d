//! Simulated callers, the load balancer in front of the hosts, and the journal of idempotency keys.

use base::{Ms, RequestId};
use policy::{Arrival, Code, Ending, Event, Grant, Ran, Verdict};

use crate::Resend;
use crate::outcome::{BrokenPromise, WARMUP};
use crate::queue::SimEvent;
use crate::world::{OpenRequest, START, World, index, request_id};

/// State of an idempotency key in the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum KeyState {
    #[default]
    Free,
    Held,
    Done,
    Lost,
}

impl World<'_> {
    /// Handles the arrival of a call, or of its re-send, at a host.
    pub fn arrive(&mut self, call: usize) {
        self.tries[call] += 1;
        let host = self.pick_host(call);
        let request = request_id(self.requests.len());
        self.requests.push(OpenRequest {
            call,
            host,
            arrived: self.now,
            answered: false,
            done: 0,
            piece: false,
            held: 0,
            exposed: 0,
        });
        let arrival = self.calls[call].arrival(self.model, call, request);
        let deadline = self.deadline(call);
        let resent = self.tries[call] > 1;
        self.feed(host, Event::Arrive(Arrival { deadline, resent, ..arrival }));
    }

    /// Deadline of a call's next send. Each re-send of a poison request gets the full time again.
    fn deadline(&self, call: usize) -> Ms {
        let sent = &self.calls[call];
        if sent.poison { self.now + (sent.deadline - sent.at) } else { sent.deadline }
    }

    /// Picks a host as the platform's load balancer does: by hash, among those it believes to be
    /// up.
    fn pick_host(&self, call: usize) -> usize {
        let up: Vec<usize> = (0..self.hosts.len()).filter(|&h| self.is_listed(h)).collect();
        let parts = [self.seed, call as u64, u64::from(self.tries[call])].map(u64::to_le_bytes);
        let hash = base::hash_parts(&[&parts[0], &parts[1], &parts[2]]);
        up[(hash % up.len() as u64) as usize]
    }

    fn is_listed(&self, host: usize) -> bool {
        self.hosts[host].listed && !self.avoided[self.hosts[host].domain]
    }

    /// Registers a request's key in the journal and returns the journal's reply.
    pub fn register(&mut self, request: RequestId) -> Grant {
        let record = self.keys.entry(self.requests[index(request)].call).or_default();
        match record {
            KeyState::Free => {
                *record = KeyState::Held;
                Grant::Granted
            }
            KeyState::Held => Grant::Running,
            KeyState::Done => Grant::Answered,
            KeyState::Lost => Grant::Unknown,
        }
    }

    /// Records the final answer to a request.
    pub fn answer(&mut self, request: RequestId, verdict: Verdict) {
        let open = &mut self.requests[index(request)];
        if std::mem::replace(&mut open.answered, true) {
            self.tally.broken.push(BrokenPromise::SecondAnswer(request));
            return;
        }
        let (number, host, arrived, done) = (open.call, open.host, open.arrived, open.done);
        let call = &self.calls[number];
        let stages = self.model.plan.stages[call.pipeline].len();
        self.pending -= 1;
        match verdict {
            Verdict::Done if done < stages => {
                self.tally.broken.push(BrokenPromise::FalseAnswer(request));
            }
            Verdict::Done | Verdict::Replayed => {
                let window = (START + WARMUP, START + self.script.length);
                let received = self.now + self.model.times.client_ms;
                self.tally.answered(call, self.now, received, window);
            }
            Verdict::Refused(refusal) => {
                let drained = self.hosts[host].drained;
                if refusal.code == Code::Draining && drained.is_some_and(|d| arrived < d) {
                    self.tally.broken.push(BrokenPromise::CutOff(request));
                }
                if refusal.ran == Ran::No && done > 0 {
                    self.tally.broken.push(BrokenPromise::FalseNo(request));
                }
                if !call.poison {
                    self.tally.refused(&refusal, self.now - arrived);
                }
                self.schedule_resend(number, refusal.retry_after);
            }
        }
    }

    /// Schedules the re-send of a refused call if its caller sends again in time.
    fn schedule_resend(&mut self, call: usize, retry_after: Option<Ms>) {
        let sent = &self.calls[call];
        let wait = match (self.script.poison, self.script.resend) {
            (Some(poison), _) if sent.poison => {
                (self.tries[call] <= poison.resends).then_some(poison.gap)
            }
            (_, Resend::Never) => None,
            (_, Resend::Honour) => retry_after,
            (_, Resend::Insist(gap)) => Some(gap),
        };
        let there = self.model.times.client_ms;
        let at = wait.map(|w| self.now + there + w + there);
        let end = if sent.poison { START + self.script.length } else { sent.deadline };
        if let Some(at) = at.filter(|&at| at < end) {
            self.pending += 1;
            self.events.schedule(at, SimEvent::Arrive { call });
        }
    }

    /// Stores in the journal how a registered request ended.
    pub fn finish(&mut self, request: RequestId, ending: Ending) {
        let record = match ending {
            Ending::Done => KeyState::Done,
            Ending::Released => KeyState::Free,
            Ending::Lost => KeyState::Lost,
        };
        self.keys.insert(self.requests[index(request)].call, record);
    }
}
