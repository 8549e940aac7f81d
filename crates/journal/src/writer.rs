//! The writer of one shard object. It puts many keys into each conditional write, and makes one
//! write at a time.

use base::{ChangeId, Ms, Version};
use std::sync::Arc;
use store::StoreError;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use crate::ClaimResult;
use crate::apply::{Applied, apply_all, is_final, recorded_result};
use crate::layout::Agreement;
use crate::op::{Op, OpKind, OpResult};
use crate::records::{KeyState, ShardRecords};
use crate::shared::Shared;

/// Kind of the shard objects.
pub const SHARD_KIND: &str = "journal";
/// Longest time that an outcome waits to share a write with a claim. Nobody waits for it, as the
/// caller already has its answer; a re-send in between reads `running`.
const FINISH_DELAY_MS: Ms = Ms(250);
/// Back-off after the first failed write, doubled up to [`MAX_RETRY_MS`].
const MIN_RETRY_MS: Ms = Ms(20);
/// Longest back-off after a failed write.
const MAX_RETRY_MS: Ms = Ms(320);
/// After this long without an op the cached records are dropped, and read again when next needed.
const IDLE_MS: Ms = Ms::secs(60);
/// Longest queue of a shard; further ops are refused at once.
const MAX_QUEUED_OPS: usize = 8192;
/// How long a writer tries to write its queue after the journal is closed.
const CLOSE_TIMEOUT_MS: Ms = Ms::secs(2);

/// The writer of one shard.
pub(crate) struct Writer {
    shared: Arc<Shared>,
    shard: u32,
    name: String,
    ops: mpsc::UnboundedReceiver<Op>,
    queue: Vec<Op>,
    /// The records as last read or written, with their version. They are kept even when they may be
    /// outdated: a request that ended stays ended, so its result can be given during an outage.
    cached: Option<(Version, ShardRecords)>,
    /// Whether `cached` is the newest version, as far as is known.
    cache_valid: bool,
    /// Whether `cached` was read in this round.
    read_this_round: bool,
    /// The newest version known; a read of a lower one is stale.
    newest_version: Version,
    last_write: Option<Instant>,
    failures: u32,
    retry_at: Option<Instant>,
    /// The object API failed in the last round: claims are refused until `retry_at`.
    unavailable: bool,
    closing: bool,
}

