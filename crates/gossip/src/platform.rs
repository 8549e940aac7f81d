//! Schedules reads and watches of the platform's objects.
//!
//! Only a few hosts of each failure domain watch, and the others learn from them. So the platform's
//! load grows with the number of domains and not with the number of hosts. A rate limit applies to
//! all calls.

use base::{Ms, Version};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use store::StoreError;

use crate::config::{GossipConfig, Safeguard};
use crate::event::{CallId, Kind};

/// Wait of one watch, ms. A waiting watch counts as one call.
const WATCH_MS: Ms = Ms::secs(10);
/// Interval between full reads by a watcher, ms. A watch can answer normally although it no longer
/// follows its objects; only a full read shows what it missed.
const RELIST_INTERVAL_MS: Ms = Ms::secs(30);
/// First retry delay after a failed call, ms; it doubles with each failure.
const FIRST_RETRY_MS: Ms = Ms(250);
/// Longest retry delay, ms. With two watchers per domain, changes after an outage reach a domain
/// with the first successful retry of either.
const MAX_RETRY_MS: Ms = Ms::secs(5);
/// Failed calls in a row after which a watcher hands over to another host of its domain.
const HANDOVER_FAILURES: u32 = 3;
/// Minimum time between two calls for one kind, ms.
const MIN_CALL_GAP_MS: Ms = Ms(50);

/// A call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    List,
    Watch(Version),
}

#[derive(Debug)]
struct KindReader {
    after: Version,
    /// Whether to read all objects before the next watch.
    list: bool,
    listed_at: Ms,
    next: Ms,
    /// The call in flight, and the time at which it counts as failed.
    in_flight: Option<(CallId, Ms)>,
    failures: u32,
}

/// The readers of all kinds and their shared rate limit.
#[derive(Debug)]
pub(crate) struct Platform {
    readers: BTreeMap<Kind, KindReader>,
    watching: bool,
    /// Tokens of the rate limit, in thousandths of a call.
    tokens: u64,
    refilled_at: Ms,
    /// Calls made so far.
    pub(crate) calls: u64,
}

impl Platform {
    pub(crate) fn new(now: Ms, config: &GossipConfig) -> Self {
        let reader = || KindReader {
            after: Version(0),
            list: true,
            listed_at: Ms::ZERO,
            next: now,
            in_flight: None,
            failures: 0,
        };
        Self {
            readers: Kind::ALL.into_iter().map(|kind| (kind, reader())).collect(),
            watching: false,
            tokens: u64::from(config.platform_calls) * 1000,
            refilled_at: now,
            calls: 0,
        }
    }

    /// Starts or stops watching.
    pub(crate) fn watch(&mut self, watching: bool, now: Ms) {
        if watching && !self.watching {
            for reader in self.readers.values_mut().filter(|r| r.in_flight.is_none()) {
                // First read what changed while another host was watching.
                reader.list = true;
                reader.next = reader.next.max(now);
            }
        }
        self.watching = watching;
    }

    /// Whether reading the configuration has failed several times in a row.
    pub(crate) fn blind(&self) -> bool {
        self.readers[&Kind::Fleet].failures >= HANDOVER_FAILURES
    }

    /// When [`Platform::due`] next has a call to make.
    pub(crate) fn wake(&self) -> Ms {
        let at = |r: &KindReader| match r.in_flight {
            Some((_, end)) => end,
            None if self.watching => r.next,
            None => Ms::MAX,
        };
        self.readers.values().map(at).min().unwrap_or(Ms::MAX)
    }

    /// Calls without an answer in time; each counts as failed.
    pub(crate) fn overdue(&mut self, now: Ms, config: &GossipConfig) -> Vec<(Kind, CallId)> {
        if !config.is_enabled(Safeguard::WatchBound) {
            return Vec::new();
        }
        let late = |(kind, r): (&Kind, &KindReader)| match r.in_flight {
            Some((call, end)) if end <= now => Some((*kind, call)),
            _ => None,
        };
        self.readers.iter().filter_map(late).collect()
    }

    /// Returns the calls to make now.
    pub(crate) fn due(
        &mut self,
        now: Ms,
        config: &GossipConfig,
        rng: &mut ChaCha8Rng,
        mut id: impl FnMut() -> CallId,
    ) -> Vec<(CallId, Kind, Call, Ms)> {
        let mut out = Vec::new();
        if !self.watching {
            return out;
        }
        self.refill(now, config);
        for (kind, reader) in &mut self.readers {
            if reader.in_flight.is_some() || reader.next > now {
                continue;
            }
            if self.tokens < 1000 {
                reader.next = now + Ms(1000 / u64::from(config.platform_calls) + 1);
                continue;
            }
            self.tokens -= 1000;
            self.calls += 1;
            let jitter = Ms(rng.random_range(0..RELIST_INTERVAL_MS.0 / 4));
            let relist = config.is_enabled(Safeguard::Relist)
                && now - reader.listed_at >= RELIST_INTERVAL_MS - jitter;
            reader.list |= relist;
            let (call, wait) = match reader.list {
                true => (Call::List, config.platform_ms),
                false => (Call::Watch(reader.after), WATCH_MS + config.watch_ms),
            };
            let call_id = id();
            reader.in_flight = Some((call_id, now + wait));
            out.push((call_id, *kind, call, WATCH_MS));
        }
        out
    }

    /// Handles the end of a call. Returns true if it was the call in flight; a late answer changes
    /// nothing here.
    pub(crate) fn ended(
        &mut self,
        kind: Kind,
        call: CallId,
        result: Result<Version, &StoreError>,
        now: Ms,
        config: &GossipConfig,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let Some(reader) = self.readers.get_mut(&kind) else { return false };
        if reader.in_flight.is_none_or(|(out, _)| out != call) {
            return false;
        }
        reader.in_flight = None;
        match result {
            Ok(version) => {
                if reader.list {
                    // Lower versions are taken too: a store that was restored from old content
                    // gives its next writes versions that a watch from the previous version would
                    // never see.
                    reader.after = version;
                    reader.listed_at = now;
                }
                reader.after = reader.after.max(version);
                reader.list = false;
                reader.failures = 0;
                reader.next = now + MIN_CALL_GAP_MS;
            }
            Err(err) => {
                reader.failures = reader.failures.saturating_add(1);
                reader.list = true;
                reader.next = now + retry_delay(err, reader.failures, config, rng);
            }
        }
        true
    }

    fn refill(&mut self, now: Ms, config: &GossipConfig) {
        let rate = u64::from(config.platform_calls);
        self.tokens = (self.tokens + (now - self.refilled_at).0 * rate).min(rate * 1000);
        self.refilled_at = now;
    }
}

/// Delay before the next call. Half of it is random: hosts that lost the platform together would
/// otherwise all return together and overload a store that has just recovered.
fn retry_delay(err: &StoreError, failures: u32, config: &GossipConfig, rng: &mut ChaCha8Rng) -> Ms {
    if !config.is_enabled(Safeguard::Backoff) {
        return MIN_CALL_GAP_MS;
    }
    let doubled = FIRST_RETRY_MS.scale(1 << failures.min(10), 2).min(MAX_RETRY_MS);
    let min_delay = match err {
        StoreError::Busy { retry_after } => *retry_after,
        _ => Ms::ZERO,
    };
    let half = doubled.scale(1, 2);
    min_delay + half + Ms(rng.random_range(0..=half.0))
}
