//! Measures what each policy decision gains and loses by comparing runs of the same seed with and
//! without it.

use model::{Outcome, Pattern, Policy};

use crate::report::Table;
use crate::stats::Spread;

/// Outcomes by pattern, policy and seed.
pub type OutcomesByPattern = [Vec<Vec<Outcome>>];

/// Name and value of a metric; higher is better.
type Metric = (&'static str, fn(&Outcome) -> f64);

const METRICS: [Metric; 4] = [
    ("attained", |o| o.attainment * 100.0),
    ("small ws", |o| o.small_workspaces() * 100.0),
    ("goodput", |o| o.goodput * 100.0),
    ("cost", |o| -o.unit_cost() * 1000.0),
];

/// Effect of a decision on a metric in one pattern: the median over the seeds of the value with the
/// decision minus the value without it, and the number of seeds whose difference has the same sign
/// as that median.
struct Change {
    pattern: &'static str,
    median: f64,
    agree: usize,
    seeds: usize,
}

impl Change {
    fn show(&self) -> String {
        let Self { pattern, median, agree, seeds } = self;
        format!("{pattern} {median:+.2} ({agree}/{seeds})")
    }
}

/// One row per decision, with the patterns in which it gains and loses most on each metric.
pub fn table(
    name: &str,
    patterns: &[Pattern],
    policies: &[Policy],
    outcomes: &OutcomesByPattern,
) -> Table {
    let full = policies.iter().position(|&p| p == Policy::Full);
    let without = policies.iter().enumerate().filter(|(_, p)| matches!(p, Policy::Without(_)));
    let row = |full: usize, at: usize, policy: &Policy| {
        let mut row = vec![policy.name().trim_start_matches('-').to_owned()];
        for (_, metric) in METRICS {
            let mut changes: Vec<Change> = patterns
                .iter()
                .zip(outcomes)
                .map(|(p, runs)| change(p, &runs[full], &runs[at], metric))
                .collect();
            changes.sort_by(|a, b| b.median.total_cmp(&a.median));
            row.extend(changes.first().map(Change::show));
            row.extend(changes.last().map(Change::show));
        }
        row
    };
    let columns = METRICS.iter().flat_map(|(w, _)| [format!("{w}: most"), format!("{w}: least")]);
    Table {
        title: format!(
            "{name}: effect of each decision, points and cost/1000 saved (seeds that agree)"
        ),
        columns: ["decision".to_owned()].into_iter().chain(columns).collect(),
        rows: full.map_or_else(Vec::new, |full| without.map(|(at, p)| row(full, at, p)).collect()),
    }
}

fn change(
    pattern: &Pattern,
    with: &[Outcome],
    without: &[Outcome],
    metric: fn(&Outcome) -> f64,
) -> Change {
    let pairs = with.iter().zip(without);
    let gains: Vec<f64> = pairs.map(|(a, b)| metric(a) - metric(b)).collect();
    let median = Spread::of(&gains).median;
    let agree = gains.iter().filter(|g| **g * median > 0.0).count();
    Change { pattern: pattern.as_str(), median, agree, seeds: gains.len() }
}
