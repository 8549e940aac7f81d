//! Ends of targets as they are kept outside of the hosts, which may all end between two of them.
//!
//! Pattern: a part ends an engine, and before it ends the next one all hosts are started anew. Each
//! generation of hosts sees too few ends to tell, so the part is never found.
//!
//! What is kept says nothing of parts that had a sound answer: hosts that start know of no sound answer,
//! and would blame a part that all requests share for an outage before their start.

use base::{Ms, Suspect, TargetId};
use std::collections::{BTreeMap, HashMap};

use super::{BrokenRequest, Candidate, End, Ends, Observed};

/// Parts about which hosts are asked before ends are kept, those on the most of them.
const MAX_ASKED: usize = 256;
/// Time for which ends are kept.
pub const KEPT_TIME: Ms = Ms::secs(600);

/// Ends of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndBatch {
    /// The ends, in order.
    pub ends: Vec<KeptEnd>,
}

/// The end of one incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptEnd {
    /// The incarnation.
    pub target: TargetId,
    /// When it ended, ms since the Unix epoch.
    pub at: Ms,
    /// The requests on it.
    pub requests: Vec<KeptRequest>,
}

/// A request that a target may have begun to run when it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptRequest {
    /// Its key; none if it isn't known.
    pub request: Option<u64>,
    /// The shared parts of its prompt that may be to blame, in order.
    pub parts: Vec<u64>,
    /// Whether any of an answer to it had arrived.
    pub begun: bool,
    /// When it was sent, ms since the Unix epoch.
    pub sent: Ms,
}

impl KeptRequest {
    pub(super) fn of(broken: &BrokenRequest<'_>) -> Self {
        let BrokenRequest { request, begun, sent, .. } = *broken;
        Self { request, parts: broken.parts.to_vec(), begun, sent }
    }

    fn broken<'a>(&'a self, end: &'a KeptEnd) -> BrokenRequest<'a> {
        let Self { request, begun, sent, .. } = *self;
        BrokenRequest { target: &end.target, request, parts: &self.parts, begun, sent, at: end.at }
    }
}

impl Ends {
    /// Parts of ends that are not kept yet, about which hosts have to be asked before. Empty if there is
    /// nothing to keep.
    pub fn unkept(&self, now: Ms) -> Vec<Candidate> {
        let mut found: BTreeMap<Suspect, (usize, Ms)> = BTreeMap::new();
        for end in self.ends.iter().filter(|end| end.is_unkept(now)) {
            for suspect in end.carried.keys() {
                found.entry(*suspect).or_insert((0, end.at)).0 += 1;
            }
        }
        let mut found: Vec<(Suspect, (usize, Ms))> = found.into_iter().collect();
        found.sort_by_key(|(_, (count, _))| std::cmp::Reverse(*count));
        found.truncate(MAX_ASKED);
        found.into_iter().map(|(suspect, (_, since))| Candidate { suspect, since }).collect()
    }

    /// The ends that are not kept yet, without what had sound answers, and without what nobody was asked
    /// about.
    pub fn to_keep(&self, told: &HashMap<Suspect, Observed>, now: Ms) -> EndBatch {
        let suspicious = |suspect: Suspect| {
            told.get(&suspect).is_some_and(|told| told.sound.is_none() && !told.going)
        };
        let ends = self.ends.iter().filter(|end| end.is_unkept(now));
        let ends = ends.map(|end| end.to_keep(suspicious)).filter(|end| !end.requests.is_empty());
        EndBatch { ends: ends.collect() }
    }

    /// Records that all ends up to `at` are kept, or need not be.
    pub fn kept(&mut self, at: Ms) {
        self.ends.iter_mut().filter(|end| end.at <= at).for_each(|end| end.kept = true);
    }

    /// Adds ends that were kept.
    pub fn restore(&mut self, batch: &EndBatch) {
        for end in &batch.ends {
            end.requests.iter().for_each(|request| self.record(&request.broken(end)));
            let known = self.ends.iter_mut().filter(|known| known.target == end.target);
            known.for_each(|known| known.kept = true);
        }
        self.ends.make_contiguous().sort_by_key(|end| end.at);
    }

    /// Whether nothing speaks against anything any more at the ends of these targets.
    pub fn are_settled(&self, targets: &[TargetId]) -> bool {
        let known = self.ends.iter().filter(|end| targets.contains(&end.target));
        known.into_iter().all(|end| end.explained || end.solved || end.carried.is_empty())
    }
}

impl End {
    fn is_unkept(&self, now: Ms) -> bool {
        !self.kept && !self.solved && now - self.at < KEPT_TIME
    }

    fn to_keep(&self, suspicious: impl Fn(Suspect) -> bool) -> KeptEnd {
        let mut requests = Vec::new();
        for request in &self.requests {
            let part = |part: &u64| suspicious(Suspect::Part(*part));
            let parts: Vec<u64> = request.parts.iter().copied().filter(part).collect();
            let key = request.request.filter(|key| suspicious(Suspect::Request(*key)));
            if key.is_some() || !parts.is_empty() {
                requests.push(KeptRequest { request: key, parts, ..request.clone() });
            }
        }
        KeptEnd { target: self.target.clone(), at: self.at, requests }
    }
}
