//! The set of known targets, built from their registrations at the platform.
//!
//! An incarnation is one run of a target, from its start to its end.
//!
//! | observed | effect |
//! |---|---|
//! | a registration in state ready | the target gets work |
//! | a registration in state draining | no new work for the rest of that incarnation |
//! | the target's own notice in a response that it is leaving | no new work for the rest of that incarnation, whatever its registration says |
//! | a registration that is cold for longer than the previous one | the target has become cold again |
//! | a registration of an earlier incarnation, or an older one of the same incarnation | ignored |
//! | the last registration of a removed target, or an older one, shortly after the store has come back from an older copy | ignored |
//! | a removal without a recent outage of the store | the target is removed at once |
//! | a registration missing or removed shortly after an outage of the store | the target is kept until [`LAPSE_GRACE`] after the store's return, then removed |
//!
//! The rule for removed targets covers a copy that is older than the removal: it lists the target
//! until its registration lapses, and the target would get requests that it no longer serves.
//!
//! The last rule covers an outage in which the leases of all registrations expire. Without it, a
//! host would have no target left although all of them are running.

use base::{Ms, TargetId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::{Entry, TargetState, Update};

/// How long after the store's return a target is kept whose registration may have expired in the
/// outage, ms. Live targets register again within about two seconds; the rest covers the delay of
/// the list. A removal after that time counts as the target's own, whatever caused it.
pub const LAPSE_GRACE: Ms = Ms(2_400);

/// How long a target's notice that it is leaving, or its removal, is remembered after its
/// registration disappeared, ms: the registration may come back after an outage of the store.
const REMOVED_RETENTION: Ms = Ms::secs(600);

/// A known target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Its latest registration.
    pub entry: Entry,
}

/// Registrations or changes of them, as read from the platform.
#[derive(Clone, Debug)]
pub enum Observation {
    /// The complete list of registrations.
    List {
        /// The registrations that could be decoded.
        entries: Vec<Entry>,
        /// Names of all registrations, decodable or not.
        names: Vec<TargetId>,
        /// Until when a missing registration counts as expired in an outage; `None` if there was no
        /// recent outage.
        lapse: Option<Ms>,
    },
    /// One registration was added or changed.
    Entry(Entry),
    /// One registration can no longer be decoded, so its target is not used.
    Malformed(TargetId),
    /// One registration was removed.
    Removed {
        /// The target.
        id: TargetId,
        /// Until when it counts as expired in an outage; `None` if there was no recent outage.
        lapse: Option<Ms>,
    },
}

impl Observation {
    /// An observation of one change; `lapse` as in [`Observation::Removed`].
    pub fn update(update: Update, lapse: Option<Ms>) -> Self {
        match update {
            Update::Set(entry) => Self::Entry(entry),
            Update::Malformed(id) => Self::Malformed(id),
            Update::Removed(id) => Self::Removed { id, lapse },
        }
    }
}

/// A change in the set of targets.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryEvent {
    /// A target appeared, or came back as a new incarnation.
    Joined(TargetId),
    /// A target takes no new work.
    Draining(TargetId),
    /// A target has become cold, and stays cold for this long, ms.
    Cold(TargetId, Ms),
    /// A target was removed.
    Gone(TargetId),
}

/// The last registration of a target that was removed.
#[derive(Debug)]
struct Removed {
    born: u64,
    seq: u64,
    /// When it was removed.
    at: Ms,
}

impl Removed {
    /// Whether a registration was written before the removal.
    fn covers(&self, entry: &Entry) -> bool {
        (entry.born, entry.seq) <= (self.born, self.seq)
    }
}

/// The known targets.
#[derive(Debug, Default)]
pub struct Registry {
    targets: HashMap<TargetId, Arc<Target>>,
    /// Targets whose registration may have expired in an outage, and until when they are kept.
    lapsed: HashMap<TargetId, Ms>,
    /// Incarnations (by start time) of targets that gave notice that they are leaving, and when.
    leaving: HashMap<TargetId, (u64, Ms)>,
    /// Targets that were removed, but for those whose registration may have expired in an outage.
    removed: HashMap<TargetId, Removed>,
    /// Until when the store may list removed targets, since it came back from an older copy.
    restored: Ms,
}

impl Registry {
    /// Applies what was read and returns what changed.
    pub fn apply(&mut self, now: Ms, observed: Observation) -> Vec<RegistryEvent> {
        let mut out = Vec::new();
        match observed {
            Observation::List { entries, names, lapse } => {
                let names: HashSet<TargetId> = names.into_iter().collect();
                let readable: HashSet<TargetId> = entries.iter().map(|e| e.id.clone()).collect();
                for entry in entries {
                    self.register(entry, &mut out);
                }
                let known: Vec<TargetId> = self.targets.keys().cloned().collect();
                for id in known {
                    match names.contains(&id) {
                        true if readable.contains(&id) => {}
                        true => self.remove(now, &id, &mut out),
                        false => self.handle_missing(now, &id, lapse, &mut out),
                    }
                }
            }
            Observation::Entry(entry) => self.register(entry, &mut out),
            Observation::Malformed(id) => self.remove(now, &id, &mut out),
            Observation::Removed { id, lapse } => self.handle_missing(now, &id, lapse, &mut out),
        }
        out
    }

