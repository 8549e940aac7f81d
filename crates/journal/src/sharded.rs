//! The journal of one host: maps each key to its shard, and chooses the host that writes it.

use async_trait::async_trait;
use base::{Clock, HostId, Key, Ms};
use conf::JournalSettings;
use peer::{Peers, View, ViewHost};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use store::Api;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use wire::{Finish, Grant};

use crate::layout::Layout;
use crate::message;
use crate::op::{ClaimReply, Op, OpKind};
use crate::records::Holder;
use crate::shared::Shared;
use crate::writer::Writer;
use crate::{Claim, ClaimResult, Journal, JournalError, Outcome};

/// How long this host tries to record an outcome before it reports that it couldn't.
const FINISH_TIMEOUT_MS: Ms = Ms::secs(60);
/// Remote writers that are asked to record a claim before this host writes it itself.
const MAX_REMOTE_WRITERS: usize = 2;
/// Time after which a preferred writer that failed may be tried again.
const AVOID_MS: Ms = Ms::secs(1);

/// Settings of a host's journal.
#[derive(Clone, Debug)]
pub struct ShardedConfig {
    /// The host's name.
    pub host: HostId,
    /// Identifies this run of the host; a later start has a higher value.
    pub incarnation: u64,
    /// The journal's settings.
    pub rules: JournalSettings,
}

/// At-most-once records in shard objects, with many keys in each write.
///
/// Each shard has a preferred writer among the live hosts, chosen by rendezvous hashing. The other
/// hosts send it their keys, so that one write carries all of them. The choice is only a hint:
/// hosts that disagree race on the object's version, and the loser reads again. A lease would be
/// worse: it would have to expire after its holder dies, and a holder that was paused would still
/// act on it.
pub struct Sharded {
    shared: Arc<Shared>,
    peers: Arc<dyn Peers>,
    state: Mutex<State>,
}

/// What a preferred writer is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// A claim, for which a caller waits.
    Claim,
    /// An outcome, for which nobody waits.
    Finish,
}

#[derive(Default)]
struct State {
    writers: BTreeMap<u32, (mpsc::UnboundedSender<Op>, JoinHandle<()>)>,
    /// Preferred writers that failed, with the time from which each may be tried again.
    avoid: HashMap<HostId, Ms>,
    closed: bool,
}

impl Sharded {
    /// Creates a journal. No shard is read before a key needs it.
    pub fn new(
        config: ShardedConfig,
        api: Arc<dyn Api>,
        clock: Arc<dyn Clock>,
        peers: Arc<dyn Peers>,
        view: Arc<dyn View>,
    ) -> Self {
        let own_holder = Holder { host: config.host.to_string(), incarnation: config.incarnation };
        let layout = Layout::new(&config.rules);
        let layout_confirmed = AtomicBool::new(false);
        let shared =
            Shared { api, clock, view, own_holder, rules: config.rules, layout, layout_confirmed };
        Self { shared: Arc::new(shared), peers, state: Mutex::default() }
    }

    /// The preferred writer of a key in this host's current view.
    pub fn writer(&self, claim: &Claim) -> HostId {
        let other = self.preferred(self.shard(claim), Purpose::Claim).map(|h| h.host);
        other.unwrap_or_else(|| HostId::from(self.shared.own_holder.host.as_str()))
    }

    fn shard(&self, claim: &Claim) -> u32 {
        self.shared.layout.shard(claim.workspace.as_str(), claim.key)
    }

    /// Answers another host's claim, for [`peer::PeerHandler::claim`].
    pub async fn serve_claim(&self, claim: wire::Claim) -> Grant {
        let Some(parsed) = message::claim(&claim) else {
            return message::grant(ClaimReply::refused(false));
        };
        let holder = Holder { host: claim.host, incarnation: claim.incarnation };
        message::grant(self.claim_locally(&parsed, holder, self.serve_timeout_ms()).await)
    }

    /// Answers another host's finish, for [`peer::PeerHandler::finish`].
    pub async fn serve_finish(&self, finish: Finish) -> bool {
        let Some(outcome) = message::outcome(&finish) else { return false };
        let claim = wire::Claim {
            workspace: finish.workspace,
            key: finish.key,
            attempt: finish.attempt,
            ..wire::Claim::default()
        };
        let Some(claim) = message::claim(&claim) else { return false };
        self.finish_locally(&claim, outcome, self.serve_timeout_ms()).await.is_ok()
    }

