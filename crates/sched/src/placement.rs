//! *Place*: which target runs a request.
//!
//! Answers: services in several regions, engines that keep the prompts they have read, a burst
//! about one subject. Without it answers cross regions, each engine reads each prompt again, and
//! one engine drowns in a subject that is in fashion.
//!
//! Engines: all hosts put a subject on the same engine of a failure domain by rendezvous hashing,
//! so a prompt is read once a domain without the hosts telling each other. Where that engine has
//! much to read, one that is free goes first if it can copy the subject's memory sooner. A load
//! bound moves what is too much to the next engine in the subject's own order. Plain services: the target
//! whose answer is expected first, with what its failures cost.

use base::{Ms, hash_parts};

/// How far a target is from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same failure domain.
    Domain,
    /// Same region.
    Region,
    /// Another region.
    Far,
}

/// Time that a far target's answer takes longer, ms, while none of its own was timed: links
/// between regions take about 20 ms each way.
const FAR_MS: f64 = 40.0;
/// The same within a region: about 1 ms each way.
const REGION_MS: f64 = 2.0;
/// Typical time of a target that was never timed, ms: low, so that each is tried once.
const UNKNOWN_MS: f64 = 10.0;
/// Cost of a failed answer, ms: a second send to another target, and the caller's worry.
const FAIL_MS: f64 = 400.0;
/// Requests beyond the mean that an engine takes before a subject moves on. Reading a long shared
/// part again costs about as much as a few more requests on the engine's step time.
const LOAD_SLACK: f64 = 6.0;
/// Part of an engine's slots that subjects may fill while others have room; what waits in an
/// engine's own queue is neither ordered nor moved by the hosts.
const FILL: f64 = 0.85;

/// A target that may run it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// How far it is.
    pub distance: Distance,
    /// Requests it runs at once.
    pub slots: u32,
    /// Requests there, as far as is known: those of this host, and what it said last.
    pub load: u32,
    /// Typical time of an answer, ms.
    pub latency: Option<f64>,
    /// Share of answers that failed lately.
    pub failure_rate: f64,
    /// Whether it may get work now.
    pub usable: bool,
    /// Time until it has read the prompts that it was sent, ms; for engines.
    pub wait: Ms,
    /// Whether it has read the subject's shared part, as far as is known; for engines.
    pub cached: bool,
    /// Until when it is ejected, if it is.
    pub ejected_until: Ms,
    /// Whether the next send is a trial after an ejection.
    pub trial: bool,
}

/// The target for a plain request. `risky` says that a failed send can't be made up for: trials
/// are left to others then. When none is usable, the one that is ejected the shortest.
pub fn plain(candidates: &[Candidate<'_>], risky: bool) -> Option<usize> {
    let cost = |c: &Candidate<'_>| {
        let far = match c.distance {
            Distance::Domain => 0.0,
            Distance::Region => REGION_MS,
            Distance::Far => FAR_MS,
        };
        let time = c.latency.unwrap_or(UNKNOWN_MS + far);
        let waiting = f64::from(c.load) / f64::from(c.slots.max(1));
        let trial = if c.trial && risky { FAIL_MS } else { 0.0 };
        // Half full costs little, beyond full each round of slots costs a whole answer's time.
        time * (1.0 + waiting * waiting) + FAIL_MS * c.failure_rate + trial
    };
    let usable = (0..candidates.len()).filter(|i| candidates[*i].usable);
    usable
        .min_by(|a, b| cost(&candidates[*a]).total_cmp(&cost(&candidates[*b])))
        .or_else(|| soonest(candidates))
}

/// The engine for a generation about `subject`, whose memory takes `copy` to come from another.
pub fn engine(candidates: &[Candidate<'_>], subject: u64, copy: Ms) -> Option<usize> {
    for distance in [Distance::Domain, Distance::Region, Distance::Far] {
        let tier: Vec<usize> = (0..candidates.len())
            .filter(|i| candidates[*i].distance == distance && candidates[*i].usable)
            .collect();
        if let Some(found) = in_tier(candidates, &tier, subject, copy) {
            return Some(found);
        }
    }
    let usable = (0..candidates.len()).filter(|i| candidates[*i].usable);
    usable.min_by_key(|i| (candidates[*i].load, *i)).or_else(|| soonest(candidates))
}

fn in_tier(candidates: &[Candidate<'_>], tier: &[usize], subject: u64, copy: Ms) -> Option<usize> {
    let total: u32 = tier.iter().map(|i| candidates[*i].load).sum();
    let mean = f64::from(total) / tier.len().max(1) as f64;
    let fits = |i: &usize| {
        let c = &candidates[*i];
        let load = f64::from(c.load);
        load < f64::from(c.slots) * FILL && load <= mean + LOAD_SLACK
    };
    let score = |i: &usize| hash_parts(&[&subject.to_le_bytes(), candidates[*i].name.as_bytes()]);
    let keeper = tier.iter().copied().max_by_key(score);
    let cost = |i: &usize| match Some(*i) == keeper || candidates[*i].cached {
        true => candidates[*i].wait,
        false => candidates[*i].wait + copy,
    };
    // Of those that cost the same, the first in the subject's own order.
    let order = |i: &usize| (cost(i), std::cmp::Reverse(score(i)));
    tier.iter().copied().filter(fits).min_by_key(order)
}

fn soonest(candidates: &[Candidate<'_>]) -> Option<usize> {
    (0..candidates.len()).min_by_key(|i| (candidates[*i].ejected_until, *i))
}
