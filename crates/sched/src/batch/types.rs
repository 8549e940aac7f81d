//! Events that a batcher takes, and the effects that it asks for.

use base::{DomainId, Ms, RegionId, TargetId};
use catalog::{Batch, Residency};
use std::sync::Arc;

use super::{Origin, TargetReport};
use crate::pace::Pace;

/// A piece, as numbered by this batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceId(pub u64);

/// A call to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The input of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The caller's key: the stage reads no other stage.
    Key(Arc<str>),
    /// Handles of all pieces of the stages that this one reads.
    Inputs(Arc<[String]>),
}

/// One piece of a stage.
#[derive(Clone, Debug)]
pub struct Piece {
    /// The attempt of the caller's request that the piece belongs to.
    pub request: Arc<str>,
    /// Index of the stage in its route.
    pub stage: u32,
    /// Index of the piece in its stage.
    pub index: u32,
    /// Its input.
    pub source: Source,
    /// When it should be made for the request to be on time.
    pub due: Ms,
    /// When its result becomes useless.
    pub expires: Ms,
    /// Priority class of the request; 0 is the most urgent.
    pub rank: u8,
    /// Approximate size of its result, bytes.
    pub bytes: u64,
    /// Size of the results that it reads, bytes.
    pub reads: u64,
    /// Failure domain in which it should be made; none for any.
    pub home: Option<DomainId>,
    /// Regions in which its request may be processed.
    pub residency: Residency,
    /// Key of its request at this stage, under which ends of targets are counted; none if it isn't
    /// known.
    pub key: Option<u64>,
}

/// How a piece ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceEnd {
    /// The result is stored at a target under this handle.
    Made(String),
    /// It expired.
    Late,
    /// One of its inputs no longer exists.
    Gone,
    /// No target has room for its result.
    Room,
    /// The targets failed.
    Failed,
    /// No target is in a region in which its request may be processed.
    Outside,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// How its pieces ended, in their order.
    Done(Vec<PieceEnd>),
    /// The target had no free slot and did nothing.
    Full,
    /// It was not sent: the target takes no call from this host for this time.
    Deferred(Ms),
    /// The target's address now belongs to another target.
    Moved,
    /// No connection could be made.
    NoConnection,
    /// The connection broke, or the response was malformed.
    Broken,
    /// No response arrived in time.
    Silent,
}

/// A target of the service, as registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Name of the target.
    pub id: TargetId,
    /// When it started. An incarnation that started at another time has none of the earlier
    /// results.
    pub born: u64,
    /// Its failure domain.
    pub domain: DomainId,
    /// The region of that domain; none if it is not known.
    pub region: Option<RegionId>,
    /// Whether it takes only pieces that may not be made anywhere nearer, because no host is alive
    /// in its region to compose its calls.
    pub reserved: bool,
}

/// Input of the batcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// Makes these pieces.
    Submit(Vec<(PieceId, Piece)>),
    /// Makes these pieces of one stage of a request, whose workspace and later stages are known.
    SubmitFrom(Origin, Vec<(PieceId, Piece)>),
    /// Drops these pieces: nobody waits for them any more.
    Withdraw(Vec<PieceId>),
    /// A call ended.
    Ended(CallId, CallEnd),
    /// The targets that take new work.
    Targets(Vec<TargetInfo>),
    /// The service is declared like this from now on.
    Config(Batch),
    /// A result was read. It may be read once more, and is kept while there is room.
    Read(TargetId, String),
    /// A result was deleted; its room is free.
    Freed(TargetId, String),
    /// Another host composed the calls of the service until now.
    TakenOver,
    /// The report of a target arrived; none if it could not be read.
    Reported(TargetId, Option<TargetReport>),
    /// This number of hosts is alive.
    Hosts(usize),
    /// The pace that a target reported in its last answer.
    Pace(TargetId, Pace),
    /// This host did not run for this time, which has just ended.
    Paused(Ms),
    /// Time has passed; due at [`super::Batcher::wake`].
    Tick,
}

/// Output of the batcher.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a call.
    Call {
        /// Identifies the call when it ends.
        call: CallId,
        /// The target to send it to.
        target: TargetId,
        /// The pieces to make, in this order.
        pieces: Vec<Piece>,
        /// The identifiers of these pieces, in the same order.
        ids: Vec<PieceId>,
        /// Time after which to give the call up.
        timeout: Ms,
    },
    /// Delete a result: nobody reads it, or it was read and its room is needed.
    Free {
        /// The target that holds it.
        target: TargetId,
        /// Its handle.
        handle: String,
    },
    /// Fetch the report of a target.
    Report(TargetId),
    /// Tell the submitter that a piece ended.
    End {
        /// The piece.
        piece: PieceId,
        /// How it ended.
        end: PieceEnd,
        /// The target that holds its result, if it was made.
        target: Option<TargetId>,
    },
}
