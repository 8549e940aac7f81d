//! What happens to a small fleet, as data.

use base::Ms;
use proptest::prelude::*;

pub const HOSTS: usize = 6;
pub const DOMAINS: usize = 3;

/// One thing that happens, and how long the fleet runs after it.
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
    /// An operator marks a target, or takes the mark back.
    Operator(bool),
    /// A target says of itself that it is leaving, or not.
    Own(bool),
    /// The platform's list says so of a target.
    Listed(bool),
    /// A host gives up on a request.
    Poison(usize),
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    /// One way from a host to another.
    Cut(usize, usize),
    /// Both ways between a domain and the others.
    CutDomain(usize),
    CutPlatform(usize),
    Heal,
    Down(bool),
    Slow(bool),
    Busy,
    Unresponsive(bool),
    /// Watches lose track of what they watch; never mended.
    StuckWatches,
    /// Reads give old content.
    Stale(bool),
    /// The store comes back with the configuration before the last change.
    Restore,
    /// A host hears an old configuration from a peer that was away.
    Replay(usize),
    /// A host hears an old word on a target.
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

/// A schedule: mostly short waits, so that faults meet, and some long enough for suspicion.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let wait = prop_oneof![6 => 0..800u64, 3 => 800..3_000u64, 1 => 8_000..15_000u64];
    let step = (op(), wait).prop_map(|(op, wait)| Step { op, wait: Ms(wait) });
    prop::collection::vec(step, 4..20)
}