/// How one round of a writer ended.
enum Round {
    /// All ops that could be answered were.
    Done,
    /// Another writer was first, the outcome of the write is unknown, or a read was stale.
    Retry,
    /// The object API can't be used now.
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
            cached: None,
            cache_valid: false,
            read_this_round: false,
            newest_version: Version(0),
            last_write: None,
            failures: 0,
            retry_at: None,
            unavailable: false,
            closing: false,
        }
    }

    /// Runs until the journal is closed and the queue is empty or has expired.
    pub(crate) async fn run(mut self) {
        while self.collect().await {
            self.expire_ops();
            if self.queue.is_empty() {
                continue;
            }
            self.read_this_round = false;
            let round = self.run_round().await;
            self.unavailable = matches!(round, Round::Failed);
            match round {
                Round::Done => {
                    self.failures = 0;
                    self.retry_at = None;
                }
                Round::Retry => self.back_off(),
                Round::Failed => {
                    self.back_off();
                    self.refuse_claims();
                }
            }
        }
    }

    /// Waits until the next write is due. False when there is nothing more to do.
    async fn collect(&mut self) -> bool {
        if self.queue.is_empty() {
            match timeout(IDLE_MS.duration(), self.ops.recv()).await {
                Ok(Some(op)) => self.enqueue(op),
                Ok(None) => return false,
                Err(_) => (self.cached, self.cache_valid) = (None, false),
            }
        }
        while !self.closing {
            let Some(next_write) = self.next_write() else { break };
            if next_write <= Instant::now() {
                break;
            }
            let rest = next_write - Instant::now();
            match timeout(rest, self.ops.recv()).await {
                Ok(Some(op)) => self.enqueue(op),
                Ok(None) => self.close(),
                Err(_) => break,
            }
        }
        if self.closing
            && let Some(retry_at) = self.retry_at
        {
            sleep_until(retry_at).await;
        }
        while let Ok(op) = self.ops.try_recv() {
            self.enqueue(op);
        }
        true
    }

    fn enqueue(&mut self, op: Op) {
        let unavailable = self.unavailable && self.retry_at.is_some_and(|at| Instant::now() < at);
        match op.kind {
            _ if self.queue.len() >= MAX_QUEUED_OPS => op.fail(),
            OpKind::Start(_) if unavailable => self.refuse_claim(op),
            _ => self.queue.push(op),
        }
    }

    /// Makes the writer write its queue at once, within `CLOSE_TIMEOUT_MS`.
    fn close(&mut self) {
        self.closing = true;
        let deadline = self.shared.clock.now() + CLOSE_TIMEOUT_MS;
        for op in &mut self.queue {
            op.deadline = op.deadline.min(deadline);
        }
    }

    /// When to write next: for a claim as soon as the minimum interval between writes allows, for
    /// an outcome after its delay.
    ///
    /// Without the interval each claim would be a write of its own, and a burst would use up the
    /// platform's few hundred writes a second. A claim after an idle period doesn't wait.
    fn next_write(&self) -> Option<Instant> {
        let now = Instant::now();
        let earliest =
            self.last_write.map_or(now, |at| at + self.shared.rules.commit_ms.duration());
        let wait = match self.queue.iter().any(Op::urgent) {
            true => now,
            false => {
                let queued = self.queue.iter().map(|op| op.queued).min()?;
                now + (queued + FINISH_DELAY_MS - self.shared.clock.now()).duration()
            }
        };
        let retry_at = self.retry_at.unwrap_or(now);
        Some(earliest.max(wait).max(retry_at))
    }

    /// Sets the time of the next try. The back-off doubles with each failure. Its jitter keeps two
    /// writers that conflicted once from conflicting again; it is derived from names, so that a run
    /// can be reproduced.
    fn back_off(&mut self) {
        self.failures += 1;
        let max = (MIN_RETRY_MS.0 << (self.failures - 1).min(8)).min(MAX_RETRY_MS.0);
        let failures = self.failures.to_le_bytes();
        let jitter = base::hash_parts(&[
            self.shared.own_holder.host.as_bytes(),
            self.name.as_bytes(),
            &failures,
        ]);
        let wait = Ms(max / 2 + jitter % (max / 2 + 1));
        self.retry_at = Some(Instant::now() + wait.duration());
    }

    fn expire_ops(&mut self) {
        let now = self.shared.clock.now();
        for op in self.queue.extract_if(.., |op| op.deadline <= now) {
            op.fail();
        }
    }

    /// Called when the object API can't be used: refuses claims of which nothing was sent at once,
    /// while the other ops keep waiting for their outcome.
    fn refuse_claims(&mut self) {
        for op in std::mem::take(&mut self.queue) {
            match op.urgent() {
                true => self.refuse_claim(op),
                false => self.queue.push(op),
            }
        }
    }

    /// Answers a claim from the cached records if it can, also during an outage: a record stays as
    /// it is unless its own host releases it, and then the caller tries again. Otherwise the claim
    /// is refused, or stays queued if a write with it was sent.
    fn refuse_claim(&mut self, op: Op) {
        let known = self
            .cached
            .as_ref()
            .and_then(|(_, records)| recorded_result(&self.shared, records, &op));
        match known {
            _ if op.pending.is_some() => self.queue.push(op),
            Some(result) => _ = op.reply(result),
            None => op.fail(),
        }
    }

    /// Reads the shard. A read may be older than an earlier one; then the round is repeated later.
    async fn load(&mut self) -> Result<(), Round> {
        let read = self.shared.api.get(SHARD_KIND, &self.name).await;
        let object = read.map_err(|_| Round::Failed)?;
        let version = Version(object.as_ref().map_or(0, |o| o.version));
        if version < self.newest_version {
            return Err(Round::Retry);
        }
        let records = match &object {
            None => ShardRecords::default(),
            Some(object) => ShardRecords::parse(&object.body).ok_or(Round::Failed)?,
        };
        self.update_cache(version, records);
        self.read_this_round = true;
        Ok(())
    }

    fn update_cache(&mut self, version: Version, records: ShardRecords) {
        // A newer version without the claim's record shows that the write with the unknown outcome
        // did not take effect. One with the record shows that it did: the claim stays pending until
        // it is answered.
        for op in &mut self.queue {
            op.pending = op.pending.filter(|at| {
                *at >= version || records.key_state(&op.claim) == KeyState::OwnAttempt
            });
        }
        self.newest_version = self.newest_version.max(version);
        self.cached = Some((version, records));
        self.cache_valid = true;
    }

    async fn run_round(&mut self) -> Round {
        match self.try_round().await {
            Ok(()) => Round::Done,
            Err(round) => round,
        }
    }

    async fn try_round(&mut self) -> Result<(), Round> {
        match self.shared.check_layout().await {
            Agreement::Same => {}
            Agreement::Different | Agreement::Unavailable => return Err(Round::Failed),
            Agreement::Retry => return Err(Round::Retry),
        }
        if !self.cache_valid {
            self.load().await?;
        }
        let mut applied = apply_all(&self.shared, self.cached.as_ref(), &self.queue);
        if !applied.changed && !self.read_this_round && !applied.results.iter().all(is_final) {
            self.load().await?;
            applied = apply_all(&self.shared, self.cached.as_ref(), &self.queue);
        }
        let Applied { records, results, changed } = applied;
        let results = self.reply_final(results);
        if changed && !results.is_empty() {
            self.commit(records, &results).await?;
        }
        self.reply_all(results);
        Ok(())
    }

    /// Answers, before the write, the ops whose result stays true whatever becomes of it. Returns the
    /// results of the others.
    fn reply_final(&mut self, results: Vec<OpResult>) -> Vec<OpResult> {
        let mut rest = Vec::new();
        for (op, result) in std::mem::take(&mut self.queue).into_iter().zip(results) {
            if is_final(&result) {
                let _ = op.reply(result);
            } else {
                self.queue.push(op);
                rest.push(result);
            }
        }
        rest
    }

    /// Makes one conditional write. A reply is based only on a version that is known to exist.
    ///
    /// Whether a write with a lost response took effect is never guessed: the shard is read again,
    /// and each op is compared with what is found. As long as the version is still the old one, the
    /// write may still be under way. The next write then has the same condition, so that only one
    /// of the two can take effect.
    async fn commit(&mut self, records: ShardRecords, results: &[OpResult]) -> Result<(), Round> {
        let expected = self.cached.as_ref().map_or(Version(0), |(version, _)| *version);
        let body = records.body(self.shard, &ChangeId::fresh().to_string());
        self.last_write = Some(Instant::now());
        match self.shared.api.put(SHARD_KIND, &self.name, expected, &body).await {
            Ok(version) => {
                self.update_cache(version, records);
                Ok(())
            }
            Err(StoreError::Conflict { current }) => {
                self.newest_version = self.newest_version.max(current);
                self.cache_valid = false;
                Err(Round::Retry)
            }
            Err(StoreError::OutcomeUnknown) => {
                let is_granted =
                    |result: &OpResult| *result == OpResult::Claimed(ClaimResult::Granted);
                let ops = self.queue.iter_mut().zip(results);
                for (op, _) in ops.filter(|(_, result)| is_granted(result)) {
                    op.pending = Some(expected);
                }
                self.cache_valid = false;
                Err(Round::Retry)
            }
            Err(_) => Err(Round::Failed),
        }
    }

    /// Replies to each op; those that have to wait for a record stay queued.
    fn reply_all(&mut self, results: Vec<OpResult>) {
        let now = self.shared.clock.now();
        let ops = std::mem::take(&mut self.queue).into_iter().zip(results);
        let rest = ops.filter_map(|(op, result)| op.reply(result));
        self.queue = rest.map(|op| Op { queued: now, ..op }).collect();
    }
}
