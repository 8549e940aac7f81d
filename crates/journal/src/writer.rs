//! The writer of one shard object: many keys in each conditional write, one write at a time.

use base::{ChangeId, Ms, Version};
use std::sync::Arc;
use store::StoreError;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use crate::ClaimResult;
use crate::book::{Book, Look};
use crate::layout::Agreed;
use crate::op::{Fate, Op, OpKind};
use crate::shared::Shared;
use crate::weigh::{Weighed, settled, told, weigh};

/// Kind of the shard objects.
pub const SHARD_KIND: &str = "journal";
/// How long an outcome may wait for a claim to share a write with. Nobody waits for it: the
/// caller has its answer. A re-send in between reads `running`.
const FINISH_MS: Ms = Ms(250);
/// Shortest wait after a failed write; doubled up to [`RETRY_MOST`].
const RETRY_LEAST: Ms = Ms(20);
/// Longest wait after a failed write.
const RETRY_MOST: Ms = Ms(320);
/// A shard that nobody asked about for so long is read again when it is next needed.
const IDLE_MS: Ms = Ms::secs(60);
/// Ops that wait in one shard; more are refused at once.
const QUEUE: usize = 8192;
/// How long a shard that is closed tries to write what is left.
const CLOSE_MS: Ms = Ms::secs(2);

/// One shard's writer.
pub(crate) struct Writer {
    shared: Arc<Shared>,
    shard: u32,
    name: String,
    ops: mpsc::UnboundedReceiver<Op>,
    queue: Vec<Op>,
    /// The records as last read or written, with their version. Kept when they may be old, since
    /// what ended stays ended and can be told in an outage.
    held: Option<(Version, Book)>,
    /// Whether `held` is the newest as far as is known.
    valid: bool,
    /// Whether `held` was read in this round.
    fresh: bool,
    /// The newest version known of; a read below it is stale.
    seen: Version,
    wrote: Option<Instant>,
    failures: u32,
    retry: Option<Instant>,
    /// The platform failed a moment ago: claims are refused until `retry`.
    down: bool,
    closing: bool,
}

/// How one round of a writer ended.
enum Round {
    /// What could be answered was.
    Done,
    /// Another writer was first, or the outcome is open.
    Again,
    /// The platform can't be used now.
    Failed,
}

impl Writer {
    pub(crate) fn new(shared: Arc<Shared>, shard: u32, ops: mpsc::UnboundedReceiver<Op>) -> Self {
        Self {
            shared,
            shard,
            name: format!("shard-{shard}"),
            ops,
            queue: Vec::new(),
            held: None,
            valid: false,
            fresh: false,
            seen: Version(0),
            wrote: None,
            failures: 0,
            retry: None,
            down: false,
            closing: false,
        }
    }

    /// Runs until the journal is closed and nothing is left, or can't be written.
    pub(crate) async fn run(mut self) {
        while self.collect().await {
            self.expire();
            if self.queue.is_empty() {
                continue;
            }
            self.fresh = false;
            let round = self.round().await;
            self.down = matches!(round, Round::Failed);
            match round {
                Round::Done => {
                    self.failures = 0;
                    self.retry = None;
                }
                Round::Again => self.back_off(),
                Round::Failed => {
                    self.back_off();
                    self.refuse();
                }
            }
        }
    }

    /// Waits until the next write is due. False when there is nothing more to do.
    async fn collect(&mut self) -> bool {
        if self.queue.is_empty() {
            match timeout(IDLE_MS.duration(), self.ops.recv()).await {
                Ok(Some(op)) => self.push(op),
                Ok(None) => return false,
                Err(_) => (self.held, self.valid) = (None, false),
            }
        }
        while !self.closing {
            let Some(due) = self.due() else { break };
            if due <= Instant::now() {
                break;
            }
            let rest = due - Instant::now();
            match timeout(rest, self.ops.recv()).await {
                Ok(Some(op)) => self.push(op),
                Ok(None) => self.close(),
                Err(_) => break,
            }
        }
        if self.closing
            && let Some(retry) = self.retry
        {
            sleep_until(retry).await;
        }
        while let Ok(op) = self.ops.try_recv() {
            self.push(op);
        }
        true
    }

    fn push(&mut self, op: Op) {
        let down = self.down && self.retry.is_some_and(|at| Instant::now() < at);
        match op.kind {
            _ if self.queue.len() >= QUEUE => op.fail(),
            OpKind::Start(_) if down => self.refuse_one(op),
            _ => self.queue.push(op),
        }
    }

    /// What is left is written at once, within a bound.
    fn close(&mut self) {
        self.closing = true;
        let until = self.shared.clock.now() + CLOSE_MS;
        for op in &mut self.queue {
            op.until = op.until.min(until);
        }
    }

    /// When to write next: a claim as soon as the pace allows, an outcome after its wait.
    ///
    /// Without the pace each claim would be a write of its own, and a burst would spend the
    /// platform's few hundred writes a second. With it, a claim that comes after a quiet time
    /// waits for nothing.
    fn due(&self) -> Option<Instant> {
        let now = Instant::now();
        let pace = self.wrote.map_or(now, |at| at + self.shared.rules.commit_ms.duration());
        let wait = match self.queue.iter().any(Op::urgent) {
            true => now,
            false => {
                let since = self.queue.iter().map(|op| op.since).min()?;
                now + (since + FINISH_MS - self.shared.clock.now()).duration()
            }
        };
        let retry = self.retry.unwrap_or(now);
        Some(pace.max(wait).max(retry))
    }

