//! Events that a node's reducer takes, and the effects that it returns.

use base::{Ms, TargetId, Version};
use peer::PeerError;
use std::net::SocketAddr;
use store::StoreError;
use wire::{CacheEvents, Exchange, LoadReport, ObjectList};

use crate::{Announcement, Update};

/// Kinds of platform objects that a node reads.
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
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Fleet, Self::Leaving, Self::Hosts];

    /// The kind's name in the object API.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fleet => crate::FLEET_KIND,
            Self::Leaving => "leaving",
            Self::Hosts => "hosts",
        }
    }
}

/// Identifies a call that a node made or received; the answer carries the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An event for the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Sent at each [`crate::State::wake`].
    Tick,
    /// A peer starts an exchange; it is answered by [`Effect::Reply`] with the same number.
    Request {
        /// Chosen by the caller of the reducer.
        call: CallId,
        /// The message from the peer.
        exchange: Box<Exchange>,
    },
    /// An exchange that this host started has ended.
    Answered {
        /// The number of its [`Effect::Exchange`].
        call: CallId,
        /// The answer from the peer, or the error.
        result: Result<Box<Exchange>, PeerError>,
    },
    /// A read or watch of the platform has ended.
    Listed {
        /// The number of its [`Effect::List`] or [`Effect::Watch`].
        call: CallId,
        /// The kind that was read.
        kind: Kind,
        /// The objects, or the error.
        result: Result<ObjectList, StoreError>,
    },
    /// A poll of a target has ended.
    Polled {
        /// The target.
        target: TargetId,
        /// Its load, if it answered.
        report: Option<LoadReport>,
        /// Its cache events, if it is an engine and answered.
        events: Option<CacheEvents>,
    },
    /// The host announces something to the others.
    Announce(Announcement),
}

/// An action that the reducer asks for.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call a peer.
    Exchange {
        /// Number that the answer carries.
        call: CallId,
        /// The address of the peer.
        to: SocketAddr,
        /// The message to send.
        exchange: Box<Exchange>,
    },
    /// Answer a peer.
    Reply {
        /// The number of its [`Event::Request`].
        call: CallId,
        /// The message to send.
        exchange: Box<Exchange>,
    },
    /// Read all objects of a kind.
    List {
        /// Number that the answer carries.
        call: CallId,
        /// The kind of objects.
        kind: Kind,
    },
    /// Wait for newer objects of a kind.
    Watch {
        /// Number that the answer carries.
        call: CallId,
        /// The kind of objects.
        kind: Kind,
        /// The version that they must be newer than.
        after: Version,
        /// Longest wait, ms.
        wait: Ms,
    },
    /// Read a target's load.
    Poll {
        /// The target.
        target: TargetId,
        /// Its address.
        address: SocketAddr,
        /// For an engine, the first cache event that is wanted.
        since: Option<u64>,
    },
    /// Report an update to the host.
    Update(Update),
    /// The live hosts, or what is known of them, have changed.
    View,
    /// Write a numbered log event.
    Note {
        /// The event.
        event: logs::Event,
        /// The host, target or generation concerned.
        subject: String,
    },
}
