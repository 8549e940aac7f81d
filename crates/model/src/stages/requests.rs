//! The path of requests through their stages.

use base::Ms;
use catalog::Residency;
use rand::RngExt;
use sched::batch::{Event, Piece, PieceEnd, PieceId, Source};

use super::design::{Design, Fault};
use super::path::{self, ENGINE_TIME, KINDS, REQUEST_LIFETIME, TARGETS};
use super::simulation::{Request, SimEvent, World};
use super::targets::name;

/// How long a host gathers pieces in [`Design::Window`]: about a third of a call's time.
const GATHER_WINDOW: Ms = Ms(100);

impl World {
    pub(super) fn arrive(&mut self, host: usize) {
        let kind = path::kind(&mut self.rng);
        let pieces = kind.pieces(&mut self.rng);
        let count = pieces.len();
        self.next_id += 1;
        let id = self.next_id;
        let request = Request {
            kind,
            host,
            since: self.now,
            remaining: pieces.clone(),
            unread: pieces.clone(),
            made: vec![Vec::new(); count],
            pieces,
            failed: false,
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
        let window = if self.design == Design::Window { GATHER_WINDOW } else { Ms::ZERO };
        if self.requests[&id].pieces[stage] > 0 {
            self.schedule(self.now + window, SimEvent::Submit(id, stage));
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
            due: request.since + request.kind.slo - after,
            expires: request.since + REQUEST_LIFETIME - after,
            rank: request.kind.rank,
            bytes: declared.bytes,
            reads: 0,
            home: None,
            residency: Residency::Anywhere,
            key: None,
        };
        let (service, host, count) = (declared.service, request.host, request.remaining[stage]);
        let composer = self.composer(service, host);
        let mut pieces = Vec::new();
        for index in 0..count {
            self.next_id += 1;
            let own = PieceId(self.next_id);
            self.pieces.insert(own, (id, stage, composer));
            pieces.push((own, Piece { index: index as u32, ..piece.clone() }));
        }
        self.feed(composer, Event::Submit(pieces));
        self.pass_leases(service);
    }

    /// The composer that currently gets a host's pieces for a service.
    pub(super) fn composer(&mut self, service: usize, host: usize) -> usize {
        let composer = self.assigned_composer(service, host);
        self.successors.get(&composer).copied().unwrap_or(composer)
    }

    pub(super) fn assigned_composer(&mut self, service: usize, host: usize) -> usize {
        let first = service * TARGETS;
        match self.design {
            Design::Single => {
                let one = first + self.rng.random_range(0..TARGETS);
                let two = first + self.rng.random_range(0..TARGETS);
                self.add_composer(service, &[one, two])
            }
            Design::PerHost | Design::Window | Design::Lease => service * self.load.hosts + host,
            Design::PerTarget => {
                let one = first + self.rng.random_range(0..TARGETS);
                let two = first + self.rng.random_range(0..TARGETS);
                let queued = |composer: &usize| self.composers[*composer].batcher.queued();
                [one, two].into_iter().min_by_key(queued).unwrap_or(one)
            }
            Design::Composer => {
                let split = self.fault_active && self.load.fault == Fault::Split;
                service * 2 + usize::from(split && host % 2 == 1)
            }
        }
    }

    pub(super) fn piece_ended(&mut self, piece: PieceId, end: &PieceEnd, target: Option<usize>) {
        let Some((id, stage, composer)) = self.pieces.remove(&piece) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(target) = target.filter(|_| matches!(end, PieceEnd::Made(_))) else {
            request.failed = true;
            return;
        };
        request.remaining[stage] -= 1;
        request.made[stage].push((piece, target));
        self.made_by.insert(piece, composer);
        if request.remaining[stage] > 0 {
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
        if request.failed || request.remaining.iter().any(|left| *left > 0) {
            return;
        }
        let of = KINDS.iter().position(|k| k.name == request.kind.name).unwrap_or(0);
        if self.now + ENGINE_TIME <= request.since + request.kind.slo {
            self.served.kinds[of].1 += 1;
            self.served.value.1 += request.kind.value;
        }
        // The engine reads the results of stages that no other stage reads.
        let kind = request.kind;
        for stage in 0..kind.stages.len() {
            if !kind.stages.iter().any(|s| s.after == Some(stage)) {
                self.free(id, stage);
            }
        }
    }

    /// Frees the results of a stage after all readers have read them.
    pub(super) fn free(&mut self, id: u64, stage: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        for (piece, target) in std::mem::take(&mut request.made[stage]) {
            self.targets[target].results.remove(&piece);
            if let Some(composer) = self.made_by.remove(&piece) {
                self.feed(composer, Event::Freed(name(target), piece.0.to_string()));
            }
        }
    }
}
