//! The configuration that this host uses, and how it is replaced.
//!
//! Configurations are offered by the platform and by peers, in any order, and some are old. They
//! are ordered by generation, then by the object's version, then by change id. So all hosts that
//! have seen the same offers use the same configuration, and no host goes back to an older one.

use base::{Generation, hash_parts};
use conf::{Fleet, Plan};
use std::sync::Arc;
use wire::{FleetDelta, FleetObject};

/// Builds a plan from a configuration object; `None` if the configuration is invalid.
pub trait Checker: Send {
    /// Parses and validates the object.
    fn check(&mut self, object: &FleetObject) -> Option<Arc<Plan>>;
}

/// Parses and validates with crate `conf`.
#[derive(Debug, Default)]
pub struct Parser;

impl Checker for Parser {
    fn check(&mut self, object: &FleetObject) -> Option<Arc<Plan>> {
        let fleet = Fleet::parse(&object.config).ok()?;
        Plan::new(Generation(object.generation), fleet).ok().map(Arc::new)
    }
}

/// The configuration in force.
#[derive(Clone, Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) object: FleetObject,
    pub(crate) version: u64,
    pub(crate) plan: Arc<Plan>,
    /// The difference from the previous configuration, for peers that still use that one.
    pub(crate) delta: Option<FleetDelta>,
}

/// The outcome of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferOutcome {
    /// Accepted; now in force.
    Taken,
    /// Accepted in place of another configuration of the same generation. The two have different
    /// change ids, by different writers, and the platform can have kept only one of them.
    Replaced,
    /// The same configuration is already in force.
    Same,
    /// Older than the configuration in force.
    Stale,
    /// Invalid configuration.
    Refused,
}

fn version_order(object: &FleetObject, version: u64) -> (u64, u64, &str) {
    (object.generation, version, &object.change)
}

/// Hash that identifies a configuration; zero for none.
pub(crate) fn fleet_hash(active: Option<&ActiveConfig>) -> u64 {
    active.map_or(0, |h| hash_of(&h.object))
}

fn hash_of(object: &FleetObject) -> u64 {
    hash_parts(&[&object.generation.to_le_bytes(), object.change.as_bytes()])
}

/// Accepts an offer if it is newer than the active configuration. With `reject_older` off, it also
/// accepts older ones.
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
    // Audit records are appended at the end and removed at the start.
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

/// The largest offset not above `at` that is a character boundary in both texts.
fn floor_char_boundary(a: &str, b: &str, mut at: usize) -> usize {
    while !(a.is_char_boundary(at) && b.is_char_boundary(at)) {
        at -= 1;
    }
    at
}

/// Applies a delta to the active configuration; `None` if the delta has another base.
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
