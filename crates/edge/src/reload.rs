//! Changed settings: on a signal, or found by looking.

use base::Ms;
use logs::note;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::SystemTime;
use tokio::sync::mpsc;

use crate::core::Core;
use crate::settings::Settings;

/// Time between looks at the file, ms: it may change without a signal.
const LOOK: Ms = Ms::secs(1);

/// Keeps the settings those of the file. A message says that it has changed.
pub(crate) async fn follow(core: Arc<Core>, path: PathBuf, mut changed: mpsc::Receiver<()>) {
    let mut seen = stamp(&path);
    loop {
        let told = tokio::select! {
            told = changed.recv() => told.is_some(),
            () = tokio::time::sleep(LOOK.duration()) => false,
        };
        let now = stamp(&path);
        if !told && now == seen {
            continue;
        }
        seen = now;
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

/// When the file changed last and how long it is; none while it can't be looked at.
fn stamp(path: &std::path::Path) -> Option<(SystemTime, u64)> {
    let meta = std::fs::metadata(path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}
