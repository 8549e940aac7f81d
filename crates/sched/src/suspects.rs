//! Finds what ends targets: a part of prompts, or a request as a whole, see [`request`].
//!
//! Pattern: a part of a prompt ends each engine that begins to answer a request with it. The requests
//! are new ones, no two alike, and come to all hosts, so that no request and no host sees enough to
//! tell. Counting by request finds nothing: each one takes an engine down, and the sound requests on
//! it with it.
//!
//! So ends are counted by part. Each end of an engine names the shared parts of all requests that were on
//! it, but for those that it is known to have lived under for [`PROBATION`]; all hosts report what was
//! theirs to the same few, which find the cause. That no byte of an answer arrived says nothing: the
//! reset of a process that ends throws away what it had written.
//! Sound requests share their first parts, callers and engines with the bad ones, therefore a part is
//! quarantined only if
//!
//! - several engines have ended with it, and not all at the same moment, as in an outage, unless the
//!   evidence of [`moment`] tells that moment from one,
//! - no host has seen a sound answer with it that began after the first of these ends,
//! - it explains the ends better than other parts do, and a good share of all ends meanwhile,
//! - and, if it ever had a sound answer, engines serve other parts meanwhile: an outage of everything
//!   is nobody's fault.
//!
//! Ends that a quarantined part explains are no evidence against others.

mod case;
pub mod moment;
pub mod record;
pub mod request;

use base::{Ms, Suspect, TargetId, hash_parts};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use self::case::{Case, carried};
use self::record::KeptRequest;

/// Time for which an engine must have been seen to live while it answered a request until its parts are
/// sound. An engine that a part ends is gone within a tenth of a second of its own running time, but it
/// may run for a tenth of the time only.
pub const PROBATION: Ms = Ms::secs(3);
/// Number of hosts that are told of ends, in a larger fleet: if half of a fleet is killed, one of
/// them is left but once in sixty times.
pub const COLLECTORS: usize = 6;
/// Number of these that look for the cause.
pub const DIAGNOSERS: usize = 2;
/// Number of suspected parts that hosts are asked about at once: the ones with the most ends.
const MAX_CANDIDATES: usize = 32;
/// Ends that a suspect must have before hosts are asked about it.
const LEAST_ENDS: usize = 3;
/// Ends of targets that are remembered: about 2 KB each.
const MAX_ENDS: usize = 512;
/// Requests of an end that are remembered.
const MAX_REQUESTS: usize = 64;
/// Time for which ends are remembered.
const RETENTION: Ms = Ms::secs(3_600);
/// Differences of times that hosts tell as ages: a message takes some tens of ms.
const CLOCK_MARGIN: Ms = Ms(100);
/// Ends within this time after the first of them count as one episode, as when a rack fails, and so do
/// those of requests that were sent before it.
const EPISODE: Ms = Ms(250);
/// A part that fewer prompts share, and that is on at least one in so many of the engines that ended
/// with another part, comes first: two bad parts together look like the first part that both follow,
/// and all requests with that one would be refused.
const LEAST_RIVAL: usize = 3;
/// Of parts with sound answers in the past, those with at least this share, in percent, of the most
/// ends explain them equally well: some ends have other causes, and first parts are on all engines.
const EQUAL_PERCENT: usize = 80;

/// Ends with a part, but without the one request that is known to end targets, by which the part may
/// explain those of the request as well. One end may have any cause.
const LEAST_OTHER_ENDS: usize = 2;

/// Targets that end at one moment, under requests that were there before, as in an outage.
const OUTAGE_ENDS: usize = 3;

/// Ends beyond the least number that make up for one episode: where requests come fast, all engines
/// end within a moment, and the next episode has to wait until they are back.
const ENDS_FOR_EPISODE: usize = 2;

/// The evidence by which a part is quarantined.
struct Threshold {
    ends: usize,
    episodes: usize,
}

impl Threshold {
    /// `calm` tells that no outage was among the ends: then one more makes up for an episode, as where two
    /// requests have each ended engine after engine.
    fn is_reached(&self, ends: usize, episodes: usize, calm: bool) -> bool {
        let further = if calm { 1 } else { ENDS_FOR_EPISODE };
        let spared = usize::from(ends >= self.ends + further);
        ends >= self.ends && episodes + spared >= self.episodes
    }
}

