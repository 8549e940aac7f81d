//! Builds the messages of exchanges and merges those that arrive.

use base::{Ms, TargetId};
use wire::{CacheNote, Digest, Exchange, Member};

use crate::config::Safeguard;
use crate::event::Effect;
use crate::fleet::{self, OfferOutcome};
use crate::loads::target_id;
use crate::members::Change;
use crate::rumors::{Topic, send_count};
use crate::state::State;
use crate::update::Update;

/// Most entries of each kind in one message. They determine a host's traffic; see docs/fleet.md.
const MAX_PULSES: usize = 24;
const MAX_MEMBERS: usize = 24;
const MAX_MARKS: usize = 8;
const MAX_LOADS: usize = 24;
const MAX_POOLS: usize = 8;
const MAX_CACHES: usize = 8;
/// Most hosts with an older configuration that one message asks about.
pub(crate) const MAX_BEHIND: usize = 8;
/// Number of times that a load or a cache event is sent. Few are enough, as a missed one is
/// replaced by the next.
const HINT_SENDS: u32 = 4;

impl State {
    /// Builds this host's digest.
    pub(crate) fn digest(&mut self) -> Digest {
        let hashes = self.members.hashes();
        let me = self.members.me();
        let bytes: Vec<u8> = hashes.iter().flat_map(|h| h.to_le_bytes()).collect();
        Digest {
            host: me.host.clone(),
            domain: me.domain.clone(),
            address: me.address.clone(),
            beat: me.beat,
            incarnation: me.incarnation,
            generation: me.generation,
            members_hash: base::hash_parts(&[&bytes]),
            leaving_hash: self.leaving.hash(),
            poison_hash: self.poison.hash(),
            leaving: me.leaving,
            fleet_hash: fleet::fleet_hash(self.active.as_ref()),
            whole: self.wants_full_config,
            blind: me.blind,
            capacity: me.capacity,
        }
    }

    /// Builds a message to a peer of `domain`, which is empty if it isn't known.
    pub(crate) fn message(&mut self, domain: &str, now: Ms) -> Exchange {
        let same_domain = domain == self.config.domain.as_str();
        let mut out = Exchange { digest: Some(self.digest()), ..Exchange::default() };
        for topic in self.rumors.take(MAX_PULSES, |t| matches!(t, Topic::Pulse(_))) {
            let Topic::Pulse(host) = topic else { continue };
            out.pulses.extend(self.members.pulse(&host));
        }
        for topic in self.rumors.take(MAX_MEMBERS, |t| matches!(t, Topic::Member(_))) {
            let Topic::Member(host) = topic else { continue };
            out.members.extend(self.members.get(&host).cloned());
        }
        for topic in self.rumors.take(MAX_MARKS, |t| matches!(t, Topic::Leaving(_))) {
            let Topic::Leaving(target) = topic else { continue };
            out.leaving.extend(self.leaving.get(&target).cloned());
        }
        for topic in self.rumors.take(MAX_MARKS, |t| matches!(t, Topic::Poison(_))) {
            let Topic::Poison(fingerprint) = topic else { continue };
            out.poison.extend(self.poison.get(fingerprint));
        }
        match same_domain {
            true => self.add_domain_hints(&mut out, now),
            false => {
                for topic in self.rumors.take(MAX_POOLS, |t| matches!(t, Topic::Pool(_))) {
                    let Topic::Pool(id) = topic else { continue };
                    out.pools.extend(self.loads.pool_load(id, now));
                }
            }
        }
        out
    }

    /// Adds what only hosts of this domain need, and the sums of other domains' pools.
    fn add_domain_hints(&mut self, out: &mut Exchange, now: Ms) {
        for topic in self.rumors.take(MAX_LOADS, |t| matches!(t, Topic::Load(_))) {
            let Topic::Load(id) = topic else { continue };
            out.loads.extend(self.loads.load(id, now));
        }
        for topic in self.rumors.take(MAX_CACHES, |t| matches!(t, Topic::Cache(..))) {
            let Topic::Cache(id, seq) = topic else { continue };
            out.caches.extend(self.caches.get(id, seq).cloned());
        }
        let is_remote = |loads: &crate::loads::Loads, id: u32| loads.pool(id).is_some();
        let wanted = |t: &Topic| matches!(t, Topic::Pool(id) if is_remote(&self.loads, *id));
        for topic in self.rumors.take(MAX_POOLS, wanted) {
            let Topic::Pool(id) = topic else { continue };
            out.pools.extend(self.loads.pool_load(id, now));
        }
    }

