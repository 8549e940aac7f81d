//! Runs one command and prints its report.

use anyhow::{Context, Result};
use base::{Clock, Generation, Ms, SystemClock};
use conf::Plan;
use ctl::{
    Accepted, ChangeNote, Checked, CtlError, Differences, Exit, History, Rollout, Shown, Source,
    Status, all_members,
};
use edge::Settings;
use platform::deploy::{self, DeployError};
use serde::Serialize;
use std::fmt::Display;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use store::{Api, HttpApi, HttpConfig};

use crate::args::{Command, Note, Options};

/// Time without a response after which a call to the platform fails.
const PLATFORM_TIMEOUT: Ms = Ms::secs(2);

/// Runs the command.
pub fn run(options: &Options) -> Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(dispatch(options))
}

async fn dispatch(options: &Options) -> Result<Exit> {
    let now = SystemClock::new().now();
    match &options.command {
        Command::Check { file, kind } => {
            options.print(&ctl::check(&read(file)?, *kind, now)?, Exit::Done)
        }
        Command::CheckEdge { file } => {
            let unusable = |e| CtlError::Unusable(format!("{}: {e}", file.display()));
            let settings = Settings::parse(&read(file)?).map_err(unusable)?;
            let summary = format!("settings of edge host {}", settings.host);
            options.print(&Checked { summary, warnings: Vec::new() }, Exit::Done)
        }
        Command::CheckDeploy { file } => {
            let unusable = |e: DeployError| CtlError::Unusable(e.to_string());
            let summary = deploy::check(file, Path::new(".")).map_err(unusable)?;
            options.print(&Checked { summary, warnings: Vec::new() }, Exit::Done)
        }
        Command::Diff { file } => {
            let object = options.source()?.fleet().await?;
            let differences = Differences::of(&read(file)?, &object)?;
            let exit = if differences.is_empty() { Exit::Done } else { Exit::Differs };
            options.print(&differences, exit)
        }
        Command::Apply { file, note, from, wait } => {
            let accepted = apply(options, &read(file)?, note.at(now), *from, *wait).await?;
            let whole = accepted.reach.as_ref().is_none_or(Rollout::is_complete);
            options.print(&accepted, if whole { Exit::Done } else { Exit::Waiting })
        }
        Command::Show => {
            let o = options.source()?.fleet().await?;
            let (generation, change, config) = (Generation(o.generation), o.change, o.config);
            options.print(&Shown { generation, change, config }, Exit::Done)
        }
        Command::Status => options.print(&status(options).await?, Exit::Done),
        Command::History { last } => {
            let records = options.source()?.history(*last).await?;
            options.print(&History { records }, Exit::Done)
        }
        Command::Leave { target, back, note } => {
            let marked = ctl::leave(&*options.api()?, target, !back, &note.at(now)).await?;
            options.print(&marked, Exit::Done)
        }
        Command::Timeline { request, files } => {
            let logs = logs(files)?;
            let lines =
                logs.iter().flat_map(|(name, text)| text.lines().map(move |l| (&**name, l)));
            options.print(&ctl::timeline(request, lines), Exit::Done)
        }
        Command::Account { files } => {
            let logs = logs(files)?;
            let lines = logs.iter().flat_map(|(_, text)| text.lines());
            options.print(&ctl::account(lines), Exit::Done)
        }
        Command::Explain { workspace, pipeline, file } => {
            let plan = plan(options, file.as_deref()).await?;
            options.print(&ctl::explain(&plan, workspace, pipeline, now)?, Exit::Done)
        }
    }
}

async fn apply(
    options: &Options,
    yaml: &str,
    note: ChangeNote<'_>,
    from: Option<Generation>,
    wait: Option<Ms>,
) -> Result<Accepted> {
    let api = options.api()?;
    let (_, object) = ctl::read_fleet(&*api).await?;
    let differences = Differences::of(yaml, &object)?;
    let mut accepted = Accepted { applied: None, differences, reach: None };
    if !accepted.differences.is_empty() {
        // The printed differences must be those that are written. So without another base the write
        // is conditional on the generation they were computed from, and a newer one is a conflict.
        let from = from.or(ctl::header_generation(yaml)).unwrap_or(accepted.differences.generation);
        accepted.applied = Some(ctl::apply(&*api, yaml, Some(from), &note).await?);
    }
    let generation = accepted.generation();
    if let Some(wait) = wait {
        let domains = ctl::domains(&ctl::read_fleet(&*api).await?.1);
        let reach = ctl::wait_in_force(&options.hosts, generation, &domains, wait).await?;
        accepted.reach = Some(reach);
    }
    Ok(accepted)
}

async fn status(options: &Options) -> Result<Status> {
    let object = options.source()?.fleet().await?;
    let (mut accepted, mut leaving) = (None, None);
    if options.platform.is_some() {
        accepted = Some(Generation(object.generation));
        leaving = Some(ctl::marked(&*options.api()?).await?);
    }
    let hosts = match options.hosts.as_slice() {
        [] => Vec::new(),
        hosts => all_members(hosts).await?,
    };
    Ok(Status::new(accepted, leaving, hosts, &ctl::domains(&object)))
}

async fn plan(options: &Options, file: Option<&Path>) -> Result<Plan> {
    if let Some(file) = file {
        return Ok(Plan::parse(Generation(0), &read(file)?).map_err(CtlError::from)?);
    }
    let object = options.source()?.fleet().await?;
    let plan = Plan::parse(Generation(object.generation), &object.config);
    Ok(plan.map_err(CtlError::from)?)
}

impl Options {
    fn api(&self) -> Result<Arc<dyn Api>> {
        let addr = self.platform.context("give the platform's address with --platform")?;
        let config = HttpConfig { silence_ms: PLATFORM_TIMEOUT, watch_ms: PLATFORM_TIMEOUT };
        Ok(Arc::new(HttpApi::new(addr, config)))
    }

    fn source(&self) -> Result<Source> {
        match self.platform {
            Some(_) => Ok(Source::Platform(self.api()?)),
            None => Ok(Source::Hosts(self.hosts.clone())),
        }
    }

    fn print<T: Serialize + Display>(&self, report: &T, exit: Exit) -> Result<Exit> {
        let text = match self.json {
            true => serde_json::to_string(report)?,
            false => report.to_string(),
        };
        match writeln!(std::io::stdout().lock(), "{text}") {
            // The reader closed the pipe early, as `| head` does.
            Err(err) if err.kind() == ErrorKind::BrokenPipe => Ok(exit),
            written => written.context("printing the report").map(|()| exit),
        }
    }
}

impl Note {
    fn at(&self, at: Ms) -> ChangeNote<'_> {
        ChangeNote { who: &self.who, why: &self.why, at }
    }
}

/// Reads the log files as pairs of name and text; without files, reads standard input.
fn logs(files: &[PathBuf]) -> Result<Vec<(String, String)>> {
    if files.is_empty() {
        let text = std::io::read_to_string(std::io::stdin()).context("reading the logs")?;
        return Ok(vec![("stdin".to_owned(), text)]);
    }
    files.iter().map(|file| Ok((file.display().to_string(), read(file)?))).collect()
}

fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))
}
