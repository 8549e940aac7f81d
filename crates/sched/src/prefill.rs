//! Estimates how long inference engines take to read (prefill) prompts, and how much each has yet
//! to read.
//!
//! A handful of engines get prompts of very different lengths, and an engine reads one after the
//! other. So a short question behind three long reports waits half a second for its first event,
//! while the next engine is idle. The number of requests at an engine doesn't show this: streams
//! that are being generated stay for seconds and cost next to nothing.
//!
//! So each request that is sent adds the time to read its prompt to the engine's backlog. That time
//! is modelled as a linear function of the number of tokens to be read, fitted to the times of
//! first events from engines that had nothing else to read.

use base::Ms;
use std::collections::VecDeque;

/// Weight of a new measurement: about the last fifty count, which one host collects in some
/// seconds.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Assumed before anything was measured: a short prompt, as tokens to be read and ms to the first
/// event.
const ASSUMED_SHORT: (f64, f64) = (0.0, 60.0);
/// The same for a long prompt. Both assumptions together weigh as much as two measurements.
const ASSUMED_LONG: (f64, f64) = (10_000.0, 260.0);

/// Time to the first event as a linear function of the tokens to be read, fitted by least squares.
#[derive(Clone, Copy, Debug)]
pub struct PrefillTime {
    weight: f64,
    tokens: f64,
    ms: f64,
    squares: f64,
    product: f64,
}

impl Default for PrefillTime {
    fn default() -> Self {
        let mut model = Self { weight: 0.0, tokens: 0.0, ms: 0.0, squares: 0.0, product: 0.0 };
        model.add(ASSUMED_SHORT.0, ASSUMED_SHORT.1);
        model.add(ASSUMED_LONG.0, ASSUMED_LONG.1);
        model
    }
}

impl PrefillTime {
    fn add(&mut self, tokens: f64, ms: f64) {
        self.weight += 1.0;
        self.tokens += tokens;
        self.ms += ms;
        self.squares += tokens * tokens;
        self.product += tokens * ms;
    }

    /// Records that the first event came after `took`, with `tokens` to be read before it.
    pub fn record(&mut self, tokens: u64, took: Ms) {
        for sum in
            [&mut self.weight, &mut self.tokens, &mut self.ms, &mut self.squares, &mut self.product]
        {
            *sum *= 1.0 - SAMPLE_WEIGHT;
        }
        self.add(tokens as f64, took.0 as f64);
    }

    /// Time to read one token, ms.
    fn slope(&self) -> f64 {
        let spread = self.weight * self.squares - self.tokens * self.tokens;
        let rise = self.weight * self.product - self.tokens * self.ms;
        match spread > 0.0 {
            true => (rise / spread).max(0.0),
            false => 0.0,
        }
    }

    /// Time to the first event from an engine that has nothing else to read.
    pub fn first_event(&self, tokens: u64) -> Ms {
        let base = (self.ms - self.slope() * self.tokens) / self.weight;
        Ms((base.max(0.0) + self.slope() * tokens as f64) as u64)
    }

    /// Time for which reading the prompt alone keeps the engine busy.
    pub fn prefill(&self, tokens: u64) -> Ms {
        Ms((self.slope() * tokens as f64) as u64)
    }
}

/// The time that one engine still needs to read its prompts, as far as this host knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    until: Ms,
}

impl Backlog {
    /// Records that a prompt was sent that takes `time` to read.
    pub fn sent(&mut self, now: Ms, time: Ms) {
        self.until = self.until.max(now) + time;
    }

    /// Time until the engine has read all prompts that were sent to it.
    pub fn wait(&self, now: Ms) -> Ms {
        self.until.max(now) - now
    }
}

/// The subjects whose prompts one engine has in its cache, as far as this host knows: the newest
/// ones that fit into it.
#[derive(Clone, Debug, Default)]
pub struct CachedSubjects {
    /// Subjects with the tokens that their prompts share, the oldest first.
    read: VecDeque<(u64, u64)>,
    tokens: u64,
}

impl CachedSubjects {
    /// Records that the engine has read a prompt about a subject, `tokens` of which are shared with
    /// other prompts about it. The engine's cache holds `memory` tokens.
    pub fn record(&mut self, subject: u64, tokens: u64, memory: u64) {
        self.remove_subject(subject);
        self.read.push_back((subject, tokens));
        self.tokens += tokens;
        while self.tokens > memory {
            let Some((_, oldest)) = self.read.pop_front() else { return };
            self.tokens -= oldest;
        }
    }

    /// Whether the engine should still have the subject in its cache.
    pub fn contains(&self, subject: u64) -> bool {
        self.read.iter().any(|(id, _)| *id == subject)
    }

    fn remove_subject(&mut self, subject: u64) {
        let Some(at) = self.read.iter().position(|(id, _)| *id == subject) else { return };
        if let Some((_, tokens)) = self.read.remove(at) {
            self.tokens -= tokens;
        }
    }
}
