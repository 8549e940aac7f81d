//! Gossip rounds: which peers to call, and what the outcome of a call says about the peer.

use base::Ms;
use peer::PeerError;
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use store::StoreError;
use wire::{Exchange, HostStatus, Member};

use crate::config::Safeguard;
use crate::event::{CallId, Effect};
use crate::exchange::MAX_BEHIND;
use crate::platform::Call;
use crate::rumors::{Topic, send_count};
use crate::state::{PendingCall, State};

/// Rounds between two comparisons of the full membership table.
const SYNC_INTERVAL_ROUNDS: u64 = 5;
/// Length of the joining phase after a start, in normal round intervals. A joining host compares
/// tables in each round.
const JOIN_ROUNDS: u64 = 3;
/// Rounds of a joining host in one normal round interval.
const JOIN_SPEEDUP: u64 = 5;
/// Rounds after a change of configuration before hosts that still show an older one are queried.
const BEHIND_ROUNDS: u64 = 4;
/// Calls to each dead host per round, by the whole fleet together.
const REJOIN_CALLS: usize = 3;
/// Most calls to dead hosts, and to seeds, per round.
const MAX_REJOIN_CALLS: usize = 3;
/// Failed calls in a row after which a peer is suspected. A single failure may come from a pooled
/// connection that has gone dead; the next call opens a new one.
const SUSPECT_MISSES: u32 = 2;
/// One round in this many also calls a seed address from the settings or from the platform's list.
const SEED_INTERVAL_ROUNDS: u32 = 10;

impl State {
    /// Runs everything that is due.
    pub(crate) fn tick(&mut self, now: Ms, out: &mut Vec<Effect>) {
        for (kind, call) in self.platform.overdue(now, &self.config) {
            self.platform_answered(call, kind, Err(StoreError::Down), now, out);
        }
        let (interval, timeout) = (self.config.poll_ms, self.config.target_ms);
        for (target, address, since) in self.polls.due(now, interval, timeout) {
            out.push(Effect::Poll { target, address, since });
        }
        let mut calls = self.calls;
        let next = || {
            calls += 1;
            CallId(calls)
        };
        let due = self.platform.due(now, &self.config, &mut self.rng, next);
        self.calls = calls;
        for (call, kind, what, wait) in due {
            out.push(match what {
                Call::List => Effect::List { call, kind },
                Call::Watch(after) => Effect::Watch { call, kind, after, wait },
            });
        }
        if now >= self.next_round {
            self.round(now, out);
        }
        if self.peer_wait_until.is_some_and(|end| now >= end) {
            self.end_peer_wait(now, out);
        }
    }

    fn round(&mut self, now: Ms, out: &mut Vec<Effect>) {
        let interval = self.config.gossip_ms;
        // A round that is late by a whole interval: this host did not run, and could not hear that a
        // suspected host is alive.
        let late = now - self.next_round;
        if late >= interval {
            self.members.extend_suspicions(late);
        }
        let joining = self.joining(now);
        // Without jitter, hosts that started together would call at the same time for ever.
        let jitter = Ms(self.rng.random_range(0..=interval.0 / 5));
        self.next_round = match joining {
            true => now + interval.scale(1, JOIN_SPEEDUP) + jitter.scale(1, JOIN_SPEEDUP),
            false => now + interval.scale(9, 10) + jitter,
        };
        self.next_expedited = now + interval.scale(1, 4);
        self.members.update_self(|_| ());
        self.poison.expire(now);
        for host in self.members.expire(now, self.config.suspect_ms) {
            self.note(logs::Event::PeerLost, host.clone(), out);
            let full = send_count(self.members.alive().count());
            self.rumors.start(Topic::Pulse(host), full);
            self.duties_stale = true;
        }
        if self.duties_stale {
            // Drop records of calls from peers that are older than the suspicion time.
            self.callers.retain(|_, at| now - *at < self.config.suspect_ms);
        }
        if self.is_aggregator() {
            let domain = self.domain().clone();
            let leaving = &self.leaving;
            let changed = self.loads.sum_pools(&domain, now, interval, |t| leaving.is_leaving(t));
            for id in changed {
                self.rumors.start(Topic::Pool(id), 4);
            }
        }
        // Only the one peer whose tables differed is asked: the answer may be large, and any other
        // peer may lack the same entries as this host.
        let sync = self.sync_peer.take_if(|_| now >= self.next_sync);
        if sync.is_some() {
            self.next_sync = match joining {
                true => now,
                false => now + Ms(interval.0 * SYNC_INTERVAL_ROUNDS),
            };
        }
        let behind = self.behind(now);
        let chosen = self.choose(sync.as_deref());
        for (i, to) in chosen.into_iter().enumerate() {
            let mut exchange = self.message(&to.domain, now);
            if sync.is_some() && i == 0 {
                exchange.buckets = self.members.hashes().to_vec();
            }
            if i == 0 {
                exchange.behind.clone_from(&behind);
            }
            self.call(to, exchange, out);
        }
    }