/// For a part that no host remembers from a sound answer. A single request can't reach it, since it
/// is sent to fewer engines.
const NEW_PART: Threshold = Threshold { ends: 4, episodes: 3 };
/// For one that had sound answers: first parts are on all engines, and a wrong quarantine of one
/// refuses a whole kind of requests.
const KNOWN_PART: Threshold = Threshold { ends: 8, episodes: 4 };

/// A suspect about which hosts are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The suspect.
    pub suspect: Suspect,
    /// Since when its newest ends, as many as it takes for a known part, have happened.
    pub since: Ms,
}

/// What all hosts together know of a candidate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// When the last sound answer with it began; none if no host remembers one.
    pub sound: Option<Ms>,
    /// Whether an answer with it goes on. That clears nothing, since it may still end its engine, but
    /// speaks for the part as long as it lasts.
    pub going: bool,
    /// Sound answers, with other parts, that began since [`Candidate::since`].
    pub others: u64,
}

/// What ends targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnosis {
    /// The part or the request.
    pub suspect: Suspect,
    /// The incarnations of engines that have ended with it.
    pub targets: Vec<TargetId>,
    /// At how many moments they ended.
    pub episodes: usize,
    /// Whether it had sound answers in the past.
    pub known: bool,
}

/// A request that a target may have begun to run when it ended.
#[derive(Clone, Copy, Debug)]
pub struct BrokenRequest<'a> {
    /// The target's incarnation, as it was registered.
    pub target: &'a TargetId,
    /// Its key; none if it isn't known.
    pub request: Option<u64>,
    /// The shared parts of the prompt, in order; empty if the target is known to have lived on after it
    /// had begun to answer it.
    pub parts: &'a [u64],
    /// Whether any of an answer to it has arrived. That none has says nothing of the request alone, but an
    /// outage ends many that have only waited.
    pub begun: bool,
    /// When it was sent.
    pub sent: Ms,
    /// When it broke.
    pub at: Ms,
}

/// A target that is registered and takes requests of the kind that ends targets.
#[derive(Clone, Copy, Debug)]
pub struct Running<'a> {
    /// Its name, which all its incarnations have.
    pub name: &'a str,
    /// Its service.
    pub service: &'a str,
    /// When its present incarnation started.
    pub born: Ms,
}

/// The end of one incarnation of a target.
#[derive(Debug)]
struct End {
    at: Ms,
    target: TargetId,
    /// The requests on it and the shared parts of their prompts.
    carried: HashMap<Suspect, Carried>,
    /// These requests, [`MAX_REQUESTS`] at most.
    requests: Vec<KeptRequest>,
    /// Whether it is kept outside of the hosts, or need not be.
    kept: bool,
    /// Whether a quarantined part was among them.
    explained: bool,
    /// Whether a quarantined part or request was among them.
    solved: bool,
}

impl End {
    /// Whether nothing that is quarantined explains it. A request explains nothing to parts: each
    /// request with a bad part would hide the end that it was at.
    fn is_open(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Part(_) => !self.explained,
            Suspect::Request(_) => !self.solved,
        }
    }

    fn new(at: Ms, target: TargetId) -> Self {
        let (carried, requests) = (HashMap::new(), Vec::new());
        Self { at, target, carried, requests, kept: false, explained: false, solved: false }
    }
}

/// A suspect that requests on a target had in common.
#[derive(Clone, Debug, Default)]
struct Carried {
    /// Its last place in a prompt.
    place: usize,
    /// When the last of these requests was sent.
    sent: Ms,
    /// Whether any of an answer to one of them had arrived.
    begun: bool,
    /// Their keys, [`MAX_REQUESTS`] at most.
    requests: Vec<u64>,
}

impl Carried {
    fn add(&mut self, place: usize, broken: &BrokenRequest<'_>) {
        self.place = place.max(self.place);
        self.sent = broken.sent.max(self.sent);
        self.begun |= broken.begun;
        match broken.request {
            Some(key) if self.requests.len() < MAX_REQUESTS && !self.requests.contains(&key) => {
                self.requests.push(key);
            }
            _ => {}
        }
    }
}

/// Ends of targets, as reported by all hosts.
#[derive(Debug, Default)]
pub struct Ends {
    ends: VecDeque<End>,
    /// What is quarantined; it explains the ends to come too.
    quarantined: HashSet<Suspect>,
}

