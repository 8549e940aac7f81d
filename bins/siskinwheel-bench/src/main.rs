//! Benchmarks and simulations: `siskinwheel-bench path|policy|stages|admission|cold|origins|parts|journal|fleet|replay|capacity`.

mod ablation;
mod admission;
mod capacity;
mod cold;
mod decide;
mod fleet;
mod journal;
mod origins;
mod parts;
mod path;
mod policy;
mod process;
mod replay;
mod report;
mod stages;
mod stats;
mod sweep;

use anyhow::{Result, bail};
use pico_args::Arguments;
use report::Output;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

const HELP: &str = "\
Usage: siskinwheel-bench COMMAND [--seeds N] [--json] [--plot FILE.svg] [options]

Commands (each has its own --help):
  capacity growth of resource use with size, extrapolated to the full size
  fleet    configuration, membership and leaving targets by fleet size, in virtual time
  path     latency that an entry host adds over calling a fake target directly
  policy   load patterns by policy, in virtual time; the time of a decision
  stages   designs for batching the calls to stage targets, in virtual time
  admission time of a decision on the admission of a request with stages
  cold     designs that limit the load of all hosts on a cold target, in virtual time
  origins  designs that know at which software version a stream began, in virtual time
  parts    designs that find a part of prompts which ends engines, in virtual time
  journal  designs that run a key at most once: writes, latency, recovery, outage
  replay   effects of a host on a recorded file of events";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(err) => {
            eprintln!("siskinwheel-bench: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode> {
    let mut args = Arguments::from_env();
    let command = args.subcommand()?;
    let output = Output::take(&mut args)?;
    let filter = EnvFilter::try_from_env("SISKINWHEEL_LOG").unwrap_or_else(|_| "error".into());
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter(filter).init();
    match command.as_deref() {
        None if args.contains(["-h", "--help"]) => println!("{HELP}"),
        None => {
            eprintln!("{HELP}");
            return Ok(ExitCode::from(2));
        }
        Some("capacity") if args.contains(["-h", "--help"]) => println!("{}", capacity::HELP),
        Some("capacity") => capacity::run(args, &output)?,
        Some("admission") if args.contains(["-h", "--help"]) => println!("{}", admission::HELP),
        Some("admission") => admission::run(args, &output)?,
        Some("cold") if args.contains(["-h", "--help"]) => println!("{}", cold::HELP),
        Some("cold") => cold::run(args, &output)?,
        Some("fleet") if args.contains(["-h", "--help"]) => println!("{}", fleet::HELP),
        Some("fleet") => fleet::run(args, &output)?,
        Some("origins") if args.contains(["-h", "--help"]) => println!("{}", origins::HELP),
        Some("origins") => origins::run(args, &output)?,
        Some("parts") if args.contains(["-h", "--help"]) => println!("{}", parts::HELP),
        Some("parts") => parts::run(args, &output)?,
        Some("path") if args.contains(["-h", "--help"]) => println!("{}", path::HELP),
        Some("path") => path::run(args, &output)?,
        Some("policy") => policy::run(args, &output)?,
        Some("stages") if args.contains(["-h", "--help"]) => println!("{}", stages::HELP),
        Some("stages") => stages::run(args, &output)?,
        Some("journal") if args.contains(["-h", "--help"]) => println!("{}", journal::HELP),
        Some("journal") => journal::run(args, &output)?,
        Some("replay") => replay::run(args)?,
        Some(other) => bail!("unknown command '{other}'; see --help"),
    }
    Ok(ExitCode::SUCCESS)
}

/// Fails if an argument is left over that no option has taken.
fn reject_unknown(args: Arguments) -> Result<()> {
    match args.finish().as_slice() {
        [] => Ok(()),
        rest => bail!("unknown arguments {rest:?}; see --help"),
    }
}
