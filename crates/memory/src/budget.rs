//! The budget that all connections of a process share.

use base::{Clock, Ms};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

use crate::account::{Account, Eviction};
use crate::ledger::{Class, Group, Ledger, Phase, Purpose, Verdict};

struct State {
    ledger: Ledger,
    /// Tells connections that they must yield.
    evictions: BTreeMap<u64, Arc<Eviction>>,
}

/// The bytes that a process may hold for those who connect to it.
pub struct Budget {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// Notifies when bytes are freed.
    freed: Notify,
}

impl Budget {
    /// A budget of this many bytes, of which nothing is used.
    pub fn new(bytes: u64, clock: Arc<dyn Clock>) -> Arc<Self> {
        let state = State { ledger: Ledger::new(bytes), evictions: BTreeMap::new() };
        Arc::new(Self { clock, state: Mutex::new(state), freed: Notify::new() })
    }

    /// The places of a listener: this many connections at most.
    pub fn places(self: &Arc<Self>, class: Class, connections: usize) -> Places {
        let group = self.change(|ledger, _| ledger.add_group(class, connections));
        Places { budget: self.clone(), group }
    }

    /// Bytes that are held.
    pub fn used(&self) -> u64 {
        self.state().ledger.used()
    }

    fn open(self: &Arc<Self>, group: Group) -> Option<Arc<Account>> {
        let now = self.clock.now();
        let eviction = Arc::new(Eviction::default());
        let mut state = self.state();
        let id = state.ledger.open(group, now);
        if let Some(id) = id {
            state.evictions.insert(id, eviction.clone());
        }
        self.tell(state);
        Some(Arc::new(Account::new(self.clone(), id?, eviction)))
    }

    pub(crate) fn close(&self, id: u64) {
        let mut state = self.state();
        state.ledger.close(id);
        state.evictions.remove(&id);
        drop(state);
        self.freed.notify_waiters();
    }

    pub(crate) fn reserve(&self, id: u64, bytes: u64, purpose: Purpose) -> Verdict {
        self.change(|ledger, now| ledger.reserve(id, bytes, purpose, now))
    }

    pub(crate) fn withdraw(&self, id: u64) {
        self.change(|ledger, _| ledger.withdraw(id));
    }

    pub(crate) fn release(&self, id: u64, bytes: u64) {
        self.change(|ledger, _| ledger.release(id, bytes));
        self.freed.notify_waiters();
    }

    pub(crate) fn moved(&self, id: u64, bytes: u64) {
        self.change(|ledger, now| ledger.moved(id, bytes, now));
    }

    pub(crate) fn set_phase(&self, id: u64, phase: Phase) {
        self.change(|ledger, now| ledger.set_phase(id, phase, now));
    }

    pub(crate) fn freed(&self) -> &Notify {
        &self.freed
    }

    pub(crate) fn now(&self) -> Ms {
        self.clock.now()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change<T>(&self, change: impl FnOnce(&mut Ledger, Ms) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.state();
        let result = change(&mut state.ledger, now);
        self.tell(state);
        result
    }

    /// Tells the connections that must yield.
    fn tell(&self, mut state: MutexGuard<'_, State>) {
        let evicted = state.ledger.take_evicted();
        if evicted.is_empty() {
            return;
        }
        let told: Vec<_> = evicted.iter().filter_map(|id| state.evictions.remove(id)).collect();
        drop(state);
        told.iter().for_each(|eviction| eviction.tell());
        self.freed.notify_waiters();
    }
}

/// The places of a listener.
#[derive(Clone)]
pub struct Places {
    budget: Arc<Budget>,
    group: Group,
}

impl Places {
    /// Opens the account of a new connection. If there is no room, one that has made no progress for a while
    /// yields; none if there is no such connection.
    pub fn open(&self) -> Option<Arc<Account>> {
        self.budget.open(self.group)
    }

    /// Changes the bytes of the budget and the number of places. Nobody yields before others ask for them.
    pub fn set_limits(&self, bytes: u64, connections: usize) {
        self.budget.change(|ledger, _| ledger.set_limits(bytes, self.group, connections));
    }
}
