//! *Route*: which target runs a stage.
//!
//! Answers: lagging load reports, prompt caches, links between regions that are paid by volume.
//!
//! Without it: all hosts send to the target that looked idle a second ago; a prefix is computed
//! anew on each engine; stages cross regions for nothing.
//!
//! - Tiers: the failure domain, then the region, a millisecond away, then other regions. A
//!   further one only when no target of the nearer has room. A crossing between regions must gain
//!   more time than [`asked`] says, unless nothing nearer is open at all.
//! - In a tier, the better of two at random: reports are as old as a call takes, and if each host
//!   took the one that looks best, all would take the same. A host looks at no more than
//!   [`SUBSET`] targets of a tier, so that its view stays small as the fleet grows.
//! - A prefix goes to an engine that is believed to hold it, or else to the one that rendezvous
//!   hashing names, which is the same on all hosts. But only while that engine is less loaded than
//!   [`BOUND`] times the two at random; a hot prefix spreads over the next ones.
//! - A slow target is chosen if even so it is sooner than waiting, and once in [`RETRY`] to learn
//!   whether it still is.

use base::Ms;
use conf::Placement;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::cache::Cache;
use crate::health::Gate;
use crate::limit::SLOW;
use crate::target::{Context, Target, Tier};

/// Targets of a tier that one host uses.
pub(crate) const SUBSET: usize = 24;
/// How much more loaded an engine with the prefix may be: a prefill is about a quarter of a call.
const BOUND: f64 = 1.25;
/// Load that doesn't speak against it.
const LIGHT: f64 = 0.5;
/// Time between tries of a slow target.
const RETRY: Ms = Ms(1_000);
/// Share of a request's slack that a crossing must gain at cost weight 1 and cost 1 a gigabyte.
const EARN: f64 = 0.1;
/// Cost of a gigabyte above which it asks no more.
const MOST_COST: f64 = 2.0;
/// Volume of a call to a target that is no engine, which has no prompt and answer of thousands of
/// tokens, against an engine's.
const LIGHTER: f64 = 0.1;
/// Targets of a kind of stage, by tier.
pub(crate) type Tiers = [Vec<u32>; 3];

/// What a crossing between regions takes and costs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crossing {
    /// There and back, ms.
    pub(crate) way: f64,
    /// Share of a request's slack that it must gain.
    pub(crate) price: f64,
}

impl Crossing {
    pub(crate) fn new(far: Ms, cost_per_gb: f64, cost_weight: f64) -> Self {
        Self { way: 2.0 * far.0 as f64, price: EARN * cost_weight * cost_per_gb.min(MOST_COST) }
    }
}

/// Time that a crossing must gain, ms: its way there and back, and its volume's price as a part of
/// the request's `slack`, ms: cost weighs against time, and never so much that a request is missed
/// while other regions are idle.
pub(crate) fn asked(crossing: &Crossing, engine: bool, slack: f64) -> f64 {
    let volume = if engine { 1.0 } else { LIGHTER };
    crossing.way + crossing.price * volume * slack.max(0.0)
}

/// What is to be placed.
pub(crate) struct Want<'a> {
    pub(crate) tiers: &'a Tiers,
    pub(crate) placement: Placement,
    /// Hash of the prefix; zero for none.
    pub(crate) prefix: u64,
    /// A target to keep away from if there is any other.
    pub(crate) avoid: Option<u32>,
    /// It was on a target that broke: better not beside another such.
    pub(crate) marked: bool,
    /// Whether it may be spent on finding out how a target is.
    pub(crate) probe: bool,
    /// There is no other target that isn't slow.
    pub(crate) alone: bool,
    /// Predicted wait for a nearer target, ms.
    pub(crate) wait: f64,
    /// Predicted time of the stage, ms.
    pub(crate) time: f64,
    /// Time that a crossing must gain, ms.
    pub(crate) crossing: f64,
}

/// Chooses a target with room.
pub(crate) fn choose(
    targets: &[Target],
    context: &Context,
    cache: &Cache,
    rng: &mut ChaCha8Rng,
    want: &Want<'_>,
) -> Option<u32> {
    if want.avoid.is_some() || want.marked {
        let apart = near_first(targets, context, cache, rng, want, true);
        if apart.is_some() {
            return apart;
        }
    }
    near_first(targets, context, cache, rng, want, false)
}

