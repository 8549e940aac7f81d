//! Remembers at which software version streams began, for their callers that take them up later.
//!
//! Pattern: an engine or a host fails, and dozens of callers come back within a second, to other
//! hosts, with the first events of their streams in hand. What another version writes doesn't fit to
//! these, and no target checks it. The host that knows the version is often the one that failed.
//!
//! So each host records the streams that it begins, and while versions are mixed it sends the
//! records to a few others, which all hosts choose alike by rendezvous hashing. Whoever is asked to
//! take a stream up asks these. A stream that nobody knows is refused, never guessed: that a record
//! is late, or lost with its holders, costs a caller its stream but mixes none.
//!
//! A record lasts as long as its caller may still come back. A full table takes no more streams
//! instead of dropping those that callers are about to take up.

use base::{BuildId, Ms, hash_parts};
use catalog::MAX_STREAM_LIFETIME;
use std::collections::HashMap;

/// Number of hosts that hold a record, beside the one that began the stream. If half of a fleet
/// fails at once, one record in sixty is lost.
pub const COPIES: usize = 6;
/// Number of records that are kept: about 5 MB, and five minutes of a small host's streams.
const MAX_RECORDS: usize = 65_536;

/// Identifies a stream by the workspace and the caller's attempt that brought its first event. A
/// caller that names an attempt of another workspace names a stream that nobody knows.
pub fn stream_key(workspace: &str, attempt: &str) -> u64 {
    hash_parts(&[workspace.as_bytes(), attempt.as_bytes()])
}

/// At which version a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// See [`stream_key`].
    pub stream: u64,
    /// The version.
    pub build: BuildId,
    /// Until when its caller may take it up.
    pub until: Ms,
}

#[derive(Debug)]
struct Record {
    build: BuildId,
    until: Ms,
    /// Whether other hosts have yet to be told.
    untold: bool,
}

/// The records that one host holds.
#[derive(Debug, Default)]
pub struct Origins {
    records: HashMap<u64, Record>,
    /// Keys of records that no other host has been told of.
    untold: Vec<u64>,
    /// Keys of streams that this host has begun and that the store doesn't hold.
    unwritten: Vec<u64>,
}

impl Origins {
    /// Records a stream that this host has begun or continued. The first record of a stream stands.
    pub fn begun(&mut self, now: Ms, origin: Origin) {
        let stream = origin.stream;
        if self.insert(now, origin, true) {
            self.untold.push(stream);
            self.unwritten.push(stream);
        }
    }

    /// Records a stream that another host has begun.
    pub fn told(&mut self, now: Ms, origin: Origin) {
        self.insert(now, origin, false);
    }

    /// The version at which a stream began.
    pub fn get(&self, now: Ms, stream: u64) -> Option<&BuildId> {
        self.records.get(&stream).filter(|r| now < r.until).map(|r| &r.build)
    }

    /// The streams that this host has begun and no other host has been told of. They count as told
    /// from now on.
    pub fn take_untold(&mut self, now: Ms) -> Vec<Origin> {
        let mut out = Vec::new();
        for stream in std::mem::take(&mut self.untold) {
            let Some(record) = self.records.get_mut(&stream).filter(|r| r.untold) else { continue };
            record.untold = false;
            if now < record.until {
                out.push(Origin { stream, build: record.build.clone(), until: record.until });
            }
        }
        out
    }

    /// At most so many of the streams that this host has begun and the store doesn't hold. They count
    /// as written from now on.
    pub fn take_unwritten(&mut self, now: Ms, most: usize) -> Vec<Origin> {
        let taken = self.unwritten.split_off(self.unwritten.len().saturating_sub(most));
        let origin = |stream: u64| {
            let record = self.records.get(&stream).filter(|r| now < r.until)?;
            Some(Origin { stream, build: record.build.clone(), until: record.until })
        };
        taken.into_iter().filter_map(origin).collect()
    }

    /// Records that these could not be written.
    pub fn put_back(&mut self, streams: Vec<Origin>) {
        self.unwritten.extend(streams.into_iter().map(|origin| origin.stream));
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether the record is new and is to be told.
    fn insert(&mut self, now: Ms, origin: Origin, untold: bool) -> bool {
        let until = origin.until.min(now + MAX_STREAM_LIFETIME);
        if let Some(known) = self.records.get_mut(&origin.stream).filter(|r| now < r.until) {
            known.until = known.until.max(until);
            return false;
        }
        if self.records.len() >= MAX_RECORDS {
            return false;
        }
        self.records.insert(origin.stream, Record { build: origin.build, until, untold });
        untold
    }

    /// Drops the records of streams that nobody can take up any more. To be called regularly.
    pub fn evict(&mut self, now: Ms) {
        self.records.retain(|_, record| now < record.until);
        let records = &self.records;
        self.untold.retain(|stream| records.contains_key(stream));
        self.unwritten.retain(|stream| records.contains_key(stream));
    }
}

/// The hosts that hold the record of a stream, beside the one that began it.
pub fn holders<'a, T>(
    stream: u64,
    hosts: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let mut chosen: Vec<&T> = hosts.into_iter().collect();
    if chosen.len() > COPIES {
        let key = stream.to_le_bytes();
        chosen.sort_by_cached_key(|h| hash_parts(&[&key, name(h).as_bytes()]));
        chosen.truncate(COPIES);
    }
    chosen
}
