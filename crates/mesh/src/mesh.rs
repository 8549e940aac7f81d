//! The simulation: hosts, messages in transit, and the virtual clock.

use base::{Ms, Version};
use conf::Plan;
use gossip::{Announcement, CallId, Checker, Effect, Event, GossipConfig, Parser, State};
use peer::PeerError;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use store::StoreError;
use wire::{Exchange, FleetObject, ObjectList};

use crate::host::{Learned, Slot, Target, Traffic};
use crate::platform::{Platform, Waiter};

/// Timeout of a call to another host, ms.
const PEER_TIMEOUT_MS: Ms = Ms(500);
/// One-way latency within a failure domain, between domains of one region, and between regions, ms.
const SAME_DOMAIN_MS: Ms = Ms(1);
const SAME_REGION_MS: Ms = Ms(2);
const CROSS_REGION_MS: Ms = Ms(30);
/// One-way latency to the platform or a target, ms.
pub(crate) const PLATFORM_LATENCY_MS: Ms = Ms(3);

pub(crate) enum Scheduled {
    Tick { host: usize, run: u64 },
    Event { host: usize, run: u64, event: Event },
    Request { from: usize, run: u64, to: SocketAddr, call: CallId, exchange: Box<Exchange> },
    Read { waiter: Waiter, wait: Option<Ms> },
    WatchEnd { waiter: Waiter },
}

type Plans = Arc<Mutex<HashMap<(u64, String), Option<Arc<Plan>>>>>;

/// Parses each configuration once for all hosts.
struct SharedParser(Plans);

impl Checker for SharedParser {
    fn check(&mut self, object: &FleetObject) -> Option<Arc<Plan>> {
        let mut plans = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (object.generation, object.change.clone());
        plans.entry(key).or_insert_with(|| Parser.check(object)).clone()
    }
}

/// Many simulated hosts in virtual time.
pub struct Mesh {
    /// The platform.
    pub platform: Platform,
    /// Targets by name, as polls see them.
    pub targets: BTreeMap<String, Target>,
    /// Whether to measure bytes and processor time.
    pub measure: bool,
    /// Whether each host parses and stores a configuration of its own, as real hosts do, which
    /// costs time and memory; otherwise all hosts share one.
    pub own_plans: bool,
    pub(crate) now: Ms,
    pub(crate) hosts: Vec<Slot>,
    host_by_address: HashMap<SocketAddr, usize>,
    cuts: HashSet<(usize, usize)>,
    queue: BTreeMap<(Ms, u64), Scheduled>,
    scheduled: u64,
    plans: Plans,
}

impl Mesh {
    /// Creates hosts that aren't started yet.
    pub fn new(configs: Vec<GossipConfig>) -> Self {
        let host_by_address = configs.iter().enumerate().map(|(i, r)| (r.address, i)).collect();
        let slot = |config| Slot {
            config,
            state: None,
            run: 0,
            deferred: None,
            tick: Ms::MAX,
            platform_reachable: true,
            learned: Learned::default(),
            traffic: Traffic::default(),
        };
        Self {
            platform: Platform::default(),
            targets: BTreeMap::new(),
            measure: false,
            own_plans: false,
            now: Ms::secs(1_000_000),
            hosts: configs.into_iter().map(slot).collect(),
            host_by_address,
            cuts: HashSet::new(),
            queue: BTreeMap::new(),
            scheduled: 0,
            plans: Plans::default(),
        }
    }

    /// The virtual time.
    pub fn now(&self) -> Ms {
        self.now
    }

    /// Number of hosts, including dead ones.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there are no hosts.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Starts a host with empty memory; a running one is restarted.
    pub fn start(&mut self, host: usize) {
        self.start_behind(host, Ms::ZERO);
    }

    /// Starts a host whose clock is late by `behind` when it starts.
    pub fn start_behind(&mut self, host: usize, behind: Ms) {
        let checker: Box<dyn Checker> = match self.own_plans {
            true => Box::new(Parser),
            false => Box::new(SharedParser(self.plans.clone())),
        };
        let now = self.now - behind;
        let slot = &mut self.hosts[host];
        slot.run += 1;
        slot.deferred = None;
        slot.learned = Learned::default();
        slot.state = Some(State::new(slot.config.clone(), checker, now));
        slot.tick = Ms::MAX;
        self.feed(host, Event::Tick);
    }

