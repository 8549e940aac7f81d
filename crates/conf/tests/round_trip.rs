//! Checks that a serialized configuration is parsed to the same value, whatever its names and
//! numbers.

use base::Ms;
use conf::{
    Defaults, Domain, Exception, Fleet, Model, Pipeline, Placement, Pool, PoolKind, Priority,
    Region, Stage, Target, Workspace,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Plain names, texts that YAML could read as something other than a string, and arbitrary texts.
fn text() -> impl Strategy<Value = String> {
    let ambiguous = [
        "",
        " ",
        "yes",
        "no",
        "null",
        "~",
        "true",
        "1",
        "-1",
        "1.0",
        ".nan",
        "0x10",
        "1e3",
        "- a",
        "a: b",
        "a #b",
        "#",
        "'",
        "\"",
        "\\",
        "|",
        ">",
        "&a",
        "*a",
        "!t",
        "%",
        "@",
        "`",
        "[",
        "{",
        "---",
        "...",
        "a\nb",
        "a\n\nb\n",
        "\n",
        " a",
        "a ",
        "\ta",
        "2026-12-02",
        "é",
        "\u{85}",
        "\u{2028}",
        "<<",
        "=",
        "1_000",
        "12:30:45",
        "\r\n",
        "\u{7f}",
        "\u{feff}a",
    ];
    prop_oneof![
        4 => "[a-z][a-z0-9-]{0,12}".prop_map(String::from),
        2 => prop::sample::select(ambiguous.to_vec()).prop_map(String::from),
        1 => any::<String>(),
    ]
}

fn number() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), Just(1.0), Just(0.1), Just(1e-300), Just(1e300), 0.0..1e6f64]
}

fn ms() -> impl Strategy<Value = Ms> {
    prop_oneof![Just(Ms::ZERO), Just(Ms::MAX), (0u64..100_000).prop_map(Ms)]
}

fn priority() -> impl Strategy<Value = Priority> {
    prop::sample::select(vec![Priority::Low, Priority::Normal, Priority::High])
}

fn placement() -> impl Strategy<Value = Placement> {
    prop::sample::select(vec![Placement::Domain, Placement::Region, Placement::Anywhere])
}

fn option<S: Strategy>(s: S) -> impl Strategy<Value = Option<S::Value>>
where
    S::Value: Clone,
{
    prop::option::of(s)
}

fn list<S: Strategy>(s: S) -> impl Strategy<Value = Vec<S::Value>> {
    prop::collection::vec(s, 0..3)
}

fn defaults() -> impl Strategy<Value = Defaults> {
    let shares = (number(), number(), any::<u32>());
    (ms(), priority(), placement(), shares, ms(), ms()).prop_map(
        |(deadline_ms, priority, placement, shares, ramp_ms, poison_ms)| Defaults {
            deadline_ms,
            priority,
            placement,
            retry_share: shares.0,
            hedge_share: shares.1,
            queue_len: shares.2,
            ramp_ms,
            poison_ms,
        },
    )
}

fn region() -> impl Strategy<Value = Region> {
    let domain = (text(), ms()).prop_map(|(n, near_ms)| Domain { name: n.into(), near_ms });
    (text(), ms(), number(), list(domain)).prop_map(|(n, far_ms, cost_per_gb, domains)| Region {
        name: n.into(),
        far_ms,
        cost_per_gb,
        domains,
    })
}

fn pool() -> impl Strategy<Value = Pool> {
    let kinds = prop::sample::select(vec![PoolKind::Engine, PoolKind::Stage, PoolKind::Service]);
    let target = (text(), text(), text(), any::<u32>(), list(text())).prop_map(
        |(name, domain, address, slots, models)| Target {
            name: name.into(),
            domain: domain.into(),
            address,
            slots,
            models: models.into_iter().map(Into::into).collect(),
        },
    );
    (text(), kinds, number(), any::<bool>(), list(target)).prop_map(
        |(name, kind, cost_call, checks_fence, targets)| Pool {
            name: name.into(),
            kind,
            cost_call,
            checks_fence,
            targets,
        },
    )
}

fn pipeline() -> impl Strategy<Value = Pipeline> {
    let flags = (any::<bool>(), any::<bool>(), any::<u32>());
    let stage = (text(), text(), option(text()), flags, ms(), ms()).prop_map(
        |(name, pool, model, (repeatable, stream, max_tokens), typical_ms, least_ms)| Stage {
            name: name.into(),
            pool: pool.into(),
            model: model.map(Into::into),
            repeatable,
            stream,
            max_tokens,
            typical_ms,
            least_ms,
        },
    );
    (text(), option(ms()), option(priority()), option(placement()), list(stage)).prop_map(
        |(name, deadline_ms, priority, placement, stages)| Pipeline {
            name: name.into(),
            deadline_ms,
            priority,
            placement,
            stages,
        },
    )
}

fn exception() -> impl Strategy<Value = Exception> {
    let overrides = (option(ms()), option(ms()), option(priority()), option(placement()));
    (text(), text(), option(text()), option(text()), overrides, option(number())).prop_map(
        |(name, reason, workspace, pipeline, overrides, weight)| Exception {
            name,
            reason,
            workspace: workspace.map(Into::into),
            pipeline: pipeline.map(Into::into),
            until_ms: overrides.0,
            deadline_ms: overrides.1,
            priority: overrides.2,
            placement: overrides.3,
            weight,
        },
    )
}

fn fleet() -> impl Strategy<Value = Fleet> {
    let model = (text(), number(), number()).prop_map(|(n, cost_in, cost_out)| Model {
        name: n.into(),
        cost_in,
        cost_out,
    });
    let workspace = (text(), number()).prop_map(|(n, weight)| Workspace { name: n.into(), weight });
    let head = (text(), number(), defaults());
    let lists = (list(pool()), list(workspace), list(pipeline()), list(exception()));
    (head, list(region()), list(model), lists).prop_map(|(head, regions, models, lists)| Fleet {
        deployment: head.0,
        cost_weight: head.1,
        defaults: head.2,
        regions,
        models,
        pools: lists.0,
        workspaces: lists.1,
        pipelines: lists.2,
        exceptions: lists.3,
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn serialized_configuration_is_parsed_back(fleet in fleet()) {
        let yaml = fleet.to_yaml();
        match Fleet::parse(&yaml) {
            Ok(again) => prop_assert_eq!(again, fleet),
            Err(err) => prop_assert!(false, "{}\n{}", err, yaml),
        }
    }
}
