//! Simulates load that grows past capacity and reports goodput and attainment.

use anyhow::{Context, Result};
use base::Ms;
use model::{Deployment, Outcome, Pattern, Policy, Run, Script};

use crate::report::{Axes, Output, Series, Table};
use crate::stats::Spread;

/// Offered load as a multiple of capacity.
const LOAD_FACTORS: [f64; 9] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 2.5, 3.0];

/// Runs the simulations, prints the table and writes the plot.
pub fn run(deployment: Deployment, seeds: u64, output: &Output) -> Result<()> {
    let model = deployment.model().context("reading the example configuration")?;
    let policies = [Policy::Naive, Policy::Full];
    let (mut rows, mut lines) = (Vec::new(), Vec::new());
    for policy in policies {
        let mut points = Vec::new();
        for load in LOAD_FACTORS {
            let script = Script { load: vec![(Ms::ZERO, load)], ..Pattern::Saturation.script() };
            let simulate = |seed| model::run(Run { model: &model, script: &script, policy, seed });
            let outcomes: Vec<Outcome> = (1..=seeds).map(simulate).collect();
            let spread =
                |f: fn(&Outcome) -> f64| Spread::of(&outcomes.iter().map(f).collect::<Vec<_>>());
            let goodput = spread(|o| o.goodput * 100.0);
            points.push((load * 100.0, goodput.median));
            rows.push(vec![
                policy.name(),
                format!("{:.0}", load * 100.0),
                goodput.show(1),
                spread(|o| o.attainment * 100.0).show(1),
                spread(|o| o.latency.p99 as f64).show(0),
                spread(|o| o.refusal.p50 as f64).show(0),
            ]);
        }
        lines.push(Series { name: policy.name(), points });
    }
    let columns = ["policy", "load %", "goodput %", "attained %", "p99 ms", "refused after p50 ms"];
    let title = format!("{}: growing load, 60 s, seeds 1 to {seeds}", deployment.as_str());
    output.tables(&[Table { title, columns: columns.map(str::to_owned).to_vec(), rows }])?;
    let axes = Axes {
        title: format!("Goodput under load, {}", deployment.as_str()),
        x: "load, % of capacity".to_owned(),
        y: "goodput, % of capacity".to_owned(),
    };
    output.plot(&axes, &lines)
}
