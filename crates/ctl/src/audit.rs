//! The audit trail: the newest records in the configuration object, older ones in page objects.
//!
//! A record is written by the same conditional write as its change, so neither exists without the
//! other. Every host reads the configuration object, so it must stay small: once it holds two pages
//! of records, the older page is moved to an object of its own. A page holds a fixed number of
//! generations, and generations have no gaps, so a page's name and content follow from its number
//! and all operators who write a page write the same content.

use base::Version;
use std::fmt::Write;
use store::{Api, StoreError};
use wire::{Audit, AuditPage, FleetObject};

use crate::{CtlError, format_utc};

/// Kind of the page objects.
pub const AUDIT_KIND: &str = "audit";
/// Records per page.
pub const PAGE_RECORDS: usize = 32;
/// Maximum number of page names that the configuration object lists.
const MAX_LISTED_PAGES: usize = 8;
/// Attempts to write a page while the responses are lost.
const PUT_ATTEMPTS: u32 = 3;

/// Name of a page; page 0 has the records of generations 1 to [`PAGE_RECORDS`].
pub fn page_name(page: u64) -> String {
    format!("page-{page:08}")
}

/// Moves records to pages until less than two pages of records are left.
///
/// The page is written before the change that removes its records from the configuration object.
/// A crash in between leaves them in both places, and the next operator's write of the page finds
/// it there. In the reverse order a crash would lose the records.
pub(crate) async fn move_to_pages(api: &dyn Api, object: &mut FleetObject) -> Result<(), CtlError> {
    while object.audit.len() >= 2 * PAGE_RECORDS {
        let name = page_name((object.audit[0].to - 1) / PAGE_RECORDS as u64);
        let page = AuditPage { audit: object.audit[..PAGE_RECORDS].to_vec() };
        put_page(api, &name, &page).await?;
        object.audit.drain(..PAGE_RECORDS);
        object.rolled.push(name);
        let extra = object.rolled.len().saturating_sub(MAX_LISTED_PAGES);
        object.rolled.drain(..extra);
    }
    Ok(())
}

async fn put_page(api: &dyn Api, name: &str, page: &AuditPage) -> Result<(), CtlError> {
    let body = serde_json::to_string(page)?;
    let mut result = api.put(AUDIT_KIND, name, Version(0), &body).await;
    for _ in 1..PUT_ATTEMPTS {
        // Repeating the write is safe: it succeeds only if the object doesn't exist yet.
        if result == Err(StoreError::OutcomeUnknown) {
            result = api.put(AUDIT_KIND, name, Version(0), &body).await;
        }
    }
    let Err(err) = result else { return Ok(()) };
    let StoreError::Conflict { .. } = err else { return Err(err.into()) };
    match read_page(api, name).await? {
        Some(found) if found == *page => Ok(()),
        Some(_) => Err(CtlError::ForeignPage(name.to_owned())),
        // Stale read: the page exists, but can't be compared now.
        None => Err(err.into()),
    }
}

async fn read_page(api: &dyn Api, name: &str) -> Result<Option<AuditPage>, CtlError> {
    match api.get(AUDIT_KIND, name).await? {
        Some(object) => Ok(Some(serde_json::from_str(&object.body)?)),
        None => Ok(None),
    }
}

/// The newest `most` records, newest first, from `object` and as many pages as needed.
pub async fn history(
    api: &dyn Api,
    object: &FleetObject,
    most: usize,
) -> Result<Vec<Audit>, CtlError> {
    let mut out: Vec<Audit> = object.audit.iter().rev().take(most).cloned().collect();
    let mut pages = object.audit.first().map_or(0, |a| (a.to - 1) / PAGE_RECORDS as u64);
    while out.len() < most && pages > 0 {
        pages -= 1;
        let name = page_name(pages);
        let page = read_page(api, &name).await?.ok_or(CtlError::ForeignPage(name))?;
        let rest = most - out.len();
        out.extend(page.audit.into_iter().rev().take(rest));
    }
    Ok(out)
}

/// Formats records as lines of text.
pub(crate) fn format_records(records: &[Audit]) -> String {
    let mut out = String::new();
    for a in records {
        let at = format_utc(base::Ms(a.at_ms));
        // Writing to a string can't fail.
        let _ = writeln!(out, "{} -> {}  {at}  {}: {}", a.from, a.to, a.who, a.why);
        for field in &a.fields {
            let _ = writeln!(out, "    {field}");
        }
        let _ = writeln!(out, "    change {}", a.change);
    }
    out.truncate(out.trim_end().len());
    out
}
