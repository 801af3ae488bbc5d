//! The record of a run, with times in milliseconds since its start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{path} cannot be written: {error}");
            std::process::exit(2)
        });
        Self { started: Instant::now(), file: Mutex::new(file) }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>8} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().expect("no writer has failed");
        let _ = file.write_all(line.as_bytes());
    }
}
