//! Settings: which texts are accepted, and what the errors say.

use base::Ms;
use edge::Settings;

const GOOD: &str = "\
host: edge-1
domain: thies-nord
domains: {thies-nord: thies, dakar-plateau: dakar}
listen: 10.0.0.1:8625
ready: 10.0.0.1:8621
peer: 10.0.0.1:8628
platform: 10.0.0.9:8624
";

#[test]
fn only_addresses_and_domains_are_required() {
    let settings = Settings::parse(GOOD).unwrap();
    assert_eq!(settings.region().as_str(), "thies");
    assert_eq!(settings.bounds.revoke_ms, Ms(5_000));
    assert!(settings.seeds.is_empty());
}

#[test]
fn values_left_out_by_the_platform_get_their_defaults() {
    let text = format!("{GOOD}metrics:\nseeds: []\n");
    assert_eq!(Settings::parse(&text).unwrap().metrics, None);
}

#[test]
fn errors_name_the_field_and_its_allowed_values() {
    let error = |text: &str| Settings::parse(text).unwrap_err().to_string();
    let unknown = error(&format!("{GOOD}colour: red\n"));
    assert!(unknown.contains("colour"), "{unknown}");
    let domain = error(&GOOD.replace("domain: thies-nord", "domain: elsewhere"));
    assert_eq!(domain, "domains: name the region of elsewhere, the host's own failure domain");
    let bound = error(&format!("{GOOD}bounds: {{grace_s: 0}}\n"));
    assert_eq!(bound, "bounds.grace_s: must be at least 1");
    let cores = error(&format!("{GOOD}cores: 0\n"));
    assert_eq!(cores, "cores: must be above 0");
    let memory = error(&format!("{GOOD}memory_mb: 32\n"));
    assert_eq!(memory, "memory_mb: must be at least 64");
    let connections = error(&format!("{GOOD}connections: 0\n"));
    assert_eq!(connections, "connections: must be at least 1");
    let missing = error(&GOOD.replace("host: edge-1\n", ""));
    assert!(missing.contains("host"), "{missing}");
}

// The template of the deployment must render to valid settings. The test fills in the values that
// the platform puts in according to its documentation.
#[test]
fn the_deployment_template_renders_to_valid_settings() {
    let template = include_str!("../../../deploy/edge.yaml.in");
    let values = [
        ("nodeName|json", "\"edge-1\""),
        ("zone|json", "\"thies-nord\""),
        ("zones|json", "{\"thies-nord\":\"thies\"}"),
        ("listen.frontend|json", "\"10.0.0.1:8625\""),
        ("listen.readiness|json", "\"10.0.0.1:8621\""),
        ("listen.controlPlane|json", "\"10.0.0.1:8628\""),
        ("ip", "10.0.0.1"),
        ("platform.addr|json", "\"10.0.0.9:8624\""),
        ("seedNodes|json", "[\"10.0.0.1:8628\",\"10.0.0.2:8628\"]"),
        ("bootstrap|json", "true"),
        ("limits.cpuQuota|json", "0.25"),
        ("limits.memoryMb|json", "260"),
        ("bounds.revokeStrict|json", "true"),
        ("bounds.revokeMs|json", "4000"),
        ("bounds.configApplyMs|json", "2500"),
        ("bounds.drainMs|json", "2500"),
        ("heartbeatMs|json", "1200"),
        ("#bounds.evacuateMs", ""),
        ("bounds.evacuateMs|json", "5000"),
        ("/bounds.evacuateMs", ""),
        ("#bounds.warmupOverage", ""),
        ("bounds.warmupOverage|json", "1.5"),
        ("/bounds.warmupOverage", ""),
        ("#bounds.warmupSlack", ""),
        ("bounds.warmupSlack|json", "5"),
        ("/bounds.warmupSlack", ""),
        ("bounds.graceS|json", "8"),
        ("bounds.retryBudgetRatio|json", "0.2"),
        ("bounds.budgetSlack|json", "52"),
        ("bounds.retryWindowS|json", "10"),
    ];
    let mut text = template.to_owned();
    for (name, value) in values {
        assert!(text.contains(&format!("{{{{{name}}}}}")), "{name}");
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "{text}");
    let settings = Settings::parse(&text).unwrap();
    assert_eq!((settings.seeds.len(), settings.bounds.revoke_ms), (2, Ms(4_000)));
    assert_eq!((settings.cores, settings.memory_mb), (0.25, Some(260)));
    let bounds = &settings.bounds;
    assert_eq!((bounds.evacuate_ms, bounds.cold_factor), (Some(Ms(5_000)), Some(1.5)));
}
