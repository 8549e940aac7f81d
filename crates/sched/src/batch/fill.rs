//! Chooses the free target that gets the next call, and its pieces.

use base::{DomainId, Ms, TargetId};
use std::collections::HashSet;

use super::target::Target;
use super::{Batcher, CALL_WEIGHT, CallId, Effect, Piece, PieceId, Waiting, order};

impl Batcher {
    /// Gives a call to every target that is free or about to be.
    ///
    /// Among the targets of a region, a piece goes to one in the failure domain of its inputs as
    /// long as one is free there, because results that cross domains are paid for by volume. No
    /// target is left idle for this.
    pub(super) fn fill(&mut self, now: Ms, out: &mut Vec<Effect>) {
        let mut passed = HashSet::new();
        let left = self.budget.has_left(now, &self.service);
        while self.pieces.values().any(|w| w.queued) {
            let Some(id) = self.free_target(now, &passed) else { return };
            let others = self.free_domains(now, &passed, &id);
            let pieces = self.choose(now, &id, &others, left);
            let pieces = self.charge(now, pieces);
            match pieces.is_empty() {
                true => drop(passed.insert(id)),
                false => self.call(now, id, pieces, out),
            }
        }
    }

    /// Failure domains in which targets other than `id` would take a call now.
    pub(super) fn free_domains(
        &self,
        now: Ms,
        passed: &HashSet<TargetId>,
        id: &TargetId,
    ) -> HashSet<&DomainId> {
        let free = |(name, t): &(&TargetId, &Target)| {
            *name != id && self.takes(now, t) && !passed.contains(*name)
        };
        self.targets.iter().filter(free).map(|(_, t)| &t.domain).collect()
    }

    pub(super) fn takes(&self, now: Ms, target: &Target) -> bool {
        target.usable(now) && target.accepts(now, self.config.slots)
    }

    pub(super) fn free_target(&self, now: Ms, passed: &HashSet<TargetId>) -> Option<TargetId> {
        let best = self.targets.values().filter(|t| t.usable(now)).map(|t| t.speed(now));
        let best = best.fold(f64::INFINITY, f64::min);
        let soonest = self.targets.values().filter(|t| t.usable(now) && !t.slow(now, best));
        let soonest = soonest.map(|t| t.free_at(now)).min();
        let normal = self.config.full();
        let worthwhile = |t: &Target| match soonest {
            // A slow target gets nothing while a normal one would end the same call sooner, except
            // for probes.
            Some(free) if t.slow(now, best) => {
                t.probe_due(now) || free + normal > now + t.scaled(now, normal)
            }
            _ => true,
        };
        let takes =
            |id: &TargetId, t: &Target| self.takes(now, t) && worthwhile(t) && !passed.contains(id);
        let free = self.targets.iter().filter(|(id, t)| takes(id, t));
        free.min_by(|(_, a), (_, b)| {
            a.rank(now).partial_cmp(&b.rank(now)).unwrap_or(std::cmp::Ordering::Equal)
        })
        .map(|(id, _)| id.clone())
    }

    /// The pieces of the next call to a target, without those that go to a free target in one of
    /// the failure domains `others`, and without those that need a retry unless one is `left`.
    pub(super) fn choose(
        &self,
        now: Ms,
        id: &TargetId,
        others: &HashSet<&DomainId>,
        left: bool,
    ) -> Vec<PieceId> {
        let Some(target) = self.targets.get(id) else { return Vec::new() };
        let far = |w: &Waiting| w.piece.home.as_ref().is_some_and(|home| *home != target.domain);
        let allowed = |w: &Waiting| target.allows(&w.piece);
        let for_other = |w: &Waiting| {
            let home = w.piece.home.as_ref();
            far(w) && home.is_some_and(|h| others.contains(h) || self.waits_for(now, h, &w.piece))
        };
        let queued: Vec<order::Queued<'_>> = self
            .pieces
            .iter()
            .filter(|(_, w)| Self::may_send(w, left) && allowed(w) && !for_other(w))
            .map(|(id, w)| order::Queued { id: *id, piece: &w.piece, since: w.since, far: far(w) })
            .collect();
        let count = queued.len().min(self.config.size);
        let call = target.scaled(now, self.config.time(count));
        let end = target.free_at(now) + call;
        let space =
            order::Space { room: self.free_room(now, target), reserved: self.reserved(now, id) };
        order::choose(queued, now, end, call, &self.config, space)
    }

    fn free_room(&self, now: Ms, target: &Target) -> u64 {
        self.config.room.saturating_sub(target.kept(now))
    }

    /// Room that is kept for one request at this target.
    ///
    /// Small results fit into room in which large ones don't, and while there are enough of them it
    /// never grows. So for the request that has waited longest, and for half the time for which
    /// results are kept, room is left at the target that has most of it. Other targets go on with
    /// small results.
    fn reserved(&self, now: Ms, id: &TargetId) -> Option<order::Reserved> {
        let waited = |w: &&Waiting| w.queued && now - w.since >= self.config.result_ttl.scale(1, 2);
        let oldest = self.pieces.values().filter(waited);
        let oldest = oldest.min_by_key(|w| (w.since, w.piece.request.clone(), w.piece.index))?;
        let most = self.targets.iter().filter(|(_, t)| t.usable(now) && t.allows(&oldest.piece));
        let most = most.max_by_key(|(id, t)| (self.free_room(now, t), std::cmp::Reverse(*id)));
        if most.is_none_or(|(most, _)| most != id) {
            return None;
        }
        let request = oldest.piece.request.clone();
        let same = |w: &&Waiting| w.queued && w.piece.request == request;
        let all = self.pieces.values().filter(same);
        let (count, bytes) = all.fold((0, 0), |(n, sum), w| (n + 1, sum + w.piece.bytes));
        // What is too large for one call is made in parts.
        let parts = count > self.config.size || bytes > self.config.room;
        let bytes = if parts { oldest.piece.bytes } else { bytes };
        Some(order::Reserved { request, bytes })
    }

    pub(super) fn call(&mut self, now: Ms, id: TargetId, ids: Vec<PieceId>, out: &mut Vec<Effect>) {
        let left = self.queued() - ids.len();
        let late = ids.iter().filter_map(|id| self.pieces.get(id));
        let late = late.filter(|w| self.is_late(now, &w.piece)).count();
        self.late.record(now, late);
        let Some(target) = self.targets.get_mut(&id) else { return };
        if left > 0 {
            self.fill += CALL_WEIGHT * (ids.len() as f64 - self.fill);
        }
        self.next += 1;
        let call = CallId(self.next);
        let time = self.config.time(ids.len());
        let mut pieces = Vec::with_capacity(ids.len());
        for piece in &ids {
            let Some(waiting) = self.pieces.get_mut(piece) else { continue };
            waiting.queued = false;
            waiting.attempts += 1;
            pieces.push(waiting.piece.clone());
        }
        let bytes: u64 = pieces.iter().map(|p: &Piece| p.bytes).sum();
        let known = self.bytes.get_or_insert(bytes as f64);
        *known += CALL_WEIGHT * (bytes as f64 - *known);
        let timeout = target.begin(now, call, time, bytes);
        self.calls.insert(call, (id.clone(), ids.clone()));
        out.push(Effect::Call { call, target: id, pieces, ids, timeout });
    }
}
