//! An edge host: accepts callers' requests, runs their stages on targets and returns the responses.
//!
//! Two traits keep the platform's names and formats out of this crate: [`Dialect`] for requests and
//! responses, and [`Directory`] for the configuration and the registered targets.
//!
//! ```text
//! caller -> accept -> request -> plain | stream -> links -> target
//!                        |          ^
//!                        v          |
//!                     stages -> composer (this host's or a peer's) -> links -> stage target
//! connections: permits for plain targets that accept a limited number
//! links: connections are opened by dial, where need be through another host
//! follow: Directory -> catalog and registry <- source: another host, which reads the store
//! members: peers over tarpc
//! ```

mod accept;
mod activity;
mod backoff;
mod body;
mod builds;
mod callers;
mod choose;
mod composer;
mod connection_end;
mod connections;
mod core;
mod diagnose;
mod dial;
mod dialect;
mod directory;
mod discard;
mod end_store;
mod ended;
mod evacuate;
mod events;
mod expiry;
mod exposures;
mod follow;
mod gate;
mod host;
mod links;
mod liveness;
mod loads;
mod members;
mod metrics;
mod newest;
mod notices;
mod notify;
mod origin;
mod origin_store;
mod pause;
mod plain;
mod quarantine;
mod read;
mod refusal;
mod relay;
mod reload;
mod remote;
mod reports;
mod request;
mod restart;
mod results;
mod send;
mod settings;
mod shared;
mod source;
mod stages;
mod stream;
mod subjects;
mod submit;
mod suspects;
mod unread;

pub use dialect::{
    Dialect, ForwardFields, Load, Notice, PromptPart, RequestHead, RequestHeadError, ResponseHead,
    StageCall,
};
pub use directory::{
    Change, Declared, Directory, DirectoryError, Kind, Page, Positioned, Record, RecordBody,
    Updates,
};
pub use events::{EventStream, Parsed};
pub use host::{Host, HostError, Stopped};
pub use settings::{Bounds, Settings, SettingsError};