    /// Adds what the sender of `theirs` asked for and lacks according to its hashes.
    pub(crate) fn add_missing(&mut self, out: &mut Exchange, theirs: &Exchange) {
        let Some(digest) = &theirs.digest else { return };
        if !theirs.buckets.is_empty() {
            out.members = self.members.differing(&theirs.buckets);
            if digest.leaving_hash != self.leaving.hash() {
                out.leaving = self.leaving.all().cloned().collect();
            }
            if digest.poison_hash != self.poison.hash() {
                out.poison = self.poison.all().collect();
            }
        }
        for id in theirs.behind.iter().take(MAX_BEHIND) {
            let host = self.members.by_id(*id).map(str::to_owned);
            out.pulses.extend(host.and_then(|h| self.members.pulse(&h)));
        }
        self.add_config(out, digest);
    }

    /// Adds the configuration if the peer's is older: as a delta if the peer has the previous one,
    /// otherwise in full. Returns true if it was added.
    pub(crate) fn add_config(&mut self, out: &mut Exchange, theirs: &Digest) -> bool {
        let Some(active) = &self.active else { return false };
        let behind = theirs.generation < active.object.generation
            || theirs.generation == active.object.generation
                && theirs.fleet_hash != fleet::fleet_hash(Some(active));
        if !behind || !self.config.is_enabled(Safeguard::Push) {
            return false;
        }
        out.fleet_version = active.version;
        match &active.delta {
            Some(delta) if !theirs.whole && delta.from_hash == theirs.fleet_hash => {
                out.delta = Some(delta.clone());
            }
            _ => out.fleet = Some(active.object.clone()),
        }
        true
    }

    /// Merges a message from a peer.
    pub(crate) fn merge_exchange(&mut self, received: &Exchange, now: Ms, out: &mut Vec<Effect>) {
        if let Some(digest) = &received.digest {
            self.merge_claim(&sender_claim(digest), now, out);
        }
        for member in &received.members {
            self.merge_claim(member, now, out);
        }
        for pulse in &received.pulses {
            if let Some(claim) = self.members.claim(pulse) {
                self.merge_claim(&claim, now, out);
            }
        }
        for mark in &received.leaving {
            self.merge_leaving(mark, now, out);
        }
        for mark in &received.poison {
            self.merge_poison(mark, now, out);
        }
        self.merge_config(received, now, out);
        self.merge_loads(received, now, out);
        for note in &received.caches {
            self.merge_cache_event(note, out);
        }
    }

    fn merge_config(&mut self, received: &Exchange, now: Ms, out: &mut Vec<Effect>) {
        let object = match (&received.fleet, &received.delta) {
            (Some(object), _) => Some(object.clone()),
            (None, Some(delta)) => {
                let object = fleet::apply(self.active.as_ref(), delta);
                let current = self.active.as_ref().map_or(0, |h| h.object.generation);
                // The delta has another base than the active configuration: ask for the full one.
                self.wants_full_config |= object.is_none() && delta.generation > current;
                object
            }
            (None, None) => None,
        };
        if let Some(object) = object {
            let offer = self.offer(object, received.fleet_version, now, out);
            self.wants_full_config &=
                !matches!(offer, OfferOutcome::Taken | OfferOutcome::Replaced | OfferOutcome::Same);
        }
    }

    fn merge_loads(&mut self, received: &Exchange, now: Ms, out: &mut Vec<Effect>) {
        for load in &received.loads {
            let Some(at) = self.loads.merge_target(load, now) else { continue };
            self.rumors.start(Topic::Load(load.id), HINT_SENDS);
            let Some(target) = self.loads.target(load.id).cloned() else { continue };
            let (running, queued) = (load.running, load.queued);
            out.push(Effect::Update(Update::Load { target, running, queued, at }));
        }
        for load in &received.pools {
            let Some(at) = self.loads.merge_pool(load, now) else { continue };
            self.rumors.start(Topic::Pool(load.id), HINT_SENDS);
            let Some((domain, pool)) = self.loads.pool(load.id).cloned() else { continue };
            let (running, queued, slots) = (load.running, load.queued, load.slots);
            out.push(Effect::Update(Update::DomainLoad {
                domain,
                pool,
                running,
                queued,
                slots,
                at,
            }));
        }
    }