impl Ends {
    /// Records a request that a target may have begun to run when it ended.
    ///
    /// An engine may have started again before its new registration is known. A request that was
    /// sent after it had ended shows that, and breaks at another end.
    pub fn record(&mut self, broken: &BrokenRequest<'_>) {
        self.evict(broken.at);
        let last = self.ends.iter().rposition(|end| end.target == *broken.target);
        let same = last.filter(|i| broken.sent <= self.ends[*i].at + CLOCK_MARGIN);
        let at = same.unwrap_or_else(|| {
            let (at, target) = (broken.at, broken.target.clone());
            self.ends.push_back(End::new(at, target));
            self.ends.len() - 1
        });
        let end = &mut self.ends[at];
        let parts = broken.parts.iter().map(|part| Suspect::Part(*part));
        for (place, suspect) in parts.chain(broken.request.map(Suspect::Request)).enumerate() {
            end.carried.entry(suspect).or_default().add(place, broken);
            let known = self.quarantined.contains(&suspect);
            end.solved |= known;
            end.explained |= known && suspect.part().is_some();
        }
        if end.requests.len() < MAX_REQUESTS {
            end.requests.push(KeptRequest::of(broken));
        }
    }

    /// What may have to be quarantined, suspects with the most ends first.
    pub fn candidates(&self) -> Vec<Candidate> {
        let mut ends: BTreeMap<Suspect, Vec<Ms>> = BTreeMap::new();
        let mut open: HashSet<Suspect> = HashSet::new();
        for end in &self.ends {
            end.carried.keys().for_each(|suspect| ends.entry(*suspect).or_default().push(end.at));
            open.extend(end.carried.keys().filter(|suspect| end.is_open(**suspect)));
        }
        ends.retain(|suspect, at| at.len() >= LEAST_ENDS && open.contains(suspect));
        let mut ends: Vec<(Suspect, Vec<Ms>)> = ends.into_iter().collect();
        ends.sort_by_key(|(_, at)| std::cmp::Reverse(at.len()));
        ends.truncate(MAX_CANDIDATES);
        let since = |at: &[Ms]| at[at.len().saturating_sub(KNOWN_PART.ends)];
        ends.into_iter().map(|(suspect, at)| Candidate { suspect, since: since(&at) }).collect()
    }

