//! The journal of one host: finds each key's shard, and who writes it.

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

use crate::book::Holder;
use crate::layout::Layout;
use crate::message;
use crate::op::{Claimed, Op, OpKind};
use crate::shared::Shared;
use crate::writer::Writer;
use crate::{Claim, ClaimResult, Journal, JournalError, Outcome};

/// How long an outcome is tried to be recorded before its caller is told that it isn't.
const FINISH_KEEP: Ms = Ms::secs(60);
/// Writers that a claim is sent to before its own host writes.
const WRITERS: usize = 2;
/// Wait until a preferred writer that failed is tried again.
const AVOID_MS: Ms = Ms::secs(1);

/// Who this host is.
#[derive(Clone, Debug)]
pub struct ShardedConfig {
    /// Its name.
    pub host: HostId,
    /// Which run of it this is: a later start has a higher one.
    pub incarnation: u64,
    /// The journal's settings.
    pub rules: JournalSettings,
}

/// At-most-once records in shard objects, many keys a write.
///
/// Each shard has a preferred writer among the live hosts, by rendezvous hash, to which the others
/// send their keys, so that one write carries all of them. Who writes is only a hint: hosts that
/// disagree race on the object's version, and the loser reads again. A lease would have to be
/// waited out when its holder dies, and a holder that was paused would still act on it.
pub struct Sharded {
    shared: Arc<Shared>,
    peers: Arc<dyn Peers>,
    state: Mutex<State>,
}

/// What the preferred writer is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Errand {
    /// A caller waits.
    Claim,
    /// Nobody waits.
    Finish,
}

#[derive(Default)]
struct State {
    writers: BTreeMap<u32, (mpsc::UnboundedSender<Op>, JoinHandle<()>)>,
    /// Preferred writers that failed, and when one is tried again.
    avoid: HashMap<HostId, Ms>,
    closed: bool,
}

impl Sharded {
    /// A journal without any open shard; nothing is read before a key needs it.
    pub fn new(
        config: ShardedConfig,
        api: Arc<dyn Api>,
        clock: Arc<dyn Clock>,
        peers: Arc<dyn Peers>,
        view: Arc<dyn View>,
    ) -> Self {
        let me = Holder { host: config.host.to_string(), incarnation: config.incarnation };
        let layout = Layout::new(&config.rules);
        let agreed = AtomicBool::new(false);
        let shared = Shared { api, clock, view, me, rules: config.rules, layout, agreed };
        Self { shared: Arc::new(shared), peers, state: Mutex::default() }
    }

    /// The preferred writer of a key as this host sees it now.
    pub fn writer(&self, claim: &Claim) -> HostId {
        let other = self.preferred(self.shard(claim), Errand::Claim).map(|h| h.host);
        other.unwrap_or_else(|| HostId::from(self.shared.me.host.as_str()))
    }

    fn shard(&self, claim: &Claim) -> u32 {
        self.shared.layout.shard(claim.workspace.as_str(), claim.key)
    }

    /// Answers another host's claim, as [`peer::Serves::claim`].
    pub async fn serve_claim(&self, claim: wire::Claim) -> Grant {
        let Some(read) = message::claim(&claim) else {
            return message::grant(Claimed::refused(false));
        };
        let by = Holder { host: claim.host, incarnation: claim.incarnation };
        message::grant(self.start(&read, by, self.serve_ms()).await)
    }

    /// Answers another host's finish, as [`peer::Serves::finish`].
    pub async fn serve_finish(&self, finish: Finish) -> bool {
        let Some(outcome) = message::outcome(&finish) else { return false };
        let claim = wire::Claim {
            workspace: finish.workspace,
            key: finish.key,
            attempt: finish.attempt,
            ..wire::Claim::default()
        };
        let Some(claim) = message::claim(&claim) else { return false };
        self.record(&claim, outcome, self.serve_ms()).await.is_ok()
    }

    /// Longest wait for another host, so that this one's own try still fits.
    fn hop_ms(&self) -> Ms {
        self.shared.rules.claim_ms.scale(1, 2)
    }

    /// Longest wait on another host's behalf: it must hear of a platform that doesn't answer before
    /// it takes this host for dead and all write on their own.
    fn serve_ms(&self) -> Ms {
        self.shared.rules.claim_ms.scale(1, 5)
    }

    fn expired(&self, key: Key) -> bool {
        let (now, rules) = (self.shared.clock.now(), &self.shared.rules);
        key.time() + rules.window_ms < now || key.time() > now + rules.ahead_ms
    }

    /// The preferred writer of a shard, unless it is this host.
    ///
    /// One that failed is passed over, and the next one takes over at once, until an outcome has
    /// got through to it: nobody waits for an outcome. Were claims to try it again, a dead host
    /// that is still in the view would hold up some of them each second.
    fn preferred(&self, shard: u32, on: Errand) -> Option<ViewHost> {
        let hosts = self.shared.view.hosts();
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.avoid.retain(|host, _| hosts.iter().any(|h| h.host == *host));
        let good = |host: &&ViewHost| match state.avoid.get(&host.host) {
            None => true,
            Some(again) => on == Errand::Finish && *again <= now,
        };
        let live = hosts.iter().filter(good);
        let best = base::rendezvous(&shard.to_le_bytes(), live, |h| h.host.as_str())?;
        if let Some(again) = state.avoid.get_mut(&best.host) {
            *again = now + AVOID_MS;
        }
        (best.host.as_str() != self.shared.me.host).then(|| best.clone())
    }

