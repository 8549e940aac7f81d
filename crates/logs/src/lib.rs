//! The numbered log events of all programs, documented in `docs/EVENTS.md`.
//!
//! A number is never reused for another event. [`note!`] emits an event through `tracing`.

mod event;

pub use event::{Event, Level};
#[doc(hidden)]
pub use tracing;

/// Emits a numbered event with fields in the syntax of the `tracing` macros.
///
/// ```
/// logs::note!(logs::Event::HostStarted, host = "edge-1");
/// ```
#[macro_export]
macro_rules! note {
    ($event:expr $(, $($field:tt)*)?) => {{
        let event: $crate::Event = $event;
        match event.level() {
            $crate::Level::Debug => $crate::tracing::debug!(
                event = event.number(), name = event.name() $(, $($field)*)?
            ),
            $crate::Level::Info => $crate::tracing::info!(
                event = event.number(), name = event.name() $(, $($field)*)?
            ),
            $crate::Level::Warn => $crate::tracing::warn!(
                event = event.number(), name = event.name() $(, $($field)*)?
            ),
            $crate::Level::Error => $crate::tracing::error!(
                event = event.number(), name = event.name() $(, $($field)*)?
            ),
        }
    }};
}