    /// The part to quarantine, by what hosts have told of the candidates, and the targets that run now.
    pub fn diagnose(
        &self,
        told: &HashMap<Suspect, Observed>,
        running: &[Running<'_>],
    ) -> Option<Diagnosis> {
        let cases = self.part_cases(told).filter(|case| case.is_grounded(running));
        let cases: Vec<Case> = cases.collect();
        let (known, new): (Vec<&Case>, Vec<&Case>) = cases.iter().partition(|c| c.known);
        let narrower =
            |a: &Case, b: &Case| b.place > a.place && LEAST_RIVAL * b.ends.len() >= a.ends.len();
        let narrowest = |c: &&&Case| new.iter().all(|other| !narrower(c, other));
        let quarantined = new.iter().filter(|c| c.is_proved()).filter(narrowest);
        if let Some(case) = quarantined.max_by_key(|c| c.rank()) {
            return Some(case.diagnosis());
        }
        let most = known.iter().filter(|c| c.is_proved()).map(|c| c.ends.len()).max()?;
        // A new part that explains much may be about to explain more.
        if new.iter().any(|case| LEAST_RIVAL * case.ends.len() >= most) {
            return None;
        }
        let equal = |c: &&&Case| c.is_proved() && 100 * c.ends.len() >= EQUAL_PERCENT * most;
        let case = known.iter().filter(equal).max_by_key(|c| (c.place, c.rank()))?;
        Some(case.diagnosis())
    }

    /// Marks the ends that what is quarantined now explains.
    pub fn quarantined(&mut self, suspect: Suspect) {
        self.quarantined.insert(suspect);
        for end in self.ends.iter_mut().filter(|end| end.carried.contains_key(&suspect)) {
            end.solved = true;
            end.explained |= suspect.part().is_some();
        }
    }

    /// Drops the evidence against a suspect up to `sound`, when a sound answer with it began.
    pub fn cleared(&mut self, suspect: Suspect, sound: Ms) {
        for end in self.ends.iter_mut().filter(|end| end.at <= sound) {
            end.carried.remove(&suspect);
        }
    }

    /// Forgets all that spoke against a suspect: an operator has lifted its quarantine.
    pub fn lifted(&mut self, suspect: Suspect) {
        self.quarantined.remove(&suspect);
        self.ends.retain(|end| !end.carried.contains_key(&suspect));
    }

    fn unexplained(&self) -> impl Iterator<Item = &End> {
        self.ends.iter().filter(|end| !end.explained)
    }

    /// What speaks against each part, by what hosts have told.
    fn part_cases<'a>(
        &'a self,
        told: &'a HashMap<Suspect, Observed>,
    ) -> impl Iterator<Item = Case<'a>> {
        told.iter().filter_map(|(suspect, told)| Some(self.case(suspect.part()?, *told)))
    }

    /// Ends with a suspect after its last sound answer.
    fn counted(&self, suspect: Suspect, told: Observed) -> Vec<&End> {
        let after = |end: &&End| told.sound.is_none_or(|sound| sound < end.at);
        self.ends.iter().filter(|end| end.carried.contains_key(&suspect)).filter(after).collect()
    }

    /// The quarantined requests that had a part at these ends.
    fn causes(&self, ends: &[&End], part: u64) -> Vec<u64> {
        let keys = carried(ends, part).flat_map(|(_, c)| &c.requests).copied();
        let known = keys.filter(|key| self.quarantined.contains(&Suspect::Request(*key)));
        known.collect::<BTreeSet<u64>>().into_iter().collect()
    }

    fn case(&self, part: u64, told: Observed) -> Case<'_> {
        let mut ends = self.counted(Suspect::Part(part), told);
        // A request that is known to end targets explains its ends. Where others with the part end targets
        // too, it may be what they have in common.
        if let [cause] = self.causes(&ends, part)[..] {
            let without = |end: &&End| !end.carried.contains_key(&Suspect::Request(cause));
            if ends.iter().filter(|end| without(end)).count() < LEAST_OTHER_ENDS {
                ends.retain(without);
            }
        }
        let span = ends.first().zip(ends.last()).map(|(first, last)| (first.at, last.at));
        let within = |at: Ms| span.is_some_and(|(first, last)| (first..=last).contains(&at));
        Case {
            part,
            place: carried(&ends, part).map(|(_, c)| c.place).max().unwrap_or(0),
            episodes: self.episodes(&ends, part),
            calm: ends.iter().all(|end| self.victims(end.at).len() < OUTAGE_ENDS),
            rivals: self.unexplained().filter(|end| within(end.at)).count(),
            known: told.sound.is_some() || told.going,
            others: told.others,
            ends,
        }
    }

    /// Number of moments at which engines ended with a part. Requests that were sent before an outage make
    /// no second moment of it, however late their hosts notice. Where many engines ended at once, a part
    /// counts only if it was on at least half of them, in a request that an answer had begun to: others may
    /// just have waited there.
    fn episodes(&self, ends: &[&End], part: u64) -> usize {
        let mut begun: Option<Ms> = None;
        let mut count = 0;
        for (at, carried) in carried(ends, part) {
            let next = begun.is_none_or(|begun| at - begun > EPISODE && carried.sent > begun);
            if next && self.counts(part, carried, at) {
                begun = Some(at);
                count += 1;
            }
        }
        count
    }

    /// The ends around a moment of targets that had requests before the first of them. A request that was
    /// sent after it is no victim of the same outage.
    fn victims(&self, at: Ms) -> Vec<&End> {
        let around = |end: &&End| end.at + EPISODE >= at && end.at <= at + EPISODE;
        let first = self.ends.iter().find(around).map_or(at, |end| end.at);
        let before = |end: &&End| end.carried.values().any(|carried| carried.sent < first);
        self.ends.iter().filter(around).filter(before).collect()
    }

    /// Whether the end of an engine at a moment says something of a part that was on it.
    fn counts(&self, part: u64, carried: &Carried, at: Ms) -> bool {
        let victims = self.victims(at);
        let with = victims.iter().filter(|end| end.carried.contains_key(&Suspect::Part(part)));
        victims.len() < OUTAGE_ENDS || (carried.begun && 2 * with.count() >= victims.len())
    }

    fn evict(&mut self, now: Ms) {
        self.ends.retain(|end| now - end.at <= RETENTION);
        while self.ends.len() >= MAX_ENDS {
            self.ends.pop_front();
        }
    }
}

/// The hosts that are told of ends, the same ones in the same order for all that see the same hosts.
/// The first ones look for the cause.
pub fn collectors<'a, T>(
    hosts: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let mut chosen: Vec<&T> = hosts.into_iter().collect();
    chosen.sort_by_cached_key(|host| hash_parts(&[b"collector", name(host).as_bytes()]));
    chosen.truncate(COLLECTORS);
    chosen
}