    /// Whether this host started so recently that it may not know all hosts of its fleet.
    ///
    /// When a whole fleet starts at once, tables that are compared every few seconds take about ten
    /// seconds to converge. In the meantime, hosts assign the same duty to different hosts. A
    /// joining host instead runs some quick rounds and compares tables in each, so that what it
    /// knows grows as fast as the number of hosts that it has asked.
    fn joining(&self, now: Ms) -> bool {
        now - self.started < Ms(self.config.gossip_ms.0 * JOIN_ROUNDS)
    }

    /// Runs one round immediately, for a host that is stopping: it may not live until the next.
    pub(crate) fn final_round(&mut self, now: Ms, out: &mut Vec<Effect>) {
        self.round(now, out);
    }

    fn call(&mut self, to: PendingCall, exchange: Exchange, out: &mut Vec<Effect>) {
        let call = self.call_id();
        let address = to.to;
        self.pending_calls.insert(call, to);
        out.push(Effect::Exchange { call, to: address, exchange: Box::new(exchange) });
    }

    /// A sample of the hosts that still show an older configuration although the active one has
    /// been in force for some rounds.
    fn behind(&mut self, now: Ms) -> Vec<u64> {
        let mine = self.members.me().generation;
        if now - self.active_since < Ms(self.config.gossip_ms.0 * BEHIND_ROUNDS) {
            return Vec::new();
        }
        let late = self.members.alive().filter(|m| m.generation < mine);
        let ids: Vec<u64> =
            late.map(|m| crate::members::pulse_id(&m.host, m.incarnation)).collect();
        ids.sample(&mut self.rng, MAX_BEHIND).copied().collect()
    }

    /// Chooses the peers to call in this round: peers in turn, half of them from this domain; peers
    /// whose last call failed once, for an immediate retry; and now and then a peer that is dead or
    /// known only by a seed address. `first` comes before all others.
    fn choose(&mut self, first: Option<&str>) -> Vec<PendingCall> {
        let fanout = self.config.fanout;
        let local_count = if self.remote_peers.is_empty() { fanout } else { fanout.div_ceil(2) };
        let remote_count = if self.local_peers.is_empty() { fanout } else { fanout - local_count };
        let mut hosts: Vec<String> =
            self.misses.iter().filter(|(_, n)| **n == 1).map(|(h, _)| h.clone()).collect();
        hosts.truncate(fanout);
        if let Some(first) = first.filter(|host| !host.is_empty()) {
            hosts.insert(0, first.to_owned());
        }
        for (order, most) in
            [(&mut self.local_peers, local_count), (&mut self.remote_peers, remote_count)]
        {
            let most = most.min(order.len());
            hosts.extend(order.iter().take(most).cloned());
            order.rotate_left(most);
        }
        hosts.extend(self.dead_to_call());
        let mut seen = std::collections::BTreeSet::new();
        hosts.retain(|host| seen.insert(host.clone()));
        let mut calls: Vec<PendingCall> = hosts
            .iter()
            .filter_map(|host| self.members.get(host))
            .filter_map(|m| {
                let to = m.address.parse().ok()?;
                Some(PendingCall {
                    host: m.host.clone(),
                    to,
                    domain: m.domain.clone(),
                    push: false,
                })
            })
            .collect();
        calls.extend(self.seeds_to_call());
        calls
    }

