//! The operator's command line.

mod args;
mod run;

use args::Options;
use ctl::{CtlError, Exit, Failure};
use std::process::ExitCode;

const HELP: &str = include_str!("help.txt");

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    if args.iter().any(|a| a == "-h" || a == "--help") {
        print!("{HELP}");
        return ExitCode::from(Exit::Done as u8);
    }
    let options = match Options::parse(args) {
        Ok(options) => options,
        Err(err) => {
            eprintln!("siskinwheel: {err:#}; see --help");
            return ExitCode::from(Exit::Usage as u8);
        }
    };
    let exit = run::run(&options).unwrap_or_else(|err| report_failure(&err, options.json));
    ExitCode::from(exit as u8)
}

fn report_failure(err: &anyhow::Error, json: bool) -> Exit {
    let failure = match err.downcast_ref::<CtlError>() {
        Some(err) => Failure::from(err),
        None => Failure::plain(format!("{err:#}")),
    };
    match json {
        true => println!("{}", serde_json::to_string(&failure).unwrap_or_default()),
        false => eprintln!("siskinwheel: {}", failure.error),
    }
    failure.exit
}
