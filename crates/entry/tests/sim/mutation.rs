//! The safeguards, each taken out by a double in the tests.

use async_trait::async_trait;
use base::Ms;
use bytes::Bytes;
use journal::{Claim, ClaimResult, Journal, JournalError, Outcome};
use policy::{Effect, Event, Reducer};
use wire::{Piece, StageCall, StageReply};

use crate::oracle::Violation;
use crate::targets::json;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Keys are granted without a record.
    Record,
    /// Every answer seems to be the call's own.
    Correlation,
    /// Every piece seems to be the next.
    Offsets,
    /// A stream that ends without its end mark seems complete.
    EndMark,
    /// What was handed to a socket isn't counted.
    Ledger,
}

impl Mutation {
    pub const ALL: [Self; 5] =
        [Self::Record, Self::Correlation, Self::Offsets, Self::EndMark, Self::Ledger];

    /// Whether a violation is what this one must show as.
    pub fn shows(self, violation: &Violation) -> bool {
        match self {
            Self::Record => matches!(violation, Violation::RanTwice { .. }),
            // What isn't known to have been sent is sent again, or said not to have run.
            Self::Ledger => {
                matches!(violation, Violation::RanTwice { .. } | Violation::RanThough { .. })
            }
            Self::Correlation | Self::Offsets | Self::EndMark => {
                matches!(violation, Violation::WrongText { .. })
            }
        }
    }

    /// A part of a response as the safeguard's absence would let it through. `next` is the token
    /// that the connection has come to.
    pub fn rewrite(
        mutation: Option<Self>,
        call: &StageCall,
        bytes: Bytes,
        next: &mut u32,
    ) -> Bytes {
        let request = call.request.clone();
        let Ok(piece) = serde_json::from_slice::<Piece>(&bytes) else { return bytes };
        if piece.text.is_empty() {
            return match serde_json::from_slice::<StageReply>(&bytes) {
                Ok(reply) if mutation == Some(Self::Correlation) => {
                    json(&StageReply { request, ..reply })
                }
                _ => bytes,
            };
        }
        let offset = *next;
        *next += 1;
        match mutation {
            Some(Self::Correlation) => json(&Piece { request, ..piece }),
            Some(Self::Offsets) => json(&Piece { offset, ..piece }),
            _ => bytes,
        }
    }

    /// The end that a cut stream seems to have.
    pub fn completes(mutation: Option<Self>, call: &StageCall, next: u32) -> Option<Piece> {
        let piece = || Piece {
            request: call.request.clone(),
            stage: call.stage.clone(),
            attempt: call.attempt,
            offset: next,
            end: true,
            ..Piece::default()
        };
        (mutation == Some(Self::EndMark)).then(piece)
    }
}

/// Grants every key.
pub struct Grants;

#[async_trait]
impl Journal for Grants {
    async fn register(&self, _: &Claim) -> ClaimResult {
        ClaimResult::Granted
    }

    async fn finish(&self, _: &Claim, _: Outcome) -> Result<(), JournalError> {
        Ok(())
    }

    async fn close(&self) {}
}

/// Doesn't hear what was handed to a socket.
pub struct Deaf(pub Box<dyn Reducer>);

impl Reducer for Deaf {
    fn reduce(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>) {
        if !matches!(event, Event::Sent { .. }) {
            self.0.reduce(now, event, out);
        }
    }
}