    /// Longest wait for another host; it leaves time for this host to write the claim itself.
    fn remote_timeout_ms(&self) -> Ms {
        self.shared.rules.claim_ms.scale(1, 2)
    }

    /// Longest time spent on another host's request. During an outage of the object API the other
    /// host must get a reply before it takes this host for dead; otherwise all hosts would write on
    /// their own.
    fn serve_timeout_ms(&self) -> Ms {
        self.shared.rules.claim_ms.scale(1, 5)
    }

    fn expired(&self, key: Key) -> bool {
        let (now, rules) = (self.shared.clock.now(), &self.shared.rules);
        key.time() + rules.window_ms < now || key.time() > now + rules.ahead_ms
    }

    /// The preferred writer of a shard, unless it is this host.
    ///
    /// A writer that failed is skipped and the next one takes over at once, until an outcome was
    /// delivered to the failed one: nobody waits for outcomes. If claims tried it again, a dead
    /// host that is still in the view would delay some of them every second.
    fn preferred(&self, shard: u32, purpose: Purpose) -> Option<ViewHost> {
        let hosts = self.shared.view.hosts();
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.avoid.retain(|host, _| hosts.iter().any(|h| h.host == *host));
        let is_usable = |host: &&ViewHost| match state.avoid.get(&host.host) {
            None => true,
            Some(retry_at) => purpose == Purpose::Finish && *retry_at <= now,
        };
        let live = hosts.iter().filter(is_usable);
        let best = base::rendezvous(&shard.to_le_bytes(), live, |h| h.host.as_str())?;
        if let Some(retry_at) = state.avoid.get_mut(&best.host) {
            *retry_at = now + AVOID_MS;
        }
        (best.host.as_str() != self.shared.own_holder.host).then(|| best.clone())
    }

    fn avoid(&self, host: &HostId) {
        let retry_at = self.shared.clock.now() + AVOID_MS;
        self.lock().avoid.insert(host.clone(), retry_at);
    }

    /// Claims a key through a preferred writer, or through this host if none can record it.
    async fn claim(&self, claim: &Claim) -> ClaimReply {
        let (response, to) = self.claim_remotely(claim).await;
        let (wait, pending) = match response {
            Some(ClaimReply { result: ClaimResult::Unavailable, pending }) => {
                (self.remote_timeout_ms(), pending)
            }
            Some(reply) => return reply,
            None => (self.shared.rules.claim_ms, false),
        };
        let own = self.claim_locally(claim, self.shared.own_holder.clone(), wait).await;
        // The writer failed where this host succeeded, so it is cut off from the object API.
        if let Some(to) = to.filter(|_| own.result != ClaimResult::Unavailable) {
            self.avoid(&to.host);
        }
        ClaimReply { pending: pending || own.pending, ..own }
    }

    /// Sends the claim to the preferred writer, and to the next one if that doesn't answer. If
    /// every host wrote the keys of a dead writer itself, all would race on one object.
    async fn claim_remotely(&self, claim: &Claim) -> (Option<ClaimReply>, Option<ViewHost>) {
        let (mut response, mut pending) = (None, false);
        for _ in 0..MAX_REMOTE_WRITERS {
            let Some(to) = self.preferred(self.shard(claim), Purpose::Claim) else { break };
            let reply = self.claim_at(claim, &to).await;
            pending |= reply.pending;
            let refused = reply.result == ClaimResult::Unavailable;
            response = Some(ClaimReply { pending, ..reply });
            if !refused || !self.lock().avoid.contains_key(&to.host) {
                return (response, Some(to));
            }
        }
        (response, None)
    }

    /// Sends the claim to another host. If the reply is lost, the key may have been recorded.
    async fn claim_at(&self, claim: &Claim, to: &ViewHost) -> ClaimReply {
        let message = wire::Claim {
            workspace: claim.workspace.to_string(),
            key: claim.key.to_string(),
            attempt: claim.attempt.to_string(),
            host: self.shared.own_holder.host.clone(),
            incarnation: self.shared.own_holder.incarnation,
        };
        let response =
            timeout(self.remote_timeout_ms().duration(), self.peers.claim(to.address, message));
        match response.await {
            Ok(Ok(grant)) => message::reply_from(grant),
            Ok(Err(peer::PeerError::Unreachable)) => {
                self.avoid(&to.host);
                ClaimReply::refused(false)
            }
            Ok(Err(_)) | Err(_) => {
                self.avoid(&to.host);
                ClaimReply::refused(true)
            }
        }
    }

