//! Serves idempotency-key claims of other hosts from this host's journal.

use async_trait::async_trait;
use journal::Sharded;
use peer::Claims;
use std::sync::Arc;
use wire::{Claim, Finish, Grant};

/// Server side of the journal's peer protocol.
pub(crate) struct JournalClaims(pub(crate) Arc<Sharded>);

#[async_trait]
impl Claims for JournalClaims {
    async fn claim(&self, claim: Claim) -> Grant {
        self.0.serve_claim(claim).await
    }

    async fn finish(&self, finish: Finish) -> bool {
        self.0.serve_finish(finish).await
    }
}
