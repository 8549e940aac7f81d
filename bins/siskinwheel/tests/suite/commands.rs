//! Output and exit codes of the commands, with a fake platform.

use crate::env::{self, Env};
use fakes::PlatformFaults;

/// The usual commands of an operator, from an empty platform to a change in force.
#[test]
fn a_change_is_checked_compared_applied_and_listed() {
    let env = Env::start();
    let file = env.file("fleet.yaml", &env::yaml(1));
    insta::assert_snapshot!("check", env.run(&["check", &file]));
    insta::assert_snapshot!("show_before_the_first", env.run(&["show", env.platform()]));
    let apply = ["--who", "ada", "--why", "first configuration", env.platform()];
    insta::assert_snapshot!("apply_first", env.run(&[&["apply", &file][..], &apply].concat()));
    insta::assert_snapshot!("show", env.run(&["show", env.platform()]));
    insta::assert_snapshot!("diff_none", env.run(&["diff", &file, env.platform()]));
    let file = env.file("changed.yaml", &env::yaml(3));
    insta::assert_snapshot!("diff_one", env.run(&["diff", &file, env.platform()]));
    let why = "painters take most of the work";
    let apply = ["apply", &file, "--who", "bob", "--why", why, env.platform(), "--wait"];
    insta::assert_snapshot!(
        "apply_and_wait",
        env.run(&[&apply[..], &[env.host(), "--within", "30"]].concat())
    );
    insta::assert_snapshot!("apply_again", env.run(&apply[..7]));
    insta::assert_snapshot!("history", env.run(&["history", env.platform()]));
    insta::assert_snapshot!("status", env.run(&["status", env.platform(), env.host()]));
}

/// Ada and Bob both start from generation 1. Bob applies second and is shown Ada's change.
#[test]
fn the_second_of_two_operators_sees_the_first_ones_change() {
    let env = Env::start();
    env.apply(1, "first");
    env.apply(2, "ada's change");
    let file = env.file("bob.yaml", &format!("# generation: 1\n{}", env::yaml(3)));
    let apply = ["apply", &file, "--who", "bob", "--why", "mine", env.platform()];
    insta::assert_snapshot!("raced", env.run(&apply));
    insta::assert_snapshot!("raced_json", env.run(&[&apply[..], &["--json"]].concat()));
    let rebased = env.run(&[&apply[..], &["--from", "2"]].concat());
    assert!(rebased.starts_with("exit 0"), "{rebased}");
}

/// Output of `apply --wait` when one of three hosts doesn't have the change in time.
#[test]
fn a_lagging_host_is_reported() {
    let env = Env::start();
    env.apply(1, "first");
    env.apply(2, "second");
    let file = env.file("third.yaml", &env::yaml(3));
    let apply = ["apply", &file, "--who", "ada", "--why", "third", env.platform(), "--wait"];
    insta::assert_snapshot!(
        "waiting",
        env.run(&[&apply[..], &[env.host(), "--within", "0"]].concat())
    );
}

#[test]
fn a_target_leaves_and_comes_back() {
    let env = Env::start();
    env.apply(1, "first");
    let run = |args: &[&str]| {
        let note = ["--who", "ada", "--why", "new disk", env.platform()];
        env.run(&[&["leave"], args, &note].concat())
    };
    let output = [run(&["register-1"]), run(&["register-1"]), env.run(&["status", env.platform()])];
    let more = [run(&["register-1", "--back"]), run(&["register-9"])];
    insta::assert_snapshot!("leave", output.into_iter().chain(more).collect::<String>());
}

#[test]
fn explain_names_what_decides_and_why() {
    let env = Env::start();
    env.apply(1, "first");
    let file = env.file("fleet.yaml", &env::yaml(1));
    let ask = ["explain", "--workspace", "painters", "--pipeline", "sign-off"];
    insta::assert_snapshot!("explain", env.run(&[&ask[..], &[env.platform()]].concat()));
    insta::assert_snapshot!("explain_file", env.run(&[&ask[..], &["--file", &file]].concat()));
    insta::assert_snapshot!(
        "explain_json",
        env.run(&[&ask[..], &["--file", &file, "--json"]].concat())
    );
    let ask = ["explain", "--workspace", "painter", "--pipeline", "sign-off", "--file", &file];
    insta::assert_snapshot!("explain_unknown", env.run(&ask));
}

