//! Tells a part that ended many engines at one moment from an outage.
//!
//! Pattern: many requests with a bad part arrive at once and end all engines that they reach. To a
//! count of moments this is one, as in a power cut, and the next requests end engines again.
//!
//! An outage ends engines whatever their requests hold, and a part that many requests share is
//! answered again soon after it. So one moment is sufficient against a part only if
//!
//! - no host remembers a sound answer with it,
//! - every engine that ended around this moment had it,
//! - no other part without a sound answer was on as many of them, unless it comes only before this
//!   one in the same prompts,
//! - and, for a time in which its own requests would have had sound answers, at least as many sound
//!   answers began as engines had ended.
//!
//! Without such answers, the first end at another moment is sufficient; it is judged immediately.

use base::{Ms, Suspect};
use std::collections::HashMap;

use super::{Case, Diagnosis, EPISODE, EQUAL_PERCENT, End, Ends, Observed};

/// Ends at one moment that may be sufficient. An outage that ends so many engines spares requests
/// with a part that only some of them have.
const MIN_ENDS: usize = 8;
/// Time from the last of these ends until they are judged: a stream begins within 2 s and counts as
/// sound a second later, and the part must be known within 4 s.
const SETTLE_TIME: Ms = Ms::secs(3);
/// When they are judged, in settle times: sound answers may begin late after an outage.
const JUDGED_AFTER: [u64; 3] = [1, 2, 4];

impl Ends {
    /// The part to quarantine by the ends of one moment, by what hosts have told of the candidates
    /// at `now`.
    pub fn diagnose_moment(&self, told: &HashMap<Suspect, Observed>, now: Ms) -> Option<Diagnosis> {
        let settled = |case: &Case| case.ends.last().is_some_and(|end| now - end.at >= SETTLE_TIME);
        let new: Vec<Case> = self.part_cases(told).filter(|case| !case.known).collect();
        let proved = new.iter().filter(|case| settled(case)).filter(|case| case.is_sole(self));
        let alone = proved.filter(|case| !new.iter().any(|other| case.has_rival(other)));
        alone.max_by_key(|case| case.rank()).map(Case::diagnosis)
    }

    /// When to judge the last moment at which many engines ended, after a look at `looked`; none if
    /// there is no such moment or it has been judged.
    pub fn next_look(&self, looked: Ms) -> Option<Ms> {
        let times: Vec<Ms> = self.unexplained().map(|end| end.at).collect();
        let is_moment = |same: &&[Ms]| same[MIN_ENDS - 1] - same[0] <= EPISODE;
        let last = times.windows(MIN_ENDS).rev().find(is_moment)?[MIN_ENDS - 1];
        let looks = JUDGED_AFTER.map(|times| last + SETTLE_TIME.scale(times, 1));
        looks.into_iter().find(|at| *at > looked)
    }

    /// Whether the last end confirms a suspicion by the ends of an earlier moment, so that a
    /// diagnosis need not wait for more reports.
    pub fn is_confirmed(&self) -> bool {
        let Some(last) = self.unexplained().last() else { return false };
        let parts = last.carried.iter().filter(|(suspect, _)| suspect.part().is_some());
        parts.into_iter().any(|(part, carried)| {
            let earlier = |end: &&End| carried.sent > end.at && end.carried.contains_key(part);
            self.unexplained().filter(earlier).count() >= MIN_ENDS
        })
    }
}

impl Case<'_> {
    /// Whether one moment is sufficient against the part, if there is no rival.
    fn is_sole(&self, all: &Ends) -> bool {
        let Some((first, last)) = self.ends.first().zip(self.ends.last()) else { return false };
        let around = |end: &&End| end.at + EPISODE >= first.at && end.at <= last.at + EPISODE;
        let (total, open) = (
            all.unexplained().filter(around).count(),
            self.ends.iter().filter(|end| !end.explained).count(),
        );
        open >= MIN_ENDS && open == total && open == self.ends.len() && self.others >= open as u64
    }

    /// Whether another part explains the ends as well, and also has requests without this one, or
    /// follows it in prompts: the sound first part of a bad one is on the same engines.
    fn has_rival(&self, other: &Case) -> bool {
        let apart = |prompt: &[u64]| prompt.contains(&other.part) && !prompt.contains(&self.part);
        let requests = other.ends.iter().flat_map(|end| &end.requests);
        let mut prompts = requests.map(|request| request.parts.as_slice());
        100 * other.ends.len() >= EQUAL_PERCENT * self.ends.len()
            && (other.place > self.place || prompts.any(apart))
    }
}
