//! The interface between the policy and the host that runs it.

use base::{DomainId, HostId, Ms, RegionId};
use serde::{Deserialize, Serialize};

use crate::{Effect, Event};

/// The decision logic of a host. The same events from the same initial state give the same effects.
pub trait Reducer: Send {
    /// Handles one event at time `now` and appends the resulting effects to `out`. `now` never
    /// decreases.
    fn reduce(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>);
}

/// The deciding host's location, and the seed of its random number generator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostContext {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Seed of the random number generator.
    pub seed: u64,
}
