//! Checks that names are valid and unique, and that targets have distinct addresses.

use std::collections::{HashMap, HashSet};

use crate::check::FaultList;
use crate::fleet::Fleet;
use crate::{Fault, FaultKind};

/// Maximum length of a name, bytes.
const MAX_NAME_LEN: usize = 64;

/// Checks all names of `fleet`, and the addresses of its targets.
pub(crate) fn check(fleet: &Fleet, out: &mut FaultList) {
    if fleet.deployment.trim().is_empty() {
        out.add("deployment", FaultKind::Empty);
    }
    let mut domains = Vec::new();
    for (i, region) in fleet.regions.iter().enumerate() {
        let at = format!("regions[{i}].domains");
        domains.extend(with_paths(&at, region.domains.iter().map(|d| d.name.as_str())));
    }
    let mut targets = Vec::new();
    for (i, pool) in fleet.pools.iter().enumerate() {
        let at = format!("pools[{i}].targets");
        targets.extend(with_paths(&at, pool.targets.iter().map(|t| t.name.as_str())));
    }
    let regions = fleet.regions.iter().map(|r| r.name.as_str());
    let models = fleet.models.iter().map(|m| m.name.as_str());
    let pools = fleet.pools.iter().map(|p| p.name.as_str());
    let workspaces = fleet.workspaces.iter().map(|w| w.name.as_str());
    let pipelines = fleet.pipelines.iter().map(|p| p.name.as_str());
    let exceptions = fleet.exceptions.iter().map(|e| e.name.as_str());
    out.names(with_paths("regions", regions), "");
    out.names(domains, "");
    out.names(with_paths("models", models), "/:");
    out.names(with_paths("pools", pools), "");
    out.names(targets, "");
    out.names(with_paths("workspaces", workspaces), "");
    out.names(with_paths("pipelines", pipelines), "");
    out.names(with_paths("exceptions", exceptions), "");
    for (i, pipeline) in fleet.pipelines.iter().enumerate() {
        let at = format!("pipelines[{i}].stages");
        out.names(with_paths(&at, pipeline.stages.iter().map(|s| s.name.as_str())), "");
    }
    check_addresses(fleet, out);
}

/// Pairs each name with the path of its field; `at` is the path of the list.
fn with_paths<'a>(at: &str, names: impl Iterator<Item = &'a str>) -> Vec<(String, &'a str)> {
    names.enumerate().map(|(i, name)| (format!("{at}[{i}].name"), name)).collect()
}

impl FaultList {
    /// Checks the names of one kind: valid characters only, and no duplicates. `extra` holds
    /// further characters that are allowed.
    fn names(&mut self, names: Vec<(String, &str)>, extra: &str) {
        let mut seen = HashSet::new();
        for (field, name) in names {
            if !is_valid(name, extra) {
                // Names are used in paths, headers, metric labels and object names. There, a slash
                // or a space would address another resource or be rejected.
                self.add(&field, FaultKind::Name(name.to_owned()));
            }
            if !seen.insert(name) {
                self.add(&field, FaultKind::Duplicate(name.to_owned()));
            }
        }
    }
}

/// Whether a name consists of letters, digits, `-`, `_`, `.` and the characters in `extra`, and
/// starts with a letter or digit.
fn is_valid(name: &str, extra: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || extra.contains(c);
    name.len() <= MAX_NAME_LEN
        && name.starts_with(|c: char| c.is_ascii_alphanumeric())
        && name.chars().all(allowed)
}

/// Checks the name of a host, domain or region in a host's settings. The name must be valid in a
/// header.
pub(crate) fn check_setting(field: &str, name: &str) -> Option<Fault> {
    let kind = FaultKind::Name(name.to_owned());
    (!is_valid(name, "")).then(|| Fault { field: field.to_owned(), line: None, kind })
}

/// Checks that no two targets have the same address. The server behind it would otherwise get twice
/// the load that it can handle, and answers of one target would be counted for the other.
fn check_addresses(fleet: &Fleet, out: &mut FaultList) {
    let mut seen = HashMap::new();
    for (i, pool) in fleet.pools.iter().enumerate() {
        for (j, target) in pool.targets.iter().enumerate() {
            if let Some(first) = seen.insert(target.address.as_str(), &target.name) {
                let kind = FaultKind::DuplicateAddress {
                    address: target.address.clone(),
                    first: first.to_string(),
                };
                out.add(&format!("pools[{i}].targets[{j}].address"), kind);
            }
        }
    }
}
