//! Builds settings and configurations for fleets of any size.

use base::Ms;
use gossip::GossipConfig;
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use wire::{Audit, FleetObject};

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Entry hosts.
    pub hosts: usize,
    /// Failure domains, at least one.
    pub domains: usize,
    /// Targets, at least one.
    pub targets: usize,
    /// Workspaces, at least one.
    pub workspaces: usize,
}

/// Identity and limits of host `i`, with the settings' defaults.
pub fn host_config(size: FleetSize, i: usize, seed: u64) -> GossipConfig {
    let address = |i: usize| {
        SocketAddr::from((Ipv4Addr::new(10, 0, (i / 250) as u8, (i % 250) as u8 + 1), 7000))
    };
    let domain = i % size.domains;
    let any = SocketAddr::from((IpAddr::from(Ipv4Addr::LOCALHOST), 1));
    let yaml = format!(
        "host: host-{i}\ndomain: domain-{domain}\nregion: region-{}\nlisten: {any}\nadmin: {any}\n\
         peer: {}\nplatform: {any}\nseed: {seed}\n",
        domain % 2,
        address(i)
    );
    let settings = conf::Settings::parse(&yaml).unwrap_or_else(|e| panic!("the settings: {e}"));
    let mut config = GossipConfig::new(&settings, address(i));
    let near = [1, 2, 3].map(|d| (i + d) % size.hosts);
    config.seeds = near.into_iter().filter(|j| *j != i).map(address).collect();
    config.seeds.dedup();
    config
}

/// A configuration of the given size; `mark` makes each change distinct.
pub fn fleet_yaml(size: FleetSize, mark: u64) -> String {
    let mut out = format!("deployment: mesh-{mark}\ncost_weight: 0.5\nregions:\n");
    for region in 0..2.min(size.domains) {
        let _ = writeln!(out, "  - name: region-{region}\n    domains:");
        for domain in (0..size.domains).filter(|d| d % 2 == region) {
            let _ = writeln!(out, "      - name: domain-{domain}");
        }
    }
    out.push_str("models:\n");
    for model in 0..3 {
        let _ = writeln!(out, "  - name: model-{model}");
    }
    out.push_str("pools:\n");
    let pools = 4.min(size.targets);
    for pool in 0..pools {
        let kind = if pool == 0 { "engine" } else { "service" };
        let _ = writeln!(out, "  - name: pool-{pool}\n    kind: {kind}\n    targets:");
        for target in (0..size.targets).filter(|t| t % pools == pool) {
            let domain = (target / pools) % size.domains;
            let port = 20_000 + target;
            let _ = write!(
                out,
                "      - name: target-{target}\n        domain: domain-{domain}\n        \
                 address: 127.0.0.1:{port}\n        slots: 8\n"
            );
            if pool == 0 {
                out.push_str("        models: [model-0, model-1, model-2]\n");
            }
        }
    }
    out.push_str("workspaces:\n");
    for workspace in 0..size.workspaces {
        let _ = writeln!(out, "  - name: workspace-{workspace}\n    weight: 1.0");
    }
    out.push_str("pipelines:\n  - name: answer\n    stages:\n");
    out.push_str("      - name: generate\n        pool: pool-0\n        model: model-0\n");
    out
}

/// The platform object of a configuration, with an audit record.
pub fn object(generation: u64, change: &str, config: String, before: &[Audit]) -> FleetObject {
    let record = Audit {
        from: generation - 1,
        to: generation,
        change: change.to_owned(),
        who: "operator".to_owned(),
        why: "a change".to_owned(),
        at_ms: Ms::secs(generation).0,
        fields: vec!["deployment".to_owned()],
    };
    let kept = before.len().saturating_sub(19);
    let audit = before[kept..].iter().cloned().chain([record]).collect();
    FleetObject { generation, change: change.to_owned(), config, audit, rolled: Vec::new() }
}
