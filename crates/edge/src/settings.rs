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
        /// The path of the file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The text isn't a valid settings file.
    #[error("can't parse the settings: {0}")]
    Parse(#[from] serde_saphyr::Error),
    /// The settings name no region for the host's own failure domain.
    #[error("domains: name the region of {0}, the host's own failure domain")]
    Domain(DomainId),
    /// The number of cores isn't above 0.
    #[error("cores: must be above 0")]
    Cores,
    /// Less memory than a host needs.
    #[error("memory_mb: must be at least {MIN_MEMORY_MB}")]
    Memory,
    /// No connection is allowed.
    #[error("connections: must be at least 1")]
    Connections,
    /// A bound is out of range.
    #[error("bounds.{field}: must be {range}")]
    Range {
        /// The field of [`Bounds`].
        field: &'static str,
        /// The allowed values.
        range: &'static str,
    },
}

/// The settings of one edge host, read from YAML.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host's name, unique in the fleet.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The region of every failure domain.
    pub domains: HashMap<DomainId, RegionId>,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address at which the platform checks whether the host is ready.
    pub ready: SocketAddr,
    /// Address that other hosts connect to.
    pub peer: SocketAddr,
    /// Address at which metrics are served as text. Default: none.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Hosts from which to learn of the others. Some of them may no longer exist.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that none of its hosts can have sent
    /// anything before. Default false.
    #[serde(default)]
    pub first_start: bool,
    /// Processor cores of the host, fractions included. Duties that one host has for many go to
    /// hosts with more of them. Default 1.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Memory of the host, in millions of bytes. Default: what the operating system reports.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Most connections of callers that are open at once. Default 2000.
    #[serde(default = "most_connections")]
    pub connections: usize,
    /// Time bounds and allowances that the platform requires.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Time bounds and allowances.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Whether a revoked key must stop working on every host within `revoke_ms`, even on a host
    /// that can't reach the store. Default true.
    pub revoke_strict: bool,
    /// See `revoke_strict`; in ms. Default 5000.
    pub revoke_ms: Ms,
    /// Time within which a new version of the configuration must be in force, ms. Default 2500.
    pub config_ms: Ms,
    /// Time after which a draining target must get nothing new, ms. Default 2500.
    pub drain_ms: Ms,
    /// Time after which targets of an evacuated failure domain must get nothing new, ms. Default:
    /// none, domains are never evacuated.
    pub evacuate_ms: Option<Ms>,
    /// Interval at which a target renews its registration, ms. Default 1200.
    pub heartbeat_ms: Ms,
    /// Requests that a cold target may get per second, as a multiple of its service's rate. Default
    /// 1.
    pub cold_factor: Option<f64>,
    /// Requests that a cold target may get per second in addition. Default 0.
    pub cold_slack: Option<f64>,
    /// Time from the signal to stop until the process is killed, s. Default 8.
    pub grace_s: f64,
    /// Retries that the fleet may send to a service for each request. Default 0.2.
    pub retry_ratio: f64,
    /// Retries that the fleet may send to a service in addition in each window. Default 50.
    pub retry_slack: f64,
    /// Length of such a window, s. Default 10.
    pub retry_window_s: f64,
}

/// Default of [`Settings::connections`].
const DEFAULT_CONNECTIONS: usize = 2_000;
/// Least memory of a host, in millions of bytes: without callers it takes about half of that.
const MIN_MEMORY_MB: u32 = 64;

fn one_core() -> f64 {
    1.0
}

fn most_connections() -> usize {
    DEFAULT_CONNECTIONS
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
    /// Reads and validates a file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let failed = |source| SettingsError::Read { path: path.display().to_string(), source };
        Self::parse(&std::fs::read_to_string(path).map_err(failed)?)
    }

    /// Parses and validates YAML. Unknown fields are rejected with line and column.
    pub fn parse(yaml: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_saphyr::from_str(yaml)?;
        if !settings.domains.contains_key(&settings.domain) {
            return Err(SettingsError::Domain(settings.domain));
        }
        if settings.cores.is_nan() || settings.cores <= 0.0 {
            return Err(SettingsError::Cores);
        }
        if settings.memory_mb.is_some_and(|mb| mb < MIN_MEMORY_MB) {
            return Err(SettingsError::Memory);
        }
        if settings.connections == 0 {
            return Err(SettingsError::Connections);
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
        match ranges.into_iter().find(|(_, valid, _)| !valid) {
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
