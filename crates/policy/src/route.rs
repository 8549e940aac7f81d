//! *Route*: which target runs a stage.
//!
//! Load reports arrive late, an engine that has cached the prompt prefix is faster, and links
//! between regions are paid by volume. Without routing, all hosts send to the target that looked
//! idle a second ago, each engine computes the same prefix again, and stages cross regions without
//! a benefit.
//!
//! - Tiers: first the failure domain, then the rest of the region, a millisecond away, then other
//!   regions. A tier is used only when no target of a nearer tier has capacity. A call to another
//!   region must also gain more time than [`min_gain`] returns, unless no nearer target is in
//!   service.
//! - Within a tier, the better of two random targets is chosen. Load reports are as old as the
//!   duration of a call, and if each host took the target that looks best, all would take the same
//!   one. A host uses at most [`SUBSET_SIZE`] targets of a tier, so that its state stays small as
//!   the fleet grows.
//! - A request with a prefix goes to an engine that is expected to hold the prefix, or else to the
//!   one selected by rendezvous hashing, which is the same on all hosts. This applies only while
//!   that engine's load is at most [`PREFIX_LOAD_BOUND`] times the load of the better of two random
//!   targets, so a hot prefix spreads to further engines.
//! - A slow target is chosen if it is still faster than waiting for another one, and once per
//!   [`SLOW_RETRY_INTERVAL`] to find out whether it is still slow.

use base::Ms;
use conf::Placement;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::cache::PrefixCache;
use crate::health::Gate;
use crate::limit::SLOW_RATIO;
use crate::target::{Context, Target, Tier};

/// Maximum number of targets of a tier that one host uses.
pub(crate) const SUBSET_SIZE: usize = 24;
/// How much higher the load of an engine that holds the prefix may be: a prefill takes about a
/// quarter of a call.
const PREFIX_LOAD_BOUND: f64 = 1.25;
/// Load up to which an engine that holds the prefix is always acceptable.
const LIGHT_LOAD: f64 = 0.5;
/// Interval between probes of a slow target.
const SLOW_RETRY_INTERVAL: Ms = Ms(1_000);
/// Share of a request's slack that a call to another region must gain, at cost weight 1 and a cost
/// of 1 per gigabyte.
const CROSSING_SLACK_SHARE: f64 = 0.1;
/// Cost per gigabyte above which the required gain no longer rises.
const MAX_COST_PER_GB: f64 = 2.0;
/// Volume of a call to a target that is not an engine, relative to an engine's. Such a call has no
/// prompt and answer of thousands of tokens.
const NON_ENGINE_VOLUME: f64 = 0.1;
/// Targets of a stage kind, by tier.
pub(crate) type Tiers = [Vec<u32>; 3];

/// Time and cost of a call to another region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crossing {
    /// Round-trip time, ms.
    pub(crate) round_trip: f64,
    /// Share of a request's slack that the call must gain.
    pub(crate) slack_share: f64,
}

impl Crossing {
    pub(crate) fn new(far: Ms, cost_per_gb: f64, cost_weight: f64) -> Self {
        Self {
            round_trip: 2.0 * far.0 as f64,
            slack_share: CROSSING_SLACK_SHARE * cost_weight * cost_per_gb.min(MAX_COST_PER_GB),
        }
    }
}

/// Time that a call to another region must gain, ms: the round-trip time, plus a part of the
/// request's `slack` (in ms) that depends on the cost of the transferred volume. Cost is traded
/// against slack only, so it never makes a request miss its deadline while other regions are idle.
pub(crate) fn min_gain(crossing: &Crossing, engine: bool, slack: f64) -> f64 {
    let volume = if engine { 1.0 } else { NON_ENGINE_VOLUME };
    crossing.round_trip + crossing.slack_share * volume * slack.max(0.0)
}

/// A stage for which a target is to be chosen.
pub(crate) struct RouteQuery<'a> {
    pub(crate) tiers: &'a Tiers,
    pub(crate) placement: Placement,
    /// Hash of the prefix; zero if there is none.
    pub(crate) prefix: u64,
    /// A target to avoid if there is an alternative.
    pub(crate) avoid: Option<u32>,
    /// The request was on a target that broke. It should not share a target with another marked
    /// request.
    pub(crate) marked: bool,
    /// Whether the call may be used to probe a target.
    pub(crate) may_probe: bool,
    /// Whether all possible targets are slow.
    pub(crate) all_slow: bool,
    /// Predicted wait for a target in this region, ms.
    pub(crate) wait: f64,
    /// Predicted duration of the stage, ms.
    pub(crate) time: f64,
    /// Time that a call to another region must gain, ms.
    pub(crate) crossing: f64,
}

/// Chooses a target with capacity.
pub(crate) fn choose(
    targets: &[Target],
    context: &Context,
    cache: &PrefixCache,
    rng: &mut ChaCha8Rng,
    query: &RouteQuery<'_>,
) -> Option<u32> {
    if query.avoid.is_some() || query.marked {
        let preferred = nearest_tier(targets, context, cache, rng, query, true);
        if preferred.is_some() {
            return preferred;
        }
    }
    nearest_tier(targets, context, cache, rng, query, false)
}

