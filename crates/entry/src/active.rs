//! A request under way on this host: its input and output texts, its costs and its running
//! attempts.
//!
//! The reducer makes the decisions; this module holds the data that the decisions do not depend on.

use base::{Attempt, Key, Ms, RegionId, TargetId, WorkspaceId};
use conf::{Plan, PlanStage};
use policy::Usage;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::task::AbortHandle;
use wire::{Answer, Ask, Piece, StageCost};

use crate::outbox::Outbox;

/// Transfer between regions is charged per gigabyte.
const BYTES_PER_GB: f64 = 1e9;

/// A request under way.
pub(crate) struct ActiveRequest {
    /// The region of this host.
    pub(crate) region: RegionId,
    pub(crate) plan: Arc<Plan>,
    pub(crate) pipeline: usize,
    pub(crate) workspace: WorkspaceId,
    pub(crate) priority: u32,
    pub(crate) key: Option<Key>,
    pub(crate) ask: Ask,
    pub(crate) arrived: Ms,
    pub(crate) outbox: Outbox,
    /// The recorded answer of an earlier run of the same key.
    pub(crate) replay: Option<Answer>,
    pub(crate) costs: Vec<StageCost>,
    /// Index of the current stage.
    pub(crate) stage: usize,
    /// Output of the last stage that ended.
    pub(crate) output: String,
    /// When the current stage became ready to be sent.
    pub(crate) ready: Ms,
    pub(crate) buffer: StreamBuffer,
    pub(crate) attempts: HashMap<Attempt, Running>,
}

/// A running attempt.
pub(crate) struct Running {
    pub(crate) target: TargetId,
    pub(crate) sent: Ms,
    pub(crate) task: AbortHandle,
}

/// The part of the current stage's stream that has been received.
#[derive(Debug, Default)]
pub(crate) struct StreamBuffer {
    pub(crate) text: String,
    pub(crate) tokens: u32,
    /// The attempt whose pieces are accepted: the first one that delivered a piece.
    pub(crate) source: Option<Attempt>,
}

/// How a received piece relates to the buffered stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PieceCheck {
    /// It continues the stream.
    Next,
    /// It was received already, or comes from an attempt other than the accepted one.
    Stale,
    /// It leaves a gap or overlaps, so the stream can't be trusted.
    Invalid,
}

impl StreamBuffer {
    /// Classifies a piece. A piece is accepted only if it starts where the buffered text ends, so
    /// that late, duplicate and reordered pieces can't corrupt the answer.
    pub(crate) fn check(&self, attempt: Attempt, piece: &Piece) -> PieceCheck {
        match self.source {
            Some(source) if source != attempt => PieceCheck::Stale,
            _ if piece.offset == self.tokens => PieceCheck::Next,
            _ if piece.offset + piece.tokens <= self.tokens => PieceCheck::Stale,
            _ => PieceCheck::Invalid,
        }
    }

    pub(crate) fn append(&mut self, attempt: Attempt, piece: &Piece) {
        self.source = Some(attempt);
        self.tokens += piece.tokens;
        self.text.push_str(&piece.text);
    }
}

impl ActiveRequest {
    pub(crate) fn plan_stage(&self, stage: usize) -> &PlanStage {
        &self.plan.stages[self.pipeline][stage]
    }

    /// Whether the current stage is the last one, whose pieces go to the caller.
    pub(crate) fn is_last(&self) -> bool {
        self.stage + 1 == self.plan.stages[self.pipeline].len()
    }

    /// Input of the current stage: the caller's input, followed on a new line by the output of the
    /// stage before.
    pub(crate) fn input(&self) -> String {
        match self.stage {
            0 => self.ask.input.clone(),
            _ => format!("{}\n{}", self.ask.input, self.output),
        }
    }

    /// Largest number of tokens that the current stage may generate.
    pub(crate) fn max_tokens(&self) -> u32 {
        let limit = self.plan_stage(self.stage).max_tokens;
        match self.ask.max_tokens {
            0 => limit,
            requested => requested.min(limit),
        }
    }

    /// Completes the current stage with its output and cost, and moves on to the next.
    pub(crate) fn advance(&mut self, now: Ms, attempt: Attempt, output: String, usage: Usage) {
        let Some(running) = self.attempts.get(&attempt) else { return };
        let stage = self.plan_stage(self.stage);
        let crossed = self.transfer_cost(&running.target).map_or(0, |_| usage.bytes);
        let cost_per_gb = self.transfer_cost(&running.target).unwrap_or(0.0);
        let cost = stage.cost_call
            + stage.cost_in * f64::from(usage.tokens_in) / 1000.0
            + stage.cost_out * f64::from(usage.tokens_out) / 1000.0
            + cost_per_gb * crossed as f64 / BYTES_PER_GB;
        let before: u32 = self.costs.iter().map(|c| c.attempts).sum();
        self.costs.push(StageCost {
            stage: stage.name.to_string(),
            target: running.target.to_string(),
            wait_ms: (running.sent - self.ready).0,
            run_ms: (now - running.sent).0,
            attempts: attempt.0 - before,
            tokens_in: usage.tokens_in,
            tokens_out: usage.tokens_out,
            cost,
            crossed_bytes: crossed,
        });
        self.output = output;
        self.stage += 1;
        self.ready = now;
        self.buffer = StreamBuffer::default();
    }

    /// Cost per gigabyte of transfer to and from a target, if it is in another region than this
    /// host: the higher of the two regions' prices.
    fn transfer_cost(&self, target: &TargetId) -> Option<f64> {
        let region = &self.plan.targets[self.plan.target(target)?].region;
        let regions = &self.plan.fleet.regions;
        let cost =
            |name: &RegionId| regions.iter().find(|r| r.name == *name).map(|r| r.cost_per_gb);
        (*region != self.region)
            .then(|| cost(region).unwrap_or(0.0).max(cost(&self.region).unwrap_or(0.0)))
    }

    /// The whole answer. Valid once the last stage has ended.
    pub(crate) fn answer(&self, request: &str) -> Answer {
        Answer {
            request: request.to_owned(),
            output: self.output.clone(),
            stages: self.costs.clone(),
            replayed: false,
        }
    }
}
