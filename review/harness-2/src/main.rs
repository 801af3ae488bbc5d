//! Scripts of the second review. `review-harness-2 CASE FOLDER` runs one from the root of the project; it exits with
//! 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod gateway;
mod http;
mod json;
mod record;
mod replica;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;

/// Longest time of a case; a script that hangs could not run.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    if std::env::args().nth(1).as_deref() == Some("unframed-replica") {
        let settings: Vec<String> = arguments.skip(1).collect();
        let _ = replica::serve_unframed(&settings);
        return ExitCode::from(2);
    }
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-harness-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let is_disturbed = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&folder) else { return ExitCode::from(2) };
    let record = Arc::new(record);
    record.line(format!("case {case}, {}", if is_disturbed { "TROUBLE=1" } else { "TROUBLE=0" }));
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let (sender, receiver) = std::sync::mpsc::channel();
    let (case_record, case_folder) = (Arc::clone(&record), temporary.clone());
    std::thread::spawn(move || {
        let _ = sender.send(cases::run(&case, is_disturbed, &case_folder, &case_record));
    });
    let outcome = receiver.recv_timeout(LIMIT).unwrap_or(Err("the case did not end".to_owned()));
    gateway::kill_all_started();
    let _ = std::fs::remove_dir_all(&temporary);
    let (text, code) = match outcome {
        Ok(broken) if broken.is_empty() => ("the rule held".to_owned(), 0),
        Ok(broken) => (format!("the rule was broken:\n{}", broken.join("\n")), 1),
        Err(problem) => (format!("the case could not run: {problem}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
