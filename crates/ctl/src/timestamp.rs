//! Formats points in time for text output.

use base::Ms;

const DAY_SECS: u64 = 86_400;

/// Formats a point in time as `2026-12-02T23:15:00Z`: in UTC, cut to whole seconds.
pub fn format_utc(at: Ms) -> String {
    let secs = at.0 / 1000;
    let (year, month, day) = date(secs / DAY_SECS);
    let (hour, minute, second) = (secs % DAY_SECS / 3600, secs % 3600 / 60, secs % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts days since 1970-01-01 to year, month and day in the Gregorian calendar.
fn date(mut days: u64) -> (u64, u64, u64) {
    // Skips whole cycles of 400 years at once, so the loop runs at most 400 times.
    let mut year = 1970 + days / 146_097 * 400;
    days %= 146_097;
    while days >= year_days(year) {
        days -= year_days(year);
        year += 1;
    }
    let mut month = 1;
    while days >= month_days(year, month) {
        days -= month_days(year, month);
        month += 1;
    }
    (year, month, days + 1)
}

fn leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

fn year_days(year: u64) -> u64 {
    if leap(year) { 366 } else { 365 }
}

fn month_days(year: u64, month: u64) -> u64 {
    match month {
        2 if leap(year) => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}