    /// Doubles from one failure to the next. The spread keeps two writers that met once from
    /// meeting again; it is drawn from names, so that a run can be repeated.
    fn back_off(&mut self) {
        self.failures += 1;
        let most = (RETRY_LEAST.0 << (self.failures - 1).min(8)).min(RETRY_MOST.0);
        let tries = self.failures.to_le_bytes();
        let draw =
            base::hash_parts(&[self.shared.me.host.as_bytes(), self.name.as_bytes(), &tries]);
        let wait = Ms(most / 2 + draw % (most / 2 + 1));
        self.retry = Some(Instant::now() + wait.duration());
    }

    fn expire(&mut self) {
        let now = self.shared.clock.now();
        for op in self.queue.extract_if(.., |op| op.until <= now) {
            op.fail();
        }
    }

    /// The platform can't be used: claims of which nothing was sent are refused at once, the
    /// others wait for their outcome.
    fn refuse(&mut self) {
        for op in std::mem::take(&mut self.queue) {
            match op.urgent() {
                true => self.refuse_one(op),
                false => self.queue.push(op),
            }
        }
    }

    /// What is recorded already is told also in an outage: a record stays, unless its own host
    /// releases it, and then the caller asks again.
    fn refuse_one(&mut self, op: Op) {
        let told = self.held.as_ref().and_then(|(_, book)| told(&self.shared, book, &op));
        match told {
            _ if op.open.is_some() => self.queue.push(op),
            Some(fate) => _ = op.answer(fate),
            None => op.fail(),
        }
    }

    /// Reads the shard. A read may lag behind one that came before; then it is asked again later.
    async fn load(&mut self) -> Result<(), Round> {
        let read = self.shared.api.get(SHARD_KIND, &self.name).await;
        let object = read.map_err(|_| Round::Failed)?;
        let version = Version(object.as_ref().map_or(0, |o| o.version));
        if version < self.seen {
            return Err(Round::Again);
        }
        let book = match &object {
            None => Book::default(),
            Some(object) => Book::parse(&object.body).ok_or(Round::Failed)?,
        };
        self.keep(version, book);
        self.fresh = true;
        Ok(())
    }

    fn keep(&mut self, version: Version, book: Book) {
        // A newer version without the claim's record shows that the write in doubt is lost. One
        // with it shows that it landed: the claim stays open until it is told so.
        for op in &mut self.queue {
            op.open = op.open.filter(|at| *at >= version || book.look(&op.claim) == Look::Mine);
        }
        self.seen = self.seen.max(version);
        self.held = Some((version, book));
        self.valid = true;
    }

    async fn round(&mut self) -> Round {
        match self.attempt().await {
            Ok(()) => Round::Done,
            Err(round) => round,
        }
    }

    async fn attempt(&mut self) -> Result<(), Round> {
        match self.shared.agree().await {
            Agreed::Yes => {}
            Agreed::No | Agreed::Down => return Err(Round::Failed),
            Agreed::Again => return Err(Round::Again),
        }
        if !self.valid {
            self.load().await?;
        }
        let mut weighed = weigh(&self.shared, self.held.as_ref(), &self.queue);
        if !weighed.changed && !self.fresh && !weighed.fates.iter().all(settled) {
            self.load().await?;
            weighed = weigh(&self.shared, self.held.as_ref(), &self.queue);
        }
        let Weighed { book, fates, changed } = weighed;
        let fates = self.answer_settled(fates);
        if changed && !fates.is_empty() {
            self.commit(book, &fates).await?;
        }
        self.answer(fates);
        Ok(())
    }

    /// What stays true whatever becomes of the write is told before it.
    fn answer_settled(&mut self, fates: Vec<Fate>) -> Vec<Fate> {
        let mut rest = Vec::new();
        for (op, fate) in std::mem::take(&mut self.queue).into_iter().zip(fates) {
            if settled(&fate) {
                let _ = op.answer(fate);
            } else {
                self.queue.push(op);
                rest.push(fate);
            }
        }
        rest
    }

    /// One conditional write. An op is told only what a version that is known to be there says.
    ///
    /// Whether a write in doubt took effect is never guessed: the shard is read again, and each
    /// op is held against what is found. As long as the version is still the old one the write may
    /// be on its way, so the next write has the same condition, and only one of the two can land.
    async fn commit(&mut self, book: Book, fates: &[Fate]) -> Result<(), Round> {
        let expected = self.held.as_ref().map_or(Version(0), |(version, _)| *version);
        let body = book.body(self.shard, &ChangeId::fresh().to_string());
        self.wrote = Some(Instant::now());
        match self.shared.api.put(SHARD_KIND, &self.name, expected, &body).await {
            Ok(version) => {
                self.keep(version, book);
                Ok(())
            }
            Err(StoreError::Conflict { current }) => {
                self.seen = self.seen.max(current);
                self.valid = false;
                Err(Round::Again)
            }
            Err(StoreError::OutcomeUnknown) => {
                let granted = |fate: &Fate| *fate == Fate::Claimed(ClaimResult::Granted);
                let ops = self.queue.iter_mut().zip(fates);
                for (op, _) in ops.filter(|(_, fate)| granted(fate)) {
                    op.open = Some(expected);
                }
                self.valid = false;
                Err(Round::Again)
            }
            Err(_) => Err(Round::Failed),
        }
    }

    /// Tells each op its fate; those that must wait for a record do so for a while.
    fn answer(&mut self, fates: Vec<Fate>) {
        let now = self.shared.clock.now();
        let ops = std::mem::take(&mut self.queue).into_iter().zip(fates);
        let rest = ops.filter_map(|(op, fate)| op.answer(fate));
        self.queue = rest.map(|op| Op { since: now, ..op }).collect();
    }
}
