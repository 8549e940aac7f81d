//! The reducer: all state of a node, and its reaction to each event.
//!
//! It uses neither clock nor network. The node carries out the effects, and tests run them in
//! virtual time.

use base::{Generation, Ms};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use wire::{FleetObject, LeavingTarget, Member, PoisonMark};

use crate::caches::Caches;
use crate::config::{GossipConfig, Safeguard};
use crate::event::{CallId, Effect, Event};
use crate::fleet::{self, ActiveConfig, Checker, OfferOutcome};
use crate::leaving::Leaving;
use crate::loads::Loads;
use crate::members::Members;
use crate::platform::Platform;
use crate::poison::Poison;
use crate::polls::Polls;
use crate::rumors::{Rumors, Topic, send_count};
use crate::update::{Announcement, Update};

/// An exchange in flight.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    /// The host that is called; empty for a seed address.
    pub(crate) host: String,
    pub(crate) to: SocketAddr,
    pub(crate) domain: String,
    /// Whether the call carries the configuration to a peer that was behind; its answer isn't
    /// followed by another call.
    pub(crate) push: bool,
}

/// The state of a node.
pub struct State {
    pub(crate) config: GossipConfig,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) checker: Box<dyn Checker>,
    pub(crate) members: Members,
    pub(crate) rumors: Rumors,
    pub(crate) active: Option<ActiveConfig>,
    pub(crate) leaving: Leaving,
    pub(crate) poison: Poison,
    pub(crate) loads: Loads,
    pub(crate) caches: Caches,
    pub(crate) polls: Polls,
    pub(crate) platform: Platform,
    /// Set while a host that has just started waits for a peer's answer: the end of that wait, and
    /// the configuration that the platform gave meanwhile, with its version.
    pub(crate) peer_wait_until: Option<Ms>,
    pub(crate) deferred_config: Option<(FleetObject, u64)>,
    pub(crate) started: Ms,
    pub(crate) next_round: Ms,
    pub(crate) next_expedited: Ms,
    pub(crate) next_sync: Ms,
    /// The peer whose tables were last seen to differ; an empty name means any peer.
    pub(crate) sync_peer: Option<String>,
    /// A delta had another base than the active configuration: ask for the full configuration.
    pub(crate) wants_full_config: bool,
    /// Membership has changed, so duties must be reassigned.
    pub(crate) duties_stale: bool,
    /// When the active configuration came into force here.
    pub(crate) active_since: Ms,
    pub(crate) pending_calls: BTreeMap<CallId, PendingCall>,
    pub(crate) calls: u64,
    /// Peers of this domain and of the others, in calling order.
    pub(crate) local_peers: VecDeque<String>,
    pub(crate) remote_peers: VecDeque<String>,
    /// Failed calls in a row to each host.
    pub(crate) misses: BTreeMap<String, u32>,
    /// When each host last called this one.
    pub(crate) callers: BTreeMap<String, Ms>,
    /// Seed addresses, from the settings and the platform's list.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Newest version of the platform's list of hosts and targets that was read.
    pub(crate) hosts_version: u64,
    pub(crate) hosts_list: Vec<wire::HostEntry>,
    pub(crate) live: u32,
}

