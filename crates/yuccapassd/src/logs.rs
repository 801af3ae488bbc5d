//! Logs as JSON lines on standard error.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use serde_json::{Map, Value as Json};
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
        let mut line = Fields(Map::new());
        line.add("time_unix_ms", time_ms as u64);
        line.add("level", record.level().as_str());
        line.add("target", record.target());
        line.add("message", record.args().to_string());
        // A field that cannot be read is left out; the rest of the line still counts.
        let _ = record.key_values().visit(&mut line);
        let line = Json::Object(line.0);
        // A full disk or a closed pipe must not stop the node.
        let _ = writeln!(std::io::stderr().lock(), "{line}");
    }

    fn flush(&self) {}
}

/// The fields of one line.
struct Fields(Map<String, Json>);

impl Fields {
    fn add(&mut self, name: &str, value: impl Into<Json>) {
        self.0.insert(name.to_owned(), value.into());
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        match value.to_u64() {
            Some(number) => self.add(key.as_str(), number),
            None => self.add(key.as_str(), value.to_string()),
        }
        Ok(())
    }
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
