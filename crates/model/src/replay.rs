//! Replays a file of a host's events, one JSON line each, and writes the effects that follow.

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
    /// The host's context; must be the first line.
    Placed {
        /// The host's name, failure domain, region and seed.
        placed: HostContext,
    },
    /// An event at a time.
    Event {
        /// Time of the event, ms.
        at: Ms,
        /// The event.
        event: Event,
    },
}

/// One line of the output.
#[derive(Serialize)]
struct Out<'a> {
    at: Ms,
    effect: &'a Effect,
}

/// Why a file of events can't be replayed.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// A line can't be parsed.
    #[error("line {line}: {source}; give {{\"at\": ms, \"event\": ...}}")]
    Line {
        /// Counted from 1.
        line: usize,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The host's context is missing on the first line, or is given again later.
    #[error("line {line}: give {{\"placed\": ...}} once, as the first line")]
    Unplaced {
        /// Counted from 1.
        line: usize,
    },
    /// An event is older than the one before it.
    #[error("line {line}: time goes back; sort the lines by \"at\"")]
    Order {
        /// Counted from 1.
        line: usize,
    },
    /// Reading the events or writing the effects failed.
    #[error("reading events or writing effects: {0}")]
    Io(#[from] std::io::Error),
}

/// Feeds each event to the policy and writes the effects, one JSON line each.
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