    /// Handles the load of a target that this host polled.
    pub(crate) fn load_polled(
        &mut self,
        target: &TargetId,
        running: u32,
        queued: u32,
        now: Ms,
        out: &mut Vec<Effect>,
    ) {
        let id = target_id(target.as_str());
        // With more targets than fit in one message, each load is sent less often. Otherwise the
        // last ones would never be sent.
        let rounds = self.loads.targets().div_ceil(MAX_LOADS) as u64;
        let min_interval = Ms(self.config.gossip_ms.0 * rounds);
        if self.loads.record_polled(id, running, queued, now, min_interval) {
            self.rumors.start(Topic::Load(id), HINT_SENDS);
        }
        let target = target.clone();
        out.push(Effect::Update(Update::Load { target, running, queued, at: now }));
    }

    pub(crate) fn merge_cache_event(&mut self, note: &CacheNote, out: &mut Vec<Effect>) {
        let Some(target) = self.loads.target(note.target).cloned() else { return };
        if self.caches.merge(note) {
            if note.hops > 0 {
                self.rumors.start(Topic::Cache(note.target, note.seq), HINT_SENDS);
            }
            let CacheNote { seq, prefix, stored, .. } = *note;
            out.push(Effect::Update(Update::Cache { target, seq, prefix, stored }));
        }
    }

    /// Merges one claim about a host and forwards what is new.
    pub(crate) fn merge_claim(&mut self, claim: &Member, now: Ms, out: &mut Vec<Effect>) {
        let full = send_count(self.members.alive().count());
        let host = || claim.host.clone();
        let flags = |m: &Member| (m.status, m.leaving);
        let known = self.members.get(&claim.host).map(flags);
        let dead = known.is_some_and(|(status, _)| status == i32::from(wire::HostStatus::Dead));
        if dead && !self.config.is_enabled(Safeguard::Refutation) {
            return;
        }
        let change = self.members.merge(claim, now);
        match change {
            Change::None => {}
            Change::Joined => {
                self.rumors.start(Topic::Member(host()), full);
                self.note(logs::Event::PeerJoined, host(), out);
                self.duties_stale = true;
                self.expedite_round(now);
            }
            Change::Updated => {
                if claim.leaving && known.is_some_and(|(_, leaving)| !leaving) {
                    self.note(logs::Event::PeerLeaving, host(), out);
                }
                let few = known == Some(flags(claim));
                self.rumors.start(Topic::Pulse(host()), if few { HINT_SENDS } else { full });
                self.duties_stale = true;
            }
            Change::Refuted if self.config.is_enabled(Safeguard::Refutation) => {
                self.rumors.start(Topic::Pulse(host()), HINT_SENDS);
            }
            Change::Refuted => {}
            Change::NeedsRefutation if self.config.is_enabled(Safeguard::Refutation) => {
                self.members.update_self(|me| {
                    me.beat = me.beat.max(claim.beat + 1);
                    if claim.incarnation > me.incarnation {
                        me.incarnation = claim.incarnation + 1;
                    }
                });
                let me = self.members.me().host.clone();
                self.rumors.start(Topic::Pulse(me.clone()), full);
                self.rumors.start(Topic::Member(me), full);
                self.expedite_round(now);
            }
            Change::NeedsRefutation => {}
        }
    }
}

/// The claim that a digest makes about its sender.
fn sender_claim(digest: &Digest) -> Member {
    Member {
        host: digest.host.clone(),
        domain: digest.domain.clone(),
        address: digest.address.clone(),
        beat: digest.beat,
        incarnation: digest.incarnation,
        generation: digest.generation,
        leaving: digest.leaving,
        status: 0,
        blind: digest.blind,
        capacity: digest.capacity,
    }
}
