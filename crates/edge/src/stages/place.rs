//! Decides when and where a stage of a request is run.

use base::{DomainId, Ms, RegionId};

use super::Run;
use crate::results::StageOutput;

/// How early a stage that runs beside a longer chain of stages starts, as a multiple of its
/// estimated duration: if it ended late, it would delay the whole request.
const START_AHEAD: (u64, u64) = (3, 2);
/// Size from which results should not cross regions, bytes: traffic between regions is paid by
/// volume. Below it, running a stage elsewhere is not worth the round trip for the request's host.
const LARGE_BYTES: u64 = 100_000;

impl Run<'_> {
    /// Whether a stage should start now, so that its results are ready at about the same time as
    /// those of the others.
    ///
    /// If a stage started together with a longer chain of stages beside it, its results would stay
    /// at their targets until the chain is done. Targets have room for a handful of results, and
    /// calls shrink to the room that is left: the stage's targets would lose half of their
    /// throughput.
    pub(super) fn is_due(&self, i: usize) -> bool {
        let now = self.app.core.clock.now();
        let left = |j: usize| match (self.done[j].is_some(), self.started[j]) {
            (true, _) => Ms::ZERO,
            (false, None) => self.times[j] + self.remaining[j],
            (false, Some(start)) => self.times[j] - (now - start) + self.remaining[j],
        };
        let others = (0..self.done.len()).filter(|j| *j != i && !self.leads_to(i, *j));
        let longest = others.map(left).max().unwrap_or(Ms::ZERO);
        longest <= self.times[i].scale(START_AHEAD.0, START_AHEAD.1) + self.remaining[i]
    }

    /// Whether stage `to` reads results of `from`, directly or through other stages.
    pub(super) fn leads_to(&self, from: usize, to: usize) -> bool {
        let after = &self.call.route.stages[to].after;
        after.iter().any(|a| *a == from || self.leads_to(from, *a))
    }

    /// The failure domain in which a stage should run: the one that holds its inputs if these are
    /// large, else this host's, where the engine reads its results. Without this, the results of a
    /// stage that was passed on to another region would have to cross back.
    pub(super) fn domain(&self, i: usize) -> DomainId {
        let home = self.home(self.call.route.stages[i].after.iter().copied());
        home.unwrap_or_else(|| self.app.core.settings().domain.clone())
    }

    /// The failure domain that holds the largest results of these stages; none if they are all
    /// small.
    pub(super) fn home(&self, stages: impl Iterator<Item = usize>) -> Option<DomainId> {
        let size = |(i, output): &(usize, &StageOutput)| {
            self.call.route.stages[*i].bytes * output.results.len() as u64
        };
        let held = stages.filter_map(|i| Some((i, self.held[i].as_ref()?)));
        let (_, output) = held.filter(|held| size(held) >= LARGE_BYTES).max_by_key(size)?;
        let links = self.app.core.links();
        let target = links.named(&output.results.first()?.target.as_str().into())?;
        Some(target.entry.domain.clone())
    }

    /// The region whose composer gets a stage that should run in `domain`: the region of that
    /// domain, or else one that the request may be in; none if no such region has a target.
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
        // All stages of a request run in the same region, so that results don't cross between
        // regions.
        let key = self.call.head.id.as_bytes();
        base::rendezvous(key, regions.filter(|r| residency.allows(r)), |r| r.as_str()).cloned()
    }
}
