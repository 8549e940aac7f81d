//! One host of a mesh, what it learned and what it cost.

use base::Ms;
use gossip::{Event, Rules, State, Update};
use std::collections::BTreeMap;
use std::time::Duration;

/// A target as polls see it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Target {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// What it says of itself.
    pub leaving: bool,
    /// Polls so far.
    pub polls: u64,
}

/// What one host learned, and when.
#[derive(Clone, Debug, Default)]
pub struct Learned {
    /// Generations in force, in order.
    pub generations: Vec<(Ms, u64, String)>,
    /// Targets, since when, and whether they are leaving.
    pub leaving: BTreeMap<String, (Ms, bool)>,
    /// Poison marks.
    pub poison: BTreeMap<u64, Ms>,
    /// Loads of this domain's targets.
    pub loads: u64,
    /// Numbered events that it logged, with their subjects.
    pub notes: Vec<(logs::Event, String)>,
    /// Live hosts in the domain.
    pub live: u32,
    /// When the last load of each target was true.
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

/// What a host sent, heard and spent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes sent to other hosts.
    pub sent: u64,
    /// Bytes from other hosts.
    pub heard: u64,
    /// Messages sent to other hosts, calls and answers.
    pub messages: u64,
    /// Time in the reducer and the codec.
    pub busy: Duration,
}

pub(crate) struct Slot {
    pub(crate) rules: Rules,
    /// `None` while it is dead.
    pub(crate) state: Option<State>,
    /// Counts its starts; what was on the way to an earlier one is lost.
    pub(crate) run: u64,
    /// While paused: what came meanwhile.
    pub(crate) deferred: Option<Vec<Event>>,
    /// The tick that is planned.
    pub(crate) tick: Ms,
    pub(crate) platform_reachable: bool,
    pub(crate) learned: Learned,
    pub(crate) traffic: Traffic,
}
