//! Reports the hosts and the generation in force on each of them.

use base::{DomainId, Generation, Ms};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;
use wire::Member;

use crate::{CtlError, host};

/// Time between two polls of the hosts.
const POLL_INTERVAL: Ms = Ms(200);

/// Rollout of a generation in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DomainRollout {
    /// Hosts of the domain that accept requests.
    pub hosts: usize,
    /// Hosts among them on which the generation or a higher one is in force.
    pub reached: usize,
}

/// Number of hosts on which a generation is in force, by failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Rollout {
    /// The generation.
    pub generation: Generation,
    /// By failure domain.
    pub domains: BTreeMap<String, DomainRollout>,
}

impl Rollout {
    /// Counts members. Stopping hosts are left out because they accept no new requests.
    ///
    /// `declared` lists the configuration's failure domains. A domain without known hosts is listed
    /// too and makes the rollout incomplete: a partitioned host knows only its own domain, and its
    /// member list alone would otherwise pass for a complete rollout.
    pub fn of(generation: Generation, members: &[Member], declared: &[DomainId]) -> Self {
        let empty = |name: &DomainId| (name.to_string(), DomainRollout::default());
        let mut domains: BTreeMap<_, _> = declared.iter().map(empty).collect();
        for m in members.iter().filter(|m| !m.leaving) {
            let domain = domains.entry(m.domain.clone()).or_default();
            domain.hosts += 1;
            domain.reached += usize::from(m.generation >= generation.0);
        }
        Self { generation, domains }
    }

    /// Number of hosts that accept requests.
    pub fn hosts(&self) -> usize {
        self.domains.values().map(|d| d.hosts).sum()
    }

    /// Number of hosts on which the generation is in force.
    pub fn reached(&self) -> usize {
        self.domains.values().map(|d| d.reached).sum()
    }

    /// Whether the generation is in force on all hosts and each failure domain has at least one
    /// host.
    pub fn is_complete(&self) -> bool {
        self.hosts() > 0 && self.domains.values().all(|d| d.hosts > 0 && d.reached == d.hosts)
    }
}

impl fmt::Display for Rollout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (reached, hosts) = (self.reached(), self.hosts());
        write!(f, "generation {} in force on {reached} of {hosts} hosts", self.generation)?;
        for (name, d) in &self.domains {
            match d.hosts {
                0 => write!(f, "\n  {name}: no host known")?,
                hosts => write!(f, "\n  {name}: {} of {hosts}", d.reached)?,
            }
        }
        Ok(())
    }
}

/// Merges the member lists of several hosts, with the newest entry for each member. Hosts that
/// don't answer are skipped; if none answers, the last error is returned.
pub async fn all_members(hosts: &[SocketAddr]) -> Result<Vec<Member>, CtlError> {
    let mut newest = BTreeMap::<String, Member>::new();
    let mut result = Ok(());
    let mut answered = false;
    for addr in hosts {
        match host::members(*addr).await {
            Ok(members) => {
                answered = true;
                members.into_iter().for_each(|m| merge(&mut newest, m));
            }
            Err(err) => result = Err(err),
        }
    }
    match result {
        Err(err) if !answered => Err(err),
        _ => Ok(newest.into_values().collect()),
    }
}

fn merge(newest: &mut BTreeMap<String, Member>, member: Member) {
    let version = |m: &Member| (m.incarnation, m.beat, m.generation);
    match newest.get(&member.host) {
        Some(known) if version(known) >= version(&member) => {}
        _ => {
            newest.insert(member.host.clone(), member);
        }
    }
}

/// Waits at most `wait` until `generation` is in force on all hosts that `hosts` know of, and
/// returns the last state of the rollout. `declared` lists the configuration's failure domains.
pub async fn wait_in_force(
    hosts: &[SocketAddr],
    generation: Generation,
    declared: &[DomainId],
    wait: Ms,
) -> Result<Rollout, CtlError> {
    let end = Instant::now() + wait.duration();
    loop {
        let result = all_members(hosts).await.map(|m| Rollout::of(generation, &m, declared));
        match result {
            Ok(reach) if reach.is_complete() => return Ok(reach),
            result if Instant::now() >= end => return result,
            _ => tokio::time::sleep(POLL_INTERVAL.duration()).await,
        }
    }
}

/// Overview of the fleet for the operator.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The newest accepted generation; missing if the platform wasn't queried.
    pub accepted: Option<Generation>,
    /// Targets that an operator marked as leaving; missing if the platform wasn't queried.
    pub leaving: Option<Vec<String>>,
    /// Rollout of the accepted generation, or else of the highest one that a host has; missing if
    /// no host was queried.
    pub reach: Option<Rollout>,
    /// The hosts; empty if none was queried.
    pub hosts: Vec<Member>,
}

impl Status {
    /// Combines the answers of the platform and the hosts.
    pub fn new(
        accepted: Option<Generation>,
        leaving: Option<Vec<String>>,
        hosts: Vec<Member>,
        declared: &[DomainId],
    ) -> Self {
        let highest = hosts.iter().map(|m| Generation(m.generation)).max();
        let generation = accepted.or(highest).unwrap_or_default();
        let reach = (!hosts.is_empty()).then(|| Rollout::of(generation, &hosts, declared));
        Self { accepted, leaving, reach, hosts }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.accepted {
            Some(generation) => writeln!(f, "accepted: generation {generation}")?,
            None => writeln!(f, "accepted: not asked (give --platform)")?,
        }
        match &self.reach {
            Some(reach) => writeln!(f, "{reach}")?,
            None => writeln!(f, "hosts: not asked (give --host)")?,
        }
        for m in &self.hosts {
            let leaving = if m.leaving { ", stopping" } else { "" };
            writeln!(f, "  {} in {}: generation {}{leaving}", m.host, m.domain, m.generation)?;
        }
        match self.leaving.as_deref() {
            None => write!(f, "leaving targets: not asked (give --platform)"),
            Some([]) => write!(f, "leaving targets: none marked"),
            Some(names) => write!(f, "leaving targets: {}", names.join(", ")),
        }
    }
}
