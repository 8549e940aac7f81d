//! *Directory*: which engines have read a subject.
//!
//! Answers: far more subjects than requests about each in the time that engines remember them. A
//! subject asked for three times in half a minute comes to three regions, and each host has seen it
//! once: each engine reads thousands of tokens that another has just read, a fifth of a second for
//! each caller.
//!
//! So one host, the same for all by rendezvous hashing, keeps the list for a subject. It is asked
//! while the stages are made, and told with the first event: two messages a request however many
//! hosts there are. When that host is lost, its subjects are read once more.

use base::hash_parts;
use std::collections::{HashMap, VecDeque};

/// Subjects that are kept, the newest: some 3 MB, and at ten long prompts a second for each host
/// half an hour, where engines remember for less than a minute.
const SUBJECTS: usize = 20_000;
/// Engines that are kept for a subject: one for each region that has read it lately.
const READERS: usize = 4;

/// The list of the subjects that one host keeps.
#[derive(Debug, Default)]
pub struct Directory {
    readers: HashMap<u64, VecDeque<String>>,
    /// Subjects in the order in which they were first read.
    order: VecDeque<u64>,
}

impl Directory {
    /// An engine has read a subject.
    pub fn record(&mut self, service: &str, subject: u64, target: &str) {
        let key = key(service, subject);
        let readers = self.readers.entry(key).or_default();
        if readers.is_empty() {
            self.order.push_back(key);
        }
        readers.retain(|t| t != target);
        readers.push_front(target.to_owned());
        readers.truncate(READERS);
        if self.order.len() > SUBJECTS {
            let oldest = self.order.pop_front();
            oldest.and_then(|key| self.readers.remove(&key));
        }
    }

    /// Engines that have read a subject, the newest first.
    pub fn readers(&self, service: &str, subject: u64) -> Vec<String> {
        let readers = self.readers.get(&key(service, subject));
        readers.map_or_else(Vec::new, |readers| readers.iter().cloned().collect())
    }
}

fn key(service: &str, subject: u64) -> u64 {
    hash_parts(&[service.as_bytes(), &subject.to_le_bytes()])
}