impl State {
    /// Creates the state of a host that has just started.
    pub fn new(config: GossipConfig, checker: Box<dyn Checker>, now: Ms) -> Self {
        let me = Member {
            host: config.host.to_string(),
            domain: config.domain.to_string(),
            address: config.address.to_string(),
            incarnation: now.0,
            capacity: config.capacity,
            ..Member::default()
        };
        let seed = base::hash_parts(&[config.host.as_str().as_bytes(), &config.seed.to_le_bytes()]);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed ^ now.0),
            checker,
            members: Members::new(me, now),
            rumors: Rumors::default(),
            active: None,
            leaving: Leaving::default(),
            poison: Poison::default(),
            loads: Loads::default(),
            caches: Caches::default(),
            polls: Polls::default(),
            platform: Platform::new(now, &config),
            peer_wait_until: (!config.seeds.is_empty()).then(|| now + config.gossip_ms),
            deferred_config: None,
            started: now,
            next_round: now,
            next_expedited: now,
            next_sync: now,
            sync_peer: Some(String::new()),
            wants_full_config: false,
            duties_stale: true,
            active_since: now,
            pending_calls: BTreeMap::new(),
            calls: 0,
            local_peers: VecDeque::new(),
            remote_peers: VecDeque::new(),
            misses: BTreeMap::new(),
            callers: BTreeMap::new(),
            seeds: config.seeds.clone(),
            hosts_version: 0,
            hosts_list: Vec::new(),
            live: 0,
            config,
        }
    }

    /// Processes an event and appends its effects to `out`.
    pub fn reduce(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Request { call, exchange } => self.requested(call, &exchange, now, out),
            Event::Answered { call, result } => self.answered(call, result, now, out),
            Event::Listed { call, kind, result } => {
                self.platform_answered(call, kind, result, now, out)
            }
            Event::Polled { target, report, events } => {
                self.poll_ended(&target, report, events, now, out);
            }
            Event::Announce(Announcement::Poison { fingerprint, until }) => {
                self.merge_poison(&PoisonMark { fingerprint, until_ms: until.0 }, now, out);
            }
            Event::Announce(Announcement::Leaving) => self.start_leaving(now),
        }
        if self.duties_stale {
            self.assign_duties(now, out);
        }
    }

    /// When the next [`Event::Tick`] is wanted.
    pub fn wake(&self) -> Ms {
        let peers = self.peer_wait_until.unwrap_or(Ms::MAX);
        self.next_round.min(self.platform.wake()).min(self.polls.wake()).min(peers)
    }

    /// All hosts known to this one, including the dead.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.all()
    }

    /// The live hosts that aren't leaving, by name.
    pub fn view(&self) -> std::sync::Arc<[peer::ViewHost]> {
        self.members.view()
    }

    /// The incarnation of a host that isn't marked as dead.
    pub fn incarnation(&self, host: &str) -> Option<u64> {
        let member = self.members.get(host)?;
        (member.status() != wire::HostStatus::Dead).then_some(member.incarnation)
    }

    /// The configuration in force, with its audit trail.
    pub fn fleet(&self) -> Option<&FleetObject> {
        self.active.as_ref().map(|h| &h.object)
    }

    /// Generation of the active configuration; zero for none.
    pub fn generation(&self) -> Generation {
        Generation(self.active.as_ref().map_or(0, |h| h.object.generation))
    }

    /// The newest mark of a target, leaving or not.
    pub fn leaving_mark(&self, target: &str) -> Option<&LeavingTarget> {
        self.leaving.get(target)
    }

    /// Calls made to the platform so far.
    pub fn platform_calls(&self) -> u64 {
        self.platform.calls
    }

    /// Number of targets that this host polls.
    pub fn polled_targets(&self) -> usize {
        self.polls.len()
    }

    pub(crate) fn note(&self, event: logs::Event, subject: String, out: &mut Vec<Effect>) {
        out.push(Effect::Note { event, subject });
    }

    pub(crate) fn call_id(&mut self) -> CallId {
        self.calls += 1;
        CallId(self.calls)
    }

    /// Moves the next round forward, for changes that shouldn't wait: to within a quarter of the
    /// usual interval, and not twice in that time, so that many changes at once cause only limited
    /// traffic.
    pub(crate) fn expedite_round(&mut self, now: Ms) {
        let quarter = self.config.gossip_ms.scale(1, 4);
        let at = now.max(self.next_expedited);
        self.next_round = self.next_round.min(at + Ms(quarter.0 / 4));
    }

    /// Handles a configuration from the platform or a peer.
    pub(crate) fn offer(
        &mut self,
        object: FleetObject,
        version: u64,
        now: Ms,
        out: &mut Vec<Effect>,
    ) -> OfferOutcome {
        let generation = object.generation;
        let reject_older = self.config.is_enabled(Safeguard::GenerationFloor);
        let offer =
            fleet::offer(&mut self.active, object, version, &mut *self.checker, reject_older);
        let event = match offer {
            OfferOutcome::Same => return offer,
            OfferOutcome::Taken => None,
            OfferOutcome::Replaced => Some(logs::Event::ConfigReplaced),
            OfferOutcome::Stale => Some(logs::Event::ConfigStale),
            OfferOutcome::Refused => Some(logs::Event::ConfigRefused),
        };
        if let Some(event) = event {
            self.note(event, generation.to_string(), out);
        }
        if let (OfferOutcome::Taken | OfferOutcome::Replaced, Some(active)) = (offer, &self.active)
        {
            let plan = active.plan.clone();
            self.loads.set_plan(&plan, &self.config.domain);
            self.members.update_self(|me| me.generation = generation);
            let me = self.members.me().host.clone();
            self.rumors.start(Topic::Pulse(me), 4);
            self.active_since = now;
            self.duties_stale = true;
            out.push(Effect::Update(Update::Fleet(plan)));
            self.expedite_round(now);
        }
        offer
    }

    /// Merges a mark of a target.
    pub(crate) fn merge_leaving(&mut self, mark: &LeavingTarget, now: Ms, out: &mut Vec<Effect>) {
        let before = self.leaving.is_leaving(&mark.target);
        if !self.leaving.merge(mark, self.config.is_enabled(Safeguard::LeavingOrder)) {
            return;
        }
        let full = send_count(self.members.alive().count());
        self.rumors.start(Topic::Leaving(mark.target.clone()), full);
        if before != mark.leaving {
            let target = mark.target.as_str().into();
            out.push(Effect::Update(Update::Leaving { target, leaving: mark.leaving }));
        }
        self.expedite_round(now);
    }

    /// Merges a poison mark.
    pub(crate) fn merge_poison(&mut self, mark: &PoisonMark, now: Ms, out: &mut Vec<Effect>) {
        if !self.poison.merge(mark, now) {
            return;
        }
        let full = send_count(self.members.alive().count());
        self.rumors.start(Topic::Poison(mark.fingerprint), full);
        let (fingerprint, until) = (mark.fingerprint, Ms(mark.until_ms));
        out.push(Effect::Update(Update::Poisoned { fingerprint, until }));
        self.expedite_round(now);
    }

    /// Announces at once that this host is stopping, so that no other host relies on it.
    fn start_leaving(&mut self, now: Ms) {
        if self.members.me().leaving {
            return;
        }
        self.members.update_self(|me| me.leaving = true);
        let me = self.members.me().host.clone();
        self.rumors.start(Topic::Pulse(me), send_count(self.members.alive().count()));
        self.duties_stale = true;
        self.next_round = now;
    }
}
