//! The operations behind the operator's command line: checking, changing and inspecting the
//! configuration.

mod account;
mod apply;
mod audit;
mod check;
mod diff;
mod error;
mod exit;
mod explain;
mod host;
mod leave;
mod report;
mod source;
mod status;
mod timeline;
mod timestamp;

pub use account::{Account, Cause, RouteAccount, account};
pub use apply::{
    Applied, ChangeNote, WriteOptions, apply, apply_within, header_generation, read_fleet,
    with_generation_header,
};
pub use audit::{AUDIT_KIND, PAGE_RECORDS, history, page_name};
pub use check::{Checked, Finding, check, findings};
pub use diff::{FieldChange, diff};
pub use error::CtlError;
pub use exit::Exit;
pub use explain::{Decided, Explained, explain};
pub use host::{fleet, members};
pub use leave::{LEAVING_KIND, Marked, leave, marked};
pub use report::{Accepted, Differences, Failure, History, Shown};
pub use source::{Source, domains};
pub use status::{DomainRollout, Rollout, Status, all_members, wait_in_force};
pub use timeline::{Step, Timeline, timeline};
pub use timestamp::format_utc;
