//! Tells an answer to a call from a second answer to an earlier one.
//!
//! Calls to stage targets carry nothing that their answers name. A faulty target may answer a call
//! twice, and the second answer arrives where that of the next call on the connection is due. Taken for
//! it, requests would get the results of others. But a copy of an earlier answer names results that
//! were handed out before.

use base::{Ms, TargetId};
use std::collections::HashMap;

use super::{Piece, PieceEnd};

/// A target's name and a handle.
type Named = (TargetId, String);
/// A piece, whatever batcher numbers it.
type Key = (std::sync::Arc<str>, u32, u32);

/// The handles that targets have returned, and for which piece.
#[derive(Debug, Default)]
pub struct HandedOut {
    handles: HashMap<Named, (Key, Ms)>,
}

/// What an answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belongs {
    /// It is the answer to this call: it names a new result.
    Proved,
    /// Nothing in it tells.
    Unproved,
    /// It names a result of another piece: it is the answer to an earlier call.
    No,
}

impl HandedOut {
    /// Records the results that a target's answer to a call for `pieces` names; they are kept until `expires`.
    pub fn check(
        &mut self,
        now: Ms,
        target: &TargetId,
        pieces: &[Piece],
        ends: &[PieceEnd],
        expires: Ms,
    ) -> Belongs {
        self.handles.retain(|_, (_, until)| now < *until);
        let mut found = Belongs::Unproved;
        let mut new = Vec::new();
        for (piece, end) in pieces.iter().zip(ends) {
            let PieceEnd::Made(handle) = end else { continue };
            let key = (piece.request.clone(), piece.stage, piece.index);
            let named = (target.clone(), handle.clone());
            match self.handles.get(&named) {
                Some((known, _)) if *known != key => return Belongs::No,
                // A target may name the result of a piece that it makes again as before.
                Some(_) => {}
                None => {
                    found = Belongs::Proved;
                    new.push((named, (key, expires)));
                }
            }
        }
        self.handles.extend(new);
        found
    }
}
