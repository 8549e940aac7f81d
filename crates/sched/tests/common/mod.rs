//! A test bench for a batcher, with its clock and a record of its effects.

#![allow(dead_code, reason = "each test file uses a part")]

use base::{DomainId, Ms, PoolId, TargetId};
use catalog::{Batch, Residency};
use sched::batch::{
    Batcher, CallEnd, CallId, Effect, Event, Piece, PieceEnd, PieceId, Source, TargetInfo,
};
use sched::budget::Allowance;
use std::sync::Arc;

pub const KB: u64 = 1_000;

/// One slot, eight pieces a call of 240 ms plus 10 ms for each piece, and room for 100 small
/// results.
pub fn config() -> Batch {
    let (call_ms, item_ms) = (240.0, 10.0);
    Batch { slots: 1, size: 8, call_ms, item_ms, room: 100 * KB, result_ttl: Ms(4_000) }
}

fn allowance() -> Allowance {
    Allowance { ratio: 0.2, slack: 50.0, window: Ms(10_000) }
}

/// A batcher with its clock and the calls that it made.
pub struct Bench {
    pub batcher: Batcher,
    pub now: Ms,
    next: u64,
    pub calls: Vec<(CallId, TargetId, Vec<Piece>)>,
    pub ends: Vec<(PieceId, PieceEnd)>,
    pub freed: Vec<String>,
    pub reports: Vec<(Ms, TargetId)>,
}

impl Bench {
    pub fn new(config: Batch, targets: &[&str]) -> Self {
        let batcher = Batcher::new(PoolId::from("rerank"), config, allowance());
        let mut bench = Self {
            batcher,
            now: Ms(1_000_000),
            next: 0,
            calls: Vec::new(),
            ends: Vec::new(),
            freed: Vec::new(),
            reports: Vec::new(),
        };
        bench.targets(targets);
        bench
    }

    /// Sets the targets, all in one failure domain or written as `name:domain`. Reserved ones begin
    /// with `!`.
    pub fn targets(&mut self, names: &[&str]) {
        let info = |name: &&str| {
            let (name, reserved) = match name.strip_prefix('!') {
                Some(name) => (name, true),
                None => (*name, false),
            };
            let (id, domain) = name.split_once(':').unwrap_or((name, "one"));
            TargetInfo {
                id: TargetId::from(id),
                born: 1,
                domain: DomainId::from(domain),
                region: Some(domain.into()),
                reserved,
            }
        };
        self.feed(Event::Targets(names.iter().map(info).collect()));
    }

    pub fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.batcher.reduce(self.now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Call { call, target, pieces, .. } => {
                    self.calls.push((call, target, pieces));
                }
                Effect::End { piece, end, .. } => self.ends.push((piece, end)),
                Effect::Free { handle, .. } => self.freed.push(handle),
                Effect::Report(target) => self.reports.push((self.now, target)),
            }
        }
    }

    /// Submits a stage of a request. Due time and expiry are relative to now.
    pub fn submit(
        &mut self,
        request: &str,
        pieces: u32,
        with: impl Fn(&mut Piece),
    ) -> Vec<PieceId> {
        let request: Arc<str> = request.into();
        let mut submitted = Vec::new();
        for index in 0..pieces {
            let mut piece = Piece {
                request: request.clone(),
                stage: 0,
                index,
                source: Source::Key("k".into()),
                due: self.now + Ms(2_000),
                expires: self.now + Ms(10_000),
                rank: 1,
                bytes: KB,
                reads: 0,
                home: None,
                residency: Residency::Anywhere,
                key: None,
            };
            with(&mut piece);
            self.next += 1;
            submitted.push((PieceId(self.next), piece));
        }
        let ids = submitted.iter().map(|(id, _)| *id).collect();
        self.feed(Event::Submit(submitted));
        ids
    }

    /// Ends a call after `took`, with all its pieces made.
    pub fn finish(&mut self, call: usize, took: Ms) {
        let (id, target, pieces) = self.calls[call].clone();
        self.now += took;
        let made = |p: &Piece| PieceEnd::Made(format!("{target}/{}-{}", p.request, p.index));
        let ends = pieces.iter().map(made).collect();
        self.feed(Event::Ended(id, CallEnd::Done(ends)));
    }

    pub fn requests(&self, call: usize) -> Vec<&str> {
        let mut names: Vec<&str> = self.calls[call].2.iter().map(|p| &*p.request).collect();
        names.dedup();
        names
    }
}
