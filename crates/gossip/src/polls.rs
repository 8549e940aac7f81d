//! Which targets this host polls, and when.
//!
//! Each target is polled by one host of its domain, chosen by rendezvous hashing over the live
//! hosts. So the load on targets doesn't grow with the fleet, and when a host goes away, only its
//! targets are reassigned.

use base::{DomainId, HostId, Ms, TargetId};
use conf::{Plan, PoolKind};
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug)]
struct Poll {
    address: SocketAddr,
    engine: bool,
    next: Ms,
    /// When the poll in flight counts as lost.
    times_out_at: Option<Ms>,
    /// The first cache event that is wanted.
    since: u64,
}

/// The targets assigned to this host.
#[derive(Debug, Default)]
pub(crate) struct Polls {
    assigned: BTreeMap<TargetId, Poll>,
}

impl Polls {
    /// Assigns the domain's targets among `hosts`, the domain's live hosts.
    pub(crate) fn assign(
        &mut self,
        plan: &Plan,
        domain: &DomainId,
        me: &HostId,
        hosts: &[HostId],
        now: Ms,
    ) {
        let mut assigned = BTreeMap::new();
        for t in plan.targets.iter().filter(|t| t.domain == *domain) {
            let poller = base::rendezvous(t.name.as_str().as_bytes(), hosts, HostId::as_str);
            let Ok(address) = t.address.parse() else { continue };
            if poller != Some(me) {
                continue;
            }
            let engine = t.kind == PoolKind::Engine;
            let fresh = Poll { address, engine, next: now, times_out_at: None, since: 0 };
            let kept = self.assigned.get(&t.name).filter(|p| p.address == address);
            assigned.insert(t.name.clone(), kept.copied().unwrap_or(fresh));
        }
        self.assigned = assigned;
    }

    /// When a poll is due next or times out.
    pub(crate) fn wake(&self) -> Ms {
        self.assigned.values().map(|p| p.times_out_at.unwrap_or(p.next)).min().unwrap_or(Ms::MAX)
    }

    /// Returns the polls to make now. A poll without an answer within `timeout` is abandoned.
    pub(crate) fn due(
        &mut self,
        now: Ms,
        interval: Ms,
        timeout: Ms,
    ) -> Vec<(TargetId, SocketAddr, Option<u64>)> {
        let mut due = Vec::new();
        for (target, poll) in &mut self.assigned {
            if poll.times_out_at.is_some_and(|end| end <= now) {
                poll.times_out_at = None;
            }
            if poll.times_out_at.is_none() && poll.next <= now {
                poll.next = now + interval;
                poll.times_out_at = Some(now + timeout);
                due.push((target.clone(), poll.address, poll.engine.then_some(poll.since)));
            }
        }
        due
    }

    /// Handles the end of a poll. Returns false if the target is no longer assigned to this host.
    pub(crate) fn ended(&mut self, target: &TargetId, next: Option<u64>) -> bool {
        let Some(poll) = self.assigned.get_mut(target) else { return false };
        poll.times_out_at = None;
        // Lower numbers are taken too: an engine that restarts counts its events from the start.
        poll.since = next.unwrap_or(poll.since);
        true
    }

    /// Number of targets assigned to this host.
    pub(crate) fn len(&self) -> usize {
        self.assigned.len()
    }
}
