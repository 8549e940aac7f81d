//! Requests on their way through their stages.

use base::Ms;
use catalog::Residency;
use rand::RngExt;
use sched::batch::{Event, Piece, PieceEnd, PieceId, Source};

use super::design::{Design, Fault};
use super::path::{self, ENGINE, KINDS, PATIENCE, TARGETS};
use super::play::{Request, What, World};
use super::targets::name;

/// Time of a [`Design::Window`] in which pieces are gathered: a third of a call.
const WINDOW: Ms = Ms(100);

impl World {
    pub(super) fn arrive(&mut self, host: usize) {
        let kind = path::kind(&mut self.rng);
        let pieces = kind.pieces(&mut self.rng);
        let count = pieces.len();
        self.next += 1;
        let id = self.next;
        let request = Request {
            kind,
            host,
            since: self.now,
            left: pieces.clone(),
            unread: pieces.clone(),
            made: vec![Vec::new(); count],
            pieces,
            over: false,
        };
        let of = KINDS.iter().position(|k| k.name == kind.name).unwrap_or(0);
        self.served.kinds[of].0 += 1;
        self.served.value.0 += kind.value;
        self.requests.insert(id, request);
        for stage in 0..count {
            if kind.stages[stage].after.is_none() {
                self.start(id, stage);
            }
        }
        self.finish_if_done(id);
    }

    pub(super) fn start(&mut self, id: u64, stage: usize) {
        let window = if self.design == Design::Window { WINDOW } else { Ms::ZERO };
        if self.requests[&id].pieces[stage] > 0 {
            self.at(self.now + window, What::Submit(id, stage));
        }
    }

    pub(super) fn submit(&mut self, id: u64, stage: usize) {
        let request = &self.requests[&id];
        let declared = &request.kind.stages[stage];
        let after = request.kind.after(stage, &self.services);
        let source = match declared.after {
            None => Source::Key("k".into()),
            Some(_) => Source::Inputs(Vec::new().into()),
        };
        let piece = Piece {
            request: id.to_string().into(),
            stage: stage as u32,
            index: 0,
            source,
            due: request.since + request.kind.aim - after,
            expires: request.since + PATIENCE - after,
            rank: request.kind.rank,
            bytes: declared.bytes,
            reads: 0,
            home: None,
            residency: Residency::Anywhere,
        };
        let (service, host, count) = (declared.service, request.host, request.left[stage]);
        let unit = self.unit(service, host);
        let mut pieces = Vec::new();
        for index in 0..count {
            self.next += 1;
            let own = PieceId(self.next);
            self.pieces.insert(own, (id, stage, unit));
            pieces.push((own, Piece { index: index as u32, ..piece.clone() }));
        }
        self.feed(unit, Event::Submit(pieces));
        self.pass_leases(service);
    }

    /// The composer that gets a host's pieces.
    pub(super) fn unit(&mut self, service: usize, host: usize) -> usize {
        let unit = self.first_unit(service, host);
        self.followers.get(&unit).copied().unwrap_or(unit)
    }

    pub(super) fn first_unit(&mut self, service: usize, host: usize) -> usize {
        let first = service * TARGETS;
        match self.design {
            Design::Single => {
                let one = first + self.rng.random_range(0..TARGETS);
                let two = first + self.rng.random_range(0..TARGETS);
                self.add_unit(service, &[one, two])
            }
            Design::PerHost | Design::Window | Design::Lease => service * self.load.hosts + host,
            Design::PerTarget => {
                let one = first + self.rng.random_range(0..TARGETS);
                let two = first + self.rng.random_range(0..TARGETS);
                let queued = |unit: &usize| self.units[*unit].batcher.queued();
                [one, two].into_iter().min_by_key(queued).unwrap_or(one)
            }
            Design::Composer => {
                let split = self.faulty && self.load.fault == Fault::Split;
                service * 2 + usize::from(split && host % 2 == 1)
            }
        }
    }

    pub(super) fn ended(&mut self, piece: PieceId, end: &PieceEnd, target: Option<usize>) {
        let Some((id, stage, unit)) = self.pieces.remove(&piece) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(target) = target.filter(|_| matches!(end, PieceEnd::Made(_))) else {
            request.over = true;
            return;
        };
        request.left[stage] -= 1;
        request.made[stage].push((piece, target));
        self.made_by.insert(piece, unit);
        if request.left[stage] > 0 {
            return;
        }
        let kind = request.kind;
        for (next, declared) in kind.stages.iter().enumerate() {
            if declared.after == Some(stage) {
                self.start(id, next);
            }
        }
        self.finish_if_done(id);
    }

    pub(super) fn finish_if_done(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.over || request.left.iter().any(|left| *left > 0) {
            return;
        }
        let of = KINDS.iter().position(|k| k.name == request.kind.name).unwrap_or(0);
        if self.now + ENGINE <= request.since + request.kind.aim {
            self.served.kinds[of].1 += 1;
            self.served.value.1 += request.kind.value;
        }
        // The engine reads what no other stage reads.
        let kind = request.kind;
        for stage in 0..kind.stages.len() {
            if !kind.stages.iter().any(|s| s.after == Some(stage)) {
                self.free(id, stage);
            }
        }
    }

    /// Results of a stage are read by all that read them.
    pub(super) fn free(&mut self, id: u64, stage: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        for (piece, target) in std::mem::take(&mut request.made[stage]) {
            self.targets[target].kept.remove(&piece);
            if let Some(unit) = self.made_by.remove(&piece) {
                self.feed(unit, Event::Freed(name(target), piece.0.to_string()));
            }
        }
    }
}
