//! Chooses the target of a plain request where targets report their pace.
//!
//! The load: targets differ in speed, several hosts send to each, and a reported figure is up to
//! half a second old when hundreds of hosts act on it. If all took the target that looks best, it
//! would get all requests until its next report. So two targets are drawn for each request, and the
//! cheaper one is taken: no target gets more than two shares, whatever the figures say.

use super::{
    Candidate, DEFAULT_LATENCY_MS, Distance, FAILURE_COST_MS, OTHER_REGION_MS, SAME_REGION_MS,
    first_to_return,
};
use crate::pace::{MIN_FACTOR, queue_factor};

/// Targets of the region whose expected responses, when idle, differ by less than this factor are
/// drawn alike: measurements vary that much, and all hosts would otherwise prefer the same one.
const SIMILAR: f64 = 1.5;
/// Largest part of a measured response time that is attributed to the round trip.
const MAX_TRAVEL: f64 = 0.5;

/// A candidate with what its reports say.
#[derive(Clone, Debug)]
pub struct Paced<'a> {
    /// What is known of any candidate. Its load includes what this host sent since the last report.
    pub base: Candidate<'a>,
    /// The factor of its pace at the age of the report, 1 being normal; none if it reports none.
    pub pace: Option<f64>,
    /// Mean factor, from pace and queue, under which its latency was measured.
    pub stretch: f64,
    /// For engines: measured times to the first event, relative to the expected ones.
    pub measured: f64,
    /// Distance from this host. That in `base` is the distance from the stage results that it reads.
    pub host: Distance,
    /// For engines: distance to the nearest other engine that has the subject in its cache.
    pub source: Distance,
}

impl Paced<'_> {
    /// The reported factor; normal without a report.
    pub(super) fn factor(&self) -> f64 {
        self.pace.unwrap_or(1.0).max(MIN_FACTOR)
    }
}

/// Additional response time of a target at this distance, ms.
pub(super) const fn travel(distance: Distance) -> f64 {
    match distance {
        Distance::Domain => 0.0,
        Distance::Region => SAME_REGION_MS,
        Distance::Far => OTHER_REGION_MS,
    }
}

/// Whether any of these targets reports its pace.
pub(super) fn any_paced(candidates: &[Paced<'_>]) -> bool {
    candidates.iter().any(|c| c.pace.is_some())
}

/// The candidates without their reports.
pub(super) fn bases<'a>(candidates: &[Paced<'a>]) -> Vec<Candidate<'a>> {
    candidates.iter().map(|c| c.base.clone()).collect()
}

/// Expected cost of a plain request at one target, ms.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// If it were idle.
    idle: f64,
    /// With the work ahead.
    now: f64,
}

/// The target for a plain request. Each request needs a `draw` of its own. For `risky` see
/// [`super::plain`], which decides if no target reports its pace.
pub fn plain(candidates: &[Paced<'_>], risky: bool, draw: u64) -> Option<usize> {
    if !any_paced(candidates) {
        return super::plain(&bases(candidates), risky);
    }
    let mean = mean_service(candidates);
    let costs: Vec<Cost> = candidates.iter().map(|c| cost(c, mean, risky)).collect();
    let usable = (0..candidates.len()).filter(|i| candidates[*i].base.usable);
    let best = usable.clone().map(|i| costs[i].now).fold(f64::INFINITY, f64::min);
    // A target of another region must answer sooner than the best one even so.
    let may_win = |i: &usize| match candidates[*i].host {
        Distance::Far => costs[*i].idle <= best,
        Distance::Domain | Distance::Region => costs[*i].idle <= SIMILAR * best,
    };
    let pool: Vec<usize> = usable.filter(may_win).collect();
    let drawn = draw_two(pool.len(), draw).map(|at| pool[at]);
    let cheapest = drawn.min_by(|a, b| costs[*a].now.total_cmp(&costs[*b].now));
    cheapest.or_else(|| first_to_return(&bases(candidates)))
}

fn cost(c: &Paced<'_>, mean: f64, risky: bool) -> Cost {
    let trial = if c.base.trial && risky { FAILURE_COST_MS } else { 0.0 };
    let failures = FAILURE_COST_MS * c.base.failure_rate + trial;
    let service = service_time(c).unwrap_or(mean) * c.factor();
    let queue = queue_factor(c.base.load, c.base.slots);
    let fixed = travel_of(c) + failures;
    Cost { idle: fixed + service, now: fixed + service * queue }
}

/// The part of a target's response time that is its round trip, ms.
fn travel_of(c: &Paced<'_>) -> f64 {
    let assumed = travel(c.host);
    c.base.latency.map_or(assumed, |latency| assumed.min(MAX_TRAVEL * latency))
}

/// Measured time in which the target serves a request when it is idle and its pace is normal, ms.
fn service_time(c: &Paced<'_>) -> Option<f64> {
    Some((c.base.latency? - travel_of(c)) / c.stretch.max(MIN_FACTOR))
}

/// Mean of the measured service times, assumed for a target without one. A low value would send the
/// next request of all hosts to a target that has just started.
fn mean_service(candidates: &[Paced<'_>]) -> f64 {
    let measured: Vec<f64> = candidates.iter().filter_map(service_time).collect();
    match measured.len() {
        0 => DEFAULT_LATENCY_MS,
        count => measured.iter().sum::<f64>() / count as f64,
    }
}

/// Two different indices below `len`, or as many as there are.
pub(super) fn draw_two(len: usize, draw: u64) -> impl Iterator<Item = usize> {
    let first = (draw as u32 as usize).checked_rem(len);
    let step = ((draw >> 32) as usize).checked_rem(len.saturating_sub(1));
    let second = first.zip(step).map(|(first, step)| (first + 1 + step) % len);
    first.into_iter().chain(second)
}
