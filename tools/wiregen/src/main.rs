//! Generates the message types of crate `wire` from its proto file.
//!
//! `cargo run -p wiregen -- OUT_DIR` writes one file into `OUT_DIR`, by default `src/gen` of the
//! crate. The generated file is committed, so that a build of the workspace needs no code
//! generator; CI generates it again and compares.

use anyhow::{Context, Result};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("wiregen: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let crate_dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../crates/wire");
    let out = std::env::args().nth(1).map_or_else(|| crate_dir.join("src/gen"), PathBuf::from);
    std::fs::create_dir_all(&out).with_context(|| format!("creating {}", out.display()))?;
    let proto = crate_dir.join("proto");
    let files =
        protox::compile(["siskinwheel.proto"], [&proto]).context("compiling siskinwheel.proto")?;
    prost_build::Config::new()
        .out_dir(&out)
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .message_attribute(".", "#[serde(default)]")
        .compile_fds(files)
        .context("generating the Rust code")
}
