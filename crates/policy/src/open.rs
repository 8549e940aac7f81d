//! A request under way.

use base::{Attempt, Ms};
use conf::Placement;
use std::sync::Arc;

use crate::life::{Life, Phase, Step};
use crate::queue::{Place, lane};
use crate::view::{Stage, View, line};
use crate::{Arrival, Ledger};

/// What holds for a request, from the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rules {
    pub(crate) priority: conf::Priority,
    pub(crate) placement: Placement,
    pub(crate) weight: f64,
    /// When an exception ends and this must be worked out again.
    pub(crate) until: Ms,
}

/// An attempt that runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) attempt: Attempt,
    pub(crate) target: u32,
    pub(crate) at: Ms,
    /// It was handed to a socket.
    pub(crate) sent: bool,
    /// It gave a piece.
    pub(crate) piece: bool,
    /// It started at the stage's beginning.
    pub(crate) whole: bool,
    /// It counts among the target's marked calls.
    pub(crate) marked: bool,
}

/// A request under way.
pub(crate) struct Open {
    pub(crate) arrival: Arrival,
    pub(crate) view: Arc<View>,
    pub(crate) pipeline: usize,
    /// Whose share it counts against.
    pub(crate) flow: u32,
    pub(crate) rules: Rules,
    pub(crate) life: Life,
    pub(crate) ledger: Ledger,
    /// The journal granted its key.
    pub(crate) registered: bool,
    /// An attempt of work that may not be repeated was sent, and its outcome is open or lost.
    pub(crate) exposed: bool,
    /// Work that may not be repeated has run.
    pub(crate) spent: bool,
    /// Its caller has gone.
    pub(crate) gone: bool,
    pub(crate) stage: usize,
    /// The last attempt made.
    pub(crate) attempt: Attempt,
    /// Tries of this stage.
    pub(crate) tries: u32,
    /// Tokens held of this stage.
    pub(crate) offset: u32,
    /// At most two: the first and its hedge.
    pub(crate) runs: Vec<Run>,
    pub(crate) place: Option<Place>,
    /// The target that failed last.
    pub(crate) avoid: Option<u32>,
    /// Predicted work of each stage, ms, as it was promised.
    pub(crate) costs: Vec<u64>,
    /// How many stages' promises are released.
    pub(crate) released: usize,
    pub(crate) arrived: Ms,
    /// When the running stage is a straggler.
    pub(crate) hedge: Option<Ms>,
    /// It was let in against the prediction, which therefore doesn't end it.
    pub(crate) forced: bool,
    /// When the stages after the running one can't be done any more.
    pub(crate) hard: Ms,
    /// When it is to be looked at.
    pub(crate) due: Ms,
}

impl Open {
    pub(crate) fn stages(&self) -> &[Stage] {
        &self.view.stages[self.pipeline]
    }

    pub(crate) fn stage(&self) -> &Stage {
        &self.stages()[self.stage]
    }

    /// Wait queue in which its present stage waits.
    pub(crate) fn line(&self) -> u32 {
        line(self.stage().kind, self.rules.placement)
    }

    /// Lane of a stage's work.
    pub(crate) fn lane(&self, stage: usize) -> usize {
        lane(self.rules.priority, self.costs[stage])
    }

    pub(crate) fn is(&self, phase: Phase) -> bool {
        *self.life.state() == phase
    }

    pub(crate) fn step(&mut self, step: Step) {
        self.life.handle(&step);
    }

    pub(crate) fn run(&mut self, stage: usize, attempt: Attempt) -> Option<&mut Run> {
        match self.stage == stage {
            true => self.runs.iter_mut().find(|r| r.attempt == attempt),
            false => None,
        }
    }

    /// Whether work that may not be repeated has run or may have.
    pub(crate) fn once_begun(&self) -> bool {
        self.exposed || self.spent
    }

    /// Whether the present stage may be started beside, or after, another start of it.
    pub(crate) fn repeatable(&self) -> bool {
        self.stage().repeatable
    }
}

/// A stage's work in tokens. The most tokens asked for is the best guess of those generated.
pub(crate) fn work(arrival: &Arrival, stage: &Stage) -> f64 {
    let out = match arrival.max_tokens {
        _ if !stage.engine => 0,
        0 => stage.max_tokens,
        asked => asked.min(stage.max_tokens),
    };
    crate::learn::work(arrival.tokens_in, out)
}
