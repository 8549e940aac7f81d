//! Which targets this host polls, and when.
//!
//! Each target is polled by one host of its domain, by rendezvous hash over the live ones: the
//! targets' work doesn't grow with the fleet, and when a host goes only its targets move.

use base::{DomainId, HostId, Ms, TargetId};
use conf::{Plan, PoolKind};
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug)]
struct Poll {
    address: SocketAddr,
    engine: bool,
    next: Ms,
    /// When the poll that is out counts as lost.
    times_out_at: Option<Ms>,
    /// The first cache event that is wanted.
    since: u64,
}

/// This host's targets.
#[derive(Debug, Default)]
pub(crate) struct Polls {
    assigned: BTreeMap<TargetId, Poll>,
}

impl Polls {
    /// Shares the domain's targets out among `hosts`, the live ones of the domain.
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

    /// When something is due next.
    pub(crate) fn wake(&self) -> Ms {
        self.assigned.values().map(|p| p.times_out_at.unwrap_or(p.next)).min().unwrap_or(Ms::MAX)
    }

    /// Polls to make now. One that got no answer within `silence` is given up on.
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

    /// A poll ended. False when the target isn't this host's any more.
    pub(crate) fn ended(&mut self, target: &TargetId, next: Option<u64>) -> bool {
        let Some(poll) = self.assigned.get_mut(target) else { return false };
        poll.times_out_at = None;
        // Also when it is lower: an engine that restarted counts from the start again.
        poll.since = next.unwrap_or(poll.since);
        true
    }

    /// How many targets are this host's.
    pub(crate) fn len(&self) -> usize {
        self.assigned.len()
    }
}
