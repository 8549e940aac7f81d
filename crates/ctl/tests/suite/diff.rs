//! Comparing, checking and explaining configurations.

use base::{Generation, Ms};
use conf::{Fleet, Plan};
use ctl::{check, diff, explain, format_utc, header_generation, with_generation_header};

use crate::support::yaml;

const COOPERATIVE: &str = include_str!("../../../../examples/cooperative.yaml");

fn changes(edit: impl Fn(&mut Fleet)) -> Vec<String> {
    let from = Fleet::parse(COOPERATIVE).expect("the example parses");
    let mut to = from.clone();
    edit(&mut to);
    diff(&from, &to).iter().map(ToString::to_string).collect()
}

#[test]
fn changes_are_listed_by_name() {
    let output = changes(|f| {
        f.cost_weight = 0.3;
        f.pipelines[3].deadline_ms = Some(Ms(5500));
        f.pipelines[1].priority = None;
        f.workspaces.remove(4);
        f.pools[0].targets[0].models.pop();
        f.exceptions[0].weight = Some(2.0);
        let mut new = f.workspaces[0].clone();
        new.name = "apprentices".into();
        f.workspaces.insert(0, new);
    });
    insta::assert_snapshot!(output.join("\n"));
}

#[test]
fn the_order_of_stages_is_a_difference() {
    let output = changes(|f| f.pipelines[0].stages.swap(0, 1));
    assert_eq!(
        output,
        ["pipelines.condition-report.stages (order): \
             [\"encode\",\"retrieve\",\"rerank\",\"generate\"] -> \
             [\"retrieve\",\"encode\",\"rerank\",\"generate\"]"]
    );
}

#[test]
fn a_default_written_out_is_no_difference() {
    let from = Fleet::parse(&yaml(1)).expect("it parses");
    let to = yaml(1).replace("    weight: 1\n", "");
    assert_eq!(diff(&from, &Fleet::parse(&to).expect("it parses")), []);
}

#[test]
fn the_generation_header_is_written_and_parsed() {
    let shown = with_generation_header("a: 1\n", Generation(7));
    assert_eq!(shown, "# generation: 7\na: 1\n");
    assert_eq!(header_generation(&shown), Some(Generation(7)));
    assert_eq!(with_generation_header(&shown, Generation(8)), "# generation: 8\na: 1\n");
    assert_eq!(header_generation("# generation: next\n"), None);
    assert_eq!(header_generation("a: 1\n# generation: 7\n"), None);
}

#[test]
fn timestamps_are_formatted_in_utc() {
    let output =
        [0, 951_782_400_000, 1_796_253_548_035, 4_107_542_399_999].map(|ms| format_utc(Ms(ms)));
    let expected = [
        "1970-01-01T00:00:00Z",
        "2000-02-29T00:00:00Z",
        "2026-12-02T23:19:08Z",
        "2100-02-28T23:59:59Z",
    ];
    assert_eq!(output, expected);
}

/// The exception sets the value until it ends; then the pipeline's own value applies.
#[test]
fn an_exception_decides_until_its_end() {
    let plan = Plan::parse(Generation(3), &yaml(4)).expect("it passes");
    let at = |ms| explain(&plan, "painters", "sign-off", Ms(ms)).expect("both are declared");
    insta::assert_snapshot!(format!("{}\n\n{}", at(1999), at(2000)));
    assert!(explain(&plan, "painters", "sign-on", Ms(0)).is_err());
    assert!(explain(&plan, "nobody", "sign-off", Ms(0)).is_err());
}

#[test]
fn the_kind_of_a_file_follows_from_its_fields() {
    let fleet = check(&yaml(1), None, Ms(1)).expect("it passes");
    assert_eq!(fleet.warnings, []);
    assert_eq!(check(&yaml(1), None, Ms(2000)).expect("it passes").warnings.len(), 1);
    let host = include_str!("../../../../examples/host.yaml");
    assert_eq!(
        check(host, None, Ms(1)).expect("it passes").summary,
        "settings of host thies-1 in thies-nord"
    );
    assert!(matches!(check("a: 1\n", None, Ms(1)), Err(ctl::CtlError::FileKind)));
    assert!(matches!(check("a: [", None, Ms(1)), Err(ctl::CtlError::Parse(_))));
    assert!(check(host, Some(conf::FileKind::Fleet), Ms(1)).is_err());
}
