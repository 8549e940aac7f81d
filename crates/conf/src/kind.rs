//! Detects which of the two kinds of file a text is.

use crate::source_map::SourceMap;

/// Kind of a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// The settings of one host.
    Settings,
    /// The fleet's configuration.
    Fleet,
}

impl FileKind {
    /// Detects the kind: settings have a field `host`, a configuration has `pipelines` or
    /// `deployment`. `None` when the text has none of them or isn't a YAML map.
    pub fn of(yaml: &str) -> Option<Self> {
        let source_map = SourceMap::read(yaml)?;
        match () {
            () if source_map.has_key("host") => Some(Self::Settings),
            () if source_map.has_key("pipelines") => Some(Self::Fleet),
            () if source_map.has_key("deployment") => Some(Self::Fleet),
            () => None,
        }
    }
}
