//! Percentiles of durations.

use base::Ms;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Longer durations are recorded as this value, ms.
const MAX_RECORDED_MS: u64 = 600_000;

/// Histogram of durations.
#[derive(Clone, Debug)]
pub(crate) struct Durations(Histogram<u64>);

impl Default for Durations {
    fn default() -> Self {
        Self(Histogram::new_with_max(MAX_RECORDED_MS, 3).expect("the bounds are valid"))
    }
}

impl Durations {
    /// Records a duration.
    pub fn add(&mut self, span: Ms) {
        self.0.saturating_record(span.0);
    }

    /// Percentiles of all recorded durations.
    pub fn percentiles(&self) -> Percentiles {
        let at = |q: f64| self.0.value_at_quantile(q);
        Percentiles {
            count: self.0.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            most: self.0.max(),
        }
    }
}

/// Percentiles of durations, ms. All zero if none were recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Number of recorded durations.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub most: u64,
}
