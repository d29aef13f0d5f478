//! A small logger: a line a record on standard error, with the time and the node's name.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Logger {
    name: String,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("molevale")
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let (s, ms) = (at.as_secs(), at.subsec_millis());
            let (name, level, args) = (&self.name, record.level(), record.args());
            // A log that can't be written is no reason to stop serving.
            let _ = writeln!(std::io::stderr(), "{s}.{ms:03} {name} {level} {args}");
        }
    }

    fn flush(&self) {}
}

/// Starts the log of this process at the level that `MOLEVALE_LOG` names, else `info`.
pub fn start(name: &str) {
    let level = std::env::var("MOLEVALE_LOG").ok().and_then(|v| v.parse().ok()).unwrap_or(LevelFilter::Info);
    if log::set_boxed_logger(Box::new(Logger { name: name.to_string() })).is_ok() {
        log::set_max_level(level);
    }
}
