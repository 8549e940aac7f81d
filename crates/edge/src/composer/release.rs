//! Releases results that nobody needs any more: collects their handles, tells the targets that hold
//! them, and then counts their room as free.

use base::{Ms, PoolId, TargetId};
use catalog::Residency;
use sched::batch::Event;
use sched::holders::HeldResult;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{StageFree, StageRelease};

use super::{Composer, MAX_ANSWER_BYTES, NO_REQUEST_ID, Service, lock};
use crate::results;
use crate::send::{IfClosed, Sending, Via, Wait, send};

/// How long freed results are collected for one call: a call for each would cost the target more
/// than having the room back a few milliseconds sooner is worth.
const FREE_DELAY: Ms = Ms(20);
/// How long to wait for the answer to such a call.
const FREE_TIMEOUT: Ms = Ms(1_000);
/// Time after the start of a call within which the target has read its inputs: a round trip to a
/// target in another region, and the transfer.
pub(super) const READ_TIME: Ms = Ms(80);

impl Composer {
    /// Handles a notice that results are released, or that they have been read (`spare`) and may be
    /// kept while there is room.
    pub(crate) fn free(self: &Arc<Self>, free: StageFree) {
        let Some(service) = self.service(&PoolId::from(free.service.as_str()), None) else {
            return;
        };
        let made = free.results.into_iter().filter(|r| !r.handle.is_empty());
        let made = made.map(|r| (r.target.into(), r.handle));
        match free.spare {
            true => made.for_each(|(target, handle)| {
                self.feed(&service, Event::Read(target, handle));
            }),
            false => self.free_results(&service, made.collect()),
        }
    }

    pub(super) fn free_results(
        self: &Arc<Self>,
        service: &Arc<Service>,
        freed: Vec<(TargetId, String)>,
    ) {
        if freed.is_empty() {
            return;
        }
        let mut state = lock(&service.state);
        let first = state.freed.is_empty();
        for (target, handle) in freed {
            let result = HeldResult { target, handle };
            state.holders.release(&result);
            let HeldResult { target, handle } = result;
            state.freed.entry(target).or_default().push(handle);
        }
        drop(state);
        if first {
            tokio::spawn(self.clone().flush_freed(service.clone()));
        }
    }

    async fn flush_freed(self: Arc<Self>, service: Arc<Service>) {
        tokio::time::sleep(FREE_DELAY.duration()).await;
        let freed = std::mem::take(&mut lock(&service.state).freed);
        let calls =
            freed.into_iter().map(|(target, handles)| self.send_free(&service, target, handles));
        futures::future::join_all(calls).await;
    }

    async fn send_free(
        self: &Arc<Self>,
        service: &Arc<Service>,
        target: TargetId,
        handles: Vec<String>,
    ) {
        let link = self.core.links().named(&target).cloned();
        // A target that limits its request rate has no requests to spare for this: there the
        // results stay until their time to live ends.
        if let Some(link) = link.filter(|l| !l.limit().is_active()) {
            let build = || self.core.dialect.stage_free(link.name(), &handles);
            let wait = Wait::Fixed(FREE_TIMEOUT);
            // If the call fails, the target drops the results when their time to live ends.
            if let Ok(answered) = send(
                &self.core,
                &link,
                &Residency::Anywhere,
                Sending { id: NO_REQUEST_ID, exposed: &[], retries: None },
                wait,
                Via::Pool(IfClosed::Reopen),
                build,
            )
            .await
            {
                let read = link::read(answered.body, MAX_ANSWER_BYTES);
                if let Ok(Ok(_)) = tokio::time::timeout(FREE_TIMEOUT.duration(), read).await {
                    answered.lease.close();
                }
            }
        }
        // The room counts as free only after the target was told.
        for handle in handles {
            self.feed(service, Event::Freed(target.clone(), handle));
        }
    }

    /// Tells the hosts that composed the calls for these results that they have been read, after
    /// `wait`. Their targets then keep them only while there is room.
    ///
    /// A target reads the inputs of a call when it starts the call. If the inputs were held until
    /// the call ended, they would occupy the targets that hold them for as long again; where room
    /// is short, calls there shrink to what is left, and the previous stage loses a third of its
    /// throughput. Where room is plentiful the inputs stay, so that a piece that fails still finds
    /// them when it is made again.
    pub(super) fn release_read(self: &Arc<Self>, wait: Ms, mut read: Vec<StageRelease>) {
        read.iter_mut().filter_map(|r| r.free.as_mut()).for_each(|free| free.spare = true);
        self.release(wait, read);
    }

    /// Releases results after `wait`.
    pub(crate) fn release(self: &Arc<Self>, wait: Ms, release: Vec<StageRelease>) {
        if release.is_empty() {
            return;
        }
        let composer = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait.duration()).await;
            for StageRelease { owner, free } in release {
                let Some(free) = free else { continue };
                let addr = owner.parse::<SocketAddr>();
                match addr {
                    Ok(addr) if addr != composer.core.settings().peer => {
                        results::notify_owner(&composer, addr, free).await;
                    }
                    _ => composer.free(free),
                }
            }
        });
    }
}
