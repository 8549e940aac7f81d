//! The account of one connection, and what is charged to it.

use base::Ms;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use thiserror::Error;
use tokio::sync::Notify;

use crate::budget::Budget;
use crate::ledger::{Phase, Purpose, Verdict};

/// Longest wait of a request for bytes. By then every connection that has stopped counts as stalled.
const RESERVE_TIMEOUT: Ms = Ms(2_000);
/// Interval at which a request that waits looks for connections that have stalled since.
const RETRY_INTERVAL: Ms = Ms(50);

/// The bytes can't be held: others hold them, or the connection must yield.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no room for the bytes")]
pub struct Full;

/// Tells a connection that it must yield.
#[derive(Debug, Default)]
pub(crate) struct Eviction {
    told: AtomicBool,
    notify: Notify,
}

impl Eviction {
    pub(crate) fn tell(&self) {
        self.told.store(true, Ordering::Relaxed);
        self.notify.notify_waiters();
    }

    async fn wait(&self) {
        let notified = self.notify.notified();
        let mut notified = std::pin::pin!(notified);
        notified.as_mut().enable();
        if !self.told.load(Ordering::Relaxed) {
            notified.await;
        }
    }
}

/// The account of one connection. It is closed when it is dropped.
pub struct Account {
    budget: Arc<Budget>,
    id: u64,
    eviction: Arc<Eviction>,
}

impl Account {
    pub(crate) fn new(budget: Arc<Budget>, id: u64, eviction: Arc<Eviction>) -> Self {
        Self { budget, id, eviction }
    }

    /// Completes when the connection must yield: whoever serves it closes it.
    pub async fn evicted(&self) {
        self.eviction.wait().await;
    }

    /// Whether the connection must yield.
    pub fn is_evicted(&self) -> bool {
        self.eviction.told.load(Ordering::Relaxed)
    }

    /// Records bytes that were read from the connection or written to it.
    pub fn moved(&self, bytes: usize) {
        self.budget.moved(self.id, bytes as u64);
    }

    /// Records what the connection waits for from now on.
    pub fn set_phase(&self, phase: Phase) {
        self.budget.set_phase(self.id, phase);
    }

    /// A charge of no bytes yet.
    pub fn charge(self: &Arc<Self>, purpose: Purpose) -> Charge {
        Charge { account: self.clone(), purpose, bytes: 0 }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.budget.close(self.id);
    }
}

/// Bytes that are charged to a connection. They are released when it is dropped.
pub struct Charge {
    account: Arc<Account>,
    purpose: Purpose,
    bytes: u64,
}

/// A request that waits for bytes. Others may yield to it until it is dropped.
struct Waiting<'a>(&'a Account);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.budget.withdraw(self.0.id);
    }
}

impl Charge {
    /// The account.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Charges more bytes; waits a while if there is no room.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), Full> {
        let account = &*self.account;
        let end = account.budget.now() + RESERVE_TIMEOUT;
        let _waiting = Waiting(account);
        loop {
            let freed = account.budget.freed().notified();
            let mut freed = std::pin::pin!(freed);
            freed.as_mut().enable();
            match account.budget.reserve(account.id, bytes as u64, self.purpose) {
                Verdict::Granted => break,
                Verdict::Refused => return Err(Full),
                Verdict::Wait if account.budget.now() >= end => return Err(Full),
                Verdict::Wait => {}
            }
            // Without bytes that were freed a connection may have stalled meanwhile.
            let _ = tokio::time::timeout(RETRY_INTERVAL.duration(), freed).await;
        }
        self.bytes += bytes as u64;
        Ok(())
    }

    /// Charges more bytes if there is room now.
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), Full> {
        let account = &*self.account;
        let _waiting = Waiting(account);
        match account.budget.reserve(account.id, bytes as u64, self.purpose) {
            Verdict::Granted => {}
            Verdict::Wait | Verdict::Refused => return Err(Full),
        }
        self.bytes += bytes as u64;
        Ok(())
    }

    /// A charge to the same account for the answer.
    pub fn for_answer(&self) -> Self {
        self.account.charge(Purpose::Answer)
    }

    /// Completes when the connection must yield.
    pub async fn evicted(&self) {
        self.account.evicted().await;
    }

    /// Releases what exceeds `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes as u64);
        self.account.budget.release(self.account.id, excess);
        self.bytes -= excess;
    }

    /// Releases all bytes.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.budget.release(self.account.id, self.bytes);
        }
    }
}
