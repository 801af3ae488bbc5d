//! The `compare` subcommand.

use std::path::PathBuf;

use clap::Args;
use yuccapass_standins::load::compare::comparison_table;

/// Prints a table of JSON reports as ratios to the first one of each group.
#[derive(Debug, Args)]
pub(crate) struct CompareArguments {
    /// Reports that `run --json` wrote.
    #[arg(required = true)]
    reports: Vec<PathBuf>,
    /// Number of consecutive reports that are compared with each other, for example those at one
    /// load; all by default.
    #[arg(long)]
    group_size: Option<usize>,
}

/// Reads the reports and prints the table.
pub(crate) fn run(arguments: &CompareArguments) -> crate::Result<()> {
    let mut reports = Vec::new();
    for path in &arguments.reports {
        let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        reports.push((name, serde_json::from_slice(&std::fs::read(path)?)?));
    }
    let group_size = arguments.group_size.unwrap_or(reports.len());
    print!("{}", comparison_table(&reports, group_size));
    Ok(())
}
