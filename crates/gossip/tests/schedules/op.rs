//! Events and faults that a schedule applies to a small fleet.

use base::Ms;
use proptest::prelude::*;

pub const HOSTS: usize = 6;
pub const DOMAINS: usize = 3;

/// One event, and how long the fleet runs after it.
#[derive(Clone, Debug)]
pub struct Step {
    pub op: Op,
    pub wait: Ms,
}

#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// An operator changes the configuration.
    Apply,
    /// Two operators read the same generation and both write; the second one's write is refused.
    Race,
    /// An operator marks a target as leaving, or revokes the mark.
    Operator(bool),
    /// A target reports itself as leaving, or no longer.
    Own(bool),
    /// The platform's list shows a target as leaving, or no longer.
    Listed(bool),
    /// A host gives up on a request and marks it as poison.
    Poison(usize),
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    /// The link from one host to another, in that direction only.
    Cut(usize, usize),
    /// All links between a domain and the others, in both directions.
    CutDomain(usize),
    CutPlatform(usize),
    Heal,
    Down(bool),
    Slow(bool),
    Busy,
    Unresponsive(bool),
    /// Watches no longer follow their objects; never repaired.
    StuckWatches,
    /// Reads return old content.
    Stale(bool),
    /// The store is restored with the configuration from before the last change.
    Restore,
    /// A host gets an old configuration from a peer that was away.
    Replay(usize),
    /// A host gets an old mark of a target.
    OldMark(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let host = || 0..HOSTS;
    prop_oneof![
        6 => Just(Op::Apply),
        2 => Just(Op::Race),
        2 => any::<bool>().prop_map(Op::Operator),
        2 => any::<bool>().prop_map(Op::Own),
        2 => any::<bool>().prop_map(Op::Listed),
        1 => host().prop_map(Op::Poison),
        2 => host().prop_map(Op::Kill),
        3 => host().prop_map(Op::Start),
        2 => host().prop_map(Op::Pause),
        2 => host().prop_map(Op::Resume),
        2 => (host(), host()).prop_map(|(a, b)| Op::Cut(a, b)),
        2 => (0..DOMAINS).prop_map(Op::CutDomain),
        2 => host().prop_map(Op::CutPlatform),
        2 => Just(Op::Heal),
        2 => any::<bool>().prop_map(Op::Down),
        1 => any::<bool>().prop_map(Op::Slow),
        1 => Just(Op::Busy),
        1 => any::<bool>().prop_map(Op::Unresponsive),
        1 => Just(Op::StuckWatches),
        2 => any::<bool>().prop_map(Op::Stale),
        1 => Just(Op::Restore),
        2 => host().prop_map(Op::Replay),
        1 => host().prop_map(Op::OldMark),
    ]
}

/// A schedule: mostly short waits, so that faults overlap, and some long enough for hosts to be
/// suspected.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let wait = prop_oneof![6 => 0..800u64, 3 => 800..3_000u64, 1 => 8_000..15_000u64];
    let step = (op(), wait).prop_map(|(op, wait)| Step { op, wait: Ms(wait) });
    prop::collection::vec(step, 4..20)
}
