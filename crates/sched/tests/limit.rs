//! How many requests a target that announces a limit gets from a fleet without coordination.

use base::{HostId, Ms};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::limit::{Limit, LimitEvent, Part, interval, part};

const TARGET: &str = "engine-7";
/// Span over which requests are counted, ms.
const SPAN: u64 = 4_000;
/// Number of failure domains of the fleet.
const DOMAINS: usize = 3;

/// One host with what it knows of the target.
struct Sender {
    limit: Limit,
    interval: Ms,
    next: u64,
}

/// A fleet in which each host would send the target a request every `every` ms on average.
struct Fleet {
    per_second: f64,
    every: u64,
    senders: Vec<Sender>,
}

impl Fleet {
    fn new(count: usize, per_second: f64, every: u64, rng: &mut ChaCha8Rng) -> Self {
        let all: Vec<HostId> = (0..count).map(|i| HostId::from(format!("edge-{i}"))).collect();
        let near: Vec<&HostId> = all.iter().step_by(DOMAINS).collect();
        let sender = |me: &HostId| {
            let part = part(per_second, TARGET, me, near.iter().copied(), &all);
            let interval = interval(per_second, part, count);
            Sender { limit: Limit::default(), interval, next: rng.random_range(0..every) }
        };
        let senders = all.iter().map(sender).collect();
        Self { per_second, every, senders }
    }

    /// Times within `time` at which hosts sent a request after they had learned of the limit.
    fn play(&mut self, time: u64, rng: &mut ChaCha8Rng) -> Vec<u64> {
        let mut sent = Vec::new();
        for sender in &mut self.senders {
            let mut informed = false;
            while sender.next < time {
                let now = Ms(sender.next);
                if sender.limit.delay(now) == Ms::ZERO {
                    sender.limit.sent(now);
                    sender.limit.observe(now, Some(self.per_second));
                    sender.limit.pace(now, sender.interval);
                    if informed {
                        sent.push(now.0);
                    }
                    informed = true;
                }
                sender.next += rng.random_range(1..=2 * self.every);
            }
        }
        sent.sort_unstable();
        sent
    }
}

/// The largest number of requests in any span of [`SPAN`].
fn worst(sent: &[u64]) -> usize {
    let within = |from: &u64| sent.iter().filter(|at| (*from..from + SPAN).contains(*at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

/// Guards against hosts that each keep to the limit and together send a multiple of it.
#[test]
fn all_hosts_together_keep_to_the_limit_at_any_size() {
    for count in [1, 2, 6, 9, 79, 295, 1_000] {
        for per_second in [0.25, 1.0, 3.7, 12.0] {
            for seed in 0..4 {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                let sent = Fleet::new(count, per_second, 200, &mut rng).play(120_000, &mut rng);
                let (worst, allowed) = (worst(&sent), 1.5 * 4.0 * per_second + 5.0);
                let what = format!("{count} hosts, {per_second} a second, seed {seed}");
                assert!(worst as f64 <= allowed, "{what}: {worst} in four seconds");
                let used = sent.len() as f64 / 120.0;
                // A host that sends a request every 200 ms sends no more than five a second.
                let least = (0.6 * per_second).min(count as f64);
                assert!(used >= least, "{what}: {used} a second are used");
            }
        }
    }
}

/// Guards against all hosts without a share probing at the same moment.
#[test]
fn hosts_that_learn_of_a_limit_together_probe_one_after_the_other() {
    let all: Vec<HostId> = (0..295).map(|i| HostId::from(format!("edge-{i}"))).collect();
    let mut probes: Vec<u64> =
        all.iter().map(|me| interval(1.0, part(1.0, TARGET, me, [], &all), all.len()).0).collect();
    probes.sort_unstable();
    assert!(worst(&probes) <= 2, "{} in four seconds", worst(&probes));
    assert!(*probes.last().unwrap() < 30 * 60 * 1_000, "all have probed within half an hour");
}

#[test]
fn a_host_that_composes_all_calls_has_the_whole_limit() {
    assert_eq!(interval(2.0, Part::Shares(1), 6), Ms(500));
}

/// Guards against never sending to a target again because it once announced a limit of zero.
#[test]
fn a_limit_of_zero_is_probed_again() {
    let near = [HostId::from("edge-0")];
    let part = part(0.0, TARGET, &near[0], &near, &near);
    assert_eq!(interval(0.0, part, 1), Ms(3_000));
}

/// Guards against a reordered response ending a limit that has just begun.
#[test]
fn a_reordered_response_does_not_end_a_limit() {
    let mut limit = Limit::default();
    assert_eq!(limit.observe(Ms(1_000), Some(1.0)), Some(LimitEvent::Begun));
    assert_eq!(limit.observe(Ms(1_400), None), None);
    assert!(limit.is_active());
    assert_eq!(limit.observe(Ms(2_100), None), Some(LimitEvent::Ended));
    assert_eq!(limit.delay(Ms(2_100)), Ms::ZERO);
}
