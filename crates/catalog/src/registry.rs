//! Which targets there are, from what they register at the platform.
//!
//! | what is seen | what follows |
//! |---|---|
//! | an entry, ready | it takes work |
//! | an entry, draining | nothing new, for the rest of that life |
//! | its own word, in an answer, that it leaves | nothing new, for the rest of that life, whatever its entry says |
//! | an entry that is cold for longer than before | it has gone cold again |
//! | an entry of an earlier life, or an older one of this life | ignored |
//! | a removal while the store is calm | gone at once |
//! | missing, or removed, shortly after an outage | kept until [`LAPSE_GRACE`] after the store's return, then gone |
//!
//! Without the last row an outage in which all leases lapse would leave a host without a single
//! target, though all of them run.

use base::{Ms, TargetId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::{Entry, TargetState, Update};

/// How long after the store's return a target that an outage may have unregistered is kept, ms.
/// Live targets register again within about two seconds; the rest is for the list's own delay. A
/// removal after that is the target's own, however it comes about.
pub const LAPSE_GRACE: Ms = Ms(2_400);

/// How long a target's own word that it leaves is remembered after its entry has gone, ms: an entry
/// that an outage of the store took away may come back.
const LEFT_KEEP: Ms = Ms::secs(600);

/// A target that is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// What it said last.
    pub entry: Entry,
}

/// What is read from the platform.
#[derive(Clone, Debug)]
pub enum Observation {
    /// All entries there are.
    List {
        /// The entries that can be read.
        entries: Vec<Entry>,
        /// Names of all entries, readable or not.
        names: Vec<TargetId>,
        /// Until when what is missing counts as lapsed; none when the store was calm.
        lapse: Option<Ms>,
    },
    /// One entry changed.
    Entry(Entry),
    /// One entry can no longer be read; it names no target to use.
    Malformed(TargetId),
    /// One entry was removed.
    Removed {
        /// Whose.
        id: TargetId,
        /// Until when it counts as lapsed in an outage; none when the store was calm.
        lapse: Option<Ms>,
    },
}

impl Observation {
    /// One change; `lapse` as in [`Observation::Removed`].
    pub fn update(update: Update, lapse: Option<Ms>) -> Self {
        match update {
            Update::Set(entry) => Self::Entry(entry),
            Update::Malformed(id) => Self::Malformed(id),
            Update::Removed(id) => Self::Removed { id, lapse },
        }
    }
}

/// What changed.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryEvent {
    /// A target appeared, or came back in another life.
    Joined(TargetId),
    /// A target takes nothing new.
    Draining(TargetId),
    /// A target has gone cold, and stays so for this long, ms.
    Cold(TargetId, Ms),
    /// A target is gone.
    Gone(TargetId),
}

/// The targets.
#[derive(Debug, Default)]
pub struct Registry {
    targets: HashMap<TargetId, Arc<Target>>,
    lapsed: HashMap<TargetId, Ms>,
    /// Lives of targets that have said themselves that they leave, and when they did.
    left: HashMap<TargetId, (u64, Ms)>,
}

impl Registry {
    /// Takes what was read. Gives what changed.
    pub fn apply(&mut self, now: Ms, seen: Observation) -> Vec<RegistryEvent> {
        let mut out = Vec::new();
        match seen {
            Observation::List { entries, names, lapse } => {
                let names: HashSet<TargetId> = names.into_iter().collect();
                let readable: HashSet<TargetId> = entries.iter().map(|e| e.id.clone()).collect();
                for entry in entries {
                    self.take(entry, &mut out);
                }
                let known: Vec<TargetId> = self.targets.keys().cloned().collect();
                for id in known {
                    match names.contains(&id) {
                        true if readable.contains(&id) => {}
                        true => self.drop_now(&id, &mut out),
                        false => self.missing(now, &id, lapse, &mut out),
                    }
                }
            }
            Observation::Entry(entry) => self.take(entry, &mut out),
            Observation::Malformed(id) => self.drop_now(&id, &mut out),
            Observation::Removed { id, lapse } => self.missing(now, &id, lapse, &mut out),
        }
        out
    }

