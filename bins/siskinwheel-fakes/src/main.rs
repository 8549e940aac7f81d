//! Runs a fake platform or a fake target for tests and experiments:
//! `siskinwheel-fakes platform|target ...`.

use anyhow::{Context, Result, bail};
use fakes::{Platform, Target, TargetConfig};
use pico_args::Arguments;
use std::net::SocketAddr;
use std::process::ExitCode;

const HELP: &str = "\
Usage: siskinwheel-fakes platform --listen ADDR
       siskinwheel-fakes target --listen ADDR --name NAME [--engine] [--slots N]
                         [--call-ms N] [--token-ms N] [--models A,B] [--checks-fence]

Runs one fake server until it is killed, and prints `listening ADDR` when it is ready.
POST /faults (JSON) sets the faults to inject; GET /stats (target: /v1/stats) returns its counters.";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(err) => {
            eprintln!("siskinwheel-fakes: {err:#}");
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
    let command = args.subcommand()?;
    let runtime = tokio::runtime::Runtime::new().context("starting the runtime")?;
    match command.as_deref() {
        Some("platform") => runtime.block_on(run_platform(args)),
        Some("target") => runtime.block_on(run_target(args)),
        _ => {
            eprintln!("{HELP}");
            Ok(ExitCode::from(2))
        }
    }
}

async fn run_platform(mut args: Arguments) -> Result<ExitCode> {
    let addr: SocketAddr = args.value_from_str("--listen")?;
    reject_unknown(args)?;
    let platform = Platform::start(addr).await.context("starting the fake platform")?;
    println!("listening {}", platform.addr());
    std::future::pending().await
}

async fn run_target(mut args: Arguments) -> Result<ExitCode> {
    let models: Option<String> = args.opt_value_from_str("--models")?;
    let config = TargetConfig {
        addr: args.value_from_str("--listen")?,
        name: args.value_from_str("--name")?,
        engine: args.contains("--engine"),
        slots: args.opt_value_from_str("--slots")?.unwrap_or(8),
        call_ms: args.opt_value_from_str("--call-ms")?.unwrap_or(2),
        token_ms: args.opt_value_from_str("--token-ms")?.unwrap_or(2),
        models: models.iter().flat_map(|m| m.split(',')).map(str::to_owned).collect(),
        checks_fence: args.contains("--checks-fence"),
    };
    reject_unknown(args)?;
    let target = Target::start(config).await.context("starting the fake target")?;
    println!("listening {}", target.addr());
    std::future::pending().await
}

fn reject_unknown(args: Arguments) -> Result<()> {
    match args.finish().as_slice() {
        [] => Ok(()),
        rest => bail!("unknown arguments {rest:?}; see --help"),
    }
}
