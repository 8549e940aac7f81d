//! Serves calls of other hosts: stage work for the composer, and notices and queries for this
//! host's shared state.

use async_trait::async_trait;
use base::Ms;
use peer::StageServer;
use std::sync::Arc;
use tokio::net::TcpStream;
use wire::{
    Holder, HostNews, OriginAnswer, OriginQuery, PartAnswer, PartQuery, StageFree, StageLoads,
    StageResults, StageWork, StoreNews, StoreQuery, SubjectQuery, SubjectReaders,
};

use super::Composer;
use super::holders::holder;
use crate::{diagnose, dial, notices, origin, shared};

/// Handler of other hosts' calls.
pub(crate) struct StageService(pub(crate) Arc<Composer>);

#[async_trait]
impl StageServer for StageService {
    async fn submit(&self, work: StageWork) -> StageResults {
        let _open = self.0.open_guest();
        self.0.submit(work, None).await
    }

    async fn loads(&self) -> StageLoads {
        self.0.loads()
    }

    async fn disconnected(&self, gone: Holder) {
        self.0.disconnected(holder(gone)).await;
    }

    async fn free(&self, free: StageFree) {
        self.0.free(free);
    }

    async fn news(&self, news: HostNews) {
        for prompt in news.prompts {
            self.0.core.record_remote_prompt(&prompt.target, Ms(prompt.time_ms));
        }
        news.limits.iter().for_each(|limit| notices::apply_from_peer(&self.0.core, limit));
        if !news.ends.is_empty() {
            diagnose::receive_ends(&self.0.core, &news.ends);
        }
        for found in news.found {
            diagnose::receive_found(&self.0.core, found);
        }
        news.origins.into_iter().for_each(|begun| origin::told(&self.0.core, begun));
        let mut subjects = self.0.core.subjects();
        for read in news.reads {
            subjects.record(&read.service, read.subject, &read.target);
        }
    }

    async fn readers(&self, query: SubjectQuery) -> SubjectReaders {
        let targets = self.0.core.subjects().readers(&query.service, query.subject);
        SubjectReaders { targets }
    }

    async fn store(&self, query: StoreQuery) -> StoreNews {
        shared::answer(&self.0.core, query).await
    }

    async fn origin(&self, query: OriginQuery) -> OriginAnswer {
        origin::answer(&self.0.core, query).await
    }

    async fn parts(&self, query: PartQuery) -> PartAnswer {
        diagnose::answer(&self.0.core, &query)
    }

    async fn connect(&self, target: &str) -> Option<TcpStream> {
        dial::open_for_peer(&self.0.core, target).await
    }
}
