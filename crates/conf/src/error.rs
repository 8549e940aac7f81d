//! Errors and warnings about settings and configuration files.

use std::fmt;
use thiserror::Error;

/// Why a file is invalid.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The parser refused the text, for example because it is not YAML; the message gives line and
    /// column.
    #[error("{0}")]
    Yaml(#[from] serde_saphyr::Error),
    /// The file is YAML, but its content is invalid. Checks report all faults, not only the first.
    #[error("{}", join_lines(.0))]
    Faults(Vec<Fault>),
}

fn join_lines(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

/// One fault or warning: its place in the file, and a message that says how to correct it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `pipelines.sign-off.stages[1].pool`.
    pub field: String,
    /// Line in the file, starting at 1, if known.
    pub line: Option<u64>,
    /// What is wrong.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}: {}", self.field, self.kind),
            None => write!(f, "{}: {}", self.field, self.kind),
        }
    }
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FaultKind {
    /// A list or text that must not be empty.
    #[error("is empty; give at least one")]
    Empty,
    /// A reference to something that isn't declared.
    #[error("names {kind} '{name}', which is not declared; declare it or correct the name")]
    Unknown {
        /// Kind of object that is referred to.
        kind: &'static str,
        /// The name as given.
        name: String,
    },
    /// A name that is used twice in a list.
    #[error("'{0}' is declared twice; remove or rename one")]
    Duplicate(String),
    /// A number outside its range.
    #[error("must be {0}")]
    Range(&'static str),
    /// An exception without a written reason.
    #[error("has no reason; write why this exception is needed")]
    NoReason,
    /// An exception that changes nothing.
    #[error("changes nothing; set a field or remove the exception")]
    NoChange,
    /// A stage that no declared target can run.
    #[error("no target of pool '{0}' can run this stage; add one or give one the model")]
    NoTargets(String),
    /// A deadline shorter than the stages' minimum times together.
    #[error("is shorter than its stages' least time of {least_ms} ms; raise it or drop a stage")]
    DeadlineShort {
        /// Sum of the stages' minimum times, ms.
        least_ms: u64,
    },
    /// An unknown or missing field, or a value of the wrong type.
    #[error("{text}{hint}")]
    Value {
        /// Message of the parser.
        text: String,
        /// How to correct it, if the parser's message doesn't tell; otherwise empty.
        hint: &'static str,
    },
    /// A name that is not valid in a path or header.
    #[error(
        "'{0}' can't be a name; use 1 to 64 letters, digits, '-', '_' and '.', a letter or digit \
         first"
    )]
    Name(String),
    /// Two targets with the same address.
    #[error("{address} is the address of target '{first}' too; correct or remove one")]
    DuplicateAddress {
        /// The address as given.
        address: String,
        /// The first target with this address.
        first: String,
    },
    /// Warning: an exception that has expired.
    #[error("has passed; remove the exception")]
    Expired,
    /// Warning: a deadline that most requests will miss.
    #[error("is shorter than its stages' typical time of {typical_ms} ms; most requests will miss")]
    DeadlineTight {
        /// Sum of the stages' typical times, ms.
        typical_ms: u64,
    },
    /// Warning: failure domains whose hosts have no target within the placement.
    #[error(
        "has no target within its placement for hosts of {domains}; add one or widen placement"
    )]
    OutOfReach {
        /// The failure domains, separated by commas.
        domains: String,
    },
}

impl ParseError {
    /// Line of the first fault whose line is known, starting at 1.
    pub fn line(&self) -> Option<u64> {
        match self {
            Self::Yaml(err) => err.location().map(|l| l.line()).filter(|line| *line > 0),
            Self::Faults(faults) => faults.iter().find_map(|f| f.line),
        }
    }
}
