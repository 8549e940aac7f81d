//! Routes, keys and what the age of a proof allows.

use base::Ms;
use catalog::{
    Backend, Catalog, CatalogError, Freshness, KEY_PROOF_SHARE, Limits, Proof, Residency,
    RetrySafety, Route, Stage, Workspace,
};
use std::collections::HashMap;
use std::sync::Arc;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        retry_safety: RetrySafety::Once,
        timeout: Ms(1_000),
        latency_goal: Ms(200),
        client_timeout: None,
        priority: 1,
        backends: vec![Backend { service: "register".into(), weight: 1 }],
        attempts: 1,
        stages: Vec::new(),
        public: false,
        residency: Residency::Anywhere,
    }
}

fn catalog(routes: Vec<Route>) -> Result<Catalog, CatalogError> {
    let workspace =
        Workspace { name: "painters".into(), priority: None, residency: Residency::Anywhere };
    let keys = HashMap::from([("k1".to_owned(), Arc::new(workspace))]);
    Catalog::new(3, Limits::default(), routes, Vec::new(), Some(keys))
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    let catalog = catalog(routes).unwrap();
    let found = |host, path| catalog.route(host, path).map(|r| r.name.to_string());
    assert_eq!(found("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(found("a.example:80", "/x/z").as_deref(), Some("short"));
    assert_eq!(found("B.EXAMPLE", "/x/z").as_deref(), Some("other"));
    assert_eq!(found("a.example", "/x"), None);
    assert_eq!(found("c.example", "/x/y"), None);
}

#[test]
fn declarations_without_sense_are_refused_by_name() {
    let no_slash = route("r", "a", "/x");
    assert_eq!(catalog(vec![no_slash]).unwrap_err(), CatalogError::Prefix("r".into()));
    let mut circle = route("r", "a", "/x/");
    circle.stages = vec![Stage { service: "s".into(), after: vec![0], bytes: 0 }];
    assert_eq!(catalog(vec![circle]).unwrap_err(), CatalogError::StageOrder("r".into()));
    let mut nowhere = route("r", "a", "/x/");
    nowhere.backends.clear();
    assert_eq!(catalog(vec![nowhere]).unwrap_err(), CatalogError::NoBackend("r".into()));
}

#[test]
fn requests_spread_over_backends_by_weight() {
    let mut route = route("r", "a", "/x/");
    route.backends = vec![
        Backend { service: "old".into(), weight: 90 },
        Backend { service: "new".into(), weight: 10 },
    ];
    let to_new = (0..1_000u64).filter(|n| route.backend(*n).unwrap().as_str() == "new").count();
    assert_eq!(to_new, 100);
}

#[test]
fn only_stages_that_nobody_reads_go_to_the_engine() {
    let mut route = route("r", "a", "/x/");
    let stage = |after| Stage { service: "s".into(), after, bytes: 0 };
    route.stages = vec![stage(vec![]), stage(vec![]), stage(vec![1])];
    assert_eq!(route.last_stages().collect::<Vec<_>>(), [0, 2]);
}

// A key that was taken away still works: its host was cut off from the store, or stood still, and
// went on serving from memory.
// Without a proof that is young enough, no key is served.
#[test]
fn keys_are_served_only_while_the_proof_is_young() {
    let mut freshness = Freshness::new(Some(Ms(5_000)));
    assert_eq!(freshness.check(Ms(0)), Proof::Stale { age: None });
    freshness.prove(Ms(1_000));
    let bound = Ms(5_000).scale(KEY_PROOF_SHARE, 100);
    assert_eq!(freshness.check(Ms(1_000) + bound), Proof::Current);
    let late = Ms(1_001) + bound;
    assert_eq!(freshness.check(late), Proof::Stale { age: Some(bound + Ms(1)) });
    freshness.prove(Ms(500));
    assert!(matches!(freshness.check(late), Proof::Stale { .. }), "an older proof proves nothing");
}

#[test]
fn without_a_bound_on_revocation_no_proof_is_needed() {
    let mut freshness = Freshness::new(None);
    freshness.prove(Ms(1));
    assert_eq!(freshness.check(Ms(1 << 40)), Proof::Current);
}
