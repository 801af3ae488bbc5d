//! What was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread fails with the lock");
        // The record is for readers only.
        let _ = writeln!(file, "{seconds:9.3} s  {}", text.as_ref());
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
