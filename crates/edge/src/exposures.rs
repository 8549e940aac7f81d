//! Requests that a target may have begun to run and has not answered whole: those under which it may
//! end.
//!
//! That a connection broke says little: full and sick targets reset connections too, and where the
//! caller has left, or an answer has no framing, nothing breaks at all. So a request stays here, also
//! for a time after its connection has ended, until the target has answered it or is shown to have
//! ended, see [`crate::ended`].

use base::Ms;
use sched::suspects::PROBATION;
use std::sync::Arc;

use crate::core::Core;
use crate::links::Link;

/// Time for which a request is kept after its connection has ended: a target that ended is back within
/// some seconds.
pub(crate) const KEEP_TIME: Ms = Ms::secs(10);
/// Requests of one target that are kept after their connections have ended.
const MAX_LEFT: usize = 256;
/// Time within which an answer on another connection may overtake the end of one.
const OVERTAKE_TIME: Ms = Ms(200);
/// Time from the sending of a request, and from the end of its connection, within which it ends its
/// target. Before, a target that still runs proves nothing: a process closes its connections before it
/// ends, and may answer others in between.
const SETTLE_TIME: Ms = Ms::secs(1);

/// What of a request may end targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exposed {
    /// Its key; none for a call of this host's own.
    pub(crate) request: Option<u64>,
    /// The shared parts of its prompt.
    pub(crate) parts: Arc<[u64]>,
}

/// How the connection of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Left {
    /// It broke.
    Broken,
    /// This host closed it, or got no answer.
    Dropped,
    /// With the answer, which has neither a length nor chunks.
    Unframed,
}

/// A request at a target.
#[derive(Clone, Debug)]
pub(crate) struct Exposure {
    id: u64,
    pub(crate) exposed: Exposed,
    pub(crate) sent: Ms,
    /// Whether any of an answer has arrived.
    pub(crate) begun: bool,
    /// For how long the target is known to have lived while it answered. Zero says nothing: what a
    /// process has written before it ends may never arrive.
    pub(crate) lived: Ms,
    /// When its connection ended, and how; none while it is open.
    pub(crate) left: Option<(Ms, Left)>,
    /// What its target has answered since.
    pub(crate) asked: Asked,
}

/// What a target has answered since the connection of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Asked {
    /// It was not asked.
    No,
    /// Nothing, each time.
    Silent,
    /// Something, as a process that runs.
    Runs,
}

impl Exposure {
    /// Whether the parts of its prompt may have ended the target: it is not known to have lived on after it
    /// had begun to answer.
    pub(crate) fn suspects_parts(&self) -> bool {
        self.lived < PROBATION
    }

    /// Whether its target has to be asked at `now` whether it still runs, since its connection broke. One
    /// that has answered since may have been about to end, and is asked once more.
    pub(crate) fn is_due(&self, now: Ms) -> bool {
        match self.left {
            Some((at, Left::Broken)) => self.asked != Asked::Runs || now - at >= SETTLE_TIME,
            _ => false,
        }
    }

    /// Whether its connection ended and its target has not answered since.
    fn is_unanswered(&self) -> bool {
        self.left.is_some() && self.asked == Asked::Silent
    }

    /// Whether a target that still runs at `now` has not ended under it.
    fn is_refuted(&self, now: Ms) -> bool {
        match self.left {
            None => false,
            Some((at, Left::Broken)) => at + SETTLE_TIME <= now,
            Some((at, _)) => at <= now && self.sent + SETTLE_TIME <= now,
        }
    }
}

/// The requests at one target.
#[derive(Debug, Default)]
pub(crate) struct Exposures {
    next: u64,
    list: Vec<Exposure>,
}

impl Exposures {
    fn add(&mut self, exposed: Exposed, sent: Ms) -> u64 {
        self.next += 1;
        let id = self.next;
        self.list.push(Exposure {
            id,
            exposed,
            sent,
            begun: false,
            lived: Ms::ZERO,
            left: None,
            asked: Asked::No,
        });
        id
    }

    /// Those whose connection has ended.
    pub(crate) fn left(&self) -> impl Iterator<Item = &Exposure> {
        self.list.iter().filter(|e| e.left.is_some())
    }

    /// When the first of them ended.
    pub(crate) fn first_left(&self) -> Option<Ms> {
        self.left().filter_map(|e| Some(e.left?.0)).min()
    }