    /// A target has said itself, in this life, that it leaves. Its entry may say so much later, or
    /// never where the store is away. Gives what changed.
    pub fn mark_leaving(&mut self, now: Ms, id: &TargetId, born: u64) -> Vec<RegistryEvent> {
        self.left.insert(id.clone(), (born, now));
        let ready = |t: &Arc<Target>| t.entry.born == born && t.entry.state == TargetState::Ready;
        match self.targets.get(id).is_some_and(ready) {
            true => vec![RegistryEvent::Draining(id.clone())],
            false => Vec::new(),
        }
    }

    /// Whether a target takes new work, by its entry and by its own word.
    pub fn takes_work(&self, entry: &Entry) -> bool {
        let left = self.left.get(&entry.id).is_some_and(|(born, _)| *born == entry.born);
        entry.state == TargetState::Ready && !left
    }

    /// Drops what lapsed and did not come back. Call it now and then.
    pub fn expire(&mut self, now: Ms) -> Vec<RegistryEvent> {
        let due: Vec<TargetId> =
            self.lapsed.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        let mut out = Vec::new();
        for id in due {
            self.drop_now(&id, &mut out);
        }
        let targets = &self.targets;
        self.left.retain(|id, (_, at)| targets.contains_key(id) || now - *at < LEFT_KEEP);
        out
    }

    /// What a whole list says that isn't known here.
    ///
    /// A registration that only counts on is no change: each target renews its own all the time.
    /// That one is cold, or no longer, is.
    pub fn diff(&self, entries: &[Entry], names: &[TargetId]) -> Vec<Update> {
        let readable: HashSet<&TargetId> = entries.iter().map(|e| &e.id).collect();
        let listed: HashSet<&TargetId> = names.iter().collect();
        let same = |a: &Entry, b: &Entry| {
            let cold = |e: &Entry| Ms(u64::from(e.warmup > Ms::ZERO));
            let plain = |e: &Entry| Entry { seq: 0, warmup: cold(e), ..e.clone() };
            plain(a) == plain(b)
        };
        let known = |e: &Entry| self.targets.get(&e.id).is_some_and(|t| same(&t.entry, e));
        let new = entries.iter().filter(|e| !known(e)).cloned().map(Update::Set);
        let gone = self.targets.keys().filter(|id| !readable.contains(id)).cloned();
        let gone = gone.map(|id| match listed.contains(&id) {
            true => Update::Malformed(id),
            false => Update::Removed(id),
        });
        new.chain(gone).collect()
    }

    /// All targets, those that drain included.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }

    /// When [`Registry::expire`] has something to do next.
    pub fn wake(&self) -> Option<Ms> {
        self.lapsed.values().min().copied()
    }

    fn take(&mut self, entry: Entry, out: &mut Vec<RegistryEvent>) {
        let id = entry.id.clone();
        let state = entry.state;
        match self.targets.get(&id).map(|t| &t.entry) {
            Some(known) if entry.born < known.born => return,
            Some(known) if entry.born == known.born && entry.seq < known.seq => return,
            // A target never takes its leaving back within one life: a delayed write of an older
            // state must not bring work to it.
            Some(known) if entry.born == known.born && known.state == TargetState::Draining => {
                self.lapsed.remove(&id);
                return;
            }
            Some(known) if entry.born == known.born => {
                if state == TargetState::Draining {
                    out.push(RegistryEvent::Draining(id.clone()));
                }
                if entry.warmup > known.warmup {
                    out.push(RegistryEvent::Cold(id.clone(), entry.warmup));
                }
            }
            _ => out.push(RegistryEvent::Joined(id.clone())),
        }
        self.lapsed.remove(&id);
        self.targets.insert(id, Arc::new(Target { entry }));
    }

    fn missing(&mut self, now: Ms, id: &TargetId, lapse: Option<Ms>, out: &mut Vec<RegistryEvent>) {
        match lapse {
            Some(until) if until > now && self.targets.contains_key(id) => {
                self.lapsed.entry(id.clone()).or_insert(until);
            }
            _ => self.drop_now(id, out),
        }
    }

    fn drop_now(&mut self, id: &TargetId, out: &mut Vec<RegistryEvent>) {
        self.lapsed.remove(id);
        if self.targets.remove(id).is_some() {
            out.push(RegistryEvent::Gone(id.clone()));
        }
    }
}
