//! Events of a host as a file, one JSON line each, and the effects that they give.

use base::Ms;
use policy::{Effect, Event, HostContext, Reducer};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use thiserror::Error;

use crate::Policy;

/// One line of a file of events.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// Where the host stands. The first line.
    Placed {
        /// Where, and its seed.
        placed: HostContext,
    },
    /// What happened, and when.
    Event {
        /// When, ms.
        at: Ms,
        /// What.
        event: Event,
    },
}

/// One line of the effects that are printed.
#[derive(Serialize)]
struct Out<'a> {
    at: Ms,
    effect: &'a Effect,
}

/// Why a file of events can't be replayed.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// A line is no event.
    #[error("line {line}: {source}; give {{\"at\": ms, \"event\": ...}}")]
    Line {
        /// Counted from 1.
        line: usize,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// Events come before the host's place is known.
    #[error("line {line}: give {{\"placed\": ...}} once, as the first line")]
    Unplaced {
        /// Counted from 1.
        line: usize,
    },
    /// Time goes back.
    #[error("line {line}: time goes back; sort the lines by \"at\"")]
    Order {
        /// Counted from 1.
        line: usize,
    },
    /// The file can't be read, or the effects can't be written.
    #[error("reading events or writing effects: {0}")]
    Io(#[from] std::io::Error),
}

/// Feeds each event and writes the effects, one JSON line each.
pub fn replay(
    policy: Policy,
    events: impl BufRead,
    mut effects: impl Write,
) -> Result<(), ReplayError> {
    let mut reducer: Option<Box<dyn Reducer>> = None;
    let mut last = Ms::ZERO;
    let mut out = Vec::new();
    for (i, text) in events.lines().enumerate() {
        let line = i + 1;
        let parsed = serde_json::from_str(&text?);
        match (parsed.map_err(|source| ReplayError::Line { line, source })?, &mut reducer) {
            (Line::Placed { placed }, None) => reducer = Some(policy.reducer(placed)),
            (Line::Event { at, .. }, Some(_)) if at < last => {
                return Err(ReplayError::Order { line });
            }
            (Line::Event { at, event }, Some(reducer)) => {
                last = at;
                reducer.reduce(at, event, &mut out);
                for effect in out.drain(..) {
                    serde_json::to_writer(&mut effects, &Out { at, effect: &effect })
                        .map_err(std::io::Error::from)?;
                    effects.write_all(b"\n")?;
                }
            }
            _ => return Err(ReplayError::Unplaced { line }),
        }
    }
    Ok(())
}
