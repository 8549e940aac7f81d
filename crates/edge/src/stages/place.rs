//! When and where a stage of a request is done.

use base::{DomainId, Ms, RegionId};

use super::Run;
use crate::results::StageOutput;

/// How early a stage beside a longer chain begins, as a multiple of its expected time: late, it
/// would hold the whole request up.
const EARLY: (u64, u64) = (3, 2);
/// Size from which results should not cross regions, bytes: what crosses is paid by volume, and a
/// request's stage elsewhere costs its host the way there and back.
const LARGE: u64 = 100_000;

impl Run<'_> {
    /// Whether a stage should begin, so that its results are there about when the others are.
    ///
    /// A stage beside a longer chain that begins with it has its results lie at their targets for
    /// as long as the chain takes. Targets have room for a handful, and calls shrink to what is
    /// left of it: the stage's targets lose half of what they can do.
    pub(super) fn due_now(&self, i: usize) -> bool {
        let now = self.app.core.clock.now();
        let left = |j: usize| match (self.done[j].is_some(), self.begun[j]) {
            (true, _) => Ms::ZERO,
            (false, None) => self.times[j] + self.after[j],
            (false, Some(begun)) => self.times[j] - (now - begun) + self.after[j],
        };
        let others = (0..self.done.len()).filter(|j| *j != i && !self.leads_to(i, *j));
        let longest = others.map(left).max().unwrap_or(Ms::ZERO);
        longest <= self.times[i].scale(EARLY.0, EARLY.1) + self.after[i]
    }

    /// Whether stage `to` reads results of `from`, directly or not.
    pub(super) fn leads_to(&self, from: usize, to: usize) -> bool {
        let after = &self.call.route.stages[to].after;
        after.iter().any(|a| *a == from || self.leads_to(from, *a))
    }

    /// Where a stage should be done: where what it reads lies, if that is much, else here, where
    /// the engine reads its results. A stage that was passed on to another region would have its
    /// results cross back otherwise.
    pub(super) fn domain(&self, i: usize) -> DomainId {
        let home = self.home(self.call.route.stages[i].after.iter().copied());
        home.unwrap_or_else(|| self.app.core.settings().domain.clone())
    }

    /// The failure domain where the largest of these stages' results lie; none where that is little.
    pub(super) fn home(&self, stages: impl Iterator<Item = usize>) -> Option<DomainId> {
        let size = |(i, output): &(usize, &StageOutput)| {
            self.call.route.stages[*i].bytes * output.results.len() as u64
        };
        let held = stages.filter_map(|i| Some((i, self.held[i].as_ref()?)));
        let (_, output) = held.filter(|held| size(held) >= LARGE).max_by_key(size)?;
        let links = self.app.core.links();
        let target = links.named(&output.results.first()?.target.as_str().into())?;
        Some(target.entry.domain.clone())
    }

    /// The region whose composer makes a stage that should be done in `domain`: that domain's, or
    /// one that the request may be in; none where no such region has a target.
    pub(super) fn region(&self, i: usize, domain: &DomainId) -> Option<RegionId> {
        let core = &self.app.core;
        let settings = core.settings();
        let near = settings.region_of(domain).unwrap_or(settings.region());
        let residency = &self.call.residency;
        if residency.allows(near) {
            return Some(near.clone());
        }
        let links = core.links();
        let targets = links.of(&self.call.route.stages[i].service).iter();
        let regions = targets.filter_map(|l| settings.region_of(&l.entry.domain));
        // All stages of a request are made in one region, so that results don't cross.
        let key = self.call.head.id.as_bytes();
        base::rendezvous(key, regions.filter(|r| residency.allows(r)), |r| r.as_str()).cloned()
    }
}
