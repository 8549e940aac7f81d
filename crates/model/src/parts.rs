//! Simulation of requests with a part in their prompts that ends each engine which begins to answer
//! them: which design finds the part, how many engines end meanwhile, and which sound requests are
//! refused by mistake.
//!
//! Sound requests and bad ones share first parts and come to all hosts. Engines that end break all
//! requests on them, which their hosts send once more, and come back some seconds later.

use base::{Ms, Suspect, TargetId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::sound::SoundParts;
use sched::suspects::{BrokenRequest, Ends, Observed, PROBATION};
use std::collections::{HashMap, HashSet};

/// Simulated time.
const RUN_TIME: Ms = Ms::secs(60);
/// When the first bad request is sent; before it, engines answer sound ones only.
const BAD_FROM: Ms = Ms::secs(20);
/// Step of the simulation.
const TICK: Ms = Ms(10);
/// Time from the sending of a request until its answer begins, ms.
const WAIT_MS: std::ops::Range<u64> = 300..1_200;
/// How long a sound stream lasts, ms; a third of the streams are short notes.
const STREAM_MS: std::ops::Range<u64> = 1_500..3_500;
/// The same of a short note.
const NOTE_MS: std::ops::Range<u64> = 80..200;
/// Time that an engine lives after it has begun to answer a bad request.
const LIFE: Ms = Ms(60);
/// How long an engine is down.
const DOWN: Ms = Ms::secs(4);
/// Time until other hosts know of an end.
const TELL_TIME: Ms = Ms(100);
/// Time from an end until all hosts know its cause.
const DIAGNOSE_TIME: Ms = Ms(400);
/// Ends after which a part is quarantined by the designs that only count.
const COUNTED_ENDS: usize = 4;
/// Number of first parts, and of parts of sessions.
const FIRST_PARTS: u64 = 3;
const SESSIONS: u64 = 400;
/// The first bad part; others follow it.
const BAD: u64 = 1_000_000;
/// Sends of one request.
const SENDS: u32 = 2;
/// Ends after which the part must be known, and the time that is left for it.
const KNOWN_AFTER: usize = 5;
const KNOWN_WITHIN: Ms = Ms::secs(4);

/// Who finds the part, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// Each host counts the ends with a part that it has seen itself.
    Own,
    /// All hosts are told of all ends, and count them by part.
    Told,
    /// The same, and a sound answer at any host, of which all are told, resets the count.
    Cleared,
    /// See [`sched::suspects`].
    Diagnosed,
}

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Engines.
    pub engines: usize,
    /// Sound requests a second.
    pub sound: u64,
    /// Bad requests a second.
    pub bad: u64,
    /// Number of bad parts.
    pub parts: u64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Engines that ended.
    pub ends: u64,
    /// Bad requests sent to engines later than 4 s after the fifth end with their part.
    pub late: u64,
    /// Sound requests that came after the first end.
    pub asked: u64,
    /// Those that were refused by mistake.
    pub refused: u64,
    /// Those that came later than 8 s after the fifth end, and of these the ones that were answered
    /// at the first send.
    pub after: u64,
    /// See `after`.
    pub begun: u64,
    /// Time from the first end until the last bad part was known; none if one was not found.
    pub found: Option<Ms>,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    host: usize,
    parts: [u64; 2],
    arrived: Ms,
    sent: Ms,
    begin: Ms,
    end: Ms,
    sends: u32,
    /// Whether it is counted as a sound answer.
    proved: bool,
}

impl Job {
    fn is_bad(&self) -> bool {
        self.parts[1] >= BAD
    }
}

#[derive(Debug, Default)]
struct Engine {
    lives: u64,
    up: Ms,
    jobs: Vec<Job>,
}

/// Runs one simulation.
pub fn simulate(design: Design, scenario: Scenario, seed: u64) -> Figures {
    let mut run = Run {
        design,
        scenario,
        rng: ChaCha8Rng::seed_from_u64(seed),
        engines: (0..scenario.engines).map(|_| Engine::default()).collect(),
        counted: HashMap::new(),
        cleared: HashMap::new(),
        ends: Ends::default(),
        sound: SoundParts::default(),
        diagnose_at: None,
        looked: Ms::ZERO,
        known: HashSet::new(),
        first_end: None,
        fifth_end: None,
        ended: HashMap::new(),
        figures: Figures::default(),
    };
    let mut now = Ms::ZERO;
    while now < RUN_TIME {
        run.tick(now);
        now += TICK;
    }
    run.figures
}

