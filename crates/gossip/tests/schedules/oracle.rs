//! The oracle: runs a schedule and checks what must hold.
//!
//! At all times and on every host: the generations in force since its start only rise, each of them
//! was accepted by the platform, and the marks of each target only get newer.
//!
//! Within [`SETTLE_MS`] after all faults are repaired: every host has the same configuration, which
//! is not older than the platform's nor than any that a live host had; every host sees all others
//! as alive; the newest mark of each target is known everywhere; poison marks are known to all; and
//! each target is polled by exactly one host.

use base::{Ms, Version};
use gossip::{Announcement, GossipConfig, Safeguard};
use mesh::{FleetSize, Mesh, fleet_yaml, host_config, object};
use std::collections::BTreeMap;
use wire::{Exchange, FleetObject, HostEntry, HostList, LeavingTarget, Object};

use crate::op::{DOMAINS, HOSTS, Op, Step};

/// Time within which a repaired network must have settled: the longest retry delay, a full read,
/// and the time to suspect a host and to learn that it is alive.
pub const SETTLE_MS: Ms = Ms::secs(75);

const SIZE: FleetSize = FleetSize { hosts: HOSTS, domains: DOMAINS, targets: 12, workspaces: 2 };
/// The target that operators mark, the one that reports itself, and the one in the platform's list.
const MARKED: &str = "target-0";
const SELF_REPORTED: &str = "target-1";
const LISTED: &str = "target-2";

pub struct Run {
    mesh: Mesh,
    /// Accepted writes by generation and change id, with the version of each.
    accepted: BTreeMap<(u64, String), u64>,
    objects: Vec<Object>,
    changes: u64,
    marked: bool,
    listed: bool,
    poison: Vec<(u64, usize)>,
    old_mark: LeavingTarget,
    /// For each host and target, the `since_ms` of the mark that the host holds.
    marks: BTreeMap<(usize, &'static str), u64>,
}

/// Runs a schedule; `Err` says what didn't hold.
pub fn play(steps: &[Step], disabled: Option<Safeguard>) -> Result<(), String> {
    let mut run = Run::new(disabled);
    run.apply();
    for host in 0..HOSTS {
        run.mesh.start(host);
    }
    run.mesh.run(Ms::secs(5));
    for step in steps {
        run.act(step.op);
        run.mesh.run(step.wait);
        run.check_invariants()?;
    }
    run.settle()
}

impl Run {
    fn new(disabled: Option<Safeguard>) -> Self {
        let configs =
            (0..HOSTS).map(|i| GossipConfig { watchers: 1, disabled, ..host_config(SIZE, i, 7) });
        let mut mesh = Mesh::new(configs.collect());
        for target in 0..SIZE.targets {
            mesh.targets.insert(format!("target-{target}"), mesh::Target::default());
        }
        Self {
            mesh,
            accepted: BTreeMap::new(),
            objects: Vec::new(),
            changes: 0,
            marked: false,
            listed: false,
            poison: Vec::new(),
            old_mark: LeavingTarget::default(),
            marks: BTreeMap::new(),
        }
    }

    fn current(&self) -> Option<(Object, FleetObject)> {
        let object = self.mesh.platform.get("fleet", "fleet")?.clone();
        let fleet = serde_json::from_str(&object.body).unwrap();
        Some((object, fleet))
    }

    /// Writes the successor of `base`; the platform decides whether it is accepted.
    fn write(&mut self, base: &Option<(Object, FleetObject)>) -> bool {
        self.changes += 1;
        let change = format!("change-{}", self.changes);
        let (expected, before) = match base {
            Some((object, fleet)) => (object.version, fleet.clone()),
            None => (0, FleetObject::default()),
        };
        let generation = before.generation + 1;
        let yaml = fleet_yaml(SIZE, self.changes);
        let next = object(generation, &change, yaml, &before.audit);
        let body = serde_json::to_string(&next).unwrap();
        let written = self.mesh.put("fleet", "fleet", Version(expected), body).is_ok();
        if written {
            let object = self.current().unwrap().0;
            self.accepted.insert((generation, change), object.version);
            self.objects.push(object);
        }
        written
    }

