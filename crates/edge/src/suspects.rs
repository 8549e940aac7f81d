//! What of a request may end targets: the shared parts of its prompt, and the request as a whole.

use base::{Suspect, hash_parts};
use std::sync::Arc;

use crate::dialect::RequestHead;
use crate::exposures::Exposed;

/// What of a request may end targets.
#[derive(Clone, Debug)]
pub(crate) struct Suspects {
    parts: Arc<[u64]>,
    key: u64,
    /// Its keys at the targets of its stages.
    stages: Arc<[u64]>,
}

impl Suspects {
    /// Those of a request with this many stages. Its key is the same whenever the caller sends the same
    /// request again, whatever the configuration calls its route.
    pub(crate) fn new(
        head: &RequestHead,
        path: &str,
        workspace: &str,
        body: &[u8],
        stages: usize,
    ) -> Self {
        let key = hash_parts(&[path.as_bytes(), workspace.as_bytes(), body]);
        let stage = |i: usize| hash_parts(&[&key.to_le_bytes(), &i.to_le_bytes()]);
        Self { parts: shared_parts(head), key, stages: (0..stages).map(stage).collect() }
    }

    /// The request's key at the target that answers it.
    pub(crate) fn key(&self) -> u64 {
        self.key
    }

    /// The request's key at the targets of a stage. It is another one, since a stage that is run well
    /// says nothing of the others.
    pub(crate) fn stage_key(&self, stage: usize) -> Option<u64> {
        self.stages.get(stage).copied()
    }

    /// The shared parts of its prompt, in order.
    pub(crate) fn parts(&self) -> &Arc<[u64]> {
        &self.parts
    }

    /// What the target that answers it is exposed to.
    pub(crate) fn exposed(&self) -> Exposed {
        Exposed { request: Some(self.key), parts: self.parts.clone() }
    }

    /// All of them.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Suspect> + '_ {
        let parts = self.parts.iter().map(|part| Suspect::Part(*part));
        let keys = std::iter::once(&self.key).chain(self.stages.iter());
        parts.chain(keys.map(|key| Suspect::Request(*key)))
    }
}

/// The shared parts of a prompt, in order.
pub(crate) fn shared_parts(head: &RequestHead) -> Arc<[u64]> {
    head.shared_parts().iter().map(|part| part.id).collect()
}
