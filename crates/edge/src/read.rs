//! Calls that read from the platform's store.

use base::Ms;
use catalog::Position;
use logs::note;

use crate::core::Core;
use crate::directory::{Directory, DirectoryError, Kind, Positioned, Record};

/// Time-out for a response of the store: sixty times its usual response time.
pub(crate) const STORE_TIMEOUT: Ms = Ms(700);

/// The records of a kind.
pub(crate) struct Listed {
    pub(crate) records: Vec<Record>,
    /// The position from which to watch for changes.
    pub(crate) position: Position,
    /// Whether these are all. Otherwise one that is missing may exist all the same.
    pub(crate) whole: bool,
}

/// Reads all records of a kind.
pub(crate) async fn list(
    core: &Core,
    directory: &dyn Directory,
    kind: Kind,
) -> Result<Listed, DirectoryError> {
    let mut records = Vec::new();
    let mut after: Option<String> = None;
    let mut first: Option<Position> = None;
    let mut whole = true;
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
        whole &= page.whole;
        // A page that ends with the name after which it was asked for would come again and again.
        if page.next.is_none() || page.next == after {
            break;
        }
        after = page.next;
    }
    if !whole {
        note!(logs::Event::ListIncomplete, kind = ?kind, records = records.len());
    }
    Ok(Listed { records, position: first.unwrap_or_default(), whole })
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
