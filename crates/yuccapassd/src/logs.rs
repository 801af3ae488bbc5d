//! Logs as JSON lines on standard error.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use serde_json::json;
use simplelog::{CombinedLogger, Config, SharedLogger};

/// Sends all log records of at least this level to standard error, one JSON object a line.
///
/// # Errors
///
/// Fails if a logger was installed before.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    CombinedLogger::init(vec![Box::new(JsonLogger { level })])
}

/// simplelog has no JSON format; this logger composes with its others.
struct JsonLogger {
    level: LevelFilter,
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        // Libraries below log each request at info; theirs only count from warn on.
        let is_own = record.target().starts_with("yuccapass");
        if !self.enabled(record.metadata()) || (!is_own && record.level() > log::Level::Warn) {
            return;
        }
        let time_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
        let line = json!({
            "time_unix_ms": time_ms as u64,
            "level": record.level().as_str(),
            "target": record.target(),
            "message": record.args().to_string(),
        });
        // A full disk or a closed pipe must not stop the node.
        let _ = writeln!(std::io::stderr().lock(), "{line}");
    }

    fn flush(&self) {}
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}
