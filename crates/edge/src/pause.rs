//! Measures and logs when this host was kept off the processor. See [`base::PauseMeter`].

use base::{Ms, TURN_INTERVAL};
use logs::note;
use std::sync::Arc;

use crate::core::Core;

/// Shortest pause that is logged: one that can decide between an answer and a time-out of another
/// host. Shorter ones only show in the metrics.
const LOGGED_PAUSE: Ms = Ms(200);

/// Takes the regular turns of the pause meter.
pub(crate) async fn follow(core: Arc<Core>) {
    loop {
        tokio::time::sleep(TURN_INTERVAL.duration()).await;
        let Some(pause) = core.pauses.turn() else { continue };
        core.metrics.paused(pause);
        if pause >= LOGGED_PAUSE {
            note!(logs::Event::HostPaused, pause_ms = pause.0);
        }
    }
}
