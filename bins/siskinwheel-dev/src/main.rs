//! Runs a complete local cluster in one process on loopback: a fake platform, fake targets and
//! six entry hosts. Sends one request through each pipeline of the configuration and prints the
//! answers.

use anyhow::{Context, Result, bail};
use base::Key;
use conf::Fleet;
use hyper::StatusCode;
use local::{Cluster, Options, RequestSpec};
use pico_args::Arguments;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;
use wire::Answer;

const EXAMPLE_CONFIG: &str = include_str!("../../../examples/cooperative.yaml");

const HELP: &str = "\
Usage: siskinwheel-dev [--once] [--config FILE]

Starts a fake platform, fake targets and six entry hosts on loopback, applies the configuration
(default: examples/cooperative.yaml), sends one request through each pipeline and prints the
answers with the times and cost of each stage. Without --once it keeps running and prints a curl
command to send more requests.";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(err) => {
            eprintln!("siskinwheel-dev: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let once = args.contains("--once");
    let path: Option<String> = args.opt_value_from_str("--config")?;
    match args.finish().as_slice() {
        [] => {}
        rest => bail!("unknown arguments {rest:?}; see --help"),
    }
    let filter = EnvFilter::try_from_env("SISKINWHEEL_LOG").unwrap_or_else(|_| "warn".into());
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter(filter).init();
    let yaml = match &path {
        Some(path) => std::fs::read_to_string(path).with_context(|| format!("reading {path}"))?,
        None => EXAMPLE_CONFIG.to_owned(),
    };
    let fleet = Fleet::parse(&yaml)?;
    tokio::runtime::Runtime::new()
        .context("starting the runtime")?
        .block_on(run_cluster(fleet, once))
}

async fn run_cluster(fleet: Fleet, once: bool) -> Result<ExitCode> {
    let workspace = fleet.workspaces[0].name.clone();
    let cluster = Cluster::start(fleet, Options::default()).await?;
    println!("{} hosts ready at generation 1\n", cluster.hosts.len());
    for (i, pipeline) in cluster.fleet.pipelines.iter().enumerate() {
        let pipeline = pipeline.name.as_str();
        let answer =
            send_request(&cluster, i % cluster.hosts.len(), pipeline, workspace.as_str()).await?;
        println!("{pipeline}\n  answer: {}", truncate(&answer.output));
        for stage in &answer.stages {
            println!(
                "  {:<10} on {:<20} waited {:>4} ms, ran {:>5} ms, cost {:.4}",
                stage.stage, stage.target, stage.wait_ms, stage.run_ms, stage.cost
            );
        }
    }
    if !once {
        println!(
            "
{}",
            curl_command(&cluster, workspace.as_str())
        );
        println!(
            "
Flags for the siskinwheel commands:
{}

Press Ctrl-C to stop.",
            address_flags(&cluster)
        );
        tokio::signal::ctrl_c().await.context("waiting for Ctrl-C")?;
    }
    cluster.close().await;
    Ok(ExitCode::SUCCESS)
}

async fn send_request(
    cluster: &Cluster,
    host: usize,
    pipeline: &str,
    workspace: &str,
) -> Result<Answer> {
    let key = Key::fresh().to_string();
    let headers = [("idempotency-key", key.as_str())];
    let input = format!("an example for {pipeline}");
    let asking = RequestSpec { pipeline, workspace, input: &input, headers: &headers };
    let response = cluster.ask(host, &asking).await?;
    if response.status() != StatusCode::OK {
        bail!("{pipeline}: {}", String::from_utf8_lossy(response.body()));
    }
    Ok(serde_json::from_slice(response.body())?)
}

fn curl_command(cluster: &Cluster, workspace: &str) -> String {
    format!(
        "curl -N -H 'X-Workspace: {workspace}' -H 'Accept: text/event-stream' \\\n  \
         -d '{{\"input\": \"grey cabinet, rust at the hinges\"}}' \\\n  \
         http://{}/v1/pipelines/{}",
        cluster.hosts[0].listen(),
        cluster.fleet.pipelines[0].name
    )
}

/// Flags that point the operator's commands at the platform and at each host's admin endpoint.
fn address_flags(cluster: &Cluster) -> String {
    let mut out = format!("--platform {}", cluster.platform.addr());
    for host in &cluster.hosts {
        out.push_str(&format!("\n--host {}", host.admin()));
    }
    out
}

fn truncate(text: &str) -> String {
    match text.char_indices().nth(60) {
        Some((at, _)) => format!("{}... ({} bytes)", &text[..at], text.len()),
        None => text.to_owned(),
    }
}