struct Run {
    design: Design,
    scenario: Scenario,
    rng: ChaCha8Rng,
    engines: Vec<Engine>,
    /// Ends by host (0 where all count together) and part.
    counted: HashMap<(usize, u64), usize>,
    /// When the last sound answer with a part began.
    cleared: HashMap<u64, Ms>,
    ends: Ends,
    sound: SoundParts,
    diagnose_at: Option<Ms>,
    /// When the ends were last judged.
    looked: Ms,
    /// Refused parts by host (0 where all know the same).
    known: HashSet<(usize, u64)>,
    first_end: Option<Ms>,
    fifth_end: Option<Ms>,
    /// Ends by bad part, each with the time of the last one up to the fifth.
    ended: HashMap<u64, (usize, Ms)>,
    figures: Figures,
}

impl Run {
    fn tick(&mut self, now: Ms) {
        for _ in 0..self.arrivals(self.scenario.sound) {
            let parts = [self.draw(FIRST_PARTS), 1_000 + self.draw(SESSIONS)];
            self.arrive(now, parts);
        }
        for _ in 0..if now >= BAD_FROM { self.arrivals(self.scenario.bad) } else { 0 } {
            let parts = [self.draw(FIRST_PARTS), BAD + self.draw(self.scenario.parts)];
            self.arrive(now, parts);
        }
        for engine in 0..self.engines.len() {
            self.run_engine(now, engine);
        }
        let looks = self.design == Design::Diagnosed;
        let moment = looks.then(|| self.ends.next_look(self.looked)).flatten();
        if [self.diagnose_at, moment].into_iter().flatten().any(|at| now >= at) {
            self.diagnose_at = None;
            self.looked = now;
            while self.diagnose(now) {}
        }
    }

    /// Number of requests of `rate` a second that come within a tick.
    fn arrivals(&mut self, rate: u64) -> u64 {
        let thousandths = rate * TICK.0;
        thousandths / 1_000 + u64::from(self.rng.random_range(0..1_000) < thousandths % 1_000)
    }

    fn draw(&mut self, count: u64) -> u64 {
        self.rng.random_range(0..count)
    }

    fn arrive(&mut self, now: Ms, parts: [u64; 2]) {
        let host = self.rng.random_range(0..self.scenario.hosts);
        let (sent, begin, end) = (now, now, now);
        let job = Job { host, parts, arrived: now, sent, begin, end, sends: 0, proved: false };
        let counts = !job.is_bad() && self.first_end.is_some();
        self.figures.asked += u64::from(counts);
        self.figures.after += u64::from(!job.is_bad() && self.is_after(now));
        if !self.refuses(&job) {
            self.send(now, job);
        } else if counts {
            self.figures.refused += 1;
        }
    }

    fn is_after(&self, at: Ms) -> bool {
        self.fifth_end.is_some_and(|fifth| at > fifth + KNOWN_WITHIN + KNOWN_WITHIN)
    }

    fn refuses(&self, job: &Job) -> bool {
        let host = if self.design == Design::Own { job.host } else { 0 };
        job.parts.iter().any(|part| self.known.contains(&(host, *part)))
    }

