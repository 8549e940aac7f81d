//! Simulation of streams that callers take up at other hosts, while targets of two software versions
//! serve: which design knows at which version a stream began.
//!
//! Hosts begin streams at a steady rate. A few streams break, and twice some hosts fail at once and
//! come back empty; callers of both come back to other hosts. Halfway a third version joins, of which
//! each host learns within a second.

use base::{Ms, hash_parts};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Simulated time.
const RUN_TIME: Ms = Ms::secs(60);
/// How long a stream lasts.
const STREAM_TIME: Ms = Ms::secs(3);
/// Times at which hosts fail.
const FAILURES: [Ms; 2] = [Ms::secs(20), Ms::secs(40)];
/// When the third version joins, and how long hosts take to learn of it, ms.
const JOIN: Ms = Ms::secs(30);
const LEARN_MS: u64 = 1_000;
/// Share of streams that break while their host lives, percent.
const BREAK_PERCENT: u64 = 3;
/// How long callers take to come back, ms.
const RETURN_MS: std::ops::Range<u64> = 100..1_500;
/// Time from a stream's first event until other hosts hold its record.
const TELL_TIME: Ms = Ms(30);
/// How long a record is kept.
const RECORD_TIME: Ms = Ms::secs(20);
/// Size of a message between hosts beside its records, and of a record, bytes.
const MESSAGE_BYTES: u64 = 60;
const RECORD_BYTES: u64 = 30;

/// Who knows at which version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// The host that began it; all are asked.
    First,
    /// All hosts are told.
    All,
    /// So many hosts are told, chosen by rendezvous hashing, and asked.
    Some(usize),
    /// The version follows from a hash of the attempt over the versions that a host knows.
    Hash,
    /// The store, at so many writes a second; what is beyond them is not recorded.
    Store(u64),
}

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Streams that each host begins in a second.
    pub rate: u64,
    /// Share of the hosts that fail at once, percent; one at least.
    pub failing: usize,
}

impl Scenario {
    /// Number of hosts that fail at once.
    pub fn failed(&self) -> usize {
        (self.hosts * self.failing / 100).max(1)
    }
}

/// Results of one simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Streams that callers took up.
    pub taken_up: u64,
    /// Of these, streams that went on.
    pub went_on: u64,
    /// Of these, streams that went on at another version.
    pub mixed: u64,
    /// Messages between hosts, or writes to the store.
    pub messages: u64,
    /// Bytes of these.
    pub bytes: u64,
    /// Most records that are held in the fleet at once, for each host.
    pub records: u64,
}

struct Stream {
    id: u64,
    host: usize,
    begun: Ms,
    /// When its caller comes back.
    back: Ms,
}

/// Runs a simulation.
pub fn simulate(design: Design, scenario: Scenario, seed: u64) -> Figures {
    let mut world = World::new(design, scenario, seed);
    let streams = world.streams();
    let mut figures = Figures::default();
    world.count_messages(&streams, &mut figures);
    for stream in streams.iter().filter(|s| s.back < RUN_TIME) {
        world.take_up(stream, &mut figures);
    }
    figures
}

struct World {
    design: Design,
    scenario: Scenario,
    rng: ChaCha8Rng,
    /// When each host learns of the third version.
    learned: Vec<Ms>,
}

impl World {
    fn new(design: Design, scenario: Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let learn = |_| JOIN + Ms(rng.random_range(0..LEARN_MS));
        let learned = (0..scenario.hosts).map(learn).collect();
        Self { design, scenario, rng, learned }
    }

    /// Hosts that fail at one of [`FAILURES`].
    fn fails(&self, host: usize) -> bool {
        host < self.scenario.failed()
    }

    /// Whether a host has failed between two times.
    fn lost(&self, host: usize, from: Ms, to: Ms) -> bool {
        self.fails(host) && FAILURES.iter().any(|at| from <= *at && *at < to)
    }

