//! Which reducer the hosts run.

use policy::{Decision, HostContext, Naive, Reducer, State};

/// What the hosts decide by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The baseline.
    Naive,
    /// All decisions.
    Full,
    /// All but one.
    Without(Decision),
}

impl Policy {
    /// The baseline, all decisions, and each left out.
    pub fn all() -> Vec<Self> {
        let without = Decision::ALL.into_iter().map(Self::Without);
        [Self::Naive, Self::Full].into_iter().chain(without).collect()
    }

    /// Its name.
    pub fn name(self) -> String {
        match self {
            Self::Naive => "naive".to_owned(),
            Self::Full => "full".to_owned(),
            Self::Without(decision) => format!("-{}", decision.as_str()),
        }
    }

    /// The policy of this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|p| p.name() == name)
    }

    /// A fresh reducer for one host.
    pub fn reducer(self, placed: HostContext) -> Box<dyn Reducer> {
        match self {
            Self::Naive => Box::new(Naive::new()),
            Self::Full => Box::new(State::new(placed, &[])),
            Self::Without(decision) => Box::new(State::new(placed, &[decision])),
        }
    }
}