    fn send(&mut self, now: Ms, mut job: Job) {
        let up: Vec<usize> =
            (0..self.engines.len()).filter(|i| self.engines[*i].up <= now).collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.rng.random_range(0..up.len())];
        job.sends += 1;
        job.sent = now;
        job.begin = now + Ms(self.rng.random_range(WAIT_MS));
        let lasts = if self.draw(3) == 0 { NOTE_MS } else { STREAM_MS };
        job.end = job.begin + Ms(self.rng.random_range(lasts));
        let ended = self.ended.get(&job.parts[1]);
        let late = ended.is_some_and(|(n, at)| *n >= KNOWN_AFTER && now > *at + KNOWN_WITHIN);
        self.figures.late += u64::from(late);
        self.engines[engine].jobs.push(job);
    }

    fn run_engine(&mut self, now: Ms, engine: usize) {
        let mut jobs = std::mem::take(&mut self.engines[engine].jobs);
        if jobs.iter().any(|job| job.is_bad() && now >= job.begin + LIFE) {
            self.crash(now, engine, jobs);
            return;
        }
        // Those whose part is known by now are withdrawn.
        jobs.retain(|job| !self.refuses(job));
        for job in jobs.iter_mut().filter(|job| !job.proved) {
            if now >= job.end.min(job.begin + PROBATION) {
                job.proved = true;
                let first = job.sends == 1 && self.is_after(job.arrived);
                self.figures.begun += u64::from(first);
                self.prove(job);
            }
        }
        jobs.retain(|job| now < job.end);
        self.engines[engine].jobs = jobs;
    }

    fn prove(&mut self, job: &Job) {
        self.sound.record(job.begin, job.parts.into_iter());
        for part in job.parts {
            self.cleared.insert(part, job.begin);
            if self.design == Design::Cleared {
                self.counted.remove(&(0, part));
            }
        }
    }

    fn crash(&mut self, now: Ms, engine: usize, jobs: Vec<Job>) {
        let target = TargetId::from(format!("{engine}@{}", self.engines[engine].lives));
        self.engines[engine].lives += 1;
        self.engines[engine].up = now + DOWN;
        self.figures.ends += 1;
        self.first_end.get_or_insert(now);
        if self.figures.ends == KNOWN_AFTER as u64 {
            self.fifth_end = Some(now);
        }
        let causes = jobs.iter().filter(|job| job.is_bad() && now >= job.begin + LIFE);
        let causes: HashSet<u64> = causes.map(|job| job.parts[1]).collect();
        for part in causes {
            let (ends, at) = self.ended.entry(part).or_default();
            *at = if *ends < KNOWN_AFTER { now } else { *at };
            *ends += 1;
        }
        let begun = |job: &&Job| now >= job.begin && now < job.begin + PROBATION;
        let suspects = jobs.iter().filter(begun);
        let mut seen: HashSet<(usize, u64)> = HashSet::new();
        for job in suspects {
            let parts = &job.parts;
            let (target, sent) = (&target, job.sent);
            self.ends.record(&BrokenRequest {
                target,
                request: None,
                parts,
                begun: true,
                sent,
                at: now,
            });
            let host = if self.design == Design::Own { job.host } else { 0 };
            seen.extend(parts.iter().map(|part| (host, *part)));
        }
        for key in seen {
            *self.counted.entry(key).or_default() += 1;
        }
        let gathers = self.design == Design::Diagnosed && !self.ends.is_confirmed();
        let due = now + if gathers { DIAGNOSE_TIME } else { TELL_TIME };
        self.diagnose_at = Some(self.diagnose_at.map_or(due, |at| at.min(due)));
        for job in jobs.into_iter().filter(|job| job.sends < SENDS) {
            if !self.refuses(&job) {
                self.send(now, job);
            }
        }
    }

    /// Quarantines parts. Returns whether there may be more.
    fn diagnose(&mut self, now: Ms) -> bool {
        if self.design == Design::Diagnosed {
            return self.diagnose_together(now);
        }
        let quarantined = self.counted.iter().filter(|(_, ends)| **ends >= COUNTED_ENDS);
        let quarantined: Vec<(usize, u64)> = quarantined.map(|(key, _)| *key).collect();
        self.known.extend(quarantined);
        self.note_found(now);
        false
    }

    fn diagnose_together(&mut self, now: Ms) -> bool {
        let told: HashMap<Suspect, Observed> = self
            .ends
            .candidates()
            .into_iter()
            .map(|c| {
                let others = self.sound.since(c.since) as u64;
                let sound = c.suspect.part().and_then(|part| self.sound.last(part));
                (c.suspect, Observed { sound, others, going: false })
            })
            .collect();
        let found = self.ends.diagnose(&told, &[]);
        let Some(diagnosis) = found.or_else(|| self.ends.diagnose_moment(&told, now)) else {
            for (suspect, told) in &told {
                told.sound.into_iter().for_each(|sound| self.ends.cleared(*suspect, sound));
            }
            return false;
        };
        self.ends.quarantined(diagnosis.suspect);
        self.known.extend(diagnosis.suspect.part().map(|part| (0, part)));
        self.note_found(now);
        true
    }

    fn note_found(&mut self, now: Ms) {
        let hosts = if self.design == Design::Own { self.scenario.hosts } else { 1 };
        let all = (0..hosts)
            .all(|host| (0..self.scenario.parts).all(|p| self.known.contains(&(host, BAD + p))));
        if let (true, None, Some(first)) = (all, self.figures.found, self.first_end) {
            self.figures.found = Some(now - first);
        }
    }
}
