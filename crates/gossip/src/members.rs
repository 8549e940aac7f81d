//! The membership table of the fleet, as this host knows it.
//!
//! Claims about a host are ordered by its incarnation and its heartbeat counter, so an old claim
//! never overrides a new one. Only the host itself increments its heartbeat. A claim that it is
//! dead carries the last heartbeat that was seen, and any later heartbeat refutes it.

use base::{Ms, hash_parts};
use peer::ViewHost;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{HostStatus, Member, Pulse};

/// Number of buckets whose hashes are compared, so that a single change costs the transfer of one
/// bucket.
pub(crate) const BUCKETS: usize = 32;
/// Time after which a dead host is forgotten, ms. It is longer than regions stay partitioned: dead
/// hosts are still called now and then, which is how the two sides of a partition find each other
/// again.
const FORGET_MS: Ms = Ms::secs(1800);

/// The effect of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// No change, or only a newer heartbeat.
    None,
    /// A host or an incarnation that wasn't known.
    Joined,
    /// The host's status, generation or flags changed.
    Updated,
    /// The claim says that the host is suspected or dead, but a later heartbeat is known here and
    /// refutes it.
    Refuted,
    /// The claim says that this host itself is suspected or dead, or comes from an earlier run of
    /// it and carries a newer heartbeat or incarnation than its own: this host must refute it.
    NeedsRefutation,
}

#[derive(Clone, Debug)]
struct Record {
    member: Member,
    /// When this host recorded the present status.
    since: Ms,
}

/// The membership table.
#[derive(Debug)]
pub(crate) struct Members {
    me: String,
    records: BTreeMap<String, Record>,
    ids: HashMap<u64, String>,
    hashes: Option<[u32; BUCKETS]>,
}

/// Hash that names a host and its incarnation in pulses.
pub(crate) fn pulse_id(host: &str, incarnation: u64) -> u64 {
    hash_parts(&[host.as_bytes(), &incarnation.to_le_bytes()])
}

fn bucket(host: &str) -> usize {
    hash_parts(&[b"bucket", host.as_bytes()]) as usize % BUCKETS
}

fn dead(member: &Member) -> bool {
    member.status() == HostStatus::Dead
}

/// Order of claims about one host.
fn rank(m: &Member) -> (u64, u64, i32, bool) {
    (m.incarnation, m.beat, m.status, m.leaving)
}

impl Members {
    pub(crate) fn new(me: Member, now: Ms) -> Self {
        let mut members = Self {
            me: me.host.clone(),
            records: BTreeMap::new(),
            ids: HashMap::new(),
            hashes: None,
        };
        members.insert(me, now);
        members
    }

    pub(crate) fn me(&self) -> &Member {
        &self.records[&self.me].member
    }

    /// Increments this host's heartbeat and changes its own record.
    pub(crate) fn update_self(&mut self, change: impl FnOnce(&mut Member)) {
        let me = self.me.clone();
        let Some(record) = self.records.get_mut(&me) else { return };
        let before = record.member.incarnation;
        record.member.beat += 1;
        let leaving = record.member.leaving;
        change(&mut record.member);
        record.member.status = HostStatus::Alive.into();
        let after = record.member.incarnation;
        if before != after || leaving != record.member.leaving {
            self.ids.remove(&pulse_id(&me, before));
            self.ids.insert(pulse_id(&me, after), me);
            self.hashes = None;
        }
    }

    /// Merges a claim.
    pub(crate) fn merge(&mut self, claim: &Member, now: Ms) -> Change {
        if claim.host == self.me {
            let me = self.me();
            let older = rank(claim) <= (me.incarnation, me.beat, HostStatus::Alive.into(), true);
            let past = (claim.incarnation, claim.beat) < (me.incarnation, me.beat);
            return if older && (claim.status == 0 || past) {
                Change::None
            } else {
                Change::NeedsRefutation
            };
        }
        let Some(record) = self.records.get_mut(&claim.host) else {
            if dead(claim) {
                return Change::None;
            }
            self.insert(claim.clone(), now);
            return Change::Joined;
        };
        let known = &record.member;
        match () {
            () if rank(claim) > rank(known) => {}
            () if claim.status > 0
                && (claim.incarnation, claim.beat) < (known.incarnation, known.beat) =>
            {
                return Change::Refuted;
            }
            () => return Change::None,
        }
        let change = match () {
            () if claim.incarnation != known.incarnation && !dead(claim) => Change::Joined,
            () if dead(known) && !dead(claim) => Change::Joined,
            () if (claim.status, claim.leaving, claim.blind, claim.generation)
                != (known.status, known.leaving, known.blind, known.generation) =>
            {
                Change::Updated
            }
            () => Change::None,
        };
        if claim.status != known.status {
            record.since = now;
        }
        let (old, new) = (known.incarnation, claim.incarnation);
        record.member = claim.clone();
        if old != new {
            self.ids.remove(&pulse_id(&claim.host, old));
            self.ids.insert(pulse_id(&claim.host, new), claim.host.clone());
        }
        if change != Change::None {
            self.hashes = None;
        }
        change
    }

