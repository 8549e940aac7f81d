//! What speaks against one part of prompts.

use base::{Ms, Suspect, TargetId};
use std::collections::BTreeMap;

use super::{Carried, Diagnosis, End, KNOWN_PART, NEW_PART, Running};

/// Sound answers without a part, while it ends engines, that show that engines work otherwise.
const OTHER_ANSWERS: u64 = 3;
/// A part must explain at least one in so many of the ends between its first and its last one.
const LEAST_SHARE: usize = 4;
/// The same, in percent, of a part that had sound answers: first parts are on many engines, and some
/// of these end for another reason.
const KNOWN_SHARE_PERCENT: usize = 75;

/// What speaks against a part.
pub(super) struct Case<'a> {
    pub(super) part: u64,
    pub(super) place: usize,
    /// Ends with it since its last sound answer.
    pub(super) ends: Vec<&'a End>,
    pub(super) episodes: usize,
    /// Whether none of them was in an outage.
    pub(super) calm: bool,
    /// Ends between the first and the last of them that no quarantined part explains.
    pub(super) rivals: usize,
    pub(super) known: bool,
    pub(super) others: u64,
}

impl Case<'_> {
    /// Whether something shows that engines work without the part: an answer had begun at most of its ends, so
    /// that engines run; or others have sound answers; or engines of the same service ran on meanwhile.
    /// Else all of them may end for a reason of their own.
    pub(super) fn is_grounded(&self, running: &[Running<'_>]) -> bool {
        let begun = carried(&self.ends, self.part).filter(|(_, carried)| carried.begun).count();
        let mut names: Vec<&str> = self.ends.iter().map(|end| name(&end.target)).collect();
        names.sort_unstable();
        names.dedup();
        if 2 * begun > self.ends.len() || (self.others > 0 && names.len() > 1) {
            return true;
        }
        let Some(first) = self.ends.first() else { return false };
        let ended = |target: &&Running<'_>| names.binary_search(&target.name).is_ok();
        let services: Vec<&str> = running.iter().filter(ended).map(|t| t.service).collect();
        let same = |t: &&Running<'_>| services.is_empty() || services.contains(&t.service);
        let alive = |t: &&Running<'_>| t.born < first.at && !ended(t);
        names.len() > 1 && running.iter().filter(same).any(|t| alive(&t))
    }

    pub(super) fn is_proved(&self) -> bool {
        let threshold = if self.known { KNOWN_PART } else { NEW_PART };
        let open = self.ends.iter().filter(|end| !end.explained).count();
        let calm = self.calm && !self.known;
        let enough = threshold.is_reached(self.ends.len(), self.episodes, calm);
        let engines_work = !self.known || self.others >= OTHER_ANSWERS;
        let several = self.is_in_several_requests();
        let explains = match self.known {
            true => 100 * open >= KNOWN_SHARE_PERCENT * self.rivals,
            false => LEAST_SHARE * open >= self.rivals,
        };
        enough && open > 0 && explains && engines_work && several
    }

    /// Whether no request explains the ends as well. Otherwise it is the request that ends engines.
    pub(super) fn is_in_several_requests(&self) -> bool {
        let mut ends: BTreeMap<u64, usize> = BTreeMap::new();
        for key in carried(&self.ends, self.part).flat_map(|(_, c)| &c.requests) {
            *ends.entry(*key).or_default() += 1;
        }
        let most = ends.values().max().copied().unwrap_or(0);
        100 * most < KNOWN_SHARE_PERCENT * self.ends.len()
    }

    /// Parts with more ends come first, and of two with the same ends the one that fewer prompts
    /// share, which comes later in a prompt.
    pub(super) fn rank(&self) -> (usize, usize, u64) {
        (self.ends.len(), self.place, self.part)
    }

    pub(super) fn diagnosis(&self) -> Diagnosis {
        Diagnosis {
            suspect: Suspect::Part(self.part),
            targets: self.ends.iter().map(|end| end.target.clone()).collect(),
            episodes: self.episodes,
            known: self.known,
        }
    }
}

/// The name of a target, of which this is an incarnation.
fn name(target: &TargetId) -> &str {
    let id = target.as_str();
    id.rsplit_once('@').map_or(id, |(name, _)| name)
}

pub(super) fn carried<'a>(ends: &[&'a End], part: u64) -> impl Iterator<Item = (Ms, &'a Carried)> {
    ends.iter().filter_map(move |end| Some((end.at, end.carried.get(&Suspect::Part(part))?)))
}
