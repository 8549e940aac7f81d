//! One simulated host: its state, what it learned, and its traffic.

use base::Ms;
use gossip::{Event, GossipConfig, State, Update};
use std::collections::BTreeMap;
use std::time::Duration;

/// A target as polls see it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Target {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub queued: u32,
    /// Whether it reports itself as leaving.
    pub leaving: bool,
    /// Number of polls so far.
    pub polls: u64,
}

/// What one host learned since its start, and when.
#[derive(Clone, Debug, Default)]
pub struct Learned {
    /// Generations that came into force, in order, with time and deployment name.
    pub generations: Vec<(Ms, u64, String)>,
    /// By target: when the last update came, and whether the target is leaving.
    pub leaving: BTreeMap<String, (Ms, bool)>,
    /// Poison marks, with the time of the first update.
    pub poison: BTreeMap<u64, Ms>,
    /// Number of updates with loads of this domain's targets.
    pub loads: u64,
    /// Numbered log events with their subjects.
    pub notes: Vec<(logs::Event, String)>,
    /// Number of live hosts in the domain.
    pub live: u32,
    /// When the last known load of each target was measured.
    pub load_at: BTreeMap<String, Ms>,
}

impl Learned {
    pub(crate) fn record(&mut self, now: Ms, update: Update) {
        match update {
            Update::Fleet(plan) => {
                let generation = plan.generation.0;
                self.generations.push((now, generation, plan.fleet.deployment.clone()));
            }
            Update::Leaving { target, leaving } => {
                self.leaving.insert(target.to_string(), (now, leaving));
            }
            Update::Poisoned { fingerprint, .. } => {
                self.poison.entry(fingerprint).or_insert(now);
            }
            Update::Load { target, at, .. } => {
                self.loads += 1;
                self.load_at.insert(target.to_string(), at);
            }
            Update::Hosts { live } => self.live = live,
            Update::DomainLoad { .. } | Update::Cache { .. } => {}
        }
    }
}

/// Traffic and processor time of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes sent to other hosts.
    pub sent: u64,
    /// Bytes received from other hosts.
    pub heard: u64,
    /// Messages sent to other hosts, calls and answers.
    pub messages: u64,
    /// Processor time in the reducer and the codec.
    pub busy: Duration,
}

pub(crate) struct Slot {
    pub(crate) config: GossipConfig,
    /// `None` while the host is dead.
    pub(crate) state: Option<State>,
    /// Number of starts. Messages on the way to an earlier run are lost.
    pub(crate) run: u64,
    /// While the host is paused: the events that have arrived since.
    pub(crate) deferred: Option<Vec<Event>>,
    /// Time of the scheduled tick.
    pub(crate) tick: Ms,
    pub(crate) platform_reachable: bool,
    pub(crate) learned: Learned,
    pub(crate) traffic: Traffic,
}
