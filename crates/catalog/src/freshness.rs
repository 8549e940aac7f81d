//! Decides whether a host may still accept API keys, by the age of its last confirmed read of the
//! store.
//!
//! A key may be revoked while a host is cut off from the store, or frozen. Without a limit on that
//! age, the host would go on accepting the key from the configuration in its memory. Only a
//! response of the store that can't be stale proves that the configuration was current, and it
//! proves this only for the moment at which the read was sent, because the store may have accepted
//! a change right after it evaluated the read. The clock must include the time for which the host
//! was suspended, since changes at the store continue meanwhile.

use base::Ms;

/// Part of the permitted age of a proof that a host uses, percent. The rest covers a request's way
/// from the caller, clocks that run at different rates and the time until the target starts work.
pub const KEY_PROOF_PERCENT: u64 = 80;

/// Time without an answer to anybody after which the store counts as having been away. A registration
/// that is renewed at each heartbeat lapses after three of them.
pub const OUTAGE: Ms = Ms(2_000);

/// Whether the last proof is recent enough to accept API keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Requests with keys may be served.
    Current,
    /// The last proof is too old, or there was none.
    Stale {
        /// Its age, ms; `None` if there was no proof since the start.
        age: Option<Ms>,
    },
}

/// The last proof that the configuration was current, and how old it may be.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age: Ms,
    proved: Option<Ms>,
    /// When the last span of [`OUTAGE`] or more without a proof ended.
    back: Option<Ms>,
}

impl Freshness {
    /// `revoke` is the time within which a revoked key must stop working on all hosts; `None` if
    /// there is no such limit.
    pub fn new(revoke: Option<Ms>) -> Self {
        let max_age = revoke.map_or(Ms::MAX, |r| r.scale(KEY_PROOF_PERCENT, 100));
        Self { max_age, proved: None, back: None }
    }

    /// Records that a read that can't be stale was sent at `sent` and has been answered.
    pub fn prove(&mut self, sent: Ms) {
        if self.proved.is_some_and(|before| sent - before >= OUTAGE) {
            self.back = Some(sent);
        }
        self.proved = self.proved.max(Some(sent));
    }

    /// Whether the store was away, as far as any host's reads tell that this one has heard of, until a
    /// time after `since`. That the reads of one host failed says nothing of the store.
    pub fn was_away(&self, now: Ms, since: Ms) -> bool {
        let away = self.proved.is_none_or(|proved| now - proved >= OUTAGE);
        away || self.back.is_some_and(|back| back >= since)
    }

    /// When the read that gave the last proof was sent; `None` before the first proof.
    pub fn proved(&self) -> Option<Ms> {
        self.proved
    }

    /// Age of the last proof, ms; `None` before the first.
    pub fn age(&self, now: Ms) -> Option<Ms> {
        self.proved.map(|at| now - at)
    }

    /// Whether requests with keys may be served at `now`.
    pub fn check(&self, now: Ms) -> Proof {
        match self.age(now) {
            Some(age) if age <= self.max_age => Proof::Current,
            age => Proof::Stale { age },
        }
    }
}
