//! Why a command failed.

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
    /// The file can't be used.
    #[error("the file can't be used:\n{0}")]
    Parse(#[from] ParseError),
    /// A deploy file or an edge host's settings can't be used.
    #[error("{0}")]
    Unusable(String),
    /// It can't be told what the file is.
    #[error(
        "neither settings (a field `host`) nor a configuration (a field `pipelines`); say which \
         with --settings or --fleet"
    )]
    FileKind,
    /// Nobody, or no reason, is given for a change.
    #[error("--{field} must be 1 to {most} characters; say {field} in a few words")]
    InvalidNote {
        /// `who` or `why`.
        field: &'static str,
        /// Most characters.
        most: usize,
    },
    /// The platform failed.
    #[error("the platform failed: {0}; nothing is known to have changed, look with `show`")]
    Store(#[from] StoreError),
    /// Another operator was first.
    #[error(
        "generation {now} is in force, not {expected}; nothing was changed. Since then:\n{}\n\
         look with `diff`, take the others' changes into the file and apply again with --from \
         {now}",
        format_records(.since)
    )]
    Conflict {
        /// What the change was based on.
        expected: Generation,
        /// What is in force.
        now: Generation,
        /// What was accepted since, oldest first.
        since: Vec<Audit>,
    },
    /// The platform answers with less than what the operator has seen.
    #[error(
        "the platform answers with generation {now}, older than {expected}: it gives old reads; \
         nothing was changed, try again when it is whole, or correct --from"
    )]
    Stale {
        /// What the change was based on.
        expected: Generation,
        /// What the platform gave.
        now: Generation,
    },
    /// The write's outcome can't be told.
    #[error("the platform's answer was lost; look with `history` whether change {change} is there")]
    OutcomeUnknown {
        /// The change.
        change: ChangeId,
    },
    /// A target's mark was changed by another operator in between.
    #[error("another operator marked target '{0}' at the same time; look with `status`")]
    MarkConflict(String),
    /// The object in the platform makes no sense.
    #[error("the configuration in the platform can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// An audit page holds other records than it should.
    #[error(
        "audit page {0} holds other records than the trail; nothing was changed: keep a copy of \
         the page, then find out who writes to it beside this program"
    )]
    ForeignPage(String),
    /// Nothing was applied yet.
    #[error("no configuration is in force yet; give the first one with `apply`")]
    NoConfiguration,
    /// A name that isn't declared.
    #[error("{kind} '{name}' is not declared; look with `show`")]
    NotDeclared {
        /// What kind of thing was looked for.
        kind: &'static str,
        /// The name as given.
        name: String,
    },
    /// A host can't be reached.
    #[error("host {addr} can't be reached: {source}; try another with --host")]
    HostUnreachable {
        /// Its admin address.
        addr: SocketAddr,
        /// Why not.
        source: LinkError,
    },
    /// A host's answer makes no sense.
    #[error("host {addr} answered {path} with status {status}; give its admin address")]
    BadResponse {
        /// Its admin address.
        addr: SocketAddr,
        /// What it was asked.
        path: &'static str,
        /// HTTP status, zero when the body was malformed.
        status: u16,
    },
}

impl CtlError {
    /// The exit code that tells this failure.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Parse(_) | Self::Unusable(_) | Self::FileKind => Exit::InvalidFile,
            Self::InvalidNote { .. } => Exit::Usage,
            Self::Conflict { .. } | Self::MarkConflict(_) => Exit::Conflict,
            Self::OutcomeUnknown { .. } => Exit::OutcomeUnknown,
            Self::NotDeclared { .. } => Exit::NotDeclared,
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
