//! Keeps track of which engines have read a subject's prompt.
//!
//! There are far more subjects than requests for each of them while engines keep it in their
//! caches. A subject that is asked for three times in half a minute comes to three regions, and
//! each host has seen it once. So each engine would read thousands of tokens that another has just
//! read, which costs each caller a fifth of a second.
//!
//! So one host keeps the list of engines for a subject; all hosts find it by rendezvous hashing. It
//! is queried while the stages are made, and updated with the first event: two messages for each
//! request, however many hosts there are. When that host is lost, its subjects are read once more.

use base::hash_parts;
use std::collections::{HashMap, VecDeque};

/// Number of subjects that are kept, the newest ones: about 3 MB. At ten long prompts a second for
/// each host this is half an hour, while engines cache a prompt for less than a minute.
const MAX_SUBJECTS: usize = 20_000;
/// Number of engines that are kept for a subject: one for each region that has read it lately.
const MAX_READERS: usize = 4;

/// The subjects that one host keeps track of.
#[derive(Debug, Default)]
pub struct Directory {
    readers: HashMap<u64, VecDeque<String>>,
    /// Keys of the subjects in the order in which they were first read.
    order: VecDeque<u64>,
}

impl Directory {
    /// Records that an engine has read a subject.
    pub fn record(&mut self, service: &str, subject: u64, target: &str) {
        let key = key(service, subject);
        let readers = self.readers.entry(key).or_default();
        if readers.is_empty() {
            self.order.push_back(key);
        }
        readers.retain(|t| t != target);
        readers.push_front(target.to_owned());
        readers.truncate(MAX_READERS);
        if self.order.len() > MAX_SUBJECTS {
            let oldest = self.order.pop_front();
            oldest.and_then(|key| self.readers.remove(&key));
        }
    }

    /// The engines that have read a subject, the most recent first.
    pub fn readers(&self, service: &str, subject: u64) -> Vec<String> {
        let readers = self.readers.get(&key(service, subject));
        readers.map_or_else(Vec::new, |readers| readers.iter().cloned().collect())
    }
}

fn key(service: &str, subject: u64) -> u64 {
    hash_parts(&[service.as_bytes(), &subject.to_le_bytes()])
}
