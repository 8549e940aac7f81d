//! Route lookup, API keys and the permitted age of a proof.

use base::Ms;
use catalog::{
    Backend, Catalog, CatalogError, Freshness, KEY_PROOF_PERCENT, Limits, MAX_RANK, Proof,
    Residency, RetrySafety, Route, Stage, Workspace,
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
fn the_longest_prefix_of_the_host_name_wins() {
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
fn invalid_declarations_are_refused_with_the_name_of_the_route() {
    let no_slash = route("r", "a", "/x");
    assert_eq!(catalog(vec![no_slash]).unwrap_err(), CatalogError::Prefix("r".into()));
    let mut cyclic = route("r", "a", "/x/");
    cyclic.stages = vec![Stage { service: "s".into(), after: vec![0], bytes: 0 }];
    assert_eq!(catalog(vec![cyclic]).unwrap_err(), CatalogError::StageOrder("r".into()));
    let mut no_backend = route("r", "a", "/x/");
    no_backend.backends.clear();
    assert_eq!(catalog(vec![no_backend]).unwrap_err(), CatalogError::NoBackend("r".into()));
}

#[test]
fn requests_are_distributed_over_backends_by_weight() {
    let mut route = route("r", "a", "/x/");
    route.backends = vec![
        Backend { service: "old".into(), weight: 90 },
        Backend { service: "new".into(), weight: 10 },
    ];
    let to_new = (0..1_000u64).filter(|n| route.backend(*n).unwrap().as_str() == "new").count();
    assert_eq!(to_new, 100);
}

// Guards against kinds of requests that are alike because all workspaces have the same priority.
#[test]
fn the_workspaces_priority_goes_first_and_the_routes_decides_among_equals() {
    let workspace =
        |priority| Workspace { name: "painters".into(), priority, residency: Residency::Anywhere };
    let rank = |own: u8, theirs: Option<u8>| {
        let route = Route { priority: own, ..route("r", "a", "/x/") };
        route.rank(Some(&workspace(theirs)))
    };
    assert!(rank(0, Some(1)) < rank(2, Some(1)));
    assert!(rank(2, Some(0)) < rank(0, Some(1)));
    assert!(rank(0, None) < rank(0, Some(1)));
    assert!(rank(2, Some(1)) < rank(2, None));
    assert_eq!(rank(255, Some(255)), MAX_RANK);
    assert!(route("r", "a", "/x/").rank(None) < MAX_RANK);
}

// Guards against a request that counts as the most urgent one because a route without stages, or one
// that needs a key, would have a rank that no request with stages can have.
#[test]
fn the_most_urgent_rank_with_stages_is_of_a_route_and_workspace_that_exist() {
    let stages = vec![Stage { service: "s".into(), after: vec![], bytes: 0 }];
    let staged = |priority| Route { priority, stages: stages.clone(), ..route("r", "a", "/x/") };
    let plain = Route { priority: 0, ..route("p", "a", "/p/") };
    let ranks = catalog(vec![plain.clone(), staged(2), staged(3)]).unwrap();
    assert_eq!(ranks.top_stage_rank(), staged(2).rank(None));
    assert_eq!(catalog(vec![plain]).unwrap().top_stage_rank(), MAX_RANK);
    let keyed = |priority| Workspace {
        name: "painters".into(),
        priority: Some(priority),
        residency: Residency::Anywhere,
    };
    let keys = HashMap::from([("k1".to_owned(), Arc::new(keyed(4)))]);
    let new = |routes| Catalog::new(3, Limits::default(), routes, Vec::new(), Some(keys.clone()));
    assert_eq!(new(vec![staged(2)]).unwrap().top_stage_rank(), staged(2).rank(Some(&keyed(4))));
    let public = Route { public: true, ..staged(2) };
    assert_eq!(new(vec![public]).unwrap().top_stage_rank(), staged(2).rank(None));
}

#[test]
fn only_stages_that_no_other_stage_reads_go_to_the_engine() {
    let mut route = route("r", "a", "/x/");
    let stage = |after| Stage { service: "s".into(), after, bytes: 0 };
    route.stages = vec![stage(vec![]), stage(vec![]), stage(vec![1])];
    assert_eq!(route.last_stages().collect::<Vec<_>>(), [0, 2]);
}

// Guards against a revoked key that still works because its host was cut off from the store, or
// frozen, and went on serving from memory. Without a recent proof, no key is accepted.
#[test]
fn keys_are_accepted_only_while_the_proof_is_recent() {
    let mut freshness = Freshness::new(Some(Ms(5_000)));
    assert_eq!(freshness.check(Ms(0)), Proof::Stale { age: None });
    freshness.prove(Ms(1_000));
    let bound = Ms(5_000).scale(KEY_PROOF_PERCENT, 100);
    assert_eq!(freshness.check(Ms(1_000) + bound), Proof::Current);
    let late = Ms(1_001) + bound;
    assert_eq!(freshness.check(late), Proof::Stale { age: Some(bound + Ms(1)) });
    freshness.prove(Ms(500));
    assert!(matches!(freshness.check(late), Proof::Stale { .. }), "an older proof proves nothing");
}

#[test]
fn without_a_revocation_limit_no_proof_is_needed() {
    let mut freshness = Freshness::new(None);
    freshness.prove(Ms(1));
    assert_eq!(freshness.check(Ms(1 << 40)), Proof::Current);
}
