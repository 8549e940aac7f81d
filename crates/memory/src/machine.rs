//! How much memory the machine has.

/// Part of the machine's memory that is held for callers. The rest is for the process itself, for bytes
/// between its own buffers and the allocator's fragments.
const SHARE: (u64, u64) = (1, 2);
/// Memory of a machine that doesn't tell it, bytes.
const DEFAULT_BYTES: u64 = 256_000_000;
/// Bytes in a unit of the setting.
const MEGABYTE: u64 = 1_000_000;

/// The bytes that may be held for callers on a machine with `memory_mb` millions of bytes; none for what the
/// operating system reports.
pub fn budget_bytes(memory_mb: Option<u32>) -> u64 {
    let machine = match memory_mb {
        Some(mb) => u64::from(mb) * MEGABYTE,
        None => reported().unwrap_or(DEFAULT_BYTES),
    };
    machine * SHARE.0 / SHARE.1
}

/// What the operating system reports, bytes.
fn reported() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}
