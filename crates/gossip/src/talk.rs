//! What an exchange says, and what this host takes from one.

use base::{Ms, TargetId};
use wire::{CacheNote, Digest, Exchange, Member};

use crate::event::Effect;
use crate::fleet::{self, Offer};
use crate::loads::target_id;
use crate::members::Change;
use crate::rules::Safeguard;
use crate::rumors::{Topic, sends};
use crate::state::State;
use crate::update::Update;

/// Most of each kind in one message. They set a host's traffic: see docs/fleet.md.
const PULSES: usize = 24;
const MEMBERS: usize = 24;
const MARKS: usize = 8;
const LOADS: usize = 24;
const POOLS: usize = 8;
const CACHES: usize = 8;
/// Most members of one message that are asked for as behind.
pub(crate) const BEHIND: usize = 8;
/// Times that a load or a cache event is passed on: missed ones are replaced by the next.
const HINT_SENDS: u32 = 4;

impl State {
    /// This host's digest.
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
            fleet_hash: fleet::fleet_hash(self.held.as_ref()),
            whole: self.whole,
            blind: me.blind,
            capacity: me.capacity,
        }
    }

    /// A message to a peer of `domain`; empty when that isn't known.
    pub(crate) fn message(&mut self, domain: &str, now: Ms) -> Exchange {
        let near = domain == self.rules.domain.as_str();
        let mut out = Exchange { digest: Some(self.digest()), ..Exchange::default() };
        for topic in self.rumors.take(PULSES, |t| matches!(t, Topic::Pulse(_))) {
            let Topic::Pulse(host) = topic else { continue };
            out.pulses.extend(self.members.pulse(&host));
        }
        for topic in self.rumors.take(MEMBERS, |t| matches!(t, Topic::Member(_))) {
            let Topic::Member(host) = topic else { continue };
            out.members.extend(self.members.get(&host).cloned());
        }
        for topic in self.rumors.take(MARKS, |t| matches!(t, Topic::Leaving(_))) {
            let Topic::Leaving(target) = topic else { continue };
            out.leaving.extend(self.leaving.get(&target).cloned());
        }
        for topic in self.rumors.take(MARKS, |t| matches!(t, Topic::Poison(_))) {
            let Topic::Poison(fingerprint) = topic else { continue };
            out.poison.extend(self.poison.get(fingerprint));
        }
        match near {
            true => self.hints(&mut out, now),
            false => {
                for topic in self.rumors.take(POOLS, |t| matches!(t, Topic::Pool(_))) {
                    let Topic::Pool(id) = topic else { continue };
                    out.pools.extend(self.loads.pool_load(id, now));
                }
            }
        }
        out
    }

    /// What only hosts of the same domain need, and sums of other domains for them.
    fn hints(&mut self, out: &mut Exchange, now: Ms) {
        for topic in self.rumors.take(LOADS, |t| matches!(t, Topic::Load(_))) {
            let Topic::Load(id) = topic else { continue };
            out.loads.extend(self.loads.load(id, now));
        }
        for topic in self.rumors.take(CACHES, |t| matches!(t, Topic::Cache(..))) {
            let Topic::Cache(id, seq) = topic else { continue };
            out.caches.extend(self.caches.get(id, seq).cloned());
        }
        let far = |loads: &crate::loads::Loads, id: u32| loads.pool(id).is_some();
        let wanted = |t: &Topic| matches!(t, Topic::Pool(id) if far(&self.loads, *id));
        for topic in self.rumors.take(POOLS, wanted) {
            let Topic::Pool(id) = topic else { continue };
            out.pools.extend(self.loads.pool_load(id, now));
        }
    }

    /// Adds what the sender of `theirs` lacks by its hashes, as far as it asked.
    pub(crate) fn complete(&mut self, out: &mut Exchange, theirs: &Exchange) {
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
        for id in theirs.behind.iter().take(BEHIND) {
            let host = self.members.by_id(*id).map(str::to_owned);
            out.pulses.extend(host.and_then(|h| self.members.pulse(&h)));
        }
        self.supply(out, digest);
    }

    /// Adds the configuration, if the peer's is behind: what changed if it holds the one before,
    /// all of it otherwise. True when it was added.
    pub(crate) fn supply(&mut self, out: &mut Exchange, theirs: &Digest) -> bool {
        let Some(held) = &self.held else { return false };
        let behind = theirs.generation < held.object.generation
            || theirs.generation == held.object.generation
                && theirs.fleet_hash != fleet::fleet_hash(Some(held));
        if !behind || !self.rules.keeps(Safeguard::Push) {
            return false;
        }
        out.fleet_version = held.version;
        match &held.delta {
            Some(delta) if !theirs.whole && delta.from_hash == theirs.fleet_hash => {
                out.delta = Some(delta.clone());
            }
            _ => out.fleet = Some(held.object.clone()),
        }
        true
    }

    /// Takes what a peer says.
    pub(crate) fn absorb(&mut self, said: &Exchange, now: Ms, out: &mut Vec<Effect>) {
        if let Some(digest) = &said.digest {
            self.claim(&own_word(digest), now, out);
        }
        for member in &said.members {
            self.claim(member, now, out);
        }
        for pulse in &said.pulses {
            if let Some(claim) = self.members.claim(pulse) {
                self.claim(&claim, now, out);
            }
        }
        for mark in &said.leaving {
            self.mark(mark, now, out);
        }
        for mark in &said.poison {
            self.poisoned(mark, now, out);
        }
        self.configure(said, now, out);
        self.hear_loads(said, now, out);
        for note in &said.caches {
            self.cached(note, out);
        }
    }

    fn configure(&mut self, said: &Exchange, now: Ms, out: &mut Vec<Effect>) {
        let object = match (&said.fleet, &said.delta) {
            (Some(object), _) => Some(object.clone()),
            (None, Some(delta)) => {
                let object = fleet::apply(self.held.as_ref(), delta);
                let held = self.held.as_ref().map_or(0, |h| h.object.generation);
                // It doesn't fit what is held here: ask for all of it.
                self.whole |= object.is_none() && delta.generation > held;
                object
            }
            (None, None) => None,
        };
        if let Some(object) = object {
            let offer = self.offer(object, said.fleet_version, now, out);
            self.whole &= !matches!(offer, Offer::Taken | Offer::Replaced | Offer::Same);
        }
    }

    fn hear_loads(&mut self, said: &Exchange, now: Ms, out: &mut Vec<Effect>) {
        for load in &said.loads {
            let Some(at) = self.loads.heard(load, now) else { continue };
            self.rumors.start(Topic::Load(load.id), HINT_SENDS);
            let Some(target) = self.loads.target(load.id).cloned() else { continue };
            let (running, queued) = (load.running, load.queued);
            out.push(Effect::Update(Update::Load { target, running, queued, at }));
        }
        for load in &said.pools {
            let Some(at) = self.loads.heard_pool(load, now) else { continue };
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

    /// A target's load as this host polled it.
    pub(crate) fn polled(
        &mut self,
        target: &TargetId,
        running: u32,
        queued: u32,
        now: Ms,
        out: &mut Vec<Effect>,
    ) {
        let id = target_id(target.as_str());
        // More targets than a message holds are told less often, or the last would never be.
        let rounds = self.loads.targets().div_ceil(LOADS) as u64;
        let pace = Ms(self.rules.gossip_ms.0 * rounds);
        if self.loads.polled(id, running, queued, now, pace) {
            self.rumors.start(Topic::Load(id), HINT_SENDS);
        }
        let target = target.clone();
        out.push(Effect::Update(Update::Load { target, running, queued, at: now }));
    }

    pub(crate) fn cached(&mut self, note: &CacheNote, out: &mut Vec<Effect>) {
        let Some(target) = self.loads.target(note.target).cloned() else { return };
        if self.caches.merge(note) {
            if note.hops > 0 {
                self.rumors.start(Topic::Cache(note.target, note.seq), HINT_SENDS);
            }
            let CacheNote { seq, prefix, stored, .. } = *note;
            out.push(Effect::Update(Update::Cache { target, seq, prefix, stored }));
        }
    }

    /// Takes one claim about a host and passes on what is new.
    pub(crate) fn claim(&mut self, claim: &Member, now: Ms, out: &mut Vec<Effect>) {
        let full = sends(self.members.alive().count());
        let host = || claim.host.clone();
        let flags = |m: &Member| (m.status, m.leaving);
        let heard = self.members.get(&claim.host).map(flags);
        let dead = heard.is_some_and(|(status, _)| status == i32::from(wire::HostStatus::Dead));
        if dead && !self.rules.keeps(Safeguard::Refutation) {
            return;
        }
        let change = self.members.merge(claim, now);
        match change {
            Change::None => {}
            Change::Joined => {
                self.rumors.start(Topic::Member(host()), full);
                self.note(logs::Event::PeerJoined, host(), out);
                self.regroup = true;
                self.hurry(now);
            }
            Change::Moved => {
                if claim.leaving && heard.is_some_and(|(_, leaving)| !leaving) {
                    self.note(logs::Event::PeerLeaving, host(), out);
                }
                let few = heard == Some(flags(claim));
                self.rumors.start(Topic::Pulse(host()), if few { HINT_SENDS } else { full });
                self.regroup = true;
            }
            Change::Refuted if self.rules.keeps(Safeguard::Refutation) => {
                self.rumors.start(Topic::Pulse(host()), HINT_SENDS);
            }
            Change::Refuted => {}
            Change::Accused if self.rules.keeps(Safeguard::Refutation) => {
                self.members.beat(|me| {
                    me.beat = me.beat.max(claim.beat + 1);
                    if claim.incarnation > me.incarnation {
                        me.incarnation = claim.incarnation + 1;
                    }
                });
                let me = self.members.me().host.clone();
                self.rumors.start(Topic::Pulse(me.clone()), full);
                self.rumors.start(Topic::Member(me), full);
                self.hurry(now);
            }
            Change::Accused => {}
        }
    }
}

/// What a digest says of its sender.
fn own_word(digest: &Digest) -> Member {
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