    /// Records what the target answered when it was asked at `now` whether it still runs.
    pub(crate) fn asked(&mut self, now: Ms, answered: Asked) {
        let left = |e: &&mut Exposure| e.left.is_some_and(|(at, _)| at <= now);
        for exposure in self.list.iter_mut().filter(left) {
            if exposure.asked != Asked::Runs {
                exposure.asked = answered;
            }
        }
    }

    /// Drops those that were left too long ago. Returns how many.
    pub(crate) fn expire(&mut self, now: Ms) -> usize {
        let before = self.list.len();
        self.list.retain(|e| e.left.is_none_or(|(at, _)| now - at < KEEP_TIME));
        before - self.list.len()
    }

    /// Drops those that a target refutes which still runs at `now`. Returns how many.
    pub(crate) fn refute(&mut self, now: Ms) -> usize {
        let before = self.list.len();
        self.list.retain(|e| !e.is_refuted(now));
        before - self.list.len()
    }

    /// Drops answers without framing that ended some time before the target answered at `now`.
    pub(crate) fn answered(&mut self, now: Ms) {
        self.list
            .retain(|e| !matches!(e.left, Some((at, Left::Unframed)) if now - at >= OVERTAKE_TIME));
    }

    /// Takes those that may have been at the target when it ended: all whose connections have ended. One
    /// that is still open may be at the process that runs now; if it is not, it will be left too.
    pub(crate) fn take(&mut self) -> Vec<Exposure> {
        self.list.extract_if(.., |e| e.left.is_some()).collect()
    }

    /// The same, of those whose target has not answered since.
    pub(crate) fn take_unanswered(&mut self) -> Vec<Exposure> {
        self.list.extract_if(.., |e| e.is_unanswered()).collect()
    }

    fn leave(&mut self, ids: &[u64], now: Ms, how: Left) -> bool {
        let mut any = false;
        for exposure in self.list.iter_mut().filter(|e| ids.contains(&e.id)) {
            exposure.left = Some((now, how));
            any = true;
        }
        let left = self.list.iter().filter(|e| e.left.is_some()).count();
        if left > MAX_LEFT {
            let oldest = self.list.iter().position(|e| e.left.is_some());
            oldest.map(|i| self.list.remove(i));
        }
        any
    }
}

/// Requests that were written to a target on one connection. If it is dropped before the target has
/// answered, the target may have ended under them.
pub(crate) struct Trace {
    core: Arc<Core>,
    link: Arc<Link>,
    ids: Vec<u64>,
    how: Left,
}

impl Trace {
    /// Records that these requests are written to a target.
    pub(crate) fn begin(core: &Arc<Core>, link: &Arc<Link>, exposed: &[Exposed]) -> Self {
        let now = core.clock.now();
        let mut list = link.exposures();
        let counted = exposed.iter().filter(|e| e.request.is_some());
        let ids = counted.map(|e| list.add(e.clone(), now)).collect();
        drop(list);
        Self { core: core.clone(), link: link.clone(), ids, how: Left::Dropped }
    }

    /// Records that the target begins to answer.
    pub(crate) fn answering(&self) {
        let mut list = self.link.exposures();
        list.list.iter_mut().filter(|e| self.ids.contains(&e.id)).for_each(|e| e.begun = true);
    }

    /// Records for how long the target has lived while it answered.
    pub(crate) fn lived(&self, time: Ms) {
        let mut list = self.link.exposures();
        for exposure in list.list.iter_mut().filter(|e| self.ids.contains(&e.id)) {
            exposure.lived = time;
        }
    }

    /// Records that the connection broke.
    pub(crate) fn broken(&mut self) {
        self.how = Left::Broken;
    }

    /// Ends it with an answer that has neither a length nor chunks: its end may be the target's.
    pub(crate) fn close_unframed(mut self) {
        self.how = Left::Unframed;
    }

    /// Ends it with the target's answer.
    pub(crate) fn close(mut self) {
        let ids = std::mem::take(&mut self.ids);
        self.link.exposures().list.retain(|e| !ids.contains(&e.id));
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if self.ids.is_empty() {
            return;
        }
        let now = self.core.clock.now();
        if self.link.exposures().leave(&self.ids, now, self.how) {
            self.core.suspicions.add(&self.link);
        }
    }
}
