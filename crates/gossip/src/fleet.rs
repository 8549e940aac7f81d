//! The configuration that this host holds, and how it changes.
//!
//! Offers come from the platform and from peers, in any order, some of them old. They are
//! ordered by generation, then by the object's version, then by change id: every host that has
//! seen the same offers holds the same one, and none goes back.

use base::{Generation, hash_parts};
use conf::{Fleet, Plan};
use std::sync::Arc;
use wire::{FleetDelta, FleetObject};

/// Makes a plan of a configuration object; `None` when it can't work.
pub trait Checker: Send {
    /// Parses and checks it.
    fn check(&mut self, object: &FleetObject) -> Option<Arc<Plan>>;
}

/// Parses and checks with crate `conf`.
#[derive(Debug, Default)]
pub struct Parser;

impl Checker for Parser {
    fn check(&mut self, object: &FleetObject) -> Option<Arc<Plan>> {
        let fleet = Fleet::parse(&object.config).ok()?;
        Plan::new(Generation(object.generation), fleet).ok().map(Arc::new)
    }
}

/// A configuration in force.
#[derive(Clone, Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) object: FleetObject,
    pub(crate) version: u64,
    pub(crate) plan: Arc<Plan>,
    /// From the one before, for peers that still hold that.
    pub(crate) delta: Option<FleetDelta>,
}

/// What came of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferOutcome {
    /// It is in force now.
    Taken,
    /// In force now in place of another of the same generation: two writers' change ids, of
    /// which the platform can only have kept one.
    Replaced,
    /// The same as the one in force.
    Same,
    /// Older than the one in force.
    Stale,
    /// It can't work.
    Refused,
}

fn version_order(object: &FleetObject, version: u64) -> (u64, u64, &str) {
    (object.generation, version, &object.change)
}

/// Tells configurations apart; zero for none.
pub(crate) fn fleet_hash(active: Option<&ActiveConfig>) -> u64 {
    active.map_or(0, |h| hash_of(&h.object))
}

fn hash_of(object: &FleetObject) -> u64 {
    hash_parts(&[&object.generation.to_le_bytes(), object.change.as_bytes()])
}

/// Takes an offer if it is newer than what is held. With `floor` off, anything else is taken too.
pub(crate) fn offer(
    active: &mut Option<ActiveConfig>,
    object: FleetObject,
    version: u64,
    checker: &mut dyn Checker,
    reject_older: bool,
) -> OfferOutcome {
    if let Some(current) = active.as_mut() {
        match () {
            () if object.generation == current.object.generation
                && object.change == current.object.change =>
            {
                current.version = current.version.max(version);
                return OfferOutcome::Same;
            }
            () if reject_older
                && version_order(&object, version)
                    < version_order(&current.object, current.version) =>
            {
                return OfferOutcome::Stale;
            }
            () => {}
        }
    }
    let Some(plan) = checker.check(&object) else { return OfferOutcome::Refused };
    let replaced = active.as_ref().is_some_and(|h| h.object.generation == object.generation);
    let delta = active.as_ref().map(|h| delta_from(h, &object));
    *active = Some(ActiveConfig { object, version, plan, delta });
    if replaced { OfferOutcome::Replaced } else { OfferOutcome::Taken }
}

fn delta_from(old: &ActiveConfig, new: &FleetObject) -> FleetDelta {
    let (a, b) = (old.object.config.as_bytes(), new.config.as_bytes());
    let head = a.iter().zip(b).take_while(|(x, y)| x == y).count();
    let head = floor_char_boundary(&new.config, &old.object.config, head);
    let rest = a.len().min(b.len()) - head;
    let tail = a.iter().rev().zip(b.iter().rev()).take(rest).take_while(|(x, y)| x == y).count();
    let mut tail = tail;
    while !new.config.is_char_boundary(b.len() - tail) {
        tail -= 1;
    }
    let (old_audit, new_audit) = (&old.object.audit, &new.audit);
    // Records are added at the end and leave at the start.
    let drop = (0..=old_audit.len())
        .find(|i| new_audit.starts_with(&old_audit[*i..]))
        .unwrap_or(old_audit.len());
    FleetDelta {
        from: old.object.generation,
        from_hash: hash_of(&old.object),
        generation: new.generation,
        change: new.change.clone(),
        head: head as u32,
        tail: tail as u32,
        middle: new.config[head..b.len() - tail].to_owned(),
        audit_drop: drop as u32,
        audit: new_audit[old_audit.len() - drop..].to_vec(),
        rolled: new.rolled.clone(),
        text_hash: hash_parts(&[b]),
    }
}

/// The largest cut not above `at` that splits no character of either text.
fn floor_char_boundary(a: &str, b: &str, mut at: usize) -> usize {
    while !(a.is_char_boundary(at) && b.is_char_boundary(at)) {
        at -= 1;
    }
    at
}

/// The object that a delta leads to from what is held; `None` when it doesn't fit.
pub(crate) fn apply(active: Option<&ActiveConfig>, delta: &FleetDelta) -> Option<FleetObject> {
    let active = active?;
    let old = &active.object;
    if delta.from != old.generation || delta.from_hash != hash_of(old) {
        return None;
    }
    let tail_at = old.config.len().checked_sub(delta.tail as usize)?;
    let (head, tail) = (old.config.get(..delta.head as usize)?, old.config.get(tail_at..)?);
    let config = [head, &delta.middle, tail].concat();
    if hash_parts(&[config.as_bytes()]) != delta.text_hash {
        return None;
    }
    let kept = old.audit.get(delta.audit_drop as usize..)?;
    let audit = kept.iter().chain(&delta.audit).cloned().collect();
    Some(FleetObject {
        generation: delta.generation,
        change: delta.change.clone(),
        config,
        audit,
        rolled: delta.rolled.clone(),
    })
}
