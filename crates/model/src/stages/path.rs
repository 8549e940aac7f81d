//! What requests need: the co-operative's kinds, services and times.

use base::Ms;
use catalog::Batch;
use rand::{Rng, RngExt};

/// Time from the last stage's results to the first event, ms: an engine under ordinary load.
pub(super) const ENGINE: Ms = Ms(250);
/// Time for which a request is of use to its caller, ms.
pub(super) const PATIENCE: Ms = Ms(9_000);
/// Time for which a result lies at its target, ms.
pub(super) const KEEP: Ms = Ms(4_000);
/// Targets of each service.
pub(super) const TARGETS: usize = 5;
/// Requests a second at load 1; services are half busy then if all calls are full.
pub(super) const RATE: f64 = 30.0;

/// One stage of a kind.
pub(super) struct Stage {
    pub(super) service: usize,
    /// The stage that it reads.
    pub(super) after: Option<usize>,
    /// Share of requests that have it.
    pub(super) share: f64,
    /// Fewest and most pieces.
    pub(super) pieces: (u64, u64),
    /// Size of a result, bytes.
    pub(super) bytes: u64,
}

/// A kind of request.
pub struct Kind {
    /// Its name in tables.
    pub name: &'static str,
    /// Share of all requests.
    pub(super) share: f64,
    pub(super) aim: Ms,
    pub(super) rank: u8,
    /// Worth of one that is served in time.
    pub(super) value: f64,
    pub(super) stages: &'static [Stage],
}

const SEARCH: usize = 0;
const FETCH: usize = 1;
const RANK: usize = 2;

const fn stage(service: usize, after: Option<usize>, pieces: u64, bytes: u64) -> Stage {
    Stage { service, after, share: 1.0, pieces: (pieces, pieces), bytes }
}

/// The kinds: a short path with large results, and two long ones.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "report",
        share: 0.31,
        aim: Ms(1_700),
        rank: 1,
        value: 3.9,
        stages: &[Stage {
            service: SEARCH,
            after: None,
            share: 0.7,
            pieces: (1, 4),
            bytes: 800_000,
        }],
    },
    Kind {
        name: "advice",
        share: 0.29,
        aim: Ms(2_200),
        rank: 0,
        value: 1.7,
        stages: &[
            stage(SEARCH, None, 1, 8_000),
            stage(FETCH, Some(0), 4, 60_000),
            stage(RANK, Some(1), 6, 6_000),
        ],
    },
    Kind {
        name: "summary",
        share: 0.40,
        aim: Ms(2_300),
        rank: 2,
        value: 0.43,
        stages: &[
            Stage { service: SEARCH, after: None, share: 0.4, pieces: (1, 2), bytes: 800_000 },
            stage(SEARCH, None, 1, 8_000),
            stage(FETCH, Some(1), 4, 60_000),
            stage(RANK, Some(2), 6, 6_000),
        ],
    },
];

/// How the three services run calls.
pub(super) fn services() -> [Batch; 3] {
    let batch = |size, item_ms, room| Batch {
        slots: 1,
        size,
        call_ms: 240.0,
        item_ms,
        room,
        result_ttl: KEEP,
    };
    [batch(8, 26.0, 9_600_000), batch(14, 15.0, 1_600_000), batch(22, 9.4, 250_000)]
}

/// Draws a kind.
pub(super) fn kind(rng: &mut impl Rng) -> &'static Kind {
    let mut draw = rng.random::<f64>();
    let found = KINDS.iter().find(|kind| {
        draw -= kind.share;
        draw < 0.0
    });
    found.unwrap_or(&KINDS[0])
}

impl Kind {
    /// Draws how many pieces each stage has.
    pub(super) fn pieces(&self, rng: &mut impl Rng) -> Vec<u64> {
        let count = |stage: &Stage, rng: &mut dyn FnMut() -> f64| match rng() < stage.share {
            true => stage.pieces.0 + (rng() * (stage.pieces.1 - stage.pieces.0 + 1) as f64) as u64,
            false => 0,
        };
        self.stages.iter().map(|s| count(s, &mut || rng.random::<f64>())).collect()
    }

    /// Time that is needed after a stage, ms: half-full calls and half a call's wait for each.
    pub(super) fn after(&self, stage: usize, services: &[Batch; 3]) -> Ms {
        let next = self.stages.iter().position(|s| s.after == Some(stage));
        next.map_or(ENGINE, |next| {
            let batch = &services[self.stages[next].service];
            let call = batch.call_ms + batch.item_ms * batch.size as f64 / 2.0;
            Ms((call * 1.5) as u64) + self.after(next, services)
        })
    }
}
