//! Logs as JSON lines on standard output.
//!
//! A dedicated thread writes the lines, so logging never blocks on a slow reader. Lines beyond the
//! rate limit, or beyond the capacity of the thread's queue, are dropped and counted.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use serde_json::{Map, Value as Json};
use simplelog::{CombinedLogger, Config, SharedLogger};

/// Maximum number of lines a second at the levels info, debug and trace.
pub const MAX_LINES_PER_S: u64 = 200;

/// Maximum number of lines that wait for the writing thread.
const QUEUED_LINES: usize = 1_000;

/// Maximum length of a message, in characters; a longer message is truncated.
const MAX_MESSAGE_CHARS: usize = 4 << 10;

/// Sends all log records of at least this level to standard output, one JSON object a line.
///
/// # Errors
///
/// Fails if a logger was installed before.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    init_with(level, Box::new(std::io::stdout()))
}

/// Sends all log records of at least this level to `out`, one JSON object a line.
///
/// # Errors
///
/// Fails if a logger was installed before.
pub fn init_with(level: LevelFilter, out: Box<dyn Write + Send>) -> Result<(), SetLoggerError> {
    CombinedLogger::init(vec![Box::new(JsonLogger::new(level, out))])
}

/// Logs JSON lines, which simplelog does not support; implements its trait to be combined with its
/// loggers.
struct JsonLogger {
    level: LevelFilter,
    lines: SyncSender<String>,
    budget: Mutex<LineBudget>,
    dropped_lines: AtomicU64,
}

/// Counts the routine lines of the current second.
#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    lines: u64,
}

impl LineBudget {
    fn try_take(&mut self, second: u64) -> bool {
        if second != self.second {
            *self = Self { second, lines: 0 };
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_S
    }
}

impl JsonLogger {
    fn new(level: LevelFilter, out: Box<dyn Write + Send>) -> Self {
        let (lines, queue) = sync_channel(QUEUED_LINES);
        // If the thread cannot start, the queue fills up and all lines are dropped; requests are
        // not affected.
        let _ = thread::Builder::new().name("log".to_owned()).spawn(move || write(&queue, out));
        Self { level, lines, budget: Mutex::default(), dropped_lines: AtomicU64::new(0) }
    }

    fn send(&self, mut line: Fields) {
        let dropped_lines = self.dropped_lines.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            line.add("lines_left_out_before", dropped_lines);
        }
        let mut text = Json::Object(line.0).to_string();
        text.push('\n');
        if self.lines.try_send(text).is_err() {
            self.dropped_lines.fetch_add(dropped_lines + 1, Ordering::Relaxed);
        }
    }
}

/// Writes queued lines; those that are waiting are written together.
fn write(queue: &Receiver<String>, mut out: Box<dyn Write + Send>) {
    while let Ok(mut text) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            text.push_str(&line);
        }
        // A full disk or a closed pipe must not stop the node.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        // Libraries log each request at info, so only their warnings and errors are kept.
        let is_own = record.target().starts_with("yuccapass");
        if !self.enabled(record.metadata()) || (!is_own && record.level() > log::Level::Warn) {
            return;
        }
        let time_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
        let second = (time_ms / 1_000) as u64;
        let is_routine = record.level() > log::Level::Warn;
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if is_routine && !budget.try_take(second) {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return;
        }
        drop(budget);
        let mut line = Fields(Map::new());
        line.add("time_unix_ms", time_ms as u64);
        line.add("level", record.level().as_str());
        line.add("target", record.target());
        let message: String = record.args().to_string().chars().take(MAX_MESSAGE_CHARS).collect();
        line.add("message", message);
        // A failure loses only the remaining fields, not the line.
        let _ = record.key_values().visit(&mut line);
        self.send(line);
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
