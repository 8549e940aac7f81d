//! Sends that a target may not have read yet, and the retries that they have taken.
//!
//! A stopped process reads what was sent to it when it goes on, also from connections that this host
//! has closed since. So a send stays here after its request has ended, until the target is shown to
//! have read it: it has answered, or has answered another request that was sent later.
//!
//! Targets count all arrivals of a request but the first one, whichever that is. So its retries count
//! from when they are taken until all of its sends have been read.

use base::{Ms, PoolId};
use logs::note;
use sched::budget::Spender;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};

use crate::core::Core;
use crate::links::Link;

/// Time from a send until its target is shown to have read it from which on this is logged.
const LATE: Ms = Ms::secs(1);

/// The retries that one request has taken from a service's budget.
pub(crate) struct Retries {
    core: Weak<Core>,
    service: PoolId,
    spender: Spender,
    taken: AtomicUsize,
    /// Number of sends that targets may still have to read, or that a retry was taken for.
    unread: AtomicUsize,
    /// Number of retries whose sends have not been written.
    unwritten: AtomicUsize,
}

impl Retries {
    /// None so far.
    pub(crate) fn new(core: &Arc<Core>, service: &PoolId, spender: Spender) -> Arc<Self> {
        Arc::new(Self {
            core: Arc::downgrade(core),
            service: service.clone(),
            spender,
            taken: AtomicUsize::new(0),
            unread: AtomicUsize::new(0),
            unwritten: AtomicUsize::new(0),
        })
    }

    /// Takes a retry, if there is one left.
    pub(crate) fn take(&self) -> bool {
        let Some(core) = self.core.upgrade() else { return false };
        let granted = core.budget(self.spender).send(core.clock.now(), &self.service);
        core.metrics.retry(self.service.as_str(), if granted { "granted" } else { "denied" });
        if granted {
            let counts = [&self.taken, &self.unread, &self.unwritten];
            for count in counts {
                count.fetch_add(1, Ordering::Relaxed);
            }
        }
        granted
    }

    /// Takes a retry for each of so many pieces, or none.
    pub(crate) fn take_all(&self, pieces: usize) -> bool {
        let granted = (0..pieces).take_while(|_| self.take()).count();
        if granted < pieces {
            self.give_back(granted);
        }
        granted == pieces
    }

    fn give_back(&self, retries: usize) {
        let Some(core) = self.core.upgrade() else { return };
        core.budget(self.spender).give_back(core.clock.now(), &self.service, retries);
        let counts = [&self.taken, &self.unread, &self.unwritten];
        for count in counts {
            count.fetch_sub(retries, Ordering::Relaxed);
        }
    }

    fn settle(&self) {
        let taken = self.taken.swap(0, Ordering::Relaxed);
        if let Some(core) = self.core.upgrade().filter(|_| taken > 0) {
            core.budget(self.spender).read(core.clock.now(), &self.service, taken);
        }
    }
}

impl Drop for Retries {
    fn drop(&mut self) {
        self.settle();
    }
}

/// A send of a request, until its target is shown to have read it.
struct UnreadSend(Arc<Retries>);

impl UnreadSend {
    fn new(retries: &Arc<Retries>) -> Self {
        let one_less = |n: usize| n.checked_sub(1);
        let taken = retries.unwritten.fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less);
        if taken.is_err() {
            retries.unread.fetch_add(1, Ordering::Relaxed);
        }
        Self(retries.clone())
    }
}

impl Drop for UnreadSend {
    fn drop(&mut self) {
        if self.0.unread.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.settle();
        }
    }
}

struct Sent {
    id: u64,
    at: Ms,
    /// None for a call of this host's own.
    _send: Option<UnreadSend>,
}

/// Sends that one target is not known to have read.
#[derive(Default)]
pub(crate) struct Unread {
    next: u64,
    list: Vec<Sent>,
}

impl Unread {
    fn add(&mut self, at: Ms, retries: Option<&Arc<Retries>>) -> u64 {
        self.next += 1;
        self.list.push(Sent { id: self.next, at, _send: retries.map(UnreadSend::new) });
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
    pub(crate) fn begin(
        core: &Arc<Core>,
        link: &Arc<Link>,
        retries: Option<&Arc<Retries>>,
    ) -> Self {
        let id = link.unread().add(core.clock.now(), retries);
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