fn nearest_tier(
    targets: &[Target],
    context: &Context,
    cache: &PrefixCache,
    rng: &mut ChaCha8Rng,
    query: &RouteQuery<'_>,
    exclude: bool,
) -> Option<u32> {
    let excluded =
        |t: u32| Some(t) == query.avoid || query.marked && targets[t as usize].marked > 0;
    let fits = |t: u32| !(exclude && excluded(t)) && fits(&targets[t as usize], context, query);
    let [domain, region, far] = query.tiers;
    let found = in_tier(targets, context, cache, rng, query, domain, fits);
    if found.is_some() || query.placement == Placement::Domain {
        return found;
    }
    let found = in_tier(targets, context, cache, rng, query, region, fits);
    if found.is_some() || query.placement == Placement::Region || far.is_empty() {
        return found;
    }
    let in_service = |t: &u32| matches!(targets[*t as usize].gate(context), Gate::Share(_));
    let near_in_service = domain.iter().any(in_service) || region.iter().any(in_service);
    match near_in_service && query.wait <= query.crossing {
        true => None,
        false => in_tier(targets, context, cache, rng, query, far, fits),
    }
}

fn fits(target: &Target, context: &Context, query: &RouteQuery<'_>) -> bool {
    let probed = matches!(target.gate(context), Gate::Probe);
    let slowdown = target.limit.slowdown();
    let slow =
        slowdown > SLOW_RATIO && !query.all_slow && (slowdown - 1.0) * query.time > query.wait;
    match () {
        () if !target.has_room(context) => false,
        () if probed && !query.may_probe => false,
        () if slow => query.may_probe && target.next_probe <= context.now,
        () => true,
    }
}

/// Whether a target is due for a probe. A due target is chosen first: by its score it would never
/// be chosen while others have capacity, and its recovery would go unnoticed.
fn probe_due(target: &Target, context: &Context) -> bool {
    let slow = target.limit.slowdown() > SLOW_RATIO && target.next_probe <= context.now;
    target.running == 0 && (slow || matches!(target.gate(context), Gate::Probe))
}

fn in_tier(
    targets: &[Target],
    context: &Context,
    cache: &PrefixCache,
    rng: &mut ChaCha8Rng,
    query: &RouteQuery<'_>,
    tier: &[u32],
    fits: impl Fn(u32) -> bool,
) -> Option<u32> {
    let probe_due = |t: &u32| probe_due(&targets[*t as usize], context) && fits(*t);
    if let Some(probe) = tier.iter().copied().filter(|_| query.may_probe).find(probe_due) {
        return Some(probe);
    }
    let pick = better_of_two(targets, context.now, rng, tier, &fits)?;
    if query.prefix == 0 {
        return Some(pick);
    }
    let score = |t: u32| targets[t as usize].score(context.now);
    let max_score = (score(pick) * PREFIX_LOAD_BOUND).max(LIGHT_LOAD);
    let acceptable = |t: &u32| fits(*t) && score(*t) <= max_score;
    let holder = cache.holders(query.prefix).filter(|t| tier.contains(t)).find(acceptable);
    let hashed = || {
        let fitting = tier.iter().copied().filter(acceptable);
        fitting.max_by_key(|&t| mix(query.prefix ^ targets[t as usize].hash))
    };
    holder.or_else(hashed).or(Some(pick))
}

/// The better of two random targets among those that fit.
fn better_of_two(
    targets: &[Target],
    now: Ms,
    rng: &mut ChaCha8Rng,
    tier: &[u32],
    fits: impl Fn(u32) -> bool,
) -> Option<u32> {
    let mut fitting = [0; SUBSET_SIZE];
    let mut len = 0;
    for &t in tier.iter().filter(|&&t| fits(t)).take(SUBSET_SIZE) {
        fitting[len] = t;
        len += 1;
    }
    let fitting = &fitting[..len];
    if len < 2 {
        return fitting.first().copied();
    }
    let draw = rng.next_u64();
    let a = (draw >> 32) as usize % len;
    let b = (a + 1 + (draw & 0xffff_ffff) as usize % (len - 1)) % len;
    let score = |i: usize| targets[fitting[i] as usize].score(now);
    Some(if score(b) < score(a) { fitting[b] } else { fitting[a] })
}

/// Whether no target in `tiers` is in service and as fast as its peers.
pub(crate) fn all_slow(targets: &[Target], context: &Context, tiers: &Tiers) -> bool {
    let fast = |t: &u32| {
        let target = &targets[*t as usize];
        target.limit.slowdown() <= SLOW_RATIO && matches!(target.gate(context), Gate::Share(_))
    };
    !tiers.iter().flatten().any(fast)
}

/// The simplest alternative: round robin over the targets of all tiers that have capacity.
pub(crate) fn round_robin(
    targets: &[Target],
    context: &Context,
    turn: &mut usize,
    query: &RouteQuery<'_>,
) -> Option<u32> {
    let all = query.tiers.iter().flatten().copied();
    let fitting: Vec<u32> = all.filter(|&t| targets[t as usize].has_room(context)).collect();
    *turn += 1;
    let at = *turn % fitting.len().max(1);
    fitting.get(at).copied()
}

/// Records that a call was sent to a target, which delays the next probe if the target is slow.
pub(crate) fn record_placement(target: &mut Target, now: Ms) {
    if target.limit.slowdown() > SLOW_RATIO {
        target.next_probe = now + SLOW_RETRY_INTERVAL;
    }
}

/// Tier of a target, by its location relative to the host.
pub(crate) fn tier(same_domain: bool, same_region: bool) -> Tier {
    match (same_domain, same_region) {
        (true, _) => Tier::Domain,
        (false, true) => Tier::Region,
        (false, false) => Tier::Far,
    }
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
