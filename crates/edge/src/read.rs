//! Calls that read from the platform's store.

use base::Ms;
use catalog::Position;

use crate::core::Core;
use crate::directory::{Directory, DirectoryError, Kind, Positioned, Record};

/// Time-out for a response of the store: sixty times its usual response time.
pub(crate) const STORE_TIMEOUT: Ms = Ms(700);

/// Reads all records of a kind. Also returns the position from which to watch for changes.
pub(crate) async fn list(
    core: &Core,
    directory: &dyn Directory,
    kind: Kind,
) -> Result<(Vec<Record>, Position), DirectoryError> {
    let mut records = Vec::new();
    let mut after: Option<String> = None;
    let mut first: Option<Position> = None;
    loop {
        let list = || directory.list(kind, after.as_deref());
        core.metrics.store_call("list");
        let page = read(core, STORE_TIMEOUT, list).await?;
        records.extend(page.records);
        // Of the first page: the watch from there also reports changes made between two pages.
        let since = *first.get_or_insert(page.position);
        if page.position.era != since.era {
            return Err(DirectoryError::Restored);
        }
        match page.next {
            Some(next) => after = Some(next),
            None => return Ok((records, since)),
        }
    }
}

/// One call that reads from the store. An answer from before the store came back from an older copy
/// is late, and says nothing of what the store holds now.
pub(crate) async fn read<T, F>(
    core: &Core,
    within: Ms,
    call: impl Fn() -> F,
) -> Result<T, DirectoryError>
where
    T: Positioned,
    F: Future<Output = Result<T, DirectoryError>>,
{
    let answer = call_store(core, within, call).await?;
    match core.note_era(answer.position().era) {
        true => Ok(answer),
        false => Err(DirectoryError::Restored),
    }
}

/// One call to the store. If it failed because its time ran out while this host did not run, it is
/// sent once more: the store would count as unreachable, and another host would take over the
/// reading, although the store has answered.
async fn call_store<T, F>(
    core: &Core,
    within: Ms,
    call: impl Fn() -> F,
) -> Result<T, DirectoryError>
where
    F: Future<Output = Result<T, DirectoryError>>,
{
    let before = core.pauses.lost();
    match with_timeout(within, call()).await {
        Err(DirectoryError::Down) if core.pauses.excuses(before) => {
            with_timeout(within, call()).await
        }
        result => result,
    }
}

async fn with_timeout<T>(
    timeout: Ms,
    call: impl Future<Output = Result<T, DirectoryError>>,
) -> Result<T, DirectoryError> {
    tokio::time::timeout(timeout.duration(), call).await.unwrap_or(Err(DirectoryError::Down))
}
