//! Chooses the target that runs a request.
//!
//! Services run in several regions, engines cache the prompts that they have read, and a burst may
//! be about a single subject. Without these rules responses cross regions, each engine reads each
//! prompt again, and one engine is overloaded by a popular subject.
//!
//! Engines: all hosts assign a subject to the same engine of a failure domain by rendezvous
//! hashing, so that a prompt is read once in a domain without any exchange between the hosts. If
//! that engine has much to read, a free one is preferred when it can copy the subject's cached
//! prompt sooner. A bound on the load moves the excess to the next engine in the subject's own
//! order.
//!
//! Plain services: the target with the earliest expected response, with a penalty for its failures.
//!
//! Targets that report their pace are chosen by [`paced`] and [`engines`].

pub mod engines;
pub mod paced;

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

/// Assumed additional response time of a target in another region, ms, until one was measured:
/// links between regions take about 20 ms each way.
const OTHER_REGION_MS: f64 = 40.0;
/// The same for another failure domain of the region: about 1 ms each way.
const SAME_REGION_MS: f64 = 2.0;
/// Assumed response time of a target without a measurement, ms: low, so that each target is tried
/// once.
const DEFAULT_LATENCY_MS: f64 = 10.0;
/// Cost of a failed response, ms: a retry at another target, and the harm to the caller.
const FAILURE_COST_MS: f64 = 400.0;
/// Requests above the mean of the engines that an engine takes before a subject moves to the next
/// one. Reading a long shared prompt again costs about as much as a few more requests do by
/// lengthening the engine's step time.
const LOAD_SLACK: f64 = 6.0;
/// Part of an engine's slots that may be filled by subject while other engines have free slots.
/// What waits in an engine's own queue can neither be reordered nor moved by the hosts.
const MAX_FILL: f64 = 0.85;

/// A target that may run the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Name of the target.
    pub name: &'a str,
    /// Distance from this host.
    pub distance: Distance,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it has, as far as is known: those of this host and the number it last
    /// reported.
    pub load: u32,
    /// Average response time, ms.
    pub latency: Option<f64>,
    /// Share of recent responses that were failures.
    pub failure_rate: f64,
    /// Whether it may get a request now.
    pub usable: bool,
    /// For engines: time until it has read the prompts that were sent to it.
    pub wait: Ms,
    /// For engines: whether it has the subject's shared prompt in its cache, as far as is known.
    pub cached: bool,
    /// End of its ejection, if it is ejected.
    pub ejected_until: Ms,
    /// Whether the next request is a trial after an ejection.
    pub trial: bool,
}

/// The target for a plain request. `risky` means that the request can't be retried if it fails;
/// trials are then left to other requests. If no target is usable, the one whose ejection ends
/// first.
pub fn plain(candidates: &[Candidate<'_>], risky: bool) -> Option<usize> {
    let cost = |c: &Candidate<'_>| {
        let far = match c.distance {
            Distance::Domain => 0.0,
            Distance::Region => SAME_REGION_MS,
            Distance::Far => OTHER_REGION_MS,
        };
        let time = c.latency.unwrap_or(DEFAULT_LATENCY_MS + far);
        let waiting = f64::from(c.load) / f64::from(c.slots.max(1));
        let trial = if c.trial && risky { FAILURE_COST_MS } else { 0.0 };
        // Half full costs little; beyond full, each round of slots costs a whole response time.
        time * (1.0 + waiting * waiting) + FAILURE_COST_MS * c.failure_rate + trial
    };
    let usable = (0..candidates.len()).filter(|i| candidates[*i].usable);
    usable
        .min_by(|a, b| cost(&candidates[*a]).total_cmp(&cost(&candidates[*b])))
        .or_else(|| first_to_return(candidates))
}

/// The engine for a generation about `subject`. Copying the subject's cached prompt from another
/// engine takes `copy`.
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
    usable.min_by_key(|i| (candidates[*i].load, *i)).or_else(|| first_to_return(candidates))
}

fn in_tier(candidates: &[Candidate<'_>], tier: &[usize], subject: u64, copy: Ms) -> Option<usize> {
    let total: u32 = tier.iter().map(|i| candidates[*i].load).sum();
    let mean = f64::from(total) / tier.len().max(1) as f64;
    let fits = |i: &usize| {
        let c = &candidates[*i];
        let load = f64::from(c.load);
        load < f64::from(c.slots) * MAX_FILL && load <= mean + LOAD_SLACK
    };
    let score = |i: &usize| hash_parts(&[&subject.to_le_bytes(), candidates[*i].name.as_bytes()]);
    let owner = tier.iter().copied().max_by_key(score);
    let cost = |i: &usize| match Some(*i) == owner || candidates[*i].cached {
        true => candidates[*i].wait,
        false => candidates[*i].wait + copy,
    };
    // Engines of equal cost are taken in the subject's own order.
    let order = |i: &usize| (cost(i), std::cmp::Reverse(score(i)));
    tier.iter().copied().filter(fits).min_by_key(order)
}

fn first_to_return(candidates: &[Candidate<'_>]) -> Option<usize> {
    (0..candidates.len()).min_by_key(|i| (candidates[*i].ejected_until, *i))
}
