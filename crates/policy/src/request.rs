//! A request in progress.

use base::{Attempt, Ms};
use conf::Placement;
use std::sync::Arc;

use crate::lifecycle::{Lifecycle, Phase, Step};
use crate::queue::{Position, lane};
use crate::view::{Stage, View, queue_id};
use crate::{Arrival, Ledger};

/// Settings from the configuration that apply to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rules {
    pub(crate) priority: conf::Priority,
    pub(crate) placement: Placement,
    pub(crate) weight: f64,
    /// When the next exception of the configuration ends. After that the settings have to be
    /// determined again.
    pub(crate) until: Ms,
}

/// A running attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) attempt: Attempt,
    pub(crate) target: u32,
    pub(crate) started: Ms,
    /// It was written to a socket.
    pub(crate) sent: bool,
    /// It has returned a chunk of its stream.
    pub(crate) streamed: bool,
    /// It started at the beginning of the stage and did not resume a stream.
    pub(crate) from_start: bool,
    /// It counts among the target's marked calls.
    pub(crate) marked: bool,
}

/// A request in progress.
pub(crate) struct OpenRequest {
    pub(crate) arrival: Arrival,
    pub(crate) view: Arc<View>,
    pub(crate) pipeline: usize,
    /// The fair queueing flow that it counts against.
    pub(crate) flow: u32,
    pub(crate) rules: Rules,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) ledger: Ledger,
    /// The journal granted its key.
    pub(crate) registered: bool,
    /// An attempt of non-repeatable work was sent, and its outcome is pending or lost.
    pub(crate) unresolved: bool,
    /// Non-repeatable work has run.
    pub(crate) committed: bool,
    /// Its caller has disconnected.
    pub(crate) caller_gone: bool,
    pub(crate) stage: usize,
    /// The latest attempt.
    pub(crate) attempt: Attempt,
    /// Number of attempts of the current stage.
    pub(crate) tries: u32,
    /// Number of tokens of the current stage received so far.
    pub(crate) offset: u32,
    /// Running attempts: at most two, the first one and its hedge.
    pub(crate) runs: Vec<Run>,
    pub(crate) position: Option<Position>,
    /// The target of the attempt that failed last.
    pub(crate) avoid: Option<u32>,
    /// Predicted work of each stage, ms, as it was reserved.
    pub(crate) costs: Vec<u64>,
    /// Number of stages whose reservations have been released.
    pub(crate) released: usize,
    pub(crate) arrived: Ms,
    /// When the running stage becomes a straggler.
    pub(crate) hedge_at: Option<Ms>,
    /// It was admitted against the prediction, so the prediction does not end it early.
    pub(crate) probe: bool,
    /// When the stages after the running one can no longer be completed in time.
    pub(crate) cutoff: Ms,
    /// When it is to be checked next.
    pub(crate) due: Ms,
}

impl OpenRequest {
    pub(crate) fn stages(&self) -> &[Stage] {
        &self.view.stages[self.pipeline]
    }

    pub(crate) fn stage(&self) -> &Stage {
        &self.stages()[self.stage]
    }

    /// Queue of its current stage.
    pub(crate) fn queue_id(&self) -> u32 {
        queue_id(self.stage().kind, self.rules.placement)
    }

    /// Lane of a stage's work.
    pub(crate) fn lane(&self, stage: usize) -> usize {
        lane(self.rules.priority, self.costs[stage])
    }

    pub(crate) fn in_phase(&self, phase: Phase) -> bool {
        *self.lifecycle.state() == phase
    }

    pub(crate) fn step(&mut self, step: Step) {
        self.lifecycle.handle(&step);
    }

    pub(crate) fn run(&mut self, stage: usize, attempt: Attempt) -> Option<&mut Run> {
        match self.stage == stage {
            true => self.runs.iter_mut().find(|r| r.attempt == attempt),
            false => None,
        }
    }

    /// Whether non-repeatable work has run or may have run.
    pub(crate) fn non_repeatable_begun(&self) -> bool {
        self.unresolved || self.committed
    }

    /// Whether the current stage may be run more than once, concurrently or again.
    pub(crate) fn repeatable(&self) -> bool {
        self.stage().repeatable
    }
}

/// A stage's work in tokens. The number of tokens that will be generated is estimated as the
/// maximum that was requested.
pub(crate) fn work(arrival: &Arrival, stage: &Stage) -> f64 {
    let out = match arrival.max_tokens {
        _ if !stage.engine => 0,
        0 => stage.max_tokens,
        asked => asked.min(stage.max_tokens),
    };
    crate::learn::work(arrival.tokens_in, out)
}