    fn apply(&mut self) {
        let base = self.current();
        assert!(self.write(&base));
    }

    fn act(&mut self, op: Op) {
        let now = self.mesh.now();
        match op {
            Op::Apply => self.apply(),
            Op::Race => {
                let base = self.current();
                assert!(self.write(&base));
                assert!(!self.write(&base), "the second write is refused");
            }
            Op::Operator(leaving) => {
                self.marked = leaving;
                let mark = LeavingTarget {
                    target: MARKED.into(),
                    since_ms: now.0,
                    leaving,
                    ..LeavingTarget::default()
                };
                self.put("leaving", MARKED, serde_json::to_string(&mark).unwrap());
                self.old_mark = LeavingTarget { leaving: !leaving, since_ms: now.0 - 1, ..mark };
            }
            Op::Own(leaving) => self.mesh.targets.get_mut(SELF_REPORTED).unwrap().leaving = leaving,
            Op::Listed(leaving) => {
                self.listed = leaving;
                let entry = HostEntry { name: LISTED.into(), leaving, ..HostEntry::default() };
                let list = HostList { hosts: vec![entry] };
                self.put("hosts", "hosts", serde_json::to_string(&list).unwrap());
            }
            Op::Poison(host) if self.mesh.runs(host) => {
                let fingerprint = now.0;
                let until = now + Ms::secs(3600);
                self.mesh.announce(host, Announcement::Poison { fingerprint, until });
                self.poison.push((fingerprint, host));
            }
            Op::Kill(host) => self.kill(host),
            Op::Start(host) => {
                self.kill(host);
                self.mesh.start(host);
            }
            Op::Pause(host) => self.mesh.pause(host),
            Op::Resume(host) => self.mesh.resume(host),
            Op::Cut(a, b) => self.mesh.cut(a, b),
            Op::CutDomain(domain) => {
                for a in (0..HOSTS).filter(|a| a % DOMAINS == domain) {
                    for b in (0..HOSTS).filter(|b| b % DOMAINS != domain) {
                        self.mesh.cut(a, b);
                        self.mesh.cut(b, a);
                    }
                }
            }
            Op::CutPlatform(host) => self.mesh.set_platform_reachable(host, false),
            Op::Heal => self.mesh.heal(),
            Op::Down(down) => self.mesh.platform.faults.down = down,
            Op::Slow(slow) => {
                self.mesh.platform.faults.slow = if slow { Ms(2_500) } else { Ms::ZERO };
            }
            Op::Busy => self.mesh.platform.faults.busy = true,
            Op::Unresponsive(unresponsive) => self.mesh.platform.faults.unresponsive = unresponsive,
            Op::StuckWatches => self.mesh.platform.faults.stuck_watches = true,
            Op::Stale(stale) => self.mesh.platform.freeze(stale),
            Op::Restore => {
                if let [.., before, _] = self.objects.as_slice() {
                    self.mesh.platform.restore(before.clone());
                }
            }
            Op::Replay(host) => {
                let oldest = &self.objects[0];
                let exchange = Exchange {
                    fleet: serde_json::from_str(&oldest.body).ok(),
                    fleet_version: oldest.version,
                    ..Exchange::default()
                };
                self.mesh.replay(host, exchange);
            }
            Op::OldMark(host) if self.old_mark.since_ms > 0 => {
                let leaving = vec![self.old_mark.clone()];
                self.mesh.replay(host, Exchange { leaving, ..Exchange::default() });
            }
            Op::Poison(_) | Op::OldMark(_) => {}
        }
    }

    /// Forgets what only this host knew, as it is lost with the host.
    fn kill(&mut self, host: usize) {
        self.mesh.kill(host);
        self.poison.retain(|(_, origin)| *origin != host);
        self.marks.retain(|(holder, _), _| *holder != host);
    }

    fn put(&mut self, kind: &str, name: &str, body: String) {
        let version = self.mesh.platform.get(kind, name).map_or(0, |o| o.version);
        self.mesh.put(kind, name, Version(version), body).unwrap();
    }

