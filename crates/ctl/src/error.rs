//! Errors of the operator's commands.

use base::{ChangeId, Generation};
use conf::ParseError;
use link::LinkError;
use std::net::SocketAddr;
use store::StoreError;
use thiserror::Error;
use wire::Audit;

use crate::Exit;
use crate::audit::format_records;

/// A failed command.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The file doesn't parse or fails validation.
    #[error("the file can't be used:\n{0}")]
    Parse(#[from] ParseError),
    /// A deploy file or an edge host's settings file is invalid.
    #[error("{0}")]
    Unusable(String),
    /// The fields of the file don't show which kind of file it is.
    #[error(
        "neither settings (a field `host`) nor a configuration (a field `pipelines`); say which \
         with --settings or --fleet"
    )]
    FileKind,
    /// The operator's name or the reason for a change is empty or too long.
    #[error("--{field} must be 1 to {most} characters; give {field} in a few words")]
    InvalidNote {
        /// `who` or `why`.
        field: &'static str,
        /// Maximum length, characters.
        most: usize,
    },
    /// A call to the platform failed.
    #[error("the platform failed: {0}; nothing is known to have changed, check with `show`")]
    Store(#[from] StoreError),
    /// Another operator's change was accepted first.
    #[error(
        "generation {now} is in force, not {expected}; nothing was changed. Since then:\n{}\n\
         compare with `diff`, merge the others' changes into the file and apply again with --from \
         {now}",
        format_records(.since)
    )]
    Conflict {
        /// What the change was based on.
        expected: Generation,
        /// The generation in force.
        now: Generation,
        /// Changes accepted since `expected`, oldest first.
        since: Vec<Audit>,
    },
    /// The platform returned an older generation than the one the operator has already seen.
    #[error(
        "the platform returned generation {now}, older than {expected}: its reads are stale; \
         nothing was changed, try again once it has recovered, or correct --from"
    )]
    Stale {
        /// What the change was based on.
        expected: Generation,
        /// The generation that the platform returned.
        now: Generation,
    },
    /// Whether the write took effect is unknown.
    #[error(
        "the platform's response was lost; check with `history` whether change {change} is there"
    )]
    OutcomeUnknown {
        /// The change.
        change: ChangeId,
    },
    /// Another operator changed the target's mark between the read and the write.
    #[error("another operator marked target '{0}' at the same time; check with `status`")]
    MarkConflict(String),
    /// An object in the platform doesn't parse.
    #[error("the configuration in the platform is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// An audit page is missing or holds other records than the audit trail says.
    #[error(
        "audit page {0} doesn't match the audit trail; nothing was changed: keep a copy of the \
         page, then find out what else writes to it besides this program"
    )]
    ForeignPage(String),
    /// No configuration has been applied yet.
    #[error("no configuration is in force yet; give the first one with `apply`")]
    NoConfiguration,
    /// The configuration doesn't declare the name.
    #[error("{kind} '{name}' is not declared; check with `show`")]
    NotDeclared {
        /// Kind of the declaration, such as `workspace`.
        kind: &'static str,
        /// The name as given by the operator.
        name: String,
    },
    /// A host can't be reached.
    #[error("host {addr} can't be reached: {source}; try another with --host")]
    HostUnreachable {
        /// Its admin address.
        addr: SocketAddr,
        /// The connection's error.
        source: LinkError,
    },
    /// A host returned an error status or a malformed body.
    #[error(
        "host {addr} answered {path} with status {status}; check that this is its admin address"
    )]
    BadResponse {
        /// Its admin address.
        addr: SocketAddr,
        /// Path of the request.
        path: &'static str,
        /// HTTP status, zero when the body was malformed.
        status: u16,
    },
}

impl CtlError {
    /// The exit code for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Parse(_) | Self::Unusable(_) | Self::FileKind => Exit::Refused,
            Self::InvalidNote { .. } => Exit::Usage,
            Self::Conflict { .. } | Self::MarkConflict(_) => Exit::Raced,
            Self::OutcomeUnknown { .. } => Exit::Open,
            Self::NotDeclared { .. } => Exit::Unknown,
            Self::Store(_)
            | Self::Stale { .. }
            | Self::Malformed(_)
            | Self::ForeignPage(_)
            | Self::NoConfiguration
            | Self::HostUnreachable { .. }
            | Self::BadResponse { .. } => Exit::Failed,
        }
    }
}