fn near_first(
    targets: &[Target],
    context: &Context,
    cache: &Cache,
    rng: &mut ChaCha8Rng,
    want: &Want<'_>,
    apart: bool,
) -> Option<u32> {
    let kept = |t: u32| Some(t) == want.avoid || want.marked && targets[t as usize].marked > 0;
    let fits = |t: u32| !(apart && kept(t)) && fits(&targets[t as usize], context, want);
    let [domain, region, far] = want.tiers;
    let found = in_tier(targets, context, cache, rng, want, domain, fits);
    if found.is_some() || want.placement == Placement::Domain {
        return found;
    }
    let found = in_tier(targets, context, cache, rng, want, region, fits);
    if found.is_some() || want.placement == Placement::Region || far.is_empty() {
        return found;
    }
    let open = |t: &u32| matches!(targets[*t as usize].gate(context), Gate::Share(_));
    let home = domain.iter().any(open) || region.iter().any(open);
    match home && want.wait <= want.crossing {
        true => None,
        false => in_tier(targets, context, cache, rng, want, far, fits),
    }
}

fn fits(target: &Target, context: &Context, want: &Want<'_>) -> bool {
    let probed = matches!(target.gate(context), Gate::Probe);
    let pace = target.limit.pace();
    let slow = pace > SLOW && !want.alone && (pace - 1.0) * want.time > want.wait;
    match () {
        () if !target.room(context) => false,
        () if probed && !want.probe => false,
        () if slow => want.probe && target.retry <= context.now,
        () => true,
    }
}

/// Whether it is time to find out how a target is. Then it goes first: by its score it would
/// never be chosen while others have room, and nobody would learn that it is well again.
fn due(target: &Target, context: &Context) -> bool {
    let slow = target.limit.pace() > SLOW && target.retry <= context.now;
    target.running == 0 && (slow || matches!(target.gate(context), Gate::Probe))
}

fn in_tier(
    targets: &[Target],
    context: &Context,
    cache: &Cache,
    rng: &mut ChaCha8Rng,
    want: &Want<'_>,
    tier: &[u32],
    fits: impl Fn(u32) -> bool,
) -> Option<u32> {
    let due = |t: &u32| due(&targets[*t as usize], context) && fits(*t);
    if let Some(probe) = tier.iter().copied().filter(|_| want.probe).find(due) {
        return Some(probe);
    }
    let two = two(targets, context.now, rng, tier, &fits)?;
    if want.prefix == 0 {
        return Some(two);
    }
    let score = |t: u32| targets[t as usize].score(context.now);
    let most = (score(two) * BOUND).max(LIGHT);
    let good = |t: &u32| fits(*t) && score(*t) <= most;
    let holder = cache.holders(want.prefix).filter(|t| tier.contains(t)).find(good);
    let named = || {
        let fitting = tier.iter().copied().filter(good);
        fitting.max_by_key(|&t| mix(want.prefix ^ targets[t as usize].hash))
    };
    holder.or_else(named).or(Some(two))
}

/// The better of two at random among those that fit.
fn two(
    targets: &[Target],
    now: Ms,
    rng: &mut ChaCha8Rng,
    tier: &[u32],
    fits: impl Fn(u32) -> bool,
) -> Option<u32> {
    let mut fitting = [0; SUBSET];
    let mut len = 0;
    for &t in tier.iter().filter(|&&t| fits(t)).take(SUBSET) {
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

/// Whether no target of `tiers` is open and as fast as its peers.
pub(crate) fn all_slow(targets: &[Target], context: &Context, tiers: &Tiers) -> bool {
    let well = |t: &u32| {
        let target = &targets[*t as usize];
        target.limit.pace() <= SLOW && matches!(target.gate(context), Gate::Share(_))
    };
    !tiers.iter().flatten().any(well)
}

/// The plainest choice: whoever's turn it is among those of all tiers that have room.
pub(crate) fn in_turn(
    targets: &[Target],
    context: &Context,
    turn: &mut usize,
    want: &Want<'_>,
) -> Option<u32> {
    let all = want.tiers.iter().flatten().copied();
    let fitting: Vec<u32> = all.filter(|&t| targets[t as usize].room(context)).collect();
    *turn += 1;
    let at = *turn % fitting.len().max(1);
    fitting.get(at).copied()
}

/// Notes that a call was placed on a slow target.
pub(crate) fn placed(target: &mut Target, now: Ms) {
    if target.limit.pace() > SLOW {
        target.retry = now + RETRY;
    }
}

/// How far a target is from the host.
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