    fn check_invariants(&mut self) -> Result<(), String> {
        for host in 0..HOSTS {
            let seen = &self.mesh.learned(host).generations;
            for pair in seen.windows(2) {
                if pair[1].1 < pair[0].1 {
                    return Err(format!("host {host} went back: {seen:?}"));
                }
            }
            let Some(state) = self.mesh.state(host) else { continue };
            for target in [MARKED, SELF_REPORTED, LISTED] {
                let since = state.leaving_mark(target).map_or(0, |w| w.since_ms);
                if self.marks.insert((host, target), since) > Some(since) {
                    return Err(format!("host {host} went back to an older mark of {target}"));
                }
            }
            let Some(fleet) = state.fleet() else { continue };
            if !self.accepted.contains_key(&(fleet.generation, fleet.change.clone())) {
                return Err(format!("host {host} has a configuration that was never accepted"));
            }
        }
        Ok(())
    }

    fn held(&self, host: usize) -> (u64, String) {
        let fleet = self.mesh.state(host).and_then(|s| s.fleet());
        fleet.map(|f| (f.generation, f.change.clone())).unwrap_or_default()
    }

    /// Order of the configurations that hosts hold: a restored store may accept a generation twice,
    /// and then the later write counts.
    fn order(&self, held: (u64, String)) -> (u64, u64) {
        (held.0, self.accepted.get(&held).copied().unwrap_or_default())
    }

    fn settle(&mut self) -> Result<(), String> {
        let stuck_watches = self.mesh.platform.faults.stuck_watches;
        self.mesh.heal();
        self.mesh.platform.freeze(false);
        self.mesh.platform.faults = mesh::Faults { stuck_watches, ..mesh::Faults::default() };
        for host in 0..HOSTS {
            self.mesh.resume(host);
            if !self.mesh.runs(host) {
                self.kill(host);
                self.mesh.start(host);
            }
        }
        let most = (0..HOSTS).map(|h| self.order(self.held(h))).max().unwrap_or_default();
        let end = self.mesh.now() + SETTLE_MS;
        loop {
            self.mesh.run(Ms::secs(1));
            self.check_invariants()?;
            match self.check_settled(most) {
                Err(left) if self.mesh.now() >= end => return Err(left),
                Err(_) => {}
                Ok(()) => return Ok(()),
            }
        }
    }

    fn check_settled(&self, most: (u64, u64)) -> Result<(), String> {
        let first = self.held(0);
        let platform = self.current().map(|(_, f)| (f.generation, f.change)).unwrap();
        if self.order(first.clone()) < most.max(self.order(platform.clone())) {
            return Err(format!("in force {first:?}, platform {platform:?}, held before {most:?}"));
        }
        for host in 0..HOSTS {
            let state = self.mesh.state(host).unwrap();
            if self.held(host) != first {
                return Err(format!("host {host} holds {:?}, host 0 {first:?}", self.held(host)));
            }
            let view = state.view();
            if view.len() != HOSTS {
                let names: Vec<_> = view.iter().map(|v| v.host.to_string()).collect();
                return Err(format!("host {host} sees only {names:?}"));
            }
            let self_reported = self.mesh.targets[SELF_REPORTED].leaving;
            let marks =
                [(MARKED, self.marked), (SELF_REPORTED, self_reported), (LISTED, self.listed)];
            for (target, leaving) in marks {
                let reported = self.mesh.learned(host).leaving.get(target).is_some_and(|w| w.1);
                if state.leaving_mark(target).is_some_and(|w| w.leaving) != leaving
                    || reported != leaving
                {
                    return Err(format!("host {host} takes {target} as leaving: {}", !leaving));
                }
            }
            for (fingerprint, origin) in &self.poison {
                if !self.mesh.learned(host).poison.contains_key(fingerprint) {
                    return Err(format!("host {host} missed the mark of host {origin}"));
                }
            }
            if self.mesh.learned(host).live as usize != HOSTS / DOMAINS {
                return Err(format!(
                    "host {host} reports {} live hosts in its domain",
                    self.mesh.learned(host).live
                ));
            }
        }
        let polled: usize = (0..HOSTS).map(|h| self.mesh.state(h).unwrap().polled_targets()).sum();
        match polled == SIZE.targets {
            true => Ok(()),
            false => Err(format!("{polled} targets polled")),
        }
    }
}