    fn streams(&mut self) -> Vec<Stream> {
        let per_host = self.scenario.rate * RUN_TIME.0 / 1_000;
        let mut streams = Vec::new();
        for n in 0..per_host * self.scenario.hosts as u64 {
            let host = self.rng.random_range(0..self.scenario.hosts);
            let begun = Ms(self.rng.random_range(0..RUN_TIME.0));
            let cut_at = FAILURES
                .into_iter()
                .find(|at| self.fails(host) && begun <= *at && *at < begun + STREAM_TIME);
            let breaks = self.rng.random_range(0..100) < BREAK_PERCENT;
            let break_at = breaks.then(|| begun + Ms(self.rng.random_range(0..STREAM_TIME.0)));
            let away = Ms(self.rng.random_range(RETURN_MS));
            let back = cut_at.or(break_at).map_or(Ms::MAX, |at| at + away);
            streams.push(Stream { id: hash_parts(&[&n.to_le_bytes()]), host, begun, back });
        }
        streams
    }

    fn count_messages(&self, streams: &[Stream], figures: &mut Figures) {
        let others = self.scenario.hosts as u64 - 1;
        let copies = match self.design {
            Design::First | Design::Hash => 0,
            Design::All => others,
            Design::Some(copies) => (copies as u64).min(others),
            Design::Store(_) => 1,
        };
        figures.messages = streams.len() as u64 * copies;
        figures.bytes = figures.messages * (MESSAGE_BYTES + RECORD_BYTES);
        let held = self.scenario.rate * self.scenario.hosts as u64 * RECORD_TIME.0 / 1_000;
        figures.records = match self.design {
            Design::Hash => 0,
            Design::Store(_) => held / self.scenario.hosts as u64,
            _ => held * (copies + 1) / self.scenario.hosts as u64,
        };
    }

    fn take_up(&mut self, stream: &Stream, figures: &mut Figures) {
        figures.taken_up += 1;
        let at = loop {
            let host = self.rng.random_range(0..self.scenario.hosts);
            let down = FAILURES.iter().any(|at| *at <= stream.back && stream.back < *at + Ms(500));
            if !(down && self.fails(host)) {
                break host;
            }
        };
        let known = match self.design {
            Design::Hash => {
                figures.went_on += 1;
                let began = self.version(stream.id, stream.host, stream.begun);
                figures.mixed += u64::from(self.version(stream.id, at, stream.back) != began);
                return;
            }
            Design::Store(writes) => {
                let rate = self.scenario.rate * self.scenario.hosts as u64;
                stream.id % rate.max(1) < writes
            }
            Design::First => !self.lost(stream.host, stream.begun, stream.back),
            Design::All => self.any_knows(stream, (0..self.scenario.hosts).collect()),
            Design::Some(copies) => {
                let holders = self.holders(stream.id, copies);
                self.any_knows(stream, holders)
            }
        };
        figures.went_on += u64::from(known);
    }

    /// Whether one of the hosts that were told still holds the record.
    fn any_knows(&self, stream: &Stream, told: Vec<usize>) -> bool {
        let first = !self.lost(stream.host, stream.begun, stream.back);
        let told_at = stream.begun + TELL_TIME;
        // A host that failed before it had told anyone.
        let was_told = !self.lost(stream.host, stream.begun, told_at);
        let others = told.into_iter().filter(|h| *h != stream.host);
        let held = others.into_iter().any(|h| !self.lost(h, told_at, stream.back));
        (first && told_is_asked(self.scenario.hosts, stream)) || (was_told && held)
    }

    /// The version that a host computes from a stream's id at a time.
    fn version(&self, id: u64, host: usize, at: Ms) -> u64 {
        let versions = if at >= self.learned[host] { 3 } else { 2 };
        let score = |version: &u64| hash_parts(&[&id.to_le_bytes(), &version.to_le_bytes()]);
        (0..versions).max_by_key(score).unwrap_or(0)
    }

    fn holders(&self, id: u64, copies: usize) -> Vec<usize> {
        let ranked: BTreeMap<u64, usize> = (0..self.scenario.hosts)
            .map(|host| (hash_parts(&[&id.to_le_bytes(), &host.to_le_bytes()]), host))
            .collect();
        ranked.into_values().take(copies).collect()
    }
}

/// Whether the host that began a stream is among those that are asked. In a large fleet it mostly
/// isn't.
fn told_is_asked(hosts: usize, stream: &Stream) -> bool {
    hosts <= sched::origins::COPIES + 1 || stream.id.is_multiple_of(hosts as u64)
}
