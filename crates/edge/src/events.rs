//! Event streams: whole events only, in order, none twice.
//!
//! A target may stop in the middle of an event. Passed on, the half event would be joined with the
//! first event of the run that goes on elsewhere, and the caller would read one that nobody sent.
//! So bytes are held until their event is whole.

use bytes::{Bytes, BytesMut};

/// Largest event, bytes; a target that sends more without an end is taken for broken.
const EVENT_BYTES: usize = 1 << 20;

/// What came of some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// Whole events to pass on; may be empty.
    Events(Bytes),
    /// The events don't go on where the last one ended, or never end.
    Broken,
}

/// The state of one caller's stream, over all runs.
#[derive(Debug, Default)]
pub struct EventStream {
    held: BytesMut,
    last: Option<u64>,
}

impl EventStream {
    /// A stream of which the caller has everything up to `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { held: BytesMut::new(), last }
    }

    /// The last whole event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether a part of an event is held.
    pub fn is_partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Another run goes on: what is held of the old one is dropped.
    pub fn restart(&mut self) {
        self.held.clear();
    }

    /// Takes bytes of the target.
    pub fn push(&mut self, data: Bytes) -> Parsed {
        let whole = match self.held.is_empty() {
            // Most reads are whole events: they go on without a copy.
            true => self.split(data),
            false => {
                self.held.extend_from_slice(&data);
                let all = self.held.split().freeze();
                self.split(all)
            }
        };
        if self.held.len() > EVENT_BYTES {
            return Parsed::Broken;
        }
        self.check(whole)
    }

    /// The whole events at the front; the rest is held.
    fn split(&mut self, mut data: Bytes) -> Bytes {
        let end = end_of_events(&data);
        let rest = data.split_off(end);
        self.held.extend_from_slice(&rest);
        data
    }

    fn check(&mut self, whole: Bytes) -> Parsed {
        let (mut from, mut keep) = (0, 0);
        while let Some(len) = end_of_event(&whole[from..]) {
            let id = event_id(&whole[from..from + len]);
            match (id, self.last) {
                // The caller has it already: a run may begin a little earlier.
                (Some(id), Some(last)) if id <= last => match keep == from {
                    true => keep = from + len,
                    false => return Parsed::Broken,
                },
                (Some(id), Some(last)) if id > last + 1 => return Parsed::Broken,
                (Some(id), _) => self.last = Some(id),
                (None, _) => {}
            }
            from += len;
        }
        Parsed::Events(whole.slice(keep..))
    }
}

/// Length of the first event, its blank line included.
fn end_of_event(data: &[u8]) -> Option<usize> {
    let lf = data.windows(2).position(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = data.windows(4).position(|w| w == b"\r\n\r\n").map(|i| i + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Where the last whole event ends.
fn end_of_events(data: &[u8]) -> usize {
    let lf = data.windows(2).rposition(|w| w == b"\n\n").map_or(0, |i| i + 2);
    let crlf = data.windows(4).rposition(|w| w == b"\r\n\r\n").map_or(0, |i| i + 4);
    lf.max(crlf)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
