//! The part of the host's memory that is held for callers.

use base::Clock;
use memory::{Account, Budget, Class, Places, budget_bytes};
use std::sync::Arc;

use crate::settings::Settings;

/// The budget that callers share with everyone else who connects to this host.
pub(crate) struct Callers {
    budget: Arc<Budget>,
    places: Places,
}

impl Callers {
    /// A budget as the settings say.
    pub(crate) fn new(settings: &Settings, clock: Arc<dyn Clock>) -> Self {
        let budget = Budget::new(budget_bytes(settings.memory_mb), clock);
        let places = budget.places(Class::Callers, settings.connections);
        Self { budget, places }
    }

    /// The budget, for other listeners of this host.
    pub(crate) fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    /// Follows changed settings.
    pub(crate) fn apply(&self, settings: &Settings) {
        self.places.set_limits(budget_bytes(settings.memory_mb), settings.connections);
    }

    /// The account of a caller's connection; none if there is no room and nobody yields.
    pub(crate) fn open(&self) -> Option<Arc<Account>> {
        self.places.open()
    }
}
