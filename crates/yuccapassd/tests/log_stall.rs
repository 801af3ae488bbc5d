//! Logs whose reader has stalled.

use std::io::{self, Write};
use std::thread;
use std::time::{Duration, Instant};

use log::LevelFilter;
use yuccapassd::logs;

/// A reader that takes nothing.
struct StalledReader;

impl Write for StalledReader {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            thread::sleep(Duration::from_secs(60));
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that wait for whatever reads the logs.
#[test]
fn a_stalled_reader_stalls_nobody() {
    // Arrange
    logs::init_with(LevelFilter::Info, Box::new(StalledReader)).unwrap();
    let start = Instant::now();

    // Act
    for number in 0..20_000 {
        log::warn!(target: "yuccapass_test", number; "a line that nobody reads");
    }

    // Assert: a second is far less than the minute that one line takes to read.
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}
