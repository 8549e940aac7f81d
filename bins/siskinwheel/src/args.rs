//! Parses the command line.

use anyhow::{Context, Result, bail};
use base::{Generation, Ms};
use conf::FileKind;
use pico_args::Arguments;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Audit records that `history` prints without `--last`.
const DEFAULT_LAST: usize = 20;
/// Time that `apply --wait` waits without `--within`.
const DEFAULT_WAIT_SECS: u64 = 30;

/// The parsed command line.
pub struct Options {
    pub command: Command,
    pub platform: Option<SocketAddr>,
    pub hosts: Vec<SocketAddr>,
    pub json: bool,
}

/// A command with its arguments.
pub enum Command {
    Check { file: PathBuf, kind: Option<FileKind> },
    CheckEdge { file: PathBuf },
    CheckDeploy { file: PathBuf },
    Diff { file: PathBuf },
    Apply { file: PathBuf, note: Note, from: Option<Generation>, wait: Option<Ms> },
    Show,
    Status,
    History { last: usize },
    Leave { target: String, back: bool, note: Note },
    Explain { workspace: String, pipeline: String, file: Option<PathBuf> },
    Timeline { request: String, files: Vec<PathBuf> },
    Account { files: Vec<PathBuf> },
}

/// Who makes a change and why.
pub struct Note {
    pub who: String,
    pub why: String,
}

impl Options {
    /// Parses the arguments after the program's name.
    pub fn parse(args: Vec<OsString>) -> Result<Self> {
        let mut args = Arguments::from_vec(args);
        let name = args.subcommand()?.context("a command is missing")?;
        let json = args.contains("--json");
        let platform = args.opt_value_from_str("--platform")?;
        let hosts = args.values_from_str("--host")?;
        let command = match name.as_str() {
            "check" => check(&mut args)?,
            "diff" => Command::Diff { file: file(&mut args)? },
            "apply" => apply(&mut args, &hosts)?,
            "show" => Command::Show,
            "status" => Command::Status,
            "history" => Command::History {
                last: args.opt_value_from_str("--last")?.unwrap_or(DEFAULT_LAST),
            },
            "leave" => leave(&mut args)?,
            "explain" => explain(&mut args)?,
            "account" => Command::Account { files: files(&mut args)? },
            other => bail!("there is no command '{other}'"),
        };
        match args.finish().as_slice() {
            [] => Self { command, platform, hosts, json }.require_addresses(),
            rest => bail!("unknown arguments {rest:?}"),
        }
    }

    /// Fails if an address that the command needs is missing.
    fn require_addresses(self) -> Result<Self> {
        let no_platform = self.platform.is_none();
        match &self.command {
            Command::Check { .. }
            | Command::CheckEdge { .. }
            | Command::CheckDeploy { .. }
            | Command::Explain { file: Some(_), .. }
            | Command::Timeline { .. }
            | Command::Account { .. } => {}
            Command::Apply { .. } | Command::Leave { .. } if no_platform => {
                bail!("give the platform's address with --platform")
            }
            _ if no_platform && self.hosts.is_empty() => {
                bail!("give --platform, or in an outage of it --host")
            }
            _ => {}
        }
        Ok(self)
    }
}

/// With `--workspace`, explains the values in effect for it; else what happened to a request.
fn explain(args: &mut Arguments) -> Result<Command> {
    if let Some(workspace) = args.opt_value_from_str("--workspace")? {
        let pipeline = args.value_from_str("--pipeline")?;
        let file = args.opt_value_from_str("--file")?;
        return Ok(Command::Explain { workspace, pipeline, file });
    }
    let request = args.free_from_str().context("give a request's id, or --workspace")?;
    Ok(Command::Timeline { request, files: files(args)? })
}

fn files(args: &mut Arguments) -> Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    while let Some(file) = args.opt_free_from_str::<String>()? {
        files.push(file.into());
    }
    Ok(files)
}

fn check(args: &mut Arguments) -> Result<Command> {
    if args.contains("--edge") {
        return Ok(Command::CheckEdge { file: file(args)? });
    }
    let kind = match (args.contains("--settings"), args.contains("--fleet")) {
        (false, false) => None,
        (true, false) => Some(FileKind::Settings),
        (false, true) => Some(FileKind::Fleet),
        (true, true) => bail!("--settings and --fleet exclude each other"),
    };
    let file = file(args)?;
    Ok(match file.extension().is_some_and(|e| e == "toml") {
        true => Command::CheckDeploy { file },
        false => Command::Check { file, kind },
    })
}

fn apply(args: &mut Arguments, hosts: &[SocketAddr]) -> Result<Command> {
    let note = note(args)?;
    let from = args.opt_value_from_str("--from")?.map(Generation);
    let within = args.opt_value_from_str("--within")?;
    let wait = match (args.contains("--wait"), within) {
        (false, None) => None,
        (false, Some(_)) => bail!("--within needs --wait"),
        (true, _) if hosts.is_empty() => bail!("--wait needs a --host to ask"),
        (true, secs) => Some(Ms::secs(secs.unwrap_or(DEFAULT_WAIT_SECS))),
    };
    Ok(Command::Apply { file: file(args)?, note, from, wait })
}

fn leave(args: &mut Arguments) -> Result<Command> {
    let (note, back) = (note(args)?, args.contains("--back"));
    let target = args.free_from_str().context("give the target's name")?;
    Ok(Command::Leave { target, back, note })
}

fn note(args: &mut Arguments) -> Result<Note> {
    Ok(Note { who: args.value_from_str("--who")?, why: args.value_from_str("--why")? })
}

fn file(args: &mut Arguments) -> Result<PathBuf> {
    let path: String = args.free_from_str().context("give the file's path")?;
    Ok(path.into())
}