#[test]
fn a_file_that_cannot_be_used_is_refused_with_its_lines() {
    let env = Env::start();
    let broken = env::yaml(0).replace("pool: register", "pool: registers");
    let file = env.file("broken.yaml", &broken);
    insta::assert_snapshot!("check_faults", env.run(&["check", &file]));
    insta::assert_snapshot!("check_faults_json", env.run(&["check", &file, "--json"]));
    let apply = ["apply", &file, "--who", "ada", "--why", "broken", env.platform()];
    assert!(env.run(&apply).starts_with("exit 3"));
    let file = env.file("edge.yaml", "host: edge-1\nredy: 127.0.0.1:1\n");
    let output = env.run(&["check", "--edge", &file]);
    assert!(output.starts_with("exit 3") && output.contains("redy"), "{output}");
    let file =
        env.file("system.toml", "build = \"true\"\n[roles.edge]\nrun = \"\"\non = \"edge\"\n");
    let output = env.run(&["check", &file]);
    assert!(output.starts_with("exit 3") && output.contains("name the program"), "{output}");
    let file = env.file("none.yaml", "pipelines: [\n");
    insta::assert_snapshot!("check_no_yaml", env.run(&["check", &file]));
    let file = env.file("other.yaml", "a: 1\n");
    insta::assert_snapshot!("check_neither", env.run(&["check", &file]));
    assert!(env.run(&["check", &file, "--settings"]).starts_with("exit 3"));
    assert!(env.run(&["check", "no-such-file.yaml"]).starts_with("exit 1"));
}

/// While the platform is down, changes report that nothing changed, and queries are answered by a
/// host.
#[test]
fn in_an_outage_hosts_answer_and_changes_fail() {
    let env = Env::start();
    env.apply(1, "first");
    env.faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let file = env.file("fleet.yaml", &env::yaml(2));
    let apply = ["apply", &file, "--who", "ada", "--why", "in an outage", env.platform()];
    insta::assert_snapshot!("outage_apply", env.run(&apply));
    insta::assert_snapshot!("outage_status", env.run(&["status", env.host()]));
    insta::assert_snapshot!("outage_history", env.run(&["history", env.host()]));
    assert!(env.run(&["show", env.host()]).starts_with("exit 0"));
    assert!(env.run(&["diff", &file, env.host()]).starts_with("exit 4"));
    assert!(env.run(&["show", "--host=127.0.0.1:1"]).starts_with("exit 1"));
}

/// The response to the write is lost and the platform is down from then on. The exit code is 6, with
/// the change's id to look for, and not that of a failure, since the write took effect.
#[test]
fn an_unknown_outcome_has_its_own_exit_code() {
    let env = Env::start();
    env.apply(1, "first");
    env.lose_write_then_down();
    let file = env.file("fleet.yaml", &env::yaml(2));
    let apply = ["apply", &file, "--who", "ada", "--why", "unlucky", env.proxy()];
    insta::assert_snapshot!("open", env.run(&apply));
}

#[test]
fn wrong_usage_is_reported() {
    let env = Env::start();
    let cases: &[&[&str]] = &[
        &[],
        &["start"],
        &["check"],
        &["check", "a", "b"],
        &["check", "a", "--settings", "--fleet"],
        &["show"],
        &["apply", "a", "--who", "ada", "--platform=127.0.0.1:1"],
        &["apply", "a", "--who", "ada", "--why", "x"],
        &["apply", "a", "--who", "ada", "--why", "x", "--platform=127.0.0.1:1", "--wait"],
        &["leave", "--who", "ada", "--why", "x", "--platform=127.0.0.1:1"],
        &["show", "--platform", "localhost"],
        &["history", "--last", "some", "--platform=127.0.0.1:1"],
    ];
    let output: String =
        cases.iter().map(|args| format!("{}\n{}\n", args.join(" "), env.run(args))).collect();
    insta::assert_snapshot!("usage", output);
}
