//! What a batcher is told, and what it asks for.

use base::{DomainId, Ms, RegionId, TargetId};
use catalog::{Batch, Residency};
use std::sync::Arc;

/// A piece at this batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceId(pub u64);

/// A call to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a piece is made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The caller's key: the stage reads no other.
    Key(Arc<str>),
    /// Handles of all pieces of the stages that it reads.
    Inputs(Arc<[String]>),
}

/// One piece of a stage.
#[derive(Clone, Debug)]
pub struct Piece {
    /// The caller's attempt.
    pub request: Arc<str>,
    /// Index of the stage in its route.
    pub stage: u32,
    /// Index of the piece in its stage.
    pub index: u32,
    /// What it is made from.
    pub source: Source,
    /// When it should be made for the request to be on time.
    pub due: Ms,
    /// When it is of no use any more.
    pub expires: Ms,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Approximate size of its result, bytes.
    pub bytes: u64,
    /// Bytes of results that it reads.
    pub reads: u64,
    /// Failure domain in which it should be made; none for any.
    pub home: Option<DomainId>,
    /// Regions that its request may be in.
    pub residency: Residency,
}

/// How a piece ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceEnd {
    /// It lies at a target under this handle.
    Made(String),
    /// Its time ran out.
    Late,
    /// One of its inputs is gone.
    Gone,
    /// No target has room for its result.
    Room,
    /// The targets failed.
    Failed,
    /// No target is in a region that its request may be in.
    Outside,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// Ends of its pieces, in their order.
    Done(Vec<PieceEnd>),
    /// The target had no place and did nothing.
    Full,
    /// It was not sent: the target takes no call from this host for so long.
    Deferred(Ms),
    /// The target's address belongs to another now.
    Moved,
    /// No connection.
    NoConnection,
    /// The connection broke, or the answer made no sense.
    Broken,
    /// Nothing came.
    Silent,
}

/// A target of the service, as the registry has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Its name.
    pub id: TargetId,
    /// When it started: another life under the same name has nothing of the earlier one.
    pub born: u64,
    /// Where it is.
    pub domain: DomainId,
    /// The region of that; none when it isn't known.
    pub region: Option<RegionId>,
    /// Whether it is for pieces alone that may be made nowhere nearer: it is in a region where no
    /// host is alive to compose its calls.
    pub reserved: bool,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Pieces to make.
    Submit(Vec<(PieceId, Piece)>),
    /// Nobody wants these any more.
    Withdraw(Vec<PieceId>),
    /// A call ended.
    Ended(CallId, CallEnd),
    /// The targets that take new work.
    Targets(Vec<TargetInfo>),
    /// The service is declared so from now on.
    Config(Batch),
    /// A result was read. It may be read once more, and lies on while there is room.
    Read(TargetId, String),
    /// A result was given up; its room is free.
    Freed(TargetId, String),
    /// So many hosts are alive.
    Hosts(usize),
    /// Time has passed; comes at [`super::Batcher::wake`].
    Tick,
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a call.
    Call {
        /// For its end.
        call: CallId,
        /// Where to.
        target: TargetId,
        /// What to make, in this order.
        pieces: Vec<Piece>,
        /// The same, by their numbers here.
        ids: Vec<PieceId>,
        /// When to give it up, ms from now.
        timeout: Ms,
    },
    /// A result is given up: nobody reads it, or it was read and its room is needed.
    Free {
        /// Where it lies.
        target: TargetId,
        /// Its handle.
        handle: String,
    },
    /// A piece ended; its submitter is told.
    End {
        /// Which.
        piece: PieceId,
        /// How.
        end: PieceEnd,
        /// The target that holds its result, if it was made.
        target: Option<TargetId>,
    },
}
