//! The border between decisions and the host.

use base::{DomainId, HostId, Ms, RegionId};
use serde::{Deserialize, Serialize};

use crate::{Effect, Event};

/// Decides. The same events from the same start give the same effects.
pub trait Reducer: Send {
    /// Takes one event at `now` and appends what is to be done. `now` never goes back.
    fn reduce(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>);
}

/// Where the deciding host stands, and the seed of its generator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostContext {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Seed of the generator.
    pub seed: u64,
}
