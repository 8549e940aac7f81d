//! The patterns of load and faults on which policies are compared.

use base::Ms;

use crate::script::{Change, Poisoned, Resend, Script};

/// A pattern of load, with its faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Constant load of 70 % of capacity.
    Steady,
    /// Load of half of capacity with bursts of 2.5 times capacity.
    Burst,
    /// Load of 1.3 times capacity, 80 % of it from one workspace.
    HotCallers,
    /// Three prefix keys account for 80 % of the load.
    HotKeys,
    /// One engine is ten times slower.
    SlowTarget,
    /// Half of the requests ask for the longest answers.
    LongShort,
    /// Constant load of 1.5 times capacity.
    Saturation,
    /// A failure domain is cut off and comes back.
    DomainLost,
    /// Load reports are five seconds old.
    StaleLoad,
    /// Requests that crash engines, re-sent up to 40 times.
    Poison,
    /// One engine goes silent and another is leaving.
    SilentTarget,
    /// Two engines crash every eight seconds, three seconds after each restart.
    Flapping,
    /// Half of all engine executions fail for 20 seconds.
    Errors,
    /// The retrievers are too slow for the load.
    SlowStage,
    /// A burst while an engine is slow.
    SlowBurst,
    /// One workspace sends most of the load while a failure domain is cut off.
    HotLost,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 16] = [
        Self::Steady,
        Self::Burst,
        Self::HotCallers,
        Self::HotKeys,
        Self::SlowTarget,
        Self::LongShort,
        Self::Saturation,
        Self::DomainLost,
        Self::StaleLoad,
        Self::Poison,
        Self::SilentTarget,
        Self::Flapping,
        Self::Errors,
        Self::SlowStage,
        Self::SlowBurst,
        Self::HotLost,
    ];

    /// Its name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Burst => "burst",
            Self::HotCallers => "hot-callers",
            Self::HotKeys => "hot-keys",
            Self::SlowTarget => "slow-target",
            Self::LongShort => "long-short",
            Self::Saturation => "saturation",
            Self::DomainLost => "domain-lost",
            Self::StaleLoad => "stale-load",
            Self::Poison => "poison",
            Self::SilentTarget => "silent-target",
            Self::Flapping => "flapping",
            Self::Errors => "errors",
            Self::SlowStage => "slow-stage",
            Self::SlowBurst => "slow-burst",
            Self::HotLost => "hot-lost",
        }
    }

    /// Looks a pattern up by its name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.as_str() == name)
    }

    /// The script of this pattern.
    pub fn script(self) -> Script {
        match self {
            Self::Steady => steady(0.7),
            Self::Burst => burst(),
            Self::HotCallers => Script { hot_workspace: Some(0.8), ..steady(1.3) },
            Self::HotKeys => Script { hot_keys: Some(3), prefixed: 1.0, ..steady(0.9) },
            Self::SlowTarget => slow(steady(0.7)),
            Self::LongShort => Script { long_share: Some(0.5), ..steady(0.9) },
            // Without shared prefixes the engines' capacity is known exactly.
            Self::Saturation => Script { prefixed: 0.0, ..steady(1.5) },
            Self::DomainLost => lost(steady(0.55)),
            Self::StaleLoad => stale(),
            Self::Poison => poison(),
            Self::SilentTarget => silent(),
            Self::Flapping => flapping(),
            Self::Errors => errors(),
            Self::SlowStage => slow_stage(),
            Self::SlowBurst => slow(burst()),
            Self::HotLost => lost(Script { hot_workspace: Some(0.8), ..steady(0.9) }),
        }
    }
}

fn steady(load: f64) -> Script {
    Script {
        length: Ms::secs(60),
        load: vec![(Ms::ZERO, load)],
        hot_workspace: None,
        hot_keys: None,
        prefixed: 0.5,
        long_share: None,
        changes: Vec::new(),
        report_lag: Ms(400),
        report_every: Ms(500),
        poison: None,
        resend: Resend::Never,
    }
}

/// Bursts of four seconds, which is longer than a queue can absorb within a deadline.
fn burst() -> Script {
    let load = [(0, 0.5), (15, 2.5), (19, 0.5), (35, 2.5), (39, 0.5)];
    Script {
        load: load.into_iter().map(|(at, share)| (Ms::secs(at), share)).collect(),
        resend: Resend::Honour,
        ..steady(0.5)
    }
}

fn slow(script: Script) -> Script {
    Script { changes: vec![(Ms::secs(10), Change::Slow(0, 10.0))], ..script }
}

fn lost(script: Script) -> Script {
    let changes = vec![(Ms::secs(15), Change::Lost(0)), (Ms::secs(35), Change::Back(0))];
    Script { changes, ..script }
}

fn stale() -> Script {
    Script { report_lag: Ms::secs(5), report_every: Ms::secs(2), ..steady(0.85) }
}

fn poison() -> Script {
    let poison = Poisoned { callers: 3, resends: 40, gap: Ms(500) };
    Script { poison: Some(poison), ..steady(0.55) }
}

fn silent() -> Script {
    let changes = vec![(Ms::secs(10), Change::Silent(0)), (Ms::secs(20), Change::Leaving(1))];
    Script { changes, ..steady(0.7) }
}

fn flapping() -> Script {
    let crash = |i: u64| (Ms::secs(10 + 4 * i), Change::Crash(i as usize % 2));
    Script { changes: (0..10).map(crash).collect(), ..steady(0.7) }
}

/// The load is so high that the capacity lost to failed executions is missed by other requests.
fn errors() -> Script {
    let changes = vec![(Ms::secs(15), Change::Errors(0.5)), (Ms::secs(35), Change::Errors(0.0))];
    Script { changes, ..steady(0.85) }
}

/// An early stage becomes 35 times slower and takes most of the deadline: its pool, the third in
/// both deployments, can then serve about five sixths of the load.
fn slow_stage() -> Script {
    let slow = |at, factor| (Ms::secs(at), Change::SlowPool(2, factor));
    Script { changes: vec![slow(15, 35.0), slow(40, 1.0)], ..steady(0.7) }
}
