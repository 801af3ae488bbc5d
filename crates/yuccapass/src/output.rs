//! Prints results as text for people or as JSON for scripts.

use std::io::{self, Write};

use serde_json::{Value, json};
use smol_str::SmolStr;
use yuccapass_operators::{Acceptance, CommandReply, CommandRequest, ConflictDetails, Table};

use crate::options::OutputForm;

/// Prints an error of the tool itself.
pub(crate) fn error(form: OutputForm, text: &str) {
    match form {
        OutputForm::Text => eprintln!("yuccapass: {text}"),
        OutputForm::Json => print(&format!("{}\n", json!({"result": "failed", "text": text}))),
    }
}

/// Prints a help text.
pub(crate) fn help(form: OutputForm, text: &str) {
    match form {
        OutputForm::Text => print(text),
        OutputForm::Json => print(&format!("{}\n", json!({"result": "help", "text": text}))),
    }
}

/// Prints the reply to a request, and the key that the tool generated for it, if any.
pub(crate) fn reply(
    form: OutputForm,
    request: &CommandRequest,
    reply: &CommandReply,
    new_key: Option<&str>,
) {
    match form {
        OutputForm::Json => print(&format!("{}\n", reply_json(request, reply, new_key))),
        OutputForm::Text => print_text(request, reply, new_key),
    }
}

fn reply_json(request: &CommandRequest, reply: &CommandReply, new_key: Option<&str>) -> Value {
    let mut value = serde_json::to_value(reply).unwrap_or_default();
    value["command"] = json!(request.command);
    if let Some(id) = &request.command_id {
        value["command_id"] = json!(id);
    }
    if let CommandReply::Refused(refusal) | CommandReply::Unknown(refusal) = reply {
        value["text"] = json!(refusal.to_string());
    }
    if let Some(key) = new_key {
        value["key"] = json!(key);
    }
    value
}

fn print_text(request: &CommandRequest, reply: &CommandReply, new_key: Option<&str>) {
    match reply {
        CommandReply::Answer(table) => print(&table_text(table)),
        CommandReply::Accepted(acceptance) => print(&acceptance_text(acceptance)),
        CommandReply::Refused(refusal) => eprintln!("yuccapass: {refusal}"),
        CommandReply::Conflict(conflict) => eprintln!("yuccapass: {}", conflict_text(conflict)),
        CommandReply::Unknown(refusal) => {
            eprintln!("yuccapass: {refusal}\n{}", retry_text(request));
        }
    }
    if let Some(key) = new_key {
        print(&format!("The key, which is shown only now: {key}\n"));
    }
}

fn acceptance_text(acceptance: &Acceptance) -> String {
    let Acceptance { revision, description, in_force_nodes, known_nodes, .. } = acceptance;
    if acceptance.dry_run {
        return format!("{description}: possible; nothing was written\n");
    }
    let verb = if acceptance.repeated { "was accepted before" } else { "accepted" };
    format!(
        "{description}: {verb}, revision {revision}, in force on {in_force_nodes} of {known_nodes} \
         nodes\n"
    )
}

fn conflict_text(conflict: &ConflictDetails) -> String {
    let ConflictDetails { object, revision, .. } = conflict;
    match (&conflict.other_description, conflict.other_revision) {
        (Some(other), Some(other_revision)) => format!(
            "{object} was changed first: `{other}`, revision {other_revision}. If your change is \
             still right, send it with --expect-revision {revision}"
        ),
        _ => format!(
            "the expected revision is too long ago to tell whether {object} was changed; the \
             newest one is {revision}"
        ),
    }
}

fn retry_text(request: &CommandRequest) -> String {
    let id = request.command_id.as_ref().map(|id| format!(" --command-id {id}"));
    let expected =
        request.expected_revision.map(|revision| format!(" --expect-revision {revision}"));
    format!(
        "To find out, send it again: yuccapass{}{} {}",
        id.unwrap_or_default(),
        expected.unwrap_or_default(),
        request.command
    )
}

/// Returns a table with aligned columns.
pub(crate) fn table_text(table: &Table) -> String {
    let width_of = |column: usize| {
        let cells = table.rows.iter().filter_map(|row| row.get(column));
        let cells = cells.chain(table.columns.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..table.columns.len()).map(width_of).collect();
    let mut text = row_text(&table.columns, &widths);
    table.rows.iter().for_each(|row| text.push_str(&row_text(row, &widths)));
    let noun = if table.rows.len() == 1 { "row" } else { "rows" };
    text.push_str(&format!("{} {noun} at revision {}\n", table.rows.len(), table.revision));
    text
}

fn row_text(cells: &[SmolStr], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
    let line = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}

fn print(text: &str) {
    // Errors are ignored: a reader that closes the pipe early, such as `head`, must not change the
    // exit status.
    let _ = io::stdout().write_all(text.as_bytes());
}
