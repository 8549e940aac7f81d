//! Reloads the settings when a signal announces a change or a periodic check finds the file
//! changed.

use base::Ms;
use logs::note;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::SystemTime;
use tokio::sync::mpsc;

use crate::core::Core;
use crate::settings::Settings;

/// Interval between checks of the file, which may change without a signal.
const CHECK_INTERVAL: Ms = Ms::secs(1);

/// Keeps the settings in line with the file. Each message on `changed` says that the file has
/// changed.
pub(crate) async fn follow(core: Arc<Core>, path: PathBuf, mut changed: mpsc::Receiver<()>) {
    let mut last = file_stamp(&path);
    loop {
        let signalled = tokio::select! {
            // A closed channel is ready at once, each time. Taken for a turn, it would keep the
            // processor busy and the timer waiting; as it doesn't match, the timer is left.
            Some(()) = changed.recv() => true,
            () = tokio::time::sleep(CHECK_INTERVAL.duration()) => false,
        };
        let current = file_stamp(&path);
        if !signalled && current == last {
            continue;
        }
        last = current;
        reload(&core, &path);
    }
}

fn reload(core: &Core, path: &std::path::Path) {
    match Settings::read(path) {
        Ok(settings) if settings == **core.settings() => {}
        Ok(settings) => {
            note!(logs::Event::SettingsReloaded, host = %settings.host);
            core.set_settings(settings);
        }
        Err(err) => note!(logs::Event::SettingsRefused, why = %err),
    }
}

/// The file's modification time and length; none while they can't be read.
fn file_stamp(path: &std::path::Path) -> Option<(SystemTime, u64)> {
    let meta = std::fs::metadata(path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}
