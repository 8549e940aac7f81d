//! `siskinwheel-bench replay`: feeds a recorded file of events to a host's policy and prints the
//! effects. The output is the same, byte for byte, each time.

use anyhow::{Context, Result};
use model::Policy;
use pico_args::Arguments;
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::PathBuf;

use crate::reject_unknown;

pub const HELP: &str = "\
Usage: siskinwheel-bench replay FILE [--policy P]

Reads JSON lines: first {\"placed\": {\"host\", \"domain\", \"region\", \"seed\"}}, then
{\"at\": ms, \"event\": ...}. Prints the effects as JSON lines {\"at\": ms, \"effect\": ...}.
`siskinwheel-bench policy --record FILE` writes such a file.

  --policy P   naive, full (the default), or full with one decision disabled, such as -route";

/// Runs the command.
pub fn run(mut args: Arguments) -> Result<()> {
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let policy = args.opt_value_from_fn("--policy", |name| {
        Policy::named(name)
            .ok_or_else(|| format!("unknown policy '{name}'; expected naive, full or -DECISION"))
    })?;
    let path: PathBuf = args.free_from_str().context("missing the file of events")?;
    reject_unknown(args)?;
    let file = File::open(&path).with_context(|| format!("reading {}", path.display()))?;
    let mut out = BufWriter::new(std::io::stdout().lock());
    let policy = policy.unwrap_or(Policy::Full);
    model::replay(policy, BufReader::new(file), &mut out)
        .with_context(|| format!("replaying {}", path.display()))?;
    Ok(out.flush()?)
}
