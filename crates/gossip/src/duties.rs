//! Who does what, worked out anew whenever who is alive changes.

use base::{DomainId, HostId, Ms, Version};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};
use wire::Member;

use crate::event::Effect;
use crate::rules::Safeguard;
use crate::state::State;
use crate::update::Update;

impl State {
    /// Who is alive changed: who watches, who polls, and whom to call are worked out anew.
    pub(crate) fn assign_duties(&mut self, now: Ms, out: &mut Vec<Effect>) {
        self.duties_stale = false;
        let domain = self.rules.domain.as_str();
        let mut own: Vec<(bool, u64, HostId)> = self
            .members
            .serving()
            .filter(|m| m.domain == domain)
            .map(|m| {
                let score = base::hash_parts(&[b"watch", m.host.as_bytes()]);
                let blind = m.blind && self.rules.is_enabled(Safeguard::BlindHandover);
                (blind, score, HostId::from(m.host.as_str()))
            })
            .collect();
        own.sort();
        let me = self.rules.host.clone();
        let watching = own.iter().take(self.rules.watchers).any(|(.., host)| *host == me);
        // A host that is stopping and is the last of its domain still needs the news.
        self.platform.watch(watching || own.is_empty(), now);
        let hosts: Vec<HostId> = own.into_iter().map(|(.., host)| host).collect();
        if let Some(active) = &self.active {
            self.polls.assign(&active.plan, &self.rules.domain, &me, &hosts, now);
        }
        let live = hosts.len().max(1) as u32;
        if live != self.live {
            self.live = live;
            out.push(Effect::Update(Update::Hosts { live }));
        }
        self.update_call_order();
        out.push(Effect::View);
    }

    /// Keeps the order of calls, drops hosts that went and puts new ones in at random places.
    fn update_call_order(&mut self) {
        let me = self.rules.host.as_str();
        let domain = self.rules.domain.as_str();
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
        &self.rules.domain
    }

    /// Whether the host that aggregates this domain's loads is this one.
    pub(crate) fn is_aggregator(&self) -> bool {
        let domain = self.rules.domain.as_str();
        let own: Vec<&Member> = self.members.serving().filter(|m| m.domain == domain).collect();
        let first = base::rendezvous(b"aggregate", &own, |m| m.host.as_str());
        first.is_some_and(|m| m.host == self.rules.host.as_str())
    }

    /// Version of the platform's list that a mark goes by.
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
    // New hosts are called first: what they lack is most.
    for host in fresh {
        kept.push_front(host);
    }
    *order = kept;
}
