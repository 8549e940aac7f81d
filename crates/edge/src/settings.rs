//! The settings of one edge host.

use base::{DomainId, HostId, Ms, RegionId};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read the settings {path}: {source}")]
    Read {
        /// Which file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The text is no settings file.
    #[error("the settings can't be read: {0}")]
    Parse(#[from] serde_saphyr::Error),
    /// This host's failure domain has no region.
    #[error("domains: name the region of {0}, the host's own failure domain")]
    Domain(DomainId),
    /// The host has no processor.
    #[error("cores: must be above 0")]
    Cores,
    /// A bound has no sense.
    #[error("bounds.{field}: must be {range}")]
    Range {
        /// Which.
        field: &'static str,
        /// What is allowed.
        range: &'static str,
    },
}

/// What one edge host is told at its start, as YAML.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host's name, unique in the fleet.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The region of every failure domain.
    pub domains: HashMap<DomainId, RegionId>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the platform asks whether the host takes requests.
    pub ready: SocketAddr,
    /// Where other hosts connect.
    pub peer: SocketAddr,
    /// Where metrics are served as text. Default: nowhere.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub platform: SocketAddr,
    /// Hosts to learn the others from; some may be gone.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Its share of a processor: duties of one host for many go to large ones. Default 1.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// What is promised to the platform.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Time bounds and allowances.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Whether a key that was taken away must stop working on every host within `revoke_ms`, also
    /// on one that can't reach the store. Default true.
    pub revoke_strict: bool,
    /// See `revoke_strict`. Default 5000.
    pub revoke_ms: Ms,
    /// Time within which a new version of the configuration must be in force, ms. Default 2500.
    pub config_ms: Ms,
    /// Time within which a leaving target gets nothing new. Default 2500.
    pub drain_ms: Ms,
    /// Time within which targets of an evacuated failure domain get nothing new. Default: domains
    /// are never evacuated.
    pub evacuate_ms: Option<Ms>,
    /// Time between registrations of a target. Default 1200.
    pub heartbeat_ms: Ms,
    /// What a cold target may get in a second, as a multiple of its service's rate. Default 1.
    pub cold_factor: Option<f64>,
    /// Requests that a cold target may get in a second besides. Default 0.
    pub cold_slack: Option<f64>,
    /// Time from the signal to stop until the process is killed, s. Default 8.
    pub grace_s: f64,
    /// Second sends to a service for each request, over the fleet. Default 0.2.
    pub retry_ratio: f64,
    /// Second sends to a service besides, in a window over the fleet. Default 50.
    pub retry_slack: f64,
    /// Length of such a window, s. Default 10.
    pub retry_window_s: f64,
}

fn one_core() -> f64 {
    1.0
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            revoke_strict: true,
            revoke_ms: Ms(5_000),
            config_ms: Ms(2_500),
            drain_ms: Ms(2_500),
            evacuate_ms: None,
            heartbeat_ms: Ms(1_200),
            cold_factor: None,
            cold_slack: None,
            grace_s: 8.0,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_s: 10.0,
        }
    }
}

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let failed = |source| SettingsError::Read { path: path.display().to_string(), source };
        Self::parse(&std::fs::read_to_string(path).map_err(failed)?)
    }

    /// Parses and checks YAML. Unknown fields are refused with line and column.
    pub fn parse(yaml: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_saphyr::from_str(yaml)?;
        if !settings.domains.contains_key(&settings.domain) {
            return Err(SettingsError::Domain(settings.domain));
        }
        if settings.cores.is_nan() || settings.cores <= 0.0 {
            return Err(SettingsError::Cores);
        }
        let Bounds {
            revoke_ms,
            config_ms,
            drain_ms,
            evacuate_ms,
            heartbeat_ms,
            cold_factor,
            cold_slack,
            grace_s,
            retry_ratio,
            retry_slack,
            retry_window_s,
            ..
        } = settings.bounds;
        let ranges = [
            ("revoke_ms", revoke_ms >= Ms(500), "at least 500"),
            ("config_ms", config_ms >= Ms(500), "at least 500"),
            ("drain_ms", drain_ms >= Ms(1_200), "at least 1200"),
            ("evacuate_ms", evacuate_ms.is_none_or(|b| b >= Ms(1_500)), "at least 1500"),
            ("heartbeat_ms", heartbeat_ms > Ms::ZERO, "above 0"),
            ("cold_factor", cold_factor.is_none_or(|f| f >= 0.0), "at least 0"),
            ("cold_slack", cold_slack.is_none_or(|s| s >= 0.0), "at least 0"),
            ("grace_s", grace_s >= 1.0, "at least 1"),
            ("retry_ratio", (0.0..=10.0).contains(&retry_ratio), "0 to 10"),
            ("retry_slack", retry_slack >= 0.0, "at least 0"),
            ("retry_window_s", retry_window_s > 0.0, "above 0"),
        ];
        match ranges.into_iter().find(|(_, good, _)| !good) {
            Some((field, _, range)) => Err(SettingsError::Range { field, range }),
            None => Ok(settings),
        }
    }

    /// This host's region.
    pub fn region(&self) -> &RegionId {
        self.region_of(&self.domain).unwrap_or_else(|| unreachable!("checked when parsed"))
    }

    /// The region of a failure domain.
    pub fn region_of(&self, domain: &DomainId) -> Option<&RegionId> {
        self.domains.get(domain)
    }
}
