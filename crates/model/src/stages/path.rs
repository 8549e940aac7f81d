//! Kinds of requests with their stages, the services that make these, and their times, as in the
//! co-operative deployment.

use base::Ms;
use catalog::Batch;
use rand::{Rng, RngExt};

/// Time from the last stage's results to the first event of the answer, as an engine takes it under
/// ordinary load.
pub(super) const ENGINE_TIME: Ms = Ms(250);
/// Time after which a request's answer is of no more use to its caller.
pub(super) const REQUEST_LIFETIME: Ms = Ms(9_000);
/// Time for which a target keeps a result.
pub(super) const RESULT_TTL: Ms = Ms(4_000);
/// Targets of each service.
pub(super) const TARGETS: usize = 5;
/// Requests per second at load factor 1; the services are then half busy if all calls are full.
pub(super) const BASE_RATE: f64 = 30.0;

/// One stage of a kind.
pub(super) struct Stage {
    pub(super) service: usize,
    /// The stage whose results it reads.
    pub(super) after: Option<usize>,
    /// Share of requests that have this stage.
    pub(super) share: f64,
    /// Minimum and maximum number of pieces.
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
    pub(super) slo: Ms,
    pub(super) rank: u8,
    /// Value of a request that is served in time.
    pub(super) value: f64,
    pub(super) stages: &'static [Stage],
}

const SEARCH: usize = 0;
const FETCH: usize = 1;
const RANK: usize = 2;

const fn stage(service: usize, after: Option<usize>, pieces: u64, bytes: u64) -> Stage {
    Stage { service, after, share: 1.0, pieces: (pieces, pieces), bytes }
}

/// The kinds of requests: one with a short path and large results, and two with long paths.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "report",
        share: 0.31,
        slo: Ms(1_700),
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
        slo: Ms(2_200),
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
        slo: Ms(2_300),
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

/// Batch settings of the three services.
pub(super) fn services() -> [Batch; 3] {
    let batch = |size, item_ms, room| Batch {
        slots: 1,
        size,
        call_ms: 240.0,
        item_ms,
        room,
        result_ttl: RESULT_TTL,
    };
    [batch(8, 26.0, 9_600_000), batch(14, 15.0, 1_600_000), batch(22, 9.4, 250_000)]
}

/// Draws a kind of request.
pub(super) fn kind(rng: &mut impl Rng) -> &'static Kind {
    let mut draw = rng.random::<f64>();
    let found = KINDS.iter().find(|kind| {
        draw -= kind.share;
        draw < 0.0
    });
    found.unwrap_or(&KINDS[0])
}

impl Kind {
    /// Draws the number of pieces of each stage.
    pub(super) fn pieces(&self, rng: &mut impl Rng) -> Vec<u64> {
        let count = |stage: &Stage, rng: &mut dyn FnMut() -> f64| match rng() < stage.share {
            true => stage.pieces.0 + (rng() * (stage.pieces.1 - stage.pieces.0 + 1) as f64) as u64,
            false => 0,
        };
        self.stages.iter().map(|s| count(s, &mut || rng.random::<f64>())).collect()
    }

    /// Time needed after a stage until the answer begins. Each later stage is counted with a
    /// half-full call and a wait of half a call.
    pub(super) fn after(&self, stage: usize, services: &[Batch; 3]) -> Ms {
        let next = self.stages.iter().position(|s| s.after == Some(stage));
        next.map_or(ENGINE_TIME, |next| {
            let batch = &services[self.stages[next].service];
            let call = batch.call_ms + batch.item_ms * batch.size as f64 / 2.0;
            Ms((call * 1.5) as u64) + self.after(next, services)
        })
    }
}
