//! Mutations: each disables one safeguard of the host by a test double, to show that the simulation
//! would detect its absence.

use async_trait::async_trait;
use base::Ms;
use bytes::Bytes;
use journal::{Claim, ClaimResult, Journal, JournalError, Outcome};
use policy::{Effect, Event, Reducer};
use wire::{Piece, StageCall, StageReply};

use crate::oracle::Violation;
use crate::targets::json;

/// The disabled safeguard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Keys are granted without being recorded.
    Record,
    /// Every response appears to belong to the call.
    Correlation,
    /// Every piece appears to be the next one.
    Offsets,
    /// A stream that ends without an end mark appears complete.
    EndMark,
    /// The reducer is not told what was written to a socket.
    Ledger,
}

impl Mutation {
    pub const ALL: [Self; 5] =
        [Self::Record, Self::Correlation, Self::Offsets, Self::EndMark, Self::Ledger];

    /// Whether a violation is one that this mutation is expected to cause.
    pub fn detects(self, violation: &Violation) -> bool {
        match self {
            Self::Record => matches!(violation, Violation::RanTwice { .. }),
            // A call that isn't known to have been sent is sent again, or reported as not run.
            Self::Ledger => {
                matches!(violation, Violation::RanTwice { .. } | Violation::RanDespiteNo { .. })
            }
            Self::Correlation | Self::Offsets | Self::EndMark => {
                matches!(violation, Violation::WrongText { .. })
            }
        }
    }

    /// Rewrites a part of a response so that the check which the mutation disables passes. `next`
    /// is the offset of the next token on the connection.
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

    /// The end mark to add to a stream that ended without one, if the mutation asks for it.
    pub fn fake_end(mutation: Option<Self>, call: &StageCall, next: u32) -> Option<Piece> {
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

/// A journal that grants every key and records nothing.
pub struct GrantAll;

#[async_trait]
impl Journal for GrantAll {
    async fn register(&self, _: &Claim) -> ClaimResult {
        ClaimResult::Granted
    }

    async fn finish(&self, _: &Claim, _: Outcome) -> Result<(), JournalError> {
        Ok(())
    }

    async fn close(&self) {}
}

/// Hides from the reducer what was written to a socket.
pub struct IgnoreSent(pub Box<dyn Reducer>);

impl Reducer for IgnoreSent {
    fn reduce(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>) {
        if !matches!(event, Event::Sent { .. }) {
            self.0.reduce(now, event, out);
        }
    }
}
