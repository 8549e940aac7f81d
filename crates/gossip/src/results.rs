//! Handles the results of platform reads and of polls of targets.

use base::{Ms, TargetId, Version, hash_parts};
use logs::Event as Log;
use std::net::SocketAddr;
use store::StoreError;
use wire::{
    CacheEvents, CacheNote, FleetObject, HostList, LeavingSource, LeavingTarget, LoadReport,
    Object, ObjectList,
};

use crate::caches::MAX_HOPS;
use crate::config::Safeguard;
use crate::event::{CallId, Effect, Kind};
use crate::loads::target_id;
use crate::rumors::Topic;
use crate::state::State;

/// Name of the object that holds the platform's list of hosts and targets.
const HOSTS_NAME: &str = "hosts";
/// Most cache events of one poll that are forwarded to peers; the others are only used on this
/// host.
const MAX_FORWARDED_EVENTS: usize = 32;

impl State {
    /// Handles the end of a read or watch of the platform.
    pub(crate) fn platform_answered(
        &mut self,
        call: CallId,
        kind: Kind,
        result: Result<ObjectList, StoreError>,
        now: Ms,
        out: &mut Vec<Effect>,
    ) {
        let seen = match &result {
            Ok(list) => {
                let newest = list.objects.iter().map(|o| o.version).max();
                Ok(Version(list.version.max(newest.unwrap_or(0))))
            }
            Err(err) => Err(err),
        };
        let blind = self.platform.blind();
        self.platform.ended(kind, call, seen, now, &self.config, &mut self.rng);
        if blind != self.platform.blind() {
            self.platform_reachability_changed(!blind, out);
        }
        // A late answer is still used: its objects are ordered by their own versions.
        for object in result.iter().flat_map(|list| &list.objects) {
            match kind {
                Kind::Fleet if object.name == crate::FLEET_NAME => {
                    self.fleet_read(object, now, out)
                }
                Kind::Leaving => self.leaving_read(object, now, out),
                Kind::Hosts if object.name == HOSTS_NAME => self.hosts_read(object, now, out),
                Kind::Fleet | Kind::Hosts => {}
            }
        }
    }

    /// Handles the loss or the return of the platform. While a host can't reach it, another host of
    /// the domain watches instead. Otherwise a domain that is cut off from the other domains, and
    /// whose two watchers have lost the platform, would miss changes that its other hosts could
    /// read.
    fn platform_reachability_changed(&mut self, blind: bool, out: &mut Vec<Effect>) {
        let event = if blind { Log::PlatformDown } else { Log::PlatformBack };
        self.note(event, self.config.host.to_string(), out);
        self.members.update_self(|me| me.blind = blind);
        let me = self.members.me().host.clone();
        self.rumors.start(Topic::Pulse(me), 4);
        self.duties_stale = true;
    }

    /// Handles a configuration read from the platform. A host that has just started has no
    /// configuration to compare it with. From a store that returns stale data it would load, and
    /// serve to its callers, a configuration that has already been replaced. So it first waits for
    /// a peer's answer, for up to one round.
    fn fleet_read(&mut self, object: &Object, now: Ms, out: &mut Vec<Effect>) {
        let wait = self.peer_wait_until.is_some() && self.config.is_enabled(Safeguard::PeersFirst);
        match serde_json::from_str::<FleetObject>(&object.body) {
            Ok(fleet) if wait && self.active.is_none() => {
                self.deferred_config = Some((fleet, object.version));
            }
            Ok(fleet) => drop(self.offer(fleet, object.version, now, out)),
            Err(_) => self.note(Log::ConfigRefused, format!("version {}", object.version), out),
        }
    }

    /// Ends the wait for a peer's answer and uses the configuration that the platform gave
    /// meanwhile.
    pub(crate) fn end_peer_wait(&mut self, now: Ms, out: &mut Vec<Effect>) {
        self.peer_wait_until = None;
        if let Some((fleet, version)) = self.deferred_config.take() {
            self.offer(fleet, version, now, out);
        }
    }

    fn leaving_read(&mut self, object: &Object, now: Ms, out: &mut Vec<Effect>) {
        let Ok(mark) = serde_json::from_str::<LeavingTarget>(&object.body) else { return };
        let mark = LeavingTarget {
            target: object.name.clone(),
            source: LeavingSource::Operator.into(),
            version: object.version,
            ..mark
        };
        self.merge_leaving(&mark, now, out);
    }

    fn hosts_read(&mut self, object: &Object, now: Ms, out: &mut Vec<Effect>) {
        let Ok(list) = serde_json::from_str::<HostList>(&object.body) else { return };
        if Version(object.version) <= self.list_version() {
            return;
        }
        self.hosts_version = object.version;
        self.hosts_list = list.hosts;
        let own = self.config.address;
        let plan = self.active.as_ref().map(|h| h.plan.clone());
        let target = |name: &str| plan.as_ref().is_some_and(|p| p.target(&name.into()).is_some());
        let listed = self.hosts_list.iter().filter(|e| !e.leaving && !target(&e.name));
        let mut seeds = self.config.seeds.clone();
        seeds.extend(
            listed.filter_map(|e| e.address.parse::<SocketAddr>().ok()).filter(|a| *a != own),
        );
        seeds.sort();
        seeds.dedup();
        self.seeds = seeds;
        // Entries of hosts are skipped: a host itself announces that it stops.
        let marks: Vec<LeavingTarget> = self
            .hosts_list
            .iter()
            .filter(|e| self.members.get(&e.name).is_none())
            .filter_map(|e| self.leaving.listed_mark(&e.name, e.leaving, object.version, now))
            .collect();
        for mark in marks {
            self.merge_leaving(&mark, now, out);
        }
    }

    /// Handles the end of a poll of a target.
    pub(crate) fn poll_ended(
        &mut self,
        target: &TargetId,
        report: Option<LoadReport>,
        events: Option<CacheEvents>,
        now: Ms,
        out: &mut Vec<Effect>,
    ) {
        self.polls.ended(target, events.as_ref().map(|e| e.next));
        // Another target may now use the address.
        let own = |name: &str| name.is_empty() || name == target.as_str();
        if let Some(report) = report.filter(|r| own(&r.target)) {
            self.load_polled(target, report.running, report.queued, now, out);
            if let Some(mark) = self.leaving.own_mark(target.as_str(), report.leaving, now) {
                self.merge_leaving(&mark, now, out);
            }
        }
        let Some(events) = events.filter(|e| own(&e.target)) else { return };
        let id = target_id(target.as_str());
        let first = events.events.len().saturating_sub(MAX_FORWARDED_EVENTS);
        for (i, event) in events.events.iter().enumerate() {
            let note = CacheNote {
                target: id,
                seq: event.seq,
                prefix: hash_parts(&[event.prefix.as_bytes()]).max(1),
                stored: event.stored,
                hops: if i >= first { MAX_HOPS } else { 0 },
            };
            self.merge_cache_event(&note, out);
        }
    }
}
