//! The entry host's program: `siskinwheeld SETTINGS.yaml`.

use anyhow::{Context, Result, bail};
use conf::Settings;
use entry::Host;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

const HELP: &str = "\
Usage: siskinwheeld SETTINGS.yaml

Runs one entry host until SIGTERM or SIGINT; then it finishes what is open and exits.

Exit codes: 0 stopped with nothing cut, 1 failed, 2 wrong usage, 3 requests were cut
because drain_ms ran out.
Logs go to stderr as JSON; SISKINWHEEL_LOG sets the filter (default info).";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(err) => {
            eprintln!("siskinwheeld: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let path = match args.finish().as_slice() {
        [path] => PathBuf::from(path),
        rest => return usage(rest),
    };
    let filter = EnvFilter::try_from_env("SISKINWHEEL_LOG").unwrap_or_else(|_| "info".into());
    tracing_subscriber::fmt().json().with_writer(std::io::stderr).with_env_filter(filter).init();
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("reading the settings {}", path.display()))?;
    let settings =
        Settings::parse(&text).with_context(|| format!("in the settings {}", path.display()))?;
    tokio::runtime::Runtime::new().context("starting the runtime")?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<ExitCode> {
    let mut term = signal(SignalKind::terminate()).context("watching for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("watching for SIGINT")?;
    let host = Host::start(settings).await?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    match host.close().await.cut {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::from(3)),
    }
}

fn usage(rest: &[OsString]) -> Result<ExitCode> {
    if rest.is_empty() {
        eprintln!("{HELP}");
        return Ok(ExitCode::from(2));
    }
    bail!("one argument is expected, the settings' path; got {rest:?}");
}
