//! Generates from a seed what happens in a run.

use base::Ms;
use proptest::prelude::*;
use proptest::sample::select;

/// Most hosts in a run.
pub const HOSTS: usize = 4;
/// Number of keys that the callers of a run use.
pub const KEYS: usize = 4;

/// The events of one run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Seed of the random faults of the platform and the links.
    pub seed: u64,
    pub hosts: usize,
    /// Clock error of each host, ms; negative if it lags.
    pub skews: Vec<i64>,
    /// Every other host has a different number of shards in its settings.
    pub mixed_settings: bool,
    pub steps: Vec<(Ms, Step)>,
}

/// One event, which follows after a gap. Host numbers are taken modulo the number of hosts.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller sends a key to a host, for the first time or again.
    Send {
        key: usize,
        host: usize,
        work: Work,
    },
    Kill {
        host: usize,
    },
    Restart {
        host: usize,
    },
    Pause {
        host: usize,
        span: Ms,
    },
    /// Two hosts can't reach each other.
    CutLink {
        a: usize,
        b: usize,
        span: Ms,
    },
    /// A host can't reach the platform.
    CutFromPlatform {
        host: usize,
        span: Ms,
    },
    /// A host doesn't see another host, which is alive.
    HideHost {
        host: usize,
        other: usize,
        span: Ms,
    },
    Outage {
        span: Ms,
    },
    Busy {
        span: Ms,
    },
    /// Share of writes whose response is lost, of writes that take effect late, and of stale reads,
    /// each in percent.
    ApiFaults {
        lost: u8,
        late: u8,
        stale: u8,
        span: Ms,
    },
    /// A pause in which keys grow old.
    Wait {
        span: Ms,
    },
}

/// What a granted attempt does.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Time from the grant to the first byte.
    pub send_delay: Ms,
    /// Time from the first byte to the answer.
    pub duration: Ms,
    pub end: End,
}

/// How the attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Answered,
    /// Nothing is sent; the claim is released.
    Unsent,
    /// The work is sent, and the target dies while it runs it.
    TargetLost,
}

fn span() -> impl Strategy<Value = Ms> + Clone {
    select(vec![50, 200, 600, 1500, 4000]).prop_map(Ms)
}

fn work() -> impl Strategy<Value = Work> {
    let end =
        prop_oneof![6 => Just(End::Answered), 2 => Just(End::Unsent), 1 => Just(End::TargetLost)];
    (0u64..80, 1u64..400, end).prop_map(|(send_delay, duration, end)| Work {
        send_delay: Ms(send_delay),
        duration: Ms(duration),
        end,
    })
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    let send = (0..KEYS, host.clone(), work()).prop_map(|(key, host, work)| Step::Send {
        key,
        host,
        work,
    });
    let host_pair = (host.clone(), host.clone(), span());
    let single_host = (host.clone(), span());
    prop_oneof![
        16 => send,
        1 => host.clone().prop_map(|host| Step::Kill { host }),
        1 => host.prop_map(|host| Step::Restart { host }),
        2 => single_host.clone().prop_map(|(host, span)| Step::Pause { host, span }),
        2 => host_pair.clone().prop_map(|(a, b, span)| Step::CutLink { a, b, span }),
        1 => single_host.prop_map(|(host, span)| Step::CutFromPlatform { host, span }),
        1 => host_pair.prop_map(|(host, other, span)| Step::HideHost { host, other, span }),
        1 => span().prop_map(|span| Step::Outage { span }),
        1 => span().prop_map(|span| Step::Busy { span }),
        3 => (0u8..60, 0u8..60, 0u8..60, span())
            .prop_map(|(lost, late, stale, span)| Step::ApiFaults { lost, late, stale, span }),
        1 => select(vec![3_000, 12_000]).prop_map(|ms| Step::Wait { span: Ms(ms) }),
    ]
}

/// Schedules of 8 to 39 steps, most of them close together.
pub fn schedule() -> impl Strategy<Value = Schedule> {
    let gap = prop_oneof![3 => Just(0u64), 4 => 0u64..40, 3 => 0u64..400].prop_map(Ms);
    let steps = prop::collection::vec((gap, step()), 8..40);
    let skews = prop::collection::vec(select(vec![0i64, 0, 300, -300, 2_500, -2_500]), HOSTS);
    (any::<u64>(), 1..=HOSTS, skews, steps).prop_map(|(seed, hosts, skews, steps)| Schedule {
        seed,
        hosts,
        skews,
        mixed_settings: false,
        steps,
    })
}

/// Changes a schedule so that keys grow old: half-way through, all wait until the window has
/// passed, give or take the clock errors. Then the requests of the first half are sent again,
/// interleaved with those of the second half, which have keys of their own.
pub fn with_old_keys(schedule: Schedule) -> Schedule {
    let Schedule { seed, hosts, mixed_settings, mut steps, .. } = schedule;
    let second_half = steps.split_off(steps.len() / 2).into_iter().map(|(gap, step)| match step {
        Step::Send { key, host, work } => (gap, Step::Send { key: key + KEYS, host, work }),
        step => (gap, step),
    });
    let sends = steps.iter().filter(|(_, step)| matches!(step, Step::Send { .. }));
    let resends: Vec<_> = sends.cloned().collect();
    steps.push((Ms::ZERO, Step::Wait { span: Ms(10_000 + seed % 2_500) }));
    let mut resends = resends.into_iter();
    for step in second_half {
        steps.push(step);
        steps.extend(resends.next());
    }
    steps.extend(resends);
    let skews = (0..HOSTS).map(|host| if seed >> host & 1 == 0 { 2_500 } else { -2_500 });
    Schedule { seed, hosts, skews: skews.collect(), mixed_settings, steps }
}