    /// Claims a key through this host's own writer.
    async fn claim_locally(&self, claim: &Claim, holder: Holder, wait: Ms) -> ClaimReply {
        let (sender, receiver) = oneshot::channel();
        if !self.enqueue(claim, holder, wait, OpKind::Start(sender)) {
            return ClaimReply::refused(false);
        }
        // A writer that ended without a reply may have sent the claim.
        receiver.await.unwrap_or(ClaimReply::refused(true))
    }

    /// Records an outcome through this host's own writer.
    async fn finish_locally(
        &self,
        claim: &Claim,
        outcome: Outcome,
        wait: Ms,
    ) -> Result<(), JournalError> {
        let (sender, receiver) = oneshot::channel();
        let own_holder = self.shared.own_holder.clone();
        if !self.enqueue(claim, own_holder, wait, OpKind::Finish(outcome, sender)) {
            return Err(JournalError::Unavailable);
        }
        receiver.await.unwrap_or(Err(JournalError::Unavailable))
    }

    /// Records an outcome through the preferred writer. False if it wasn't recorded there.
    async fn finish_remotely(&self, claim: &Claim, outcome: &Outcome) -> bool {
        let Some(to) = self.preferred(self.shard(claim), Purpose::Finish) else { return false };
        let message = message::finish(claim, outcome);
        let response =
            timeout(self.remote_timeout_ms().duration(), self.peers.finish(to.address, message));
        match response.await {
            Ok(Ok(recorded)) => {
                self.lock().avoid.remove(&to.host);
                recorded
            }
            // The writer is not avoided: it may be slow only because the object API is, which shows
            // here first. Claims detect whether it is dead.
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Records that this host gave up a claim. The claim of a refused attempt may still be recorded
    /// late, and would then hold its key for good. The record fences it: a claim that is written
    /// later fails its condition, and one that was written is released. Only this host may do that,
    /// as only it knows that the attempt never runs.
    fn abandon(&self, claim: &Claim) {
        let retention = self.shared.rules.window_ms + self.shared.rules.ahead_ms;
        self.enqueue(claim, self.shared.own_holder.clone(), retention, OpKind::Abandon);
    }

    fn enqueue(&self, claim: &Claim, holder: Holder, wait: Ms, kind: OpKind) -> bool {
        let queued = self.shared.clock.now();
        let op = Op {
            claim: claim.clone(),
            holder,
            deadline: queued + wait,
            queued,
            pending: None,
            kind,
        };
        let shard = self.shard(claim);
        let mut state = self.lock();
        if state.closed {
            return false;
        }
        let (ops, _) = state.writers.entry(shard).or_insert_with(|| {
            let (ops, queue) = mpsc::unbounded_channel();
            let writer = Writer::new(self.shared.clone(), shard, queue);
            (ops, tokio::spawn(writer.run()))
        });
        ops.send(op).is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Journal for Sharded {
    async fn register(&self, claim: &Claim) -> ClaimResult {
        if self.expired(claim.key) {
            return ClaimResult::Expired;
        }
        let ClaimReply { result, pending } = self.claim(claim).await;
        // A write that was sent for this claim may take effect after everything that was read
        // since.
        if pending && !matches!(result, ClaimResult::Granted | ClaimResult::Answered(_)) {
            self.abandon(claim);
        }
        result
    }

    async fn finish(&self, claim: &Claim, outcome: Outcome) -> Result<(), JournalError> {
        if self.finish_remotely(claim, &outcome).await {
            return Ok(());
        }
        self.finish_locally(claim, outcome, FINISH_TIMEOUT_MS).await
    }

    async fn close(&self) {
        let writers = {
            let mut state = self.lock();
            state.closed = true;
            std::mem::take(&mut state.writers)
        };
        let tasks: Vec<_> = writers.into_values().map(|(_, task)| task).collect();
        for task in tasks {
            // A writer task that panicked has nothing more to write.
            let _ = task.await;
        }
    }
}
