//! What the operator's command line does: checks, changes and questions about the configuration.

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
mod stamp;
mod status;
mod story;

pub use account::{Account, Cause, RouteAccount, account};
pub use apply::{Applied, ChangeNote, Settle, apply, apply_within, base_of, read_fleet, with_base};
pub use audit::{AUDIT_KIND, PAGE, history, page_name};
pub use check::{Checked, Finding, check, findings};
pub use diff::{FieldChange, diff};
pub use error::CtlError;
pub use exit::Exit;
pub use explain::{Decided, Explained, explain};
pub use host::{fleet, members};
pub use leave::{LEAVING_KIND, Marked, leave, marked};
pub use report::{Accepted, Differences, Failure, History, Shown};
pub use source::{Source, domains};
pub use stamp::stamp;
pub use status::{DomainReach, Reach, Status, all_members, wait_in_force};
pub use story::{Step, Story, story};
