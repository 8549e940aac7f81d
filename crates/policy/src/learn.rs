//! Predicts the duration of stages from decaying histograms, one for each stage kind and size of
//! work.
//!
//! A single mean hides that long requests take a hundred times longer than short ones, and an
//! estimate from the configuration is wrong as soon as a model is replaced. So durations are
//! learned by size. Old samples lose half of their weight every [`DECAY_SAMPLES`] samples, so the
//! estimate follows a new model version within that many.

/// Number of histogram buckets, three per doubling. They cover up to 35 minutes, and each is
/// accurate to 26 %.
const BUCKETS: usize = 63;
/// Buckets per doubling of the duration.
const PER_DOUBLING: f32 = 3.0;
/// Number of samples after which all counts are halved.
const DECAY_SAMPLES: f32 = 256.0;
/// Minimum number of samples before a histogram is used.
const MIN_SAMPLES: f32 = 8.0;
/// Minimum number of samples before its tail quantiles are used.
const MIN_TAIL_SAMPLES: f32 = 20.0;
/// Weight of the latest sample in the slowdown. A change becomes visible after some tens of
/// answers.
const SLOWDOWN_WEIGHT: f64 = 0.05;
/// Upper bound for the ratio of a single sample.
const MAX_RATIO: f64 = 20.0;
/// Number of input tokens processed in the time that generating one token takes.
const READ_PER_GENERATED: u32 = 16;
/// Number of size classes, one per doubling of the tokens.
const SIZE_CLASSES: usize = 16;

/// Durations for one stage kind and size.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [f32; BUCKETS],
    total: f32,
    sum: f64,
    work: f64,
    since_quantiles: u8,
    low: f64,
    high: f64,
}

/// Predicted duration of a stage, ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TimeEstimate {
    /// Mean.
    pub(crate) mean: f64,
    /// 10 % quantile.
    pub(crate) low: f64,
    /// 95 % quantile; `None` when there are too few samples.
    pub(crate) high: Option<f64>,
    /// Whether the estimate was learned. An estimate from the configuration must not be used to
    /// judge a target: if it is wrong by a factor of ten, all targets look slow.
    pub(crate) learned: bool,
}

/// Durations for one stage kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct LearnedTimes {
    sizes: [Option<Box<Histogram>>; SIZE_CLASSES],
    slowdown: Slowdown,
}

/// How many times slower a stage kind has recently been than over its last hundreds of answers.
///
/// When a whole pool slows down, the histograms need that many answers to reflect it. Without this
/// factor, too many requests would be admitted in the meantime, and each of the pool's targets
/// would be considered slow although none is slower than its peers.
#[derive(Clone, Copy, Debug)]
struct Slowdown(f64);

impl Default for Slowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Slowdown {
    fn add(&mut self, ratio: f64) {
        self.0 += (ratio.clamp(0.25, MAX_RATIO) - self.0) * SLOWDOWN_WEIGHT;
    }

    fn factor(self) -> f64 {
        self.0.max(1.0)
    }

    /// The part of the slowdown that goes into predictions: its square root, since the latest
    /// answers may come from a few targets that will get little load from now on.
    fn damped(self) -> f64 {
        self.factor().sqrt()
    }
}

/// Number of tokens that a stage's duration is proportional to. Reading tokens is many times faster
/// than generating them.
pub(crate) fn work(tokens_in: u32, tokens_out: u32) -> f64 {
    f64::from(tokens_in / READ_PER_GENERATED + tokens_out).max(1.0)
}

fn size(work: f64) -> usize {
    (work as u32).max(1).ilog2().min(SIZE_CLASSES as u32 - 1) as usize
}

impl LearnedTimes {
    /// Adds a measured duration.
    pub(crate) fn add(&mut self, work: f64, ms: f64, predicted: &TimeEstimate) {
        if predicted.learned {
            self.slowdown.add(ms * self.slowdown.damped() / predicted.mean);
        }
        self.sizes[size(work)].get_or_insert_with(Default::default).add(work, ms);
    }

    /// Recent duration at a target's peers of work whose predicted duration is `predicted`, ms.
    pub(crate) fn peer_time(&self, predicted: f64) -> f64 {
        predicted * self.slowdown.factor() / self.slowdown.damped()
    }

    /// Predicts the duration from the nearest size with enough samples, in proportion to the work.
    /// Without such a size it uses `typical` and `least` from the configuration, ms.
    pub(crate) fn estimate(&self, work: f64, typical: f64, least: f64) -> TimeEstimate {
        let size = size(work);
        for distance in 0..3 {
            for at in [size.checked_sub(distance), Some(size + distance)].into_iter().flatten() {
                let Some(Some(histogram)) = self.sizes.get(at) else { continue };
                if histogram.total < MIN_SAMPLES {
                    continue;
                }
                let scale = work * f64::from(histogram.total) / histogram.work;
                let tail_known = histogram.total >= MIN_TAIL_SAMPLES && distance == 0;
                return TimeEstimate {
                    mean: (histogram.mean() * scale * self.slowdown.damped()).max(least).max(1.0),
                    low: (histogram.low * scale).max(least),
                    high: tail_known.then_some(histogram.high * scale),
                    learned: true,
                };
            }
        }
        TimeEstimate { mean: typical.max(1.0), low: least, high: None, learned: false }
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
            sum: 0.0,
            work: 0.0,
            since_quantiles: 0,
            low: 0.0,
            high: 0.0,
        }
    }
}

impl Histogram {
    fn add(&mut self, work: f64, ms: f64) {
        let bucket = ((ms as f32 + 1.0).log2() * PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1.0;
        self.total += 1.0;
        self.sum += ms;
        self.work += work;
        if self.total >= DECAY_SAMPLES {
            self.counts.iter_mut().for_each(|n| *n *= 0.5);
            self.total *= 0.5;
            self.sum *= 0.5;
            self.work *= 0.5;
        }
        self.since_quantiles += 1;
        if self.since_quantiles >= 8 || self.total <= MIN_TAIL_SAMPLES {
            self.since_quantiles = 0;
            self.low = self.quantile(0.1);
            self.high = self.quantile(0.95);
        }
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.total)
    }

    fn quantile(&self, share: f32) -> f64 {
        let mut left = self.total * share;
        for (bucket, &n) in self.counts.iter().enumerate() {
            if n > 0.0 && left <= n {
                let at = bucket as f32 + left / n;
                return f64::from((at / PER_DOUBLING).exp2() - 1.0);
            }
            left -= n;
        }
        0.0
    }
}
