//! Compares the table of result codes in the documentation with the code.

use std::path::PathBuf;

use yuccapass_callers::failure::status_of;
use yuccapass_types::ResultCode;

fn documented_rows() -> Vec<String> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/result-codes.md");
    let page = std::fs::read_to_string(path).unwrap();
    page.lines().filter(|line| line.starts_with("| YP-")).map(str::to_owned).collect()
}

fn row_of(code: ResultCode) -> String {
    let status = u16::from(status_of(code));
    format!("| {code} | {} | {status} | {} |", code.kind(), code.text())
}

/// Guards against a code that operators and callers cannot look up, or a row that is out of date.
#[test]
fn table_has_a_row_for_each_code() {
    // Arrange
    let expected: Vec<String> = ResultCode::ALL.iter().map(|&code| row_of(code)).collect();

    // Act
    let documented = documented_rows();

    // Assert
    assert_eq!(documented, expected);
}
