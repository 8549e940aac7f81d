//! Typed identifiers: names as shared strings, counters and UUIDs as newtypes.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;
use uuid::Uuid;

use crate::Ms;

/// Why a text could not be parsed as an identifier.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum IdError {
    /// The text is not a UUID.
    #[error("not a UUID; give one like 019075d0-8f5c-7c3e-9d5a-2f6f0c9f2a11")]
    NotUuid,
    /// A UUID of another version, which carries no creation time.
    #[error("not a version 7 UUID; the key must carry its time, so make it with a v7 generator")]
    NotV7,
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(Arc::from(name))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

names! {
    /// A host of this system.
    HostId,
    /// A failure domain.
    DomainId,
    /// A region: a set of failure domains with short links between them.
    RegionId,
    /// A workspace: whose request it is, for admission and accounting.
    WorkspaceId,
    /// A target: one server that runs stages.
    TargetId,
    /// A pool of interchangeable targets.
    PoolId,
    /// A version of a target's software, also called its build; unrelated to the version of the
    /// weights that it has loaded.
    BuildId,
    /// A model that engines load.
    ModelId,
    /// A pipeline: a declared list of stages.
    PipelineId,
    /// A stage within a pipeline.
    StageId,
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($int:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// The number after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! {
    /// Attempt number of a stage, counted over the whole request from 1.
    Attempt(u32),
    /// Number of an accepted configuration; it only increases.
    Generation(u64),
    /// The version of an object in the platform's object API; zero before it exists.
    Version(u64),
}

macro_rules! uuids {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl $name {
            /// Generates a version 7 UUID from the system clock and random number generator.
            pub fn fresh() -> Self {
                Self(Uuid::now_v7())
            }

            /// Builds an identifier from a number, for tests and simulations.
            pub const fn from_u128(n: u128) -> Self {
                Self(Uuid::from_u128(n))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;
            fn from_str(text: &str) -> Result<Self, IdError> {
                Uuid::parse_str(text).map(Self).map_err(|_| IdError::NotUuid)
            }
        }
    )*};
}

uuids! {
    /// One request as one entry host sees it. A re-send by the caller gets a new identifier.
    RequestId,
    /// One change of an object. The writer chooses it, so that it can recognise its own write later.
    ChangeId,
    /// The caller's idempotency key: a version 7 UUID, so it carries its creation time.
    Key,
}

impl Key {
    /// Parses a key as sent by a caller; only version 7 UUIDs are accepted.
    pub fn parse(text: &str) -> Result<Self, IdError> {
        let key: Self = text.parse()?;
        match key.0.get_version_num() {
            7 => Ok(key),
            _ => Err(IdError::NotV7),
        }
    }

    /// A key with the given creation time, for tests and simulations; `seed` fills the random part.
    pub fn at(time: Ms, seed: u128) -> Self {
        let timestamp = u128::from(time.0 & 0xffff_ffff_ffff) << 80;
        let rand = seed & 0x0fff_3fff_ffff_ffff_ffff;
        Self(Uuid::from_u128(timestamp | 0x7000_8000_0000_0000_0000 | rand))
    }

    /// When the caller created the key.
    pub fn time(self) -> Ms {
        Ms((self.0.as_u128() >> 80) as u64)
    }
}
