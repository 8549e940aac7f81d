//! Which objects of the platform this host watches, and when it calls.
//!
//! A few hosts of each failure domain watch, the rest learn from them; so the platform's calls
//! grow with the domains and not with the hosts. Every call counts against a bound.

use base::{Ms, Version};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use store::StoreError;

use crate::event::{CallId, Kind};
use crate::rules::{Rules, Safeguard};

/// How long a watch waits, ms. A waiting watch counts as one call.
const WATCH_MS: Ms = Ms::secs(10);
/// Time between whole reads by a watcher, ms. A watch that answers but has lost track of what it
/// watches looks sound; only reading again shows what it missed.
const RELIST_INTERVAL_MS: Ms = Ms::secs(30);
/// First wait after a failed call, ms; it doubles with each.
const FIRST_RETRY_MS: Ms = Ms(250);
/// Longest wait after a failed call, ms: with two watchers per domain, news after an outage waits
/// for the first of them.
const MAX_RETRY_MS: Ms = Ms::secs(5);
/// Failed calls in a row after which a watcher hands on to another host of its domain.
const HANDOVER_FAILURES: u32 = 3;
/// Least time between two calls for one kind, ms.
const MIN_CALL_GAP_MS: Ms = Ms(50);

/// A call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    List,
    Watch(Version),
}

#[derive(Debug)]
struct KindReader {
    after: Version,
    /// Read all before the next watch.
    list: bool,
    listed_at: Ms,
    next: Ms,
    /// The call that is out, and when it counts as failed.
    in_flight: Option<(CallId, Ms)>,
    failures: u32,
}

/// The readers of all kinds.
#[derive(Debug)]
pub(crate) struct Platform {
    readers: BTreeMap<Kind, KindReader>,
    watching: bool,
    /// Calls that may be made now, in thousandths.
    tokens: u64,
    refilled_at: Ms,
    /// Calls made so far.
    pub(crate) calls: u64,
}

impl Platform {
    pub(crate) fn new(now: Ms, rules: &Rules) -> Self {
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
            tokens: u64::from(rules.platform_calls) * 1000,
            refilled_at: now,
            calls: 0,
        }
    }

    /// Starts or stops watching.
    pub(crate) fn watch(&mut self, watching: bool, now: Ms) {
        if watching && !self.watching {
            for reader in self.readers.values_mut().filter(|r| r.in_flight.is_none()) {
                // What happened while another host watched is read first.
                reader.list = true;
                reader.next = reader.next.max(now);
            }
        }
        self.watching = watching;
    }

    /// Whether the configuration could not be read several times in a row.
    pub(crate) fn blind(&self) -> bool {
        self.readers[&Kind::Fleet].failures >= HANDOVER_FAILURES
    }

    /// When [`Platform::due`] has something next.
    pub(crate) fn wake(&self) -> Ms {
        let at = |r: &KindReader| match r.in_flight {
            Some((_, end)) => end,
            None if self.watching => r.next,
            None => Ms::MAX,
        };
        self.readers.values().map(at).min().unwrap_or(Ms::MAX)
    }

    /// Kinds whose call got no answer in time; each counts as failed.
    pub(crate) fn overdue(&mut self, now: Ms, rules: &Rules) -> Vec<(Kind, CallId)> {
        if !rules.is_enabled(Safeguard::WatchBound) {
            return Vec::new();
        }
        let late = |(kind, r): (&Kind, &KindReader)| match r.in_flight {
            Some((call, end)) if end <= now => Some((*kind, call)),
            _ => None,
        };
        self.readers.iter().filter_map(late).collect()
    }

    /// Calls to make now.
    pub(crate) fn due(
        &mut self,
        now: Ms,
        rules: &Rules,
        rng: &mut ChaCha8Rng,
        mut id: impl FnMut() -> CallId,
    ) -> Vec<(CallId, Kind, Call, Ms)> {
        let mut out = Vec::new();
        if !self.watching {
            return out;
        }
        self.refill(now, rules);
        for (kind, reader) in &mut self.readers {
            if reader.in_flight.is_some() || reader.next > now {
                continue;
            }
            if self.tokens < 1000 {
                reader.next = now + Ms(1000 / u64::from(rules.platform_calls) + 1);
                continue;
            }
            self.tokens -= 1000;
            self.calls += 1;
            let jitter = Ms(rng.random_range(0..RELIST_INTERVAL_MS.0 / 4));
            let relist = rules.is_enabled(Safeguard::Relist)
                && now - reader.listed_at >= RELIST_INTERVAL_MS - jitter;
            reader.list |= relist;
            let (call, wait) = match reader.list {
                true => (Call::List, rules.platform_ms),
                false => (Call::Watch(reader.after), WATCH_MS + rules.watch_ms),
            };
            let call_id = id();
            reader.in_flight = Some((call_id, now + wait));
            out.push((call_id, *kind, call, WATCH_MS));
        }
        out
    }

    /// A call ended. True when it was the one that is out; a late one counts for nothing here.
    pub(crate) fn ended(
        &mut self,
        kind: Kind,
        call: CallId,
        result: Result<Version, &StoreError>,
        now: Ms,
        rules: &Rules,
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
                    // Also when it is lower: a store that came back with old content gives its
                    // next writes versions that a watch from the old one would never see.
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
                reader.next = now + retry_delay(err, reader.failures, rules, rng);
            }
        }
        true
    }

    fn refill(&mut self, now: Ms, rules: &Rules) {
        let rate = u64::from(rules.platform_calls);
        self.tokens = (self.tokens + (now - self.refilled_at).0 * rate).min(rate * 1000);
        self.refilled_at = now;
    }
}

/// Wait before the next call. Half of it is chance: hosts that lost the platform together would
/// otherwise all come back together, and put down a store that is just up again.
fn retry_delay(err: &StoreError, failures: u32, rules: &Rules, rng: &mut ChaCha8Rng) -> Ms {
    if !rules.is_enabled(Safeguard::Backoff) {
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
