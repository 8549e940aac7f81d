//! Sends that a target may not have read yet.
//!
//! A stopped process reads what was sent to it when it goes on, also from connections that this host
//! has closed since. So a send stays here after its request has ended, until the target is shown to
//! have read it: it has answered, or has answered another request that was sent later.

use base::{Ms, PoolId};
use logs::note;
use std::sync::Arc;

use crate::core::Core;
use crate::links::Link;

/// Time from a send until its target is shown to have read it from which on this is logged.
const LATE: Ms = Ms::secs(1);

#[derive(Debug)]
struct Sent {
    id: u64,
    at: Ms,
}

/// Sends that one target is not known to have read.
#[derive(Debug, Default)]
pub(crate) struct Unread {
    next: u64,
    list: Vec<Sent>,
}

impl Unread {
    fn add(&mut self, at: Ms) -> u64 {
        self.next += 1;
        self.list.push(Sent { id: self.next, at });
        self.next
    }

    /// Takes the send of this id, and those before it.
    fn read_up_to(&mut self, id: u64) -> Vec<Sent> {
        self.list.extract_if(.., |sent| sent.id <= id).collect()
    }

    fn remove(&mut self, id: u64) {
        self.list.retain(|sent| sent.id != id);
    }
}

/// A send that has been written. If it is dropped, its target may still have to read it.
pub(crate) struct Written {
    core: Arc<Core>,
    link: Arc<Link>,
    id: u64,
}

impl Written {
    /// Records a send that is written now.
    pub(crate) fn begin(core: &Arc<Core>, link: &Arc<Link>) -> Self {
        let id = link.unread().add(core.clock.now());
        Self { core: core.clone(), link: link.clone(), id }
    }

    /// Records that the target has answered: it has read what was sent to it until then.
    pub(crate) fn answered(self) {
        let now = self.core.clock.now();
        let service: &PoolId = &self.link.entry.service;
        for sent in self.link.unread().read_up_to(self.id) {
            let took = now - sent.at;
            self.core.metrics.send_read(service.as_str(), took);
            if sent.id < self.id && took >= LATE {
                note!(
                    logs::Event::SendReadLate,
                    target = self.link.name(),
                    service = %service,
                    after_ms = took.0
                );
            }
        }
    }

    /// Records that the target will not read it: it was not written, or the target has closed the
    /// connection.
    pub(crate) fn close(self) {
        self.link.unread().remove(self.id);
    }
}
