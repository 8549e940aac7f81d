//! Assigns duties among the live hosts: who watches the platform, who polls which target, and the
//! order of calls to peers. Runs again whenever the set of live hosts changes.

use base::{DomainId, HostId, Ms, Version};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};
use wire::Member;

use crate::config::Safeguard;
use crate::event::Effect;
use crate::state::State;
use crate::update::Update;

impl State {
    /// Reassigns duties after a change of membership: who watches the platform, who polls which
    /// targets, and which peers to call.
    pub(crate) fn assign_duties(&mut self, now: Ms, out: &mut Vec<Effect>) {
        self.duties_stale = false;
        let domain = self.config.domain.as_str();
        let mut own: Vec<(bool, u64, HostId)> = self
            .members
            .serving()
            .filter(|m| m.domain == domain)
            .map(|m| {
                let score = base::hash_parts(&[b"watch", m.host.as_bytes()]);
                let blind = m.blind && self.config.is_enabled(Safeguard::BlindHandover);
                (blind, score, HostId::from(m.host.as_str()))
            })
            .collect();
        own.sort();
        let me = self.config.host.clone();
        let watching = own.iter().take(self.config.watchers).any(|(.., host)| *host == me);
        // A host that is stopping as the last one of its domain still watches, as it needs the
        // updates.
        self.platform.watch(watching || own.is_empty(), now);
        let hosts: Vec<HostId> = own.into_iter().map(|(.., host)| host).collect();
        if let Some(active) = &self.active {
            self.polls.assign(&active.plan, &self.config.domain, &me, &hosts, now);
        }
        let live = hosts.len().max(1) as u32;
        if live != self.live {
            self.live = live;
            out.push(Effect::Update(Update::Hosts { live }));
        }
        self.update_call_order();
        out.push(Effect::View);
    }

    /// Updates the order of calls: keeps the order of known peers, drops hosts that are gone and
    /// inserts new ones in random order.
    fn update_call_order(&mut self) {
        let me = self.config.host.as_str();
        let domain = self.config.domain.as_str();
        let wanted = |local: bool| {
            let hosts = self.members.alive().filter(move |m| (m.domain == domain) == local);
            hosts.filter(|m| m.host != me).map(|m| m.host.clone()).collect::<Vec<_>>()
        };
        let (local, remote) = (wanted(true), wanted(false));
        merge_order(&mut self.local_peers, local, &mut self.rng);
        merge_order(&mut self.remote_peers, remote, &mut self.rng);
    }

    /// This host's failure domain.
    pub(crate) fn domain(&self) -> &DomainId {
        &self.config.domain
    }

    /// Whether this host is the one that sums up the domain's loads.
    pub(crate) fn is_aggregator(&self) -> bool {
        let domain = self.config.domain.as_str();
        let own: Vec<&Member> = self.members.serving().filter(|m| m.domain == domain).collect();
        let first = base::rendezvous(b"aggregate", &own, |m| m.host.as_str());
        first.is_some_and(|m| m.host == self.config.host.as_str())
    }

    /// Newest version of the platform's list of hosts and targets that was read; marks from the
    /// list carry it.
    pub(crate) fn list_version(&self) -> Version {
        Version(self.hosts_version)
    }
}

fn merge_order(order: &mut VecDeque<String>, wanted: Vec<String>, rng: &mut ChaCha8Rng) {
    let known: BTreeSet<&String> = order.iter().collect();
    let keep: BTreeSet<&String> = wanted.iter().collect();
    let mut fresh: Vec<String> = wanted.iter().filter(|h| !known.contains(h)).cloned().collect();
    let mut kept: VecDeque<String> = order.iter().filter(|h| keep.contains(h)).cloned().collect();
    fresh.shuffle(rng);
    // New hosts are called first, as they lack the most.
    for host in fresh {
        kept.push_front(host);
    }
    *order = kept;
}
