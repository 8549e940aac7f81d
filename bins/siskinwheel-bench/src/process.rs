//! CPU time and resident memory of this process, read from `/proc`.

use anyhow::{Context, Result};

/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// CPU time of this process so far, user and system together, in seconds.
pub(crate) fn cpu_seconds() -> Result<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").context("reading CPU time")?;
    // The program name, in parentheses, may contain spaces; the fields after it do not.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let mut fields = fields.split_whitespace().skip(11).map(str::parse::<f64>);
    let mut next =
        || fields.next().and_then(Result::ok).context("missing field in /proc/self/stat");
    Ok((next()? + next()?) / TICKS_PER_SECOND)
}

/// Resident memory of this process in MB of 1024 KB.
pub(crate) fn resident_mb() -> Result<f64> {
    let status = std::fs::read_to_string("/proc/self/status").context("reading memory")?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse::<f64>().ok());
    Ok(kb.context("no VmRSS in /proc/self/status")? / 1024.0)
}
