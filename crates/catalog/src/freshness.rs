//! What a host may still do by the age of what it knows.
//!
//! Answers: a key is taken away while a host is cut off from the store, or frozen. Without it the
//! host would go on serving the key from memory. Only an answer of the store that can't be stale
//! proves that the configuration was current, and it proves it for the moment at which the call
//! was sent: a change may have been accepted right after the store looked. The clock must count
//! the time that a host was suspended, since the store went on meanwhile.

use base::Ms;

/// Part of the allowed age of a proof that a host uses, in percent. The rest covers a request's
/// way from the caller, clocks that tick apart and the time until the target begins.
pub const KEY_PROOF_SHARE: u64 = 80;

/// What the age of the last proof allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Keys may be served.
    Current,
    /// The last proof is too old, or there was none.
    Stale {
        /// Its age, ms; none when there was no proof since the start.
        age: Option<Ms>,
    },
}

/// Age of the last proof that the configuration is the newest.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Ms,
    proved: Option<Ms>,
}

impl Freshness {
    /// `revoke` is the time within which a key that was taken away must stop working everywhere;
    /// none where there is no such bound.
    pub fn new(revoke: Option<Ms>) -> Self {
        let bound = revoke.map_or(Ms::MAX, |r| r.scale(KEY_PROOF_SHARE, 100));
        Self { bound, proved: None }
    }

    /// A read that can't be stale was sent at `sent` and has been answered.
    pub fn prove(&mut self, sent: Ms) {
        self.proved = self.proved.max(Some(sent));
    }

    /// When the read was sent that is the last proof; none before the first.
    pub fn proved(&self) -> Option<Ms> {
        self.proved
    }

    /// Age of the last proof, ms; none before the first.
    pub fn age(&self, now: Ms) -> Option<Ms> {
        self.proved.map(|at| now - at)
    }

    /// Whether keys may be served at `now`.
    pub fn check(&self, now: Ms) -> Proof {
        match self.age(now) {
            Some(age) if age <= self.bound => Proof::Current,
            age => Proof::Stale { age },
        }
    }
}
