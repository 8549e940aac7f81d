//! Results that are given up: gathered, told to their targets, and their room counted as free.

use base::{Ms, PoolId, TargetId};
use sched::batch::Event;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{StageFree, StageRelease};

use super::{ANSWER_BYTES, Composer, OWN_CALL, Service, lock};
use crate::results;
use crate::send::send;

/// Time for which freed results are gathered into one call, ms: a call for each would cost the
/// target more than the room is worth for so short a time.
const FREE_WAIT: Ms = Ms(20);
/// Wait for the answer to such a call, ms.
const FREE_SILENCE: Ms = Ms(1_000);
/// Time after the beginning of a call in which a target reads its inputs, ms: there and back to a
/// target in another region, and the bytes.
pub(super) const READ_TIME: Ms = Ms(80);

impl Composer {
    /// Results are given up, or were read.
    pub(crate) fn free(self: &Arc<Self>, free: StageFree) {
        let Some(service) = self.service(&PoolId::from(free.service.as_str())) else { return };
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
            state.freed.entry(target).or_default().push(handle);
        }
        drop(state);
        if first {
            tokio::spawn(self.clone().tell_freed(service.clone()));
        }
    }

    async fn tell_freed(self: Arc<Self>, service: Arc<Service>) {
        tokio::time::sleep(FREE_WAIT.duration()).await;
        let freed = std::mem::take(&mut lock(&service.state).freed);
        let calls =
            freed.into_iter().map(|(target, handles)| self.tell_target(&service, target, handles));
        futures::future::join_all(calls).await;
    }

    async fn tell_target(
        self: &Arc<Self>,
        service: &Arc<Service>,
        target: TargetId,
        handles: Vec<String>,
    ) {
        let link = self.core.links().named(&target).cloned();
        // What a target in need takes is for work; there the results lapse.
        if let Some(link) = link.filter(|l| !l.limit().is_active()) {
            let build = || self.core.dialect.stage_free(link.name(), &handles);
            // Not heard, the results go when their time to live is over.
            if let Ok(answered) = send(&self.core, &link, OWN_CALL, FREE_SILENCE, build).await {
                let read = link::read(answered.body, ANSWER_BYTES);
                if let Ok(Ok(_)) = tokio::time::timeout(FREE_SILENCE.duration(), read).await {
                    answered.lease.close();
                }
            }
        }
        // Only now is there room for others.
        for handle in handles {
            self.feed(service, Event::Freed(target.clone(), handle));
        }
    }

    /// Tells who composed them that results have been read, after `wait`.
    ///
    /// A target reads the inputs of a call when its turn comes. Held until the call ends, they lie
    /// at their own targets for as long again, and where room is short calls there shrink to what
    /// is left of it: the stage before loses a third of what it can do. Where it is not, a piece
    /// that fails finds its inputs when it is made again.
    pub(super) fn spare(self: &Arc<Self>, wait: Ms, mut read: Vec<StageRelease>) {
        read.iter_mut().filter_map(|r| r.free.as_mut()).for_each(|free| free.spare = true);
        self.release(wait, read);
    }

    /// Gives results up after `wait`.
    pub(super) fn release(self: &Arc<Self>, wait: Ms, release: Vec<StageRelease>) {
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
                        results::tell(&composer.core, addr, free).await;
                    }
                    _ => composer.free(free),
                }
            }
        });
    }
}
