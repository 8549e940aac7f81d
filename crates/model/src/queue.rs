//! The event queue of the simulation, ordered by virtual time and then by order of insertion.

use base::Ms;
use policy::Event;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Change;

/// An event of the simulation.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// A call, or its re-send, reaches a host.
    Arrive { call: usize },
    /// An event that belongs to no attempt reaches a host.
    Feed { host: usize, event: Event },
    /// An event of an attempt reaches its host.
    Deliver { job: usize, update: AttemptEvent },
    /// An attempt reaches its target.
    Reach { job: usize },
    /// A running attempt completes a step.
    Step { job: usize },
    /// A cancellation reaches the target.
    Stop { job: usize },
    /// A crashed target listens again.
    Restart { target: usize },
    /// A host's periodic timer fires.
    Tick { host: usize },
    /// All targets report their load.
    Report,
    /// A change from the script takes effect.
    Change(Change),
}

/// What a host learns about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEvent {
    /// Its first byte was written to a socket.
    Sent,
    /// A piece of a stream, with the number of tokens generated so far.
    Piece(u32),
    /// It completed with a result.
    Done,
    /// It failed.
    Failed(policy::Fault),
}

/// All pending events.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<(Ms, u64, Payload)>>,
    sequence: u64,
}

/// An event that takes no part in the heap's order, which is by time and insertion only.
#[derive(Debug)]
struct Payload(SimEvent);

impl PartialEq for Payload {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl Eq for Payload {}
impl PartialOrd for Payload {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Payload {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl EventQueue {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Ms, event: SimEvent) {
        self.heap.push(Reverse((at, self.sequence, Payload(event))));
        self.sequence += 1;
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<(Ms, SimEvent)> {
        self.heap.pop().map(|Reverse((at, _, payload))| (at, payload.0))
    }
}
