//! Logging while the reader of the log has stalled.

use std::io::{self, Write};
use std::thread;
use std::time::{Duration, Instant};

use log::LevelFilter;
use yuccapassd::logs;

/// An output whose reader has stalled: a write blocks forever.
struct StalledOutput;

impl Write for StalledOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            thread::sleep(Duration::from_secs(60));
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against log calls that block when the reader of the log stalls.
#[test]
fn log_calls_do_not_block_on_a_stalled_reader() {
    // Arrange
    logs::init_with(LevelFilter::Info, Box::new(StalledOutput)).unwrap();
    let start = Instant::now();

    // Act
    for number in 0..20_000 {
        log::warn!(target: "yuccapass_test", number; "a line that nobody reads");
    }

    // Assert: a log call that waits for the output would never return.
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}
