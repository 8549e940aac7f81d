//! Runs the commands in docs/OPERATIONS.md in order against a local cluster, and compares their
//! output with that on the page.

use conf::Fleet;
use local::{Cluster, Options};
use std::path::Path;
use std::process::Command;

use crate::env::normalize;

const PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");
const FLEET: &str = include_str!("../../../../examples/cooperative.yaml");
const HOST: &str = include_str!("../../../../examples/host.yaml");

/// The commands on the page, which are the lines in code blocks that begin with `$ `, each with the
/// output on the page.
fn commands() -> Vec<(String, String)> {
    let mut out: Vec<(String, String)> = Vec::new();
    let (mut code, mut open, mut more) = (false, false, false);
    for line in PAGE.lines() {
        match line.strip_prefix("$ ") {
            _ if line.starts_with("```") => (code, open, more) = (!code, false, false),
            _ if !code => {}
            Some(command) => {
                out.push((command.to_owned(), String::new()));
                (open, more) = (true, line.ends_with('\\'));
            }
            None if more => {
                let (command, _) = out.last_mut().expect("it began");
                *command = format!("{command}\n{line}");
                more = line.ends_with('\\');
            }
            None if open => {
                let (_, printed) = out.last_mut().expect("it began");
                *printed = format!("{printed}{line}\n");
            }
            None => {}
        }
    }
    out
}

fn run(command: &str, dir: &Path, platform: &str, hosts: &str) -> String {
    let program = Path::new(env!("CARGO_BIN_EXE_siskinwheel"));
    let path = std::env::var("PATH").unwrap_or_default();
    let bin = program.parent().expect("it is in a directory").display();
    let output = Command::new("bash")
        .args(["-c", &format!("exec 2>&1\n{command}")])
        .current_dir(dir)
        .env("PATH", format!("{bin}:{path}"))
        .env("PLATFORM", platform)
        .env("HOSTS", hosts)
        .output()
        .expect("bash runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_operations_page_matches_the_output() {
    let commands = commands();
    assert!(commands.len() > 15, "{}", commands.len());
    let fleet = Fleet::parse(FLEET).expect("the example parses");
    let cluster = Cluster::start(fleet, Options::default()).await.expect("it starts");
    let platform = cluster.platform.addr().to_string();
    let hosts: Vec<_> = cluster.hosts.iter().map(|h| format!("--host {}", h.admin())).collect();
    let hosts = hosts.join(" ");
    let name = format!("pages-{}", base::ChangeId::fresh());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(dir.join("examples")).expect("a directory for the commands' files");
    std::fs::write(dir.join("examples/host.yaml"), HOST).expect("a file in it");
    for (command, expected) in commands {
        let output = run(&command, &dir, &platform, &hosts);
        assert_eq!(normalize(output.trim_end()), normalize(expected.trim_end()), "{command}");
    }
    std::fs::remove_dir_all(&dir).expect("the directory can go");
    cluster.close().await;
}
