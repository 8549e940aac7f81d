//! What a node's reducer is told, and what it asks for.

use base::{Ms, TargetId, Version};
use peer::PeerError;
use std::net::SocketAddr;
use store::StoreError;
use wire::{CacheEvents, Exchange, LoadReport, ObjectList};

use crate::{Announcement, Update};

/// Kinds of the platform's objects that a node reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The configuration.
    Fleet,
    /// Targets that operators mark as leaving.
    Leaving,
    /// The platform's list of hosts and targets.
    Hosts,
}

impl Kind {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Fleet, Self::Leaving, Self::Hosts];

    /// Its name in the object API.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fleet => crate::FLEET_KIND,
            Self::Leaving => "leaving",
            Self::Hosts => "hosts",
        }
    }
}

/// A call that a node made or was asked; the answer carries the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Comes at each [`crate::State::wake`].
    Tick,
    /// A peer offers an exchange; it gets [`Effect::Reply`] with the same number.
    Request {
        /// Chosen by whoever carries the events.
        call: CallId,
        /// What the peer says.
        exchange: Box<Exchange>,
    },
    /// An exchange of this host's ended.
    Answered {
        /// The number of its [`Effect::Exchange`].
        call: CallId,
        /// What the peer says.
        result: Result<Box<Exchange>, PeerError>,
    },
    /// A read or watch of the platform ended.
    Listed {
        /// The number of its [`Effect::List`] or [`Effect::Watch`].
        call: CallId,
        /// What was read.
        kind: Kind,
        /// The objects, or why not.
        result: Result<ObjectList, StoreError>,
    },
    /// A poll of a target ended.
    Polled {
        /// Which target.
        target: TargetId,
        /// Its load, if it answered.
        report: Option<LoadReport>,
        /// Its cache events, if it is an engine and answered.
        events: Option<CacheEvents>,
    },
    /// The host has something to tell.
    Announce(Announcement),
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call a peer.
    Exchange {
        /// For the answer.
        call: CallId,
        /// Where.
        to: SocketAddr,
        /// What to say.
        exchange: Box<Exchange>,
    },
    /// Answer a peer.
    Reply {
        /// The number of its [`Event::Request`].
        call: CallId,
        /// What to say.
        exchange: Box<Exchange>,
    },
    /// Read all objects of a kind.
    List {
        /// For the answer.
        call: CallId,
        /// Which.
        kind: Kind,
    },
    /// Wait for newer objects of a kind.
    Watch {
        /// For the answer.
        call: CallId,
        /// Which.
        kind: Kind,
        /// Newer than this.
        after: Version,
        /// At most this long, ms.
        wait: Ms,
    },
    /// Read a target's load.
    Poll {
        /// Which target.
        target: TargetId,
        /// Where.
        address: SocketAddr,
        /// Of an engine: the first cache event that is wanted.
        since: Option<u64>,
    },
    /// Announcement the host.
    Update(Update),
    /// The live hosts, or what is known of them, changed.
    View,
    /// Write a numbered log event.
    Note {
        /// Which.
        event: logs::Event,
        /// The host, target or generation that it is about.
        subject: String,
    },
}
