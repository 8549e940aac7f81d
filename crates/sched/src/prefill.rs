//! *Reading*: how long engines read prompts, and what each has yet to read.
//!
//! Answers: prompts of very different lengths at a handful of engines. An engine reads one after the
//! other, so a short question behind three long reports waits half a second for its first event,
//! while the engine next to it idles. Counting requests doesn't show it: streams that are being
//! written stay for seconds and cost next to nothing.
//!
//! So each send adds the time to read its prompt to what its engine has to do. That time is a line
//! over the tokens to be read, learned from first events of engines that had nothing else to read.

use base::Ms;
use std::collections::VecDeque;

/// Weight of a new first event: fifty of them count, some seconds of one host's requests.
const WEIGHT: f64 = 0.02;
/// First event that is assumed until others were seen, as tokens to be read and ms: a short prompt.
const SHORT: (f64, f64) = (0.0, 60.0);
/// The same for a long one. Both together weigh as much as two that were seen.
const LONG: (f64, f64) = (10_000.0, 260.0);

/// Time to the first event as a line over the tokens to be read, by least squares.
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
        model.add(SHORT.0, SHORT.1);
        model.add(LONG.0, LONG.1);
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

    /// A first event came after `took`, with `tokens` to be read before it.
    pub fn record(&mut self, tokens: u64, took: Ms) {
        for sum in
            [&mut self.weight, &mut self.tokens, &mut self.ms, &mut self.squares, &mut self.product]
        {
            *sum *= 1.0 - WEIGHT;
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

    /// Time to the first event of an engine that has nothing else to read, ms.
    pub fn first_event(&self, tokens: u64) -> Ms {
        let base = (self.ms - self.slope() * self.tokens) / self.weight;
        Ms((base.max(0.0) + self.slope() * tokens as f64) as u64)
    }

    /// Time for which the engine is busy with the prompt alone, ms.
    pub fn prefill(&self, tokens: u64) -> Ms {
        Ms((self.slope() * tokens as f64) as u64)
    }
}

/// What one engine has yet to read, as far as this host knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    until: Ms,
}

impl Backlog {
    /// A prompt was sent that takes `time` to read.
    pub fn sent(&mut self, now: Ms, time: Ms) {
        self.until = self.until.max(now) + time;
    }

    /// Time until the engine has read all that it was sent, ms.
    pub fn wait(&self, now: Ms) -> Ms {
        self.until.max(now) - now
    }
}

/// What the prompts were about that one engine has read, as far as this host knows: the newest that
/// fit into its memory.
#[derive(Clone, Debug, Default)]
pub struct CachedSubjects {
    /// Subject and shared tokens, the oldest first.
    read: VecDeque<(u64, u64)>,
    tokens: u64,
}

impl CachedSubjects {
    /// The engine has read a prompt about a subject, of which `tokens` are shared; it remembers
    /// `memory` tokens.
    pub fn record(&mut self, subject: u64, tokens: u64, memory: u64) {
        self.forget(subject);
        self.read.push_back((subject, tokens));
        self.tokens += tokens;
        while self.tokens > memory {
            let Some((_, oldest)) = self.read.pop_front() else { return };
            self.tokens -= oldest;
        }
    }

    /// Whether the engine should still know the subject.
    pub fn contains(&self, subject: u64) -> bool {
        self.read.iter().any(|(id, _)| *id == subject)
    }

    fn forget(&mut self, subject: u64) {
        let Some(at) = self.read.iter().position(|(id, _)| *id == subject) else { return };
        if let Some((_, tokens)) = self.read.remove(at) {
            self.tokens -= tokens;
        }
    }
}