    /// The full claim that a pulse stands for; `None` if its host isn't known.
    pub(crate) fn claim(&self, pulse: &Pulse) -> Option<Member> {
        let record = self.records.get(self.ids.get(&pulse.id)?)?;
        let mut claim = record.member.clone();
        claim.beat = pulse.beat;
        claim.generation = pulse.generation;
        claim.status = pulse.status;
        claim.leaving = pulse.leaving;
        claim.blind = pulse.blind;
        Some(claim)
    }

    /// The pulse of a host: the part of its record that changes often.
    pub(crate) fn pulse(&self, host: &str) -> Option<Pulse> {
        let m = &self.records.get(host)?.member;
        Some(Pulse {
            id: pulse_id(&m.host, m.incarnation),
            beat: m.beat,
            generation: m.generation,
            status: m.status,
            leaving: m.leaving,
            blind: m.blind,
        })
    }

    pub(crate) fn get(&self, host: &str) -> Option<&Member> {
        self.records.get(host).map(|r| &r.member)
    }

    pub(crate) fn by_id(&self, id: u64) -> Option<&str> {
        self.ids.get(&id).map(String::as_str)
    }

    /// Marks a host as suspected because it can't be reached. Returns true if that is new.
    pub(crate) fn suspect(&mut self, host: &str, now: Ms) -> bool {
        let Some(record) = self.records.get_mut(host) else { return false };
        if record.member.status() != HostStatus::Alive || host == self.me {
            return false;
        }
        record.member.status = HostStatus::Suspect.into();
        record.since = now;
        true
    }

    /// Gives suspected hosts `time` more to refute the suspicion.
    pub(crate) fn extend_suspicions(&mut self, time: Ms) {
        let suspected = |r: &&mut Record| r.member.status() == HostStatus::Suspect;
        self.records.values_mut().filter(suspected).for_each(|r| r.since += time);
    }

    /// Marks hosts as dead that have been suspected for `suspect_ms`, and forgets hosts that have
    /// been dead for long. Returns the newly dead.
    pub(crate) fn expire(&mut self, now: Ms, suspect_ms: Ms) -> Vec<String> {
        let mut newly_dead = Vec::new();
        for (host, record) in &mut self.records {
            if record.member.status() == HostStatus::Suspect && now - record.since >= suspect_ms {
                record.member.status = HostStatus::Dead.into();
                record.since = now;
                newly_dead.push(host.clone());
            }
        }
        let old = |r: &Record| dead(&r.member) && now - r.since >= FORGET_MS;
        if self.records.values().any(old) {
            self.records.retain(|_, r| !old(r));
            self.ids.retain(|_, host| self.records.contains_key(host));
        }
        if !newly_dead.is_empty() {
            self.hashes = None;
        }
        newly_dead
    }

    /// All hosts, including this one and the dead, by name.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Member> {
        self.records.values().map(|r| &r.member)
    }

    /// The hosts that aren't marked as dead.
    pub(crate) fn alive(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|m| !dead(m))
    }

    /// The live hosts that aren't leaving.
    pub(crate) fn serving(&self) -> impl Iterator<Item = &Member> {
        self.alive().filter(|m| !m.leaving)
    }

    /// The live hosts that aren't leaving, in the form used outside this crate.
    pub(crate) fn view(&self) -> Arc<[ViewHost]> {
        let host = |m: &Member| {
            let address: SocketAddr = m.address.parse().ok()?;
            Some(ViewHost {
                host: m.host.as_str().into(),
                domain: m.domain.as_str().into(),
                address,
                capacity: m.capacity,
            })
        };
        self.serving().filter_map(host).collect()
    }

    /// Hashes of the buckets. They leave out dead hosts, as each host forgets these at its own
    /// time, and also heartbeats and generations, which change all the time.
    pub(crate) fn hashes(&mut self) -> [u32; BUCKETS] {
        if let Some(hashes) = self.hashes {
            return hashes;
        }
        let mut out = [0u32; BUCKETS];
        for m in self.alive() {
            let hash = hash_parts(&[
                m.host.as_bytes(),
                m.address.as_bytes(),
                &m.incarnation.to_le_bytes(),
                &[u8::from(m.leaving)],
            ]);
            out[bucket(&m.host)] ^= hash as u32;
        }
        self.hashes = Some(out);
        out
    }

    /// All records in buckets whose hashes differ from `theirs`.
    pub(crate) fn differing(&mut self, theirs: &[u32]) -> Vec<Member> {
        let ours = self.hashes();
        let differs = |m: &&Member| {
            let i = bucket(&m.host);
            theirs.get(i) != Some(&ours[i])
        };
        self.all().filter(differs).cloned().collect()
    }

    fn insert(&mut self, member: Member, now: Ms) {
        self.ids.insert(pulse_id(&member.host, member.incarnation), member.host.clone());
        self.records.insert(member.host.clone(), Record { member, since: now });
        self.hashes = None;
    }
}