    fn avoid(&self, host: &HostId) {
        let until = self.shared.clock.now() + AVOID_MS;
        self.lock().avoid.insert(host.clone(), until);
    }

    /// Claims through a preferred writer, or here when none can.
    async fn claim(&self, claim: &Claim) -> Claimed {
        let (asked, to) = self.ask_writers(claim).await;
        let (wait, open) = match asked {
            Some(Claimed { granted: ClaimResult::Unavailable, open }) => (self.hop_ms(), open),
            Some(claimed) => return claimed,
            None => (self.shared.rules.claim_ms, false),
        };
        let own = self.start(claim, self.shared.me.clone(), wait).await;
        // The writer couldn't, and this host can: the writer is cut off from the platform.
        if let Some(to) = to.filter(|_| own.granted != ClaimResult::Unavailable) {
            self.avoid(&to.host);
        }
        Claimed { open: open || own.open, ..own }
    }

    /// Asks the preferred writer, and the next one when it doesn't answer: were each host to write
    /// what a dead writer left, all would race on one object.
    async fn ask_writers(&self, claim: &Claim) -> (Option<Claimed>, Option<ViewHost>) {
        let (mut asked, mut open) = (None, false);
        for _ in 0..WRITERS {
            let Some(to) = self.preferred(self.shard(claim), Errand::Claim) else { break };
            let claimed = self.ask(claim, &to).await;
            open |= claimed.open;
            let refused = claimed.granted == ClaimResult::Unavailable;
            asked = Some(Claimed { open, ..claimed });
            if !refused || !self.lock().avoid.contains_key(&to.host) {
                return (asked, Some(to));
            }
        }
        (asked, None)
    }

    /// Asks another host. A lost answer leaves open whether the key was recorded.
    async fn ask(&self, claim: &Claim, to: &ViewHost) -> Claimed {
        let message = wire::Claim {
            workspace: claim.workspace.to_string(),
            key: claim.key.to_string(),
            attempt: claim.attempt.to_string(),
            host: self.shared.me.host.clone(),
            incarnation: self.shared.me.incarnation,
        };
        let asked = timeout(self.hop_ms().duration(), self.peers.claim(to.address, message));
        match asked.await {
            Ok(Ok(grant)) => message::claimed(grant),
            Ok(Err(peer::PeerError::Unreachable)) => {
                self.avoid(&to.host);
                Claimed::refused(false)
            }
            Ok(Err(_)) | Err(_) => {
                self.avoid(&to.host);
                Claimed::refused(true)
            }
        }
    }

    /// Claims a key through this host's own writer.
    async fn start(&self, claim: &Claim, by: Holder, wait: Ms) -> Claimed {
        let (reply, answer) = oneshot::channel();
        if !self.push(claim, by, wait, OpKind::Start(reply)) {
            return Claimed::refused(false);
        }
        // A writer that ended without an answer may have sent the claim.
        answer.await.unwrap_or(Claimed::refused(true))
    }

    /// Records an outcome through this host's own writer.
    async fn record(&self, claim: &Claim, outcome: Outcome, wait: Ms) -> Result<(), JournalError> {
        let (reply, answer) = oneshot::channel();
        let me = self.shared.me.clone();
        if !self.push(claim, me, wait, OpKind::Finish(outcome, reply)) {
            return Err(JournalError::Unavailable);
        }
        answer.await.unwrap_or(Err(JournalError::Unavailable))
    }

    /// Records an outcome through the preferred writer.
    async fn hand(&self, claim: &Claim, outcome: &Outcome) -> bool {
        let Some(to) = self.preferred(self.shard(claim), Errand::Finish) else { return false };
        let message = message::finish(claim, outcome);
        let asked = timeout(self.hop_ms().duration(), self.peers.finish(to.address, message));
        match asked.await {
            Ok(Ok(recorded)) => {
                self.lock().avoid.remove(&to.host);
                recorded
            }
            // Claims find out whether it is dead; a slow platform shows here first.
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// The claim of a refused attempt may still land, and would hold its key for good. A record
    /// that it was given up fences it: a claim that lands later has lost its condition, and one
    /// that landed is released. This host alone may do that, as it alone knows that the attempt
    /// never runs.
    fn abandon(&self, claim: &Claim) {
        let keep = self.shared.rules.window_ms + self.shared.rules.ahead_ms;
        self.push(claim, self.shared.me.clone(), keep, OpKind::Abandon);
    }

    fn push(&self, claim: &Claim, by: Holder, wait: Ms, kind: OpKind) -> bool {
        let since = self.shared.clock.now();
        let op = Op { claim: claim.clone(), by, until: since + wait, since, open: None, kind };
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
        let Claimed { granted, open } = self.claim(claim).await;
        // A write that was sent for it may land after whatever was read since.
        if open && !matches!(granted, ClaimResult::Granted | ClaimResult::Answered(_)) {
            self.abandon(claim);
        }
        granted
    }

    async fn finish(&self, claim: &Claim, outcome: Outcome) -> Result<(), JournalError> {
        if self.hand(claim, &outcome).await {
            return Ok(());
        }
        self.record(claim, outcome, FINISH_KEEP).await
    }

    async fn close(&self) {
        let writers = {
            let mut state = self.lock();
            state.closed = true;
            std::mem::take(&mut state.writers)
        };
        let tasks: Vec<_> = writers.into_values().map(|(_, task)| task).collect();
        for task in tasks {
            // A writer that failed has nothing more to write.
            let _ = task.await;
        }
    }
}