    /// Dead hosts to call, so that the two sides of a partition find each other when it ends.
    /// Without these calls a partition would last until both sides restart.
    fn dead_to_call(&mut self) -> Vec<String> {
        if !self.config.is_enabled(Safeguard::Rejoin) {
            return Vec::new();
        }
        let dead: Vec<&Member> =
            self.members.all().filter(|m| m.status() == HostStatus::Dead).collect();
        let alive = self.members.alive().count();
        let mut most = MAX_REJOIN_CALLS.min(dead.len());
        // The calls are spread over the live hosts: together they call each dead host a few times
        // per round.
        while most > 0
            && self.rng.random_range(0..alive * MAX_REJOIN_CALLS) >= REJOIN_CALLS * dead.len()
        {
            most -= 1;
        }
        dead.sample(&mut self.rng, most).map(|m| m.host.clone()).collect()
    }

    /// Seed addresses, from the settings and the platform's list, that belong to no live host.
    fn seeds_to_call(&mut self) -> Vec<PendingCall> {
        let alone = self.local_peers.is_empty() && self.remote_peers.is_empty();
        let seed_round = self.rng.random_range(0..SEED_INTERVAL_ROUNDS) == 0;
        let most = match alone {
            true => MAX_REJOIN_CALLS,
            false if seed_round && self.config.is_enabled(Safeguard::Rejoin) => 1,
            false => return Vec::new(),
        };
        let known: Vec<&str> = self.members.alive().map(|m| m.address.as_str()).collect();
        let other = |a: &&SocketAddr| !known.contains(&a.to_string().as_str());
        let seeds: Vec<SocketAddr> = self.seeds.iter().filter(other).copied().collect();
        let chosen = seeds.sample(&mut self.rng, most);
        let out = |to: &SocketAddr| PendingCall {
            host: String::new(),
            to: *to,
            domain: String::new(),
            push: false,
        };
        chosen.map(out).collect()
    }

    /// Handles a call from a peer.
    pub(crate) fn requested(
        &mut self,
        call: CallId,
        received: &Exchange,
        now: Ms,
        out: &mut Vec<Effect>,
    ) {
        self.merge_exchange(received, now, out);
        let digest = received.digest.clone().unwrap_or_default();
        self.callers.insert(digest.host.clone(), now);
        self.compare(received);
        let mut reply = self.message(&digest.domain, now);
        self.add_missing(&mut reply, received);
        out.push(Effect::Reply { call, exchange: Box::new(reply) });
    }

    /// Handles the end of a call that this host made.
    pub(crate) fn answered(
        &mut self,
        call: CallId,
        result: Result<Box<Exchange>, PeerError>,
        now: Ms,
        out: &mut Vec<Effect>,
    ) {
        let Some(to) = self.pending_calls.remove(&call) else { return };
        let Ok(received) = result else { return self.call_failed(to, now, out) };
        self.misses.remove(&to.host);
        self.merge_exchange(&received, now, out);
        if self.peer_wait_until.is_some() {
            self.end_peer_wait(now, out);
        }
        self.compare(&received);
        let Some(digest) = &received.digest else { return };
        let mut push = Exchange { digest: Some(self.digest()), ..Exchange::default() };
        if !to.push && self.add_config(&mut push, digest) {
            self.call(PendingCall { push: true, ..to }, push, out);
        }
    }

    /// Handles a call that failed. A peer that still calls this host is alive: only the path to it
    /// is cut, in one direction. Marking it as dead would take work from a host that can do it.
    fn call_failed(&mut self, to: PendingCall, now: Ms, out: &mut Vec<Effect>) {
        if to.host.is_empty() {
            return;
        }
        let misses = self.misses.entry(to.host.clone()).or_default();
        *misses = misses.saturating_add(1);
        let misses = *misses;
        let calls_us =
            self.callers.get(&to.host).is_some_and(|at| now - *at < self.config.suspect_ms);
        match () {
            () if misses < SUSPECT_MISSES => {}
            () if calls_us && misses == SUSPECT_MISSES => {
                self.note(logs::Event::PeerCut, to.host, out)
            }
            () if calls_us => {}
            () if self.members.suspect(&to.host, now) => {
                let full = send_count(self.members.alive().count());
                self.rumors.start(Topic::Pulse(to.host), full);
            }
            () => {}
        }
    }

    /// Remembers a peer whose tables differ from this host's.
    fn compare(&mut self, received: &Exchange) {
        let Some(theirs) = &received.digest else { return };
        let ours = self.digest();
        let differs = ours.members_hash != theirs.members_hash
            || ours.leaving_hash != theirs.leaving_hash
            || ours.poison_hash != theirs.poison_hash;
        if differs {
            self.sync_peer = Some(theirs.host.clone());
        }
    }
}
