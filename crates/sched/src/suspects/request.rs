//! Finds requests that end targets by what only they have.
//!
//! Pattern: a caller sends a request again and again, through any host, and each target that runs it
//! ends. Sound requests on the same targets end with them, and may be sent again as well. And a crash
//! of many targets for another reason ends many requests, three times in a row if it comes back.
//!
//! A request is quarantined only if
//!
//! - three targets have ended under it since its last sound answer at any host, and not all at one
//!   moment, unless it was on all that ended then,
//! - at each of these moments it was on a good share of the targets that ended: an outage ends others
//!   as well,
//! - and no other request explains the ends as well, until there are so many that a few may be refused
//!   together.

use base::{Ms, Suspect, TargetId};
use std::cmp::Reverse;
use std::collections::HashMap;

use super::{Diagnosis, EPISODE, End, Ends, Observed};

/// Ends by which a request is found that no host has ever seen answered.
const NEW_REQUEST_ENDS: usize = 3;
/// The same for one that had sound answers in the past.
const KNOWN_REQUEST_ENDS: usize = 4;
/// Ends from which on several requests that explain them equally well are found together: three more
/// than the first three may reach targets.
const TIED_ENDS: usize = 5;
/// Most such requests; more than that were ended by something else.
const MOST_TIED: usize = 3;
/// A request must have been on at least one in so many of the targets that ended at a moment.
const LEAST_MOMENT_SHARE: usize = 4;
/// Times after an end at which its requests are judged again: a request beside the cause may be
/// answered by then.
const JUDGED_AFTER: [Ms; 3] = [Ms(400), Ms(1_200), Ms(3_000)];
/// Time after an end for which the verdict on its requests is open.
const OPEN_TIME: Ms = Ms(1_000);

impl Ends {
    /// The requests to quarantine, by what hosts have told of the candidates: mostly one.
    pub fn diagnose_requests(&self, told: &HashMap<Suspect, Observed>) -> Vec<Diagnosis> {
        let cases = told.iter().filter_map(|(suspect, told)| self.request_case(*suspect, *told));
        let mut cases: Vec<RequestCase> = cases.filter(RequestCase::is_proved).collect();
        cases.sort_by_key(|case| (case.known, Reverse(case.ends.len()), case.suspect));
        let Some(first) = cases.first() else { return Vec::new() };
        let as_well = |c: &&RequestCase| c.ends.len() == first.ends.len() && c.known == first.known;
        let tied = cases.iter().take_while(as_well).count();
        match tied {
            1 => {}
            2..=MOST_TIED if first.ends.len() >= TIED_ENDS => {}
            _ => return Vec::new(),
        }
        cases.iter().take(tied).map(RequestCase::diagnosis).collect()
    }

    /// When to judge requests again after a look at `looked`; none if no request has so many ends.
    pub fn next_request_look(&self, looked: Ms) -> Option<Ms> {
        let last = self.ends.iter().rev().find(|end| self.is_suspicious(end))?.at;
        JUDGED_AFTER.into_iter().map(|after| last + after).find(|at| *at > looked)
    }

    /// Until when the verdict on a request is open: targets have ended under it, and it may be found
    /// to be the cause at any moment. None if there is no suspicion.
    pub fn open_until(&self, now: Ms, key: u64) -> Option<Ms> {
        let suspect = Suspect::Request(key);
        let open = |end: &&End| !end.solved && end.carried.contains_key(&suspect);
        let last = self.ends.iter().rev().find(open)?.at;
        let count = self.ends.iter().filter(open).count();
        let until = last + OPEN_TIME;
        (count >= NEW_REQUEST_ENDS && until > now).then_some(until)
    }

    /// Whether a target has ended under a request that nothing else explains.
    pub fn has(&self, key: u64) -> bool {
        let suspect = Suspect::Request(key);
        self.ends.iter().any(|end| !end.solved && end.carried.contains_key(&suspect))
    }

    /// Whether an end has a request that may be found to be the cause.
    fn is_suspicious(&self, end: &End) -> bool {
        let requests = end.carried.keys().filter(|suspect| suspect.request().is_some());
        let ends = |suspect: &Suspect| {
            self.ends.iter().filter(|end| !end.solved && end.carried.contains_key(suspect)).count()
        };
        !end.solved && requests.into_iter().any(|suspect| ends(suspect) >= NEW_REQUEST_ENDS)
    }

    fn request_case(&self, suspect: Suspect, told: Observed) -> Option<RequestCase> {
        suspect.request()?;
        let ends = self.counted(suspect, told);
        let ends: Vec<&End> = ends.into_iter().filter(|end| !end.solved).collect();
        let shares: Vec<(usize, usize)> =
            ends.iter().map(|end| self.share(suspect, end.at)).collect();
        let counted = ends.iter().zip(&shares);
        let counted = counted.filter(|(_, (with, all))| with * LEAST_MOMENT_SHARE >= *all);
        let counted: Vec<&End> = counted.map(|(end, _)| *end).collect();
        Some(RequestCase {
            suspect,
            moments: moments(&counted, suspect),
            alone: shares.iter().all(|(with, all)| with == all),
            known: told.sound.is_some(),
            ends: counted.iter().map(|end| end.target.clone()).collect(),
        })
    }

    /// Of the targets that ended around a moment, how many had the request, and how many there were.
    fn share(&self, suspect: Suspect, at: Ms) -> (usize, usize) {
        let around = |end: &&End| end.at + EPISODE >= at && end.at <= at + EPISODE;
        let open = self.ends.iter().filter(around).filter(|end| !end.solved);
        open.fold((0, 0), |(with, all), end| {
            (with + usize::from(end.carried.contains_key(&suspect)), all + 1)
        })
    }
}

/// What speaks against a request.
struct RequestCase {
    suspect: Suspect,
    /// The targets that have ended under it.
    ends: Vec<TargetId>,
    /// At how many moments they ended.
    moments: usize,
    /// Whether it was on all targets that ended at these moments.
    alone: bool,
    /// Whether it had sound answers in the past.
    known: bool,
}

impl RequestCase {
    fn is_proved(&self) -> bool {
        let least = if self.known { KNOWN_REQUEST_ENDS } else { NEW_REQUEST_ENDS };
        self.ends.len() >= least && (self.moments > 1 || (self.alone && !self.known))
    }

    fn diagnosis(&self) -> Diagnosis {
        Diagnosis {
            suspect: self.suspect,
            targets: self.ends.clone(),
            episodes: self.moments,
            known: self.known,
        }
    }
}

/// Number of moments at which targets ended under a request: a further one begins with an end of a
/// request that was sent after the one before.
fn moments(ends: &[&End], suspect: Suspect) -> usize {
    let mut begun: Option<Ms> = None;
    let mut count = 0;
    for end in ends {
        let sent = end.carried.get(&suspect).map_or(Ms::ZERO, |carried| carried.sent);
        if begun.is_none_or(|begun| sent > begun) {
            begun = Some(end.at);
            count += 1;
        }
    }
    count
}
