//! The faults active at each moment, and the seeded generator for all other random choices.

use base::Ms;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use tokio::time::Instant;

use crate::schedule::FaultKind;

/// Time at which the clocks start.
const EPOCH: Ms = Ms(1_700_000_000_000);

/// Active faults, the random generator and the clock of one run.
pub struct Faults {
    start: Instant,
    inner: Mutex<Inner>,
}

struct Inner {
    rng: ChaCha8Rng,
    targets: BTreeMap<(usize, FaultKind), Ms>,
    cuts: BTreeMap<(usize, usize), Ms>,
}

impl Faults {
    pub fn new(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let inner = Inner { rng, targets: BTreeMap::new(), cuts: BTreeMap::new() };
        Self { start: Instant::now(), inner: Mutex::new(inner) }
    }

    pub fn now(&self) -> Ms {
        EPOCH + Ms(self.start.elapsed().as_millis() as u64)
    }

    pub fn set(&self, target: usize, kind: FaultKind, duration: Ms) {
        let until = self.now() + duration;
        self.with(|inner| inner.targets.insert((target, kind), until));
    }

    pub fn cut_link(&self, host: usize, target: usize, duration: Ms) {
        let until = self.now() + duration;
        self.with(|inner| inner.cuts.insert((host, target), until));
    }

    pub fn has(&self, target: usize, kind: FaultKind) -> bool {
        let now = self.now();
        self.with(|inner| inner.targets.get(&(target, kind)).is_some_and(|until| *until > now))
    }

    pub fn is_cut(&self, host: usize, target: usize) -> bool {
        let now = self.now();
        self.with(|inner| inner.cuts.get(&(host, target)).is_some_and(|until| *until > now))
    }

    pub fn chance(&self, percent: u32) -> bool {
        self.with(|inner| inner.rng.random_range(0..100) < percent)
    }

    pub fn random_ms(&self, range: std::ops::Range<u64>) -> Ms {
        Ms(self.with(|inner| inner.rng.random_range(range)))
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
