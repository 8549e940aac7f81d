//! Random schedules: what happens in a simulation run, and when.

use base::Ms;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of entry hosts.
pub const HOSTS: usize = 3;
/// Number of targets: two encoders, two engines and two registers, in the order of the
/// configuration.
pub const TARGETS: usize = 6;
/// Number of idempotency keys that callers use.
pub const KEYS: usize = 4;

/// The steps of a run, each with the delay before it.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub steps: Vec<(Ms, Step)>,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A caller requests text, and disconnects after `max_wait` without an answer.
    Write {
        host: usize,
        input: u8,
        max_wait: Ms,
    },
    /// A caller sends a key. Every send after the first is marked as a re-send.
    SignOff {
        host: usize,
        key: usize,
        max_wait: Ms,
    },
    Kill {
        host: usize,
    },
    Boot {
        host: usize,
    },
    Pause {
        host: usize,
        duration: Ms,
    },
    Fault {
        target: usize,
        kind: FaultKind,
        duration: Ms,
    },
    Cut {
        host: usize,
        target: usize,
        duration: Ms,
    },
    Outage {
        duration: Ms,
    },
    LostAnswers {
        duration: Ms,
    },
    LateWrites {
        duration: Ms,
    },
}

/// A fault of a target that lasts for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// The target loses everything that it runs, its connections break, and it can't be reached.
    Down,
    /// Its open connections go silent permanently; new ones work.
    Silent,
    /// It refuses calls as overloaded.
    Full,
    /// Some of its responses carry another request's identifier and text.
    Foreign,
    /// It sends some pieces twice, and some old pieces late.
    Doubled,
    /// It takes forty times as long, which can exceed the idle timeout.
    Slow,
    /// Some of its streams end early without an end mark.
    Cut,
}

fn duration() -> impl Strategy<Value = Ms> {
    (10u64..2_000).prop_map(Ms)
}

fn kind() -> impl Strategy<Value = FaultKind> {
    use FaultKind::*;
    prop::sample::select(vec![Down, Silent, Full, Foreign, Doubled, Slow, Cut])
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    let max_wait = prop_oneof![3 => Just(Ms::secs(20)), 1 => (1u64..300).prop_map(Ms)];
    prop_oneof![
        6 => (host.clone(), any::<u8>(), max_wait.clone())
            .prop_map(|(host, input, max_wait)| Step::Write { host, input, max_wait }),
        8 => (host.clone(), 0..KEYS, max_wait)
            .prop_map(|(host, key, max_wait)| Step::SignOff { host, key, max_wait }),
        1 => host.clone().prop_map(|host| Step::Kill { host }),
        2 => host.clone().prop_map(|host| Step::Boot { host }),
        1 => (host.clone(), duration()).prop_map(|(host, duration)| Step::Pause { host, duration }),
        6 => (0..TARGETS, kind(), duration())
            .prop_map(|(target, kind, duration)| Step::Fault { target, kind, duration }),
        1 => (host, 0..TARGETS, duration())
            .prop_map(|(host, target, duration)| Step::Cut { host, target, duration }),
        1 => duration().prop_map(|duration| Step::Outage { duration }),
        1 => duration().prop_map(|duration| Step::LostAnswers { duration }),
        1 => duration().prop_map(|duration| Step::LateWrites { duration }),
    ]
}

/// Generates the schedule of a seed.
pub fn schedule_of(seed: u64) -> Schedule {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let delay = prop_oneof![3 => 0u64..40, 1 => 40u64..800].prop_map(Ms);
    let steps = prop::collection::vec((delay, step()), 10..40);
    let steps = steps.new_tree(&mut runner).expect("a schedule").current();
    Schedule { seed, steps }
}