    /// Records the notice of a target, in the incarnation that started at `born`, that it is
    /// leaving. Its registration may say so much later, or never if the store is unavailable.
    /// Returns what changed.
    pub fn mark_leaving(&mut self, now: Ms, id: &TargetId, born: u64) -> Vec<RegistryEvent> {
        self.leaving.insert(id.clone(), (born, now));
        let ready = |t: &Arc<Target>| t.entry.born == born && t.entry.state == TargetState::Ready;
        match self.targets.get(id).is_some_and(ready) {
            true => vec![RegistryEvent::Draining(id.clone())],
            false => Vec::new(),
        }
    }

    /// Whether a target takes new work, according to its registration and its notices.
    pub fn takes_work(&self, entry: &Entry) -> bool {
        let leaving = self.leaving.get(&entry.id).is_some_and(|(born, _)| *born == entry.born);
        entry.state == TargetState::Ready && !leaving
    }

    /// Records that the store has come back from an older copy. Up to `until`, removed targets may
    /// be listed again; by then the registration of one that has ended has lapsed, so one that is
    /// still listed is alive.
    pub fn restored(&mut self, until: Ms) {
        self.restored = self.restored.max(until);
    }

    /// The registration of a target to go by, of this one that was read and the one that is known;
    /// none if its target was removed after it was written.
    pub fn newer(&self, now: Ms, read: Entry) -> Option<Entry> {
        let removed = || self.removed.get(&read.id).filter(|_| now < self.restored);
        match self.targets.get(&read.id).map(|t| &t.entry) {
            Some(known) if (read.born, read.seq) < (known.born, known.seq) => Some(known.clone()),
            None if removed().is_some_and(|r| r.covers(&read)) => None,
            _ => Some(read),
        }
    }

    /// Removes targets whose registration expired in an outage and did not come back. To be called
    /// regularly.
    pub fn expire(&mut self, now: Ms) -> Vec<RegistryEvent> {
        let due: Vec<TargetId> =
            self.lapsed.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        let mut out = Vec::new();
        for id in due {
            self.drop_target(&id, &mut out);
        }
        let targets = &self.targets;
        let recent = |at: Ms| now - at < REMOVED_RETENTION;
        self.leaving.retain(|id, (_, at)| targets.contains_key(id) || recent(*at));
        self.removed.retain(|_, removed| recent(removed.at));
        out
    }

    /// The changes that a complete list contains compared with what is known here.
    ///
    /// A registration that differs only in its write counter or its remaining warm-up time is not a
    /// change, because each target renews its registration all the time. Becoming cold or warm is a
    /// change.
    pub fn diff(&self, entries: &[Entry], names: &[TargetId]) -> Vec<Update> {
        let readable: HashSet<&TargetId> = entries.iter().map(|e| &e.id).collect();
        let listed: HashSet<&TargetId> = names.iter().collect();
        let same = |a: &Entry, b: &Entry| {
            let cold = |e: &Entry| Ms(u64::from(e.warmup > Ms::ZERO));
            let comparable = |e: &Entry| Entry { seq: 0, warmup: cold(e), ..e.clone() };
            comparable(a) == comparable(b)
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

    /// A target by name.
    pub fn get(&self, id: &TargetId) -> Option<&Arc<Target>> {
        self.targets.get(id)
    }

    /// All targets, including those that are draining.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }

    /// When [`Registry::expire`] next has a target to remove.
    pub fn next_expiry(&self) -> Option<Ms> {
        self.lapsed.values().min().copied()
    }

    fn register(&mut self, entry: Entry, out: &mut Vec<RegistryEvent>) {
        let id = entry.id.clone();
        let state = entry.state;
        match self.targets.get(&id).map(|t| &t.entry) {
            Some(known) if entry.born < known.born => return,
            Some(known) if entry.born == known.born && entry.seq < known.seq => return,
            // A target never returns from draining within one incarnation: a delayed write of an
            // older state must not send work to it.
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
        self.removed.remove(&id);
        self.targets.insert(id, Arc::new(Target { entry }));
    }

    fn handle_missing(
        &mut self,
        now: Ms,
        id: &TargetId,
        lapse: Option<Ms>,
        out: &mut Vec<RegistryEvent>,
    ) {
        match lapse {
            Some(until) if until > now && self.targets.contains_key(id) => {
                self.lapsed.entry(id.clone()).or_insert(until);
            }
            _ => self.remove(now, id, out),
        }
    }

    fn remove(&mut self, now: Ms, id: &TargetId, out: &mut Vec<RegistryEvent>) {
        if let Some(target) = self.drop_target(id, out) {
            let Entry { born, seq, .. } = target.entry;
            self.removed.insert(id.clone(), Removed { born, seq, at: now });
        }
    }

    fn drop_target(&mut self, id: &TargetId, out: &mut Vec<RegistryEvent>) -> Option<Arc<Target>> {
        self.lapsed.remove(id);
        let target = self.targets.remove(id)?;
        out.push(RegistryEvent::Gone(id.clone()));
        Some(target)
    }
}