    /// Kills a host without warning.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].state = None;
        self.hosts[host].deferred = None;
    }

    /// Pauses a host; events that arrive meanwhile are queued.
    pub fn pause(&mut self, host: usize) {
        self.hosts[host].deferred.get_or_insert_default();
    }

    /// Resumes a paused host.
    pub fn resume(&mut self, host: usize) {
        for event in self.hosts[host].deferred.take().unwrap_or_default() {
            self.feed(host, event);
        }
        self.feed(host, Event::Tick);
    }

    /// Cuts the link from one host to another, in that direction only.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Restores all links, including those to the platform.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for slot in &mut self.hosts {
            slot.platform_reachable = true;
        }
    }

    /// Sets whether a host can reach the platform.
    pub fn set_platform_reachable(&mut self, host: usize, reachable: bool) {
        self.hosts[host].platform_reachable = reachable;
    }

    /// Whether a host is running and not paused.
    pub fn runs(&self, host: usize) -> bool {
        self.hosts[host].state.is_some() && self.hosts[host].deferred.is_none()
    }

    /// A host's reducer, if the host is alive.
    pub fn state(&self, host: usize) -> Option<&State> {
        self.hosts[host].state.as_ref()
    }

    /// What a host learned since its start.
    pub fn learned(&self, host: usize) -> &Learned {
        &self.hosts[host].learned
    }

    /// A host's traffic and processor time.
    pub fn traffic(&self, host: usize) -> Traffic {
        self.hosts[host].traffic
    }

    /// Has a host announce something to the others.
    pub fn announce(&mut self, host: usize, announcement: Announcement) {
        self.feed(host, Event::Announce(announcement));
    }

    /// Writes an object, as an operator does.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: Version,
        body: String,
    ) -> Result<Version, StoreError> {
        let version = self.platform.put(kind, name, expected, body)?;
        for (waiter, list) in self.platform.ready() {
            self.read(waiter, Ok(list));
        }
        Ok(version)
    }

    /// Delivers a message from a peer to a host, as if it came late or twice.
    pub fn replay(&mut self, host: usize, exchange: Exchange) {
        self.feed(host, Event::Request { call: CallId(0), exchange: Box::new(exchange) });
    }

    /// Runs until `end`.
    pub fn run_to(&mut self, end: Ms) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let item = entry.remove();
            self.now = self.now.max(at);
            self.process(item);
        }
        self.now = self.now.max(end);
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Ms) {
        self.run_to(self.now + span);
    }

    pub(crate) fn schedule(&mut self, at: Ms, item: Scheduled) {
        self.scheduled += 1;
        self.queue.insert((at, self.scheduled), item);
    }

    fn process(&mut self, item: Scheduled) {
        match item {
            Scheduled::Tick { host, run } => {
                if self.hosts[host].run == run && self.hosts[host].tick <= self.now {
                    self.hosts[host].tick = Ms::MAX;
                    self.feed(host, Event::Tick);
                }
            }
            Scheduled::Event { host, run, event } => {
                if self.hosts[host].run == run {
                    self.feed(host, event);
                }
            }
            Scheduled::Request { from, run, to, call, exchange } => {
                self.request(from, run, to, call, exchange);
            }
            Scheduled::Read { waiter, wait } => self.platform_call(waiter, wait),
            Scheduled::WatchEnd { waiter } => {
                let is_same_watch =
                    |w: &Waiter| (w.host, w.run, w.call) == (waiter.host, waiter.run, waiter.call);
                if let Some(i) = self.platform.waiters.iter().position(is_same_watch) {
                    self.platform.waiters.swap_remove(i);
                    let list = ObjectList { version: waiter.after.0, objects: Vec::new() };
                    self.read(waiter, Ok(list));
                }
            }
        }
    }

    fn feed(&mut self, host: usize, event: Event) {
        let slot = &mut self.hosts[host];
        let Some(state) = &mut slot.state else { return };
        if let Some(deferred) = &mut slot.deferred {
            deferred.push(event);
            return;
        }
        let mut effects = Vec::new();
        let started = self.measure.then(Instant::now);
        state.reduce(self.now, event, &mut effects);
        if let Some(started) = started {
            slot.traffic.busy += started.elapsed();
        }
        let (wake, run) = (state.wake().max(self.now + Ms(1)), slot.run);
        let sooner = wake < slot.tick;
        if sooner {
            slot.tick = wake;
        }
        for effect in effects {
            self.effect(host, run, effect);
        }
        if sooner {
            self.schedule(wake, Scheduled::Tick { host, run });
        }
    }

    fn effect(&mut self, host: usize, run: u64, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Exchange { call, to, exchange } => {
                self.record_sent(host, &exchange, peer::call_bytes);
                let failed = Event::Answered { call, result: Err(PeerError::Silent) };
                self.schedule(now + PEER_TIMEOUT_MS, Scheduled::Event { host, run, event: failed });
                let dest = self.host_by_address.get(&to).copied();
                if dest.is_some_and(|b| self.cuts.contains(&(host, b))) {
                    return;
                }
                let latency = dest.map_or(SAME_DOMAIN_MS, |b| self.latency(host, b));
                self.schedule(
                    now + latency,
                    Scheduled::Request { from: host, run, to, call, exchange },
                );
            }
            Effect::List { call, kind } => {
                let waiter = Waiter { host, run, call, kind, after: Version(0) };
                self.schedule(now + PLATFORM_LATENCY_MS, Scheduled::Read { waiter, wait: None });
            }
            Effect::Watch { call, kind, after, wait } => {
                let waiter = Waiter { host, run, call, kind, after };
                self.schedule(
                    now + PLATFORM_LATENCY_MS,
                    Scheduled::Read { waiter, wait: Some(wait) },
                );
            }
            Effect::Poll { target, .. } => {
                let event = self.poll(&target);
                self.schedule(now + PLATFORM_LATENCY_MS, Scheduled::Event { host, run, event });
            }
            Effect::Update(update) => self.hosts[host].learned.record(now, update),
            Effect::Note { event, subject } => {
                self.hosts[host].learned.notes.push((event, subject));
            }
            // A reply is handled where the request is; the view is read from the state.
            Effect::Reply { .. } | Effect::View => {}
        }
    }

    fn latency(&self, a: usize, b: usize) -> Ms {
        let (a, b) = (&self.hosts[a].config.domain, &self.hosts[b].config.domain);
        let region = |d: &str| d.bytes().last().unwrap_or_default() % 2;
        match () {
            () if a == b => SAME_DOMAIN_MS,
            () if region(a.as_str()) == region(b.as_str()) => SAME_REGION_MS,
            () => CROSS_REGION_MS,
        }
    }

    fn record_sent(
        &mut self,
        host: usize,
        exchange: &Exchange,
        size: fn(&Exchange) -> usize,
    ) -> u64 {
        if !self.measure {
            return 0;
        }
        let started = Instant::now();
        let bytes = size(exchange) as u64;
        let traffic = &mut self.hosts[host].traffic;
        // The receiver decodes what is encoded here, at about the same cost.
        traffic.busy += 2 * started.elapsed();
        traffic.sent += bytes;
        traffic.messages += 1;
        bytes
    }

    fn request(
        &mut self,
        from: usize,
        run: u64,
        to: SocketAddr,
        call: CallId,
        exchange: Box<Exchange>,
    ) {
        let now = self.now;
        let refused = Event::Answered { call, result: Err(PeerError::Unreachable) };
        let dest =
            self.host_by_address.get(&to).copied().filter(|b| self.hosts[*b].state.is_some());
        let Some(dest) = dest else {
            return self.schedule(
                now + SAME_DOMAIN_MS,
                Scheduled::Event { host: from, run, event: refused },
            );
        };
        if self.measure {
            let bytes = peer::call_bytes(&exchange) as u64;
            self.hosts[dest].traffic.heard += bytes;
        }
        let event = Event::Request { call, exchange };
        let slot = &mut self.hosts[dest];
        if let Some(deferred) = &mut slot.deferred {
            deferred.push(event);
            return;
        }
        let Some(state) = &mut slot.state else { return };
        let mut effects = Vec::new();
        let started = self.measure.then(Instant::now);
        state.reduce(now, event, &mut effects);
        if let Some(started) = started {
            slot.traffic.busy += started.elapsed();
        }
        let dest_run = slot.run;
        for effect in effects {
            match effect {
                Effect::Reply { exchange, .. } => {
                    let bytes = self.record_sent(dest, &exchange, peer::answer_bytes);
                    if !self.cuts.contains(&(dest, from)) {
                        self.hosts[from].traffic.heard += bytes;
                        let event = Event::Answered { call, result: Ok(exchange) };
                        let at = now + self.latency(dest, from);
                        self.schedule(at, Scheduled::Event { host: from, run, event });
                    }
                }
                effect => self.effect(dest, dest_run, effect),
            }
        }
        // The next tick may now be due earlier.
        let slot = &mut self.hosts[dest];
        let wake = slot.state.as_ref().map_or(Ms::MAX, State::wake).max(now + Ms(1));
        if wake < slot.tick {
            slot.tick = wake;
            self.schedule(wake, Scheduled::Tick { host: dest, run: dest_run });
        }
    }
}
