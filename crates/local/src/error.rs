//! Errors of starting a fleet on loopback and of its requests.

use thiserror::Error;

/// An error of a fleet on loopback.
#[derive(Debug, Error)]
pub enum LocalError {
    /// A fake platform or target can't listen.
    #[error("a fake platform or target can't listen on loopback: {0}")]
    Listen(#[from] std::io::Error),
    /// The configuration is invalid or could not be applied.
    #[error("{0}")]
    Ctl(#[from] ctl::CtlError),
    /// A host's settings are invalid.
    #[error("{0}")]
    Settings(#[from] conf::ParseError),
    /// A host failed to start.
    #[error("{0}")]
    Host(#[from] entry::HostError),
    /// Not all hosts accepted requests in time.
    #[error("the hosts did not become ready in time; set SISKINWHEEL_LOG=info to see why")]
    NotReady,
    /// A call to the fake platform failed.
    #[error("{0}")]
    Store(#[from] store::StoreError),
    /// A request to a host failed.
    #[error("{0}")]
    Link(#[from] link::LinkError),
}
