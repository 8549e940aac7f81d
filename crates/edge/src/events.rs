//! Splits the event stream of a target into events, and passes on complete events only, in order
//! and without duplicates.
//!
//! A target may fail in the middle of an event. If the partial event were passed on, it would be
//! joined with the first event of the run that continues at another target, and the caller would
//! read an event that nobody sent. So bytes are buffered until their event is complete.

use bytes::{Bytes, BytesMut};

/// Largest event in bytes. A target that sends more without completing an event counts as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The result of parsing received bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// Complete events to pass on; may be empty.
    Events(Bytes),
    /// The event ids leave a gap or are out of order, or an event is too large.
    Broken,
}

/// The state of one caller's stream over all its runs. Each run is at one target, which sends a
/// part of the stream.
#[derive(Debug, Default)]
pub struct EventStream {
    /// The start of an incomplete event.
    partial: BytesMut,
    /// Id of the last event that was passed on.
    last: Option<u64>,
}

impl EventStream {
    /// A stream of which the caller has received everything up to the event `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last }
    }

    /// Id of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether a part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Begins another run that continues the stream: the partial event of the old one is dropped.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    /// Parses bytes received from the target.
    pub fn push(&mut self, data: Bytes) -> Parsed {
        let complete = match self.partial.is_empty() {
            // Most reads hold complete events only; these are passed on without a copy.
            true => self.split(data),
            false => {
                self.partial.extend_from_slice(&data);
                let all = self.partial.split().freeze();
                self.split(all)
            }
        };
        if self.partial.len() > MAX_EVENT_BYTES {
            return Parsed::Broken;
        }
        self.check(complete)
    }

    /// Returns the complete events at the front and buffers the rest.
    fn split(&mut self, mut data: Bytes) -> Bytes {
        let end = end_of_events(&data);
        let rest = data.split_off(end);
        self.partial.extend_from_slice(&rest);
        data
    }

    /// Checks that the ids continue the stream, and drops events that the caller already has.
    fn check(&mut self, events: Bytes) -> Parsed {
        let (mut start, mut kept_from) = (0, 0);
        // Kept aside: if one event is broken, those before it aren't passed on either.
        let mut last = self.last;
        while let Some(len) = end_of_event(&events[start..]) {
            let id = event_id(&events[start..start + len]);
            match (id, last) {
                // The caller already has this event: a run may begin at an earlier one.
                (Some(id), Some(last)) if id <= last => match kept_from == start {
                    true => kept_from = start + len,
                    false => return Parsed::Broken,
                },
                (Some(id), Some(last)) if id > last + 1 => return Parsed::Broken,
                (Some(id), _) => last = Some(id),
                (None, _) => {}
            }
            start += len;
        }
        self.last = last;
        Parsed::Events(events.slice(kept_from..))
    }
}

/// Whether these blocks are comments only, which hold no event.
pub fn are_comments(events: &[u8]) -> bool {
    let is_comment = |line: &[u8]| matches!(line, [] | b"\r" | [b':', ..]);
    events.split(|b| *b == b'\n').all(is_comment)
}

/// Length of the first event, including the blank line that ends it.
fn end_of_event(data: &[u8]) -> Option<usize> {
    let lf = data.windows(2).position(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = data.windows(4).position(|w| w == b"\r\n\r\n").map(|i| i + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Offset at which the last complete event ends.
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
