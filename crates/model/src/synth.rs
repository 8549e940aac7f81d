//! Generated configurations of any size, to measure how the time of a decision grows with the size.

use conf::{Fleet, ParseError};
use serde_json::{Value, json};

/// Size of a generated configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of engines, spread over two regions of four failure domains each.
    pub targets: usize,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Number of models; each runs on every engine and has its own pipeline.
    pub models: usize,
}

/// Generates a configuration of this size.
pub fn synthetic(size: Size) -> Result<Fleet, ParseError> {
    let domain = |i: usize| format!("domain-{}", i % 8);
    let models: Vec<String> = (0..size.models).map(|i| format!("model-{i}")).collect();
    let region = |r: usize| {
        let domains: Vec<Value> = (0..4).map(|d| json!({"name": domain(r * 4 + d)})).collect();
        json!({"name": format!("region-{r}"), "domains": domains})
    };
    let engine = |i: usize| {
        json!({
            "name": format!("engine-{i}"),
            "domain": domain(i),
            "address": format!("127.0.0.1:{}", 10_000 + i),
            "models": models,
        })
    };
    let pipeline = |m: &String| {
        json!({"name": format!("ask-{m}"), "stages": [
            {"name": "generate", "pool": "engines", "model": m, "stream": true, "typical_ms": 900},
        ]})
    };
    let fleet = json!({
        "deployment": "synthetic",
        "cost_weight": 0.5,
        "regions": [region(0), region(1)],
        "models": models.iter().map(|m| json!({"name": m})).collect::<Vec<_>>(),
        "pools": [{
            "name": "engines",
            "kind": "engine",
            "targets": (0..size.targets).map(engine).collect::<Vec<_>>(),
        }],
        "workspaces": (0..size.workspaces)
            .map(|i| json!({"name": format!("workspace-{i}")}))
            .collect::<Vec<_>>(),
        "pipelines": models.iter().map(pipeline).collect::<Vec<_>>(),
    });
    Fleet::parse(&fleet.to_string())
}
