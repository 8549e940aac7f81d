//! Chooses the engine of a stream where engines report their pace.
//!
//! The load: engines differ in speed, a popular subject exceeds one engine, and one region is full
//! while another is idle. Strict tiers (failure domain before region before other regions) keep a
//! request at a nearly full or slow engine while one that is 20 ms away is idle. So all that a
//! choice costs the caller, the other streams of the engine and the network is added up in ms.
//!
//! Compared are, for each distance, two engines that have the subject in their caches and, if that
//! is cheaper than all of these, one other. The other one is drawn in the subject's rendezvous
//! order, the first with probability 1/2, the second with 1/4 and so on: a popular subject moves on
//! to one engine after the other, and an engine that looks idle to all hosts is compared by a small
//! part of their requests only.

use base::{Ms, hash_parts};
use std::cmp::Reverse;

use super::paced::{Paced, any_paced, bases, draw_two, travel};
use super::{Distance, FAILURE_COST_MS, MAX_FILL, first_to_return};
use crate::offload::BYTES_PER_MS;
use crate::pace::credible;

/// Cost of a full engine's longer steps, ms: half of the pause of 400 ms after which events count
/// as late.
const STEP_MS: f64 = 200.0;
/// Cost of an engine without room, ms: the wait in its own queue, where no host can move the
/// request. Engines without room are compared all the same. If they were left out, all hosts would
/// send to the only engine that had room half a second ago.
const FULL_MS: f64 = 400.0;
/// Part of the steps' duration that an engine needs even when idle. A slow engine lengthens this
/// part too.
const STEP_BASE: f64 = 0.25;
/// Costs that differ by less are equal, ms. Otherwise the smallest difference in load, not the
/// subject's own order, would decide which engine reads a prompt.
const SAME_COST_MS: f64 = 10.0;
/// A byte between failure domains of a region costs this part of one between regions.
const DOMAIN_PART: f64 = 0.25;

/// What the engine has to read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prompt {
    /// Id of the subject.
    pub subject: u64,
    /// Time to copy the shared part from the cache of another engine.
    pub copy: Ms,
    /// Size of the stage results that the engine reads, bytes.
    pub result_bytes: u64,
}

impl Prompt {
    /// Time to copy the shared part over this distance, ms. The shared part is always copied:
    /// reading it again would delay all other streams of the engine.
    pub fn copying(&self, distance: Distance) -> f64 {
        let copy = self.copy.0 as f64;
        match distance {
            Distance::Domain => copy,
            // The link between failure domains is half as fast.
            Distance::Region | Distance::Far => 2.0 * copy,
        }
    }
}

/// Cost of moving this volume, as ms of waiting.
fn volume(bytes: u64, distance: Distance) -> f64 {
    let far = bytes as f64 / BYTES_PER_MS as f64;
    match distance {
        Distance::Domain => 0.0,
        Distance::Region => DOMAIN_PART * far,
        Distance::Far => far,
    }
}

/// The engine for a generation. Each request needs a `draw` of its own. If no engine reports its
/// pace, [`super::engine`] decides.
pub fn engine(candidates: &[Paced<'_>], prompt: &Prompt, draw: u64) -> Option<usize> {
    if !any_paced(candidates) {
        return super::engine(&bases(candidates), prompt.subject, prompt.copy);
    }
    let choice = Choice::new(candidates, prompt);
    let found = choice.compared(draw).into_iter().min_by_key(|i| choice.order(*i));
    found.or_else(|| first_to_return(&bases(candidates)))
}

/// The engines that may get the request.
struct Choice<'a> {
    candidates: &'a [Paced<'a>],
    prompt: &'a Prompt,
    usable: Vec<usize>,
    scores: Vec<u64>,
    /// The engine that all hosts near the results expect to have the subject in its cache.
    owner: Option<usize>,
}

impl<'a> Choice<'a> {
    fn new(candidates: &'a [Paced<'a>], prompt: &'a Prompt) -> Self {
        let subject = prompt.subject.to_le_bytes();
        let score = |c: &Paced<'_>| hash_parts(&[&subject, c.base.name.as_bytes()]);
        let scores: Vec<u64> = candidates.iter().map(score).collect();
        let usable: Vec<usize> =
            (0..candidates.len()).filter(|i| candidates[*i].base.usable).collect();
        let owner_order = |i: &usize| (Reverse(candidates[*i].base.distance), scores[*i]);
        let owner = usable.iter().copied().max_by_key(owner_order);
        Self { candidates, prompt, usable, scores, owner }
    }

    /// The engines whose costs are compared for one request.
    fn compared(&self, draw: u64) -> Vec<usize> {
        let mut out = Vec::new();
        for distance in [Distance::Domain, Distance::Region, Distance::Far] {
            let near = self.usable.iter().copied();
            let near = near.filter(|i| self.candidates[*i].base.distance == distance);
            let (holders, mut others): (Vec<usize>, Vec<usize>) =
                near.partition(|i| self.holds(*i));
            others.sort_by_key(|i| Reverse(self.scores[*i]));
            let best = holders.iter().map(|i| self.order(*i)).min();
            // Another engine reads the subject only if that is cheaper than each of its holders.
            let wins = |i: &usize| best.is_none_or(|best| self.order(*i) < best);
            out.extend(draw_two(holders.len(), draw).map(|at| holders[at]));
            out.extend(in_order(&others, draw).filter(wins));
            if holders.is_empty() {
                out.extend(in_order(&others, draw.rotate_right(32)));
            }
        }
        out
    }

    fn holds(&self, i: usize) -> bool {
        Some(i) == self.owner || self.candidates[i].base.cached
    }

    fn order(&self, i: usize) -> (u64, Reverse<u64>) {
        ((self.cost(i) / SAME_COST_MS) as u64, Reverse(self.scores[i]))
    }

    fn cost(&self, i: usize) -> f64 {
        let c = &self.candidates[i];
        let factor = credible(c.factor(), c.measured);
        let shared = match self.holds(i) {
            true => 0.0,
            false => self.prompt.copying(c.source),
        };
        let step = STEP_MS * factor * (STEP_BASE + fill(c).powi(3));
        let full = if fill(c) < MAX_FILL { 0.0 } else { FULL_MS * factor };
        let results = volume(self.prompt.result_bytes, c.base.distance);
        let failures = FAILURE_COST_MS * c.base.failure_rate;
        c.base.wait.0 as f64 * factor + shared + step + full + travel(c.host) + results + failures
    }
}

/// Part of an engine's slots that is in use; over 1 if requests wait there.
fn fill(c: &Paced<'_>) -> f64 {
    f64::from(c.base.load) / f64::from(c.base.slots.max(1))
}

/// One of these, each half as likely as the one before it.
fn in_order(all: &[usize], draw: u64) -> Option<usize> {
    let last = all.len().checked_sub(1)?;
    all.get(last.min(draw.trailing_zeros() as usize)).copied()
}
