//! Cases of the review that are played by processes on loopback addresses.

mod drain;
mod endless;
mod gateway;
mod http;
mod json;
mod part;
mod record;
mod relay;
mod site;
mod store;
mod version;

use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: review-harness CASE RECORD");
        return ExitCode::from(2);
    };
    let is_disturbed = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("{} cannot be created: {error}", folder.display());
        return ExitCode::from(2);
    }
    let record = Arc::new(Record::create(path));
    let folder_text = folder.to_string_lossy().into_owned();
    let outcome = match case.as_str() {
        "drain" => drain::run(&record, is_disturbed, &folder_text),
        "endless" => endless::run(&record, is_disturbed, &folder_text),
        "version" => version::run(&record, is_disturbed, &folder_text),
        "relay" => relay::run(&record, is_disturbed, &folder_text),
        "part" => part::run(&record, is_disturbed, &folder_text),
        _ => Err(format!("there is no case {case}")),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs: {}", folder.display());
    }
    let (text, code) = match outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
