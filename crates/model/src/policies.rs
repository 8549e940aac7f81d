//! Selection of the policy that the hosts run.

use policy::{Decision, HostContext, Naive, Reducer, State};

/// The policy that the hosts run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The baseline policy.
    Naive,
    /// The full policy with all decisions.
    Full,
    /// The full policy with one decision left out.
    Without(Decision),
}

impl Policy {
    /// The baseline, the full policy, and the full policy without each one of its decisions.
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

    /// Looks a policy up by its name.
    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|p| p.name() == name)
    }

    /// Creates the reducer of one host.
    pub fn reducer(self, context: HostContext) -> Box<dyn Reducer> {
        match self {
            Self::Naive => Box::new(Naive::new()),
            Self::Full => Box::new(State::new(context, &[])),
            Self::Without(decision) => Box::new(State::new(context, &[decision])),
        }
    }
}
