//! Attributes the delay of late requests to causes, from the log lines of all hosts.

use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use crate::timeline::json_line;

/// Why a request was late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Results that its stages read were lost and had to be computed again.
    Redone,
    /// It was sent to more than one target.
    SentAgain,
    /// Its stages exceeded the median of on-time requests by more than its engine did.
    Stages,
    /// Its engine took longer to send the first event.
    Engine,
    /// Its target took longer; the request has no stages.
    Target,
}

impl Cause {
    /// All causes, in the order of the table's columns.
    pub const ALL: [Self; 5] =
        [Self::Redone, Self::SentAgain, Self::Stages, Self::Engine, Self::Target];

    const fn name(self) -> &'static str {
        match self {
            Self::Redone => "redone",
            Self::SentAgain => "sent again",
            Self::Stages => "stages",
            Self::Engine => "engine",
            Self::Target => "target",
        }
    }
}

/// Requests of one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RouteAccount {
    /// Number of served requests, including late ones.
    pub served: u64,
    /// Number of requests served after their latency aim.
    pub late: u64,
    /// Late requests by cause.
    pub causes: BTreeMap<Cause, u64>,
    /// Time to the end of the stages, ms: medians of the on-time and of the late requests.
    pub stages_ms: (u64, u64),
    /// Time from the end of the stages to the first event or the answer, ms: medians of the on-time
    /// and of the late requests.
    pub target_ms: (u64, u64),
    /// Late requests by the interval of ten seconds in which they ended, by the hosts' clocks.
    pub spans: BTreeMap<String, u64>,
}

/// Summary of all requests in the logs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Account {
    /// By route.
    pub routes: BTreeMap<String, RouteAccount>,
    /// Requests that were rejected or abandoned, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Stages that failed, by fault.
    pub failed: BTreeMap<String, u64>,
    /// Clients that disconnected before or during their answer.
    pub left: u64,
}

/// A `RequestServed` log line.
struct Served {
    request: String,
    route: String,
    late_ms: u64,
    stages_ms: u64,
    target_ms: u64,
    has_stages: bool,
    runs: u64,
    stands_for: u64,
    span: String,
}

/// Length of a timestamp cut after the tens of seconds, such as `2026-12-03T04:36:2`.
const SPAN_CHARS: usize = 18;

/// Summarizes the log lines of all hosts. Lines of other programs are skipped.
pub fn account<'a>(lines: impl Iterator<Item = &'a str>) -> Account {
    let mut account = Account::default();
    let mut served = Vec::new();
    let mut redone = HashSet::new();
    for line in lines {
        let Some(line) = json_line(line) else { continue };
        let Some(fields) = line.get("fields").and_then(Value::as_object) else { continue };
        match text(fields, "name") {
            Some("RequestServed") => served.extend(parse_served(&line, fields)),
            Some("StageRedone") => redone.extend(text(fields, "request").map(str::to_owned)),
            Some("RequestRefused") => count(&mut account.refused, text(fields, "reason")),
            Some("StageFailed") => count(&mut account.failed, text(fields, "fault")),
            Some("CallerLeft" | "StreamLeft") => account.left += 1,
            _ => {}
        }
    }
    let mut by_route: HashMap<&str, Vec<&Served>> = HashMap::new();
    for request in &served {
        by_route.entry(&request.route).or_default().push(request);
    }
    for (route, requests) in by_route {
        account.routes.insert(route.to_owned(), route_account(&requests, &redone));
    }
    account
}

fn text<'a>(fields: &'a Map<String, Value>, name: &str) -> Option<&'a str> {
    fields.get(name)?.as_str()
}

fn number(fields: &Map<String, Value>, name: &str) -> Option<u64> {
    fields.get(name)?.as_u64()
}

fn count(counts: &mut BTreeMap<String, u64>, name: Option<&str>) {
    if let Some(name) = name {
        *counts.entry(name.to_owned()).or_default() += 1;
    }
}

fn parse_served(line: &Value, fields: &Map<String, Value>) -> Option<Served> {
    let stages = number(fields, "stages_ms");
    let end = number(fields, "first_ms").or(number(fields, "took_ms"))?;
    let time = line.get("timestamp")?.as_str()?;
    Some(Served {
        request: text(fields, "request")?.to_owned(),
        route: text(fields, "route")?.to_owned(),
        late_ms: number(fields, "late_ms").unwrap_or(0),
        stages_ms: stages.unwrap_or(0),
        target_ms: end.saturating_sub(stages.unwrap_or(0)),
        has_stages: stages.is_some(),
        runs: number(fields, "runs").unwrap_or(1),
        stands_for: number(fields, "stands_for").unwrap_or(1),
        span: time.get(..SPAN_CHARS).unwrap_or(time).to_owned(),
    })
}

fn route_account(requests: &[&Served], redone: &HashSet<String>) -> RouteAccount {
    let (late, on_time): (Vec<&Served>, Vec<&Served>) =
        requests.iter().partition(|r| r.late_ms > 0);
    let stages_ms = (median(&on_time, |r| r.stages_ms), median(&late, |r| r.stages_ms));
    let target_ms = (median(&on_time, |r| r.target_ms), median(&late, |r| r.target_ms));
    let mut causes = BTreeMap::new();
    let mut spans = BTreeMap::new();
    for request in &late {
        let (stages, target) = (request.stages_ms, request.target_ms);
        let cause = match () {
            () if redone.contains(&request.request) => Cause::Redone,
            () if request.runs > 1 => Cause::SentAgain,
            () if !request.has_stages => Cause::Target,
            () if stages.saturating_sub(stages_ms.0) > target.saturating_sub(target_ms.0) => {
                Cause::Stages
            }
            () => Cause::Engine,
        };
        *causes.entry(cause).or_default() += 1;
        *spans.entry(request.span.clone()).or_default() += 1;
    }
    // Lines of on-time requests are sampled and each stands for several requests; every late
    // request is logged.
    let served = requests.iter().map(|r| r.stands_for).sum::<u64>().max(late.len() as u64);
    RouteAccount { served, late: late.len() as u64, causes, stages_ms, target_ms, spans }
}

fn median(requests: &[&Served], of: impl Fn(&Served) -> u64) -> u64 {
    let mut values: Vec<u64> = requests.iter().map(|r| of(r)).collect();
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<16} {:>8} {:>6}", "route", "served", "late")?;
        for cause in Cause::ALL {
            write!(f, " {:>10}", cause.name())?;
        }
        write!(f, "  {:>15}  {:>15}", "stages, ms", "then, ms")?;
        for (route, row) in &self.routes {
            write!(f, "\n{route:<16} {:>8} {:>6}", row.served, row.late)?;
            for cause in Cause::ALL {
                write!(f, " {:>10}", row.causes.get(&cause).copied().unwrap_or(0))?;
            }
            let pair = |(on_time, late): (u64, u64)| format!("{on_time} / {late}");
            write!(f, "  {:>15}  {:>15}", pair(row.stages_ms), pair(row.target_ms))?;
        }
        for (title, counts) in [("refused", &self.refused), ("stages failed", &self.failed)] {
            if !counts.is_empty() {
                let counts = counts.iter().map(|(name, n)| format!("{name} {n}"));
                write!(f, "\n{title}: {}", counts.collect::<Vec<_>>().join(", "))?;
            }
        }
        write!(f, "\ncallers that left: {}", self.left)
    }
}
