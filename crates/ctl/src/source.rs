//! Reads the configuration from the platform or, during an outage of the platform, from a host.

use base::{DomainId, Generation, Version};
use std::net::SocketAddr;
use std::sync::Arc;
use store::Api;
use wire::{Audit, FleetObject};

use crate::{CtlError, history, host, read_fleet};

/// Where the configuration is read from.
pub enum Source {
    /// The platform, which has the accepted configuration.
    Platform(Arc<dyn Api>),
    /// Hosts, by admin address. The first one that answers gives the configuration in force there.
    Hosts(Vec<SocketAddr>),
}

impl Source {
    /// Reads the configuration object.
    pub async fn fleet(&self) -> Result<FleetObject, CtlError> {
        let object = match self {
            Self::Platform(api) => read_fleet(api.as_ref()).await?.1,
            Self::Hosts(addrs) => first_answer(addrs).await?,
        };
        match Generation(object.generation) {
            Generation(0) => Err(CtlError::NoConfiguration),
            _ => Ok(object),
        }
    }

    /// The newest `most` audit records, newest first. A host has only those that are stored in the
    /// configuration object.
    pub async fn history(&self, most: usize) -> Result<Vec<Audit>, CtlError> {
        let object = self.fleet().await?;
        match self {
            Self::Platform(api) => history(api.as_ref(), &object, most).await,
            Self::Hosts(_) => Ok(object.audit.into_iter().rev().take(most).collect()),
        }
    }
}

/// Failure domains that the configuration of `object` declares; empty if it doesn't parse.
pub fn domains(object: &FleetObject) -> Vec<DomainId> {
    let fleet = conf::Fleet::parse(&object.config);
    let regions = fleet.map(|f| f.regions).unwrap_or_default();
    regions.into_iter().flat_map(|r| r.domains).map(|d| d.name).collect()
}

async fn first_answer(addrs: &[SocketAddr]) -> Result<FleetObject, CtlError> {
    let mut last = CtlError::NoConfiguration;
    for addr in addrs {
        match host::fleet(*addr).await {
            Ok(object) => return Ok(object),
            Err(err) => last = err,
        }
    }
    Err(last)
}

/// The version that a write expects of an object that must not exist yet.
pub(crate) const NOT_YET_CREATED: Version = Version(0);
