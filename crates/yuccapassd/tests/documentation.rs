//! Checks the operators' page against the settings and metrics of the program.

use std::path::PathBuf;

use clap::{CommandFactory, Parser};
use yuccapassd::Settings;
use yuccapassd::settings::{Front, Invocation};

fn operations_page() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    std::fs::read_to_string(path).unwrap()
}

/// Returns the table row of each setting: flag, environment variable, default, bounds, meaning.
fn setting_rows() -> Vec<String> {
    let settings = Settings::parse_from(["yuccapassd", "--node-id", "a", "--zone", "b"]);
    let bounds = settings.bounds();
    let command = Settings::command();
    let arguments = command.get_arguments().filter(|argument| argument.get_env().is_some());
    arguments
        .map(|argument| {
            let flag = argument.get_long().unwrap_or_default();
            let environment = argument.get_env().unwrap_or_default().to_string_lossy();
            let default: Vec<_> =
                argument.get_default_values().iter().map(|value| value.to_string_lossy()).collect();
            let bound = bounds.iter().find(|bound| bound.setting == flag);
            let bound = bound.map(|bound| format!("{} to {}", bound.min, bound.max));
            let help = argument.get_help().map(ToString::to_string).unwrap_or_default();
            format!(
                "| `--{flag}` | `{environment}` | {} | {} | {help} |",
                default.join(","),
                bound.unwrap_or_default()
            )
        })
        .collect()
}

/// Returns the table row of each gateway setting: flag, environment variable, default, meaning.
fn gateway_rows() -> Vec<String> {
    let command = Invocation::command();
    let gateway = command.find_subcommand("gateway").expect("the gateway is a subcommand");
    let text = |value: Option<String>| value.unwrap_or_default();
    gateway
        .get_arguments()
        .filter(|argument| argument.get_env().is_some())
        .map(|argument| {
            let default: Vec<_> =
                argument.get_default_values().iter().map(|value| value.to_string_lossy()).collect();
            format!(
                "| `--{}` | `{}` | {} | {} |",
                argument.get_long().unwrap_or_default(),
                text(argument.get_env().map(|name| name.to_string_lossy().into_owned())),
                default.join(","),
                text(argument.get_help().map(ToString::to_string)),
            )
        })
        .collect()
}

/// Returns the names of all metrics, taken from the string literals in the sources.
fn metric_names() -> Vec<&'static str> {
    [include_str!("../src/metrics.rs"), include_str!("../../gateway/src/metrics.rs")]
        .into_iter()
        .flat_map(|source| source.split('"'))
        .filter(|text| text.starts_with("yuccapass_"))
        .collect()
}

/// Guards against a setting that is missing from the page, or differs there in meaning, default or
/// bounds.
#[test]
fn page_has_a_row_for_each_setting() {
    // Arrange
    let page = operations_page();

    // Act
    let missing: Vec<String> = setting_rows()
        .into_iter()
        .chain(gateway_rows())
        .filter(|row| !page.lines().any(|line| line == row))
        .collect();

    // Assert
    assert!(missing.is_empty(), "rows that are missing:\n{}", missing.join("\n"));
}

/// Guards against a metric that is missing from the page.
#[test]
fn page_names_each_metric() {
    // Arrange
    let page = operations_page();

    // Act
    let missing: Vec<&str> =
        metric_names().into_iter().filter(|name| !page.contains(&format!("| `{name}"))).collect();

    // Assert
    assert!(missing.is_empty(), "metrics that are missing: {missing:?}");
}

/// Guards against accepting a setting that is out of bounds.
#[test]
fn settings_out_of_bounds_are_named() {
    // Arrange
    let cases = [
        (
            "--max-body-bytes",
            "1023",
            "--max-body-bytes is 1023, but it must be from 1024 to 67108864",
        ),
        ("--stall-timeout-ms", "9", "--stall-timeout-ms is 9, but it must be from 10 to 3600000"),
        (
            "--max-deadline-ms",
            "1000",
            "--default-deadline-ms is 120000, but it must be from 1 to 1000",
        ),
    ];
    for (flag, value, expected) in cases {
        let settings =
            Settings::parse_from(["yuccapassd", "--node-id", "a", "--zone", "b", flag, value]);

        // Act
        let error = settings.validate().unwrap_err();

        // Assert
        assert_eq!(error.to_string(), expected);
    }
}

/// Guards against accepting a gateway setting that is out of bounds.
#[test]
fn gateway_settings_out_of_bounds_are_named() {
    // Arrange
    let cases = [
        ("--zones", "other=r", "--zone is z, but it must be one of --zones"),
        ("--retry-ratio", "1.5", "--retry-ratio is 1.5, but it must be from 0 to 1"),
        ("--silence-ms", "99", "--silence-ms is 99, but it must be from 100 to 60000"),
        ("--rollback-ms", "999", "--rollback-ms is 999, but it must be from 1000 to 3600000"),
        ("--endpoints-per-swap", "0", "--endpoints-per-swap is 0, but it must be at least 1"),
    ];
    for (flag, value, expected) in cases {
        let mut arguments = vec!["yuccapassd", "gateway", "--node-id", "a", "--zone", "z"];
        arguments.extend(["--caller-address", "127.0.0.1:1", "--admin-address", "127.0.0.1:2"]);
        arguments.extend(["--platform", "127.0.0.1:3", flag, value]);
        if flag != "--zones" {
            arguments.extend(["--zones", "z=r"]);
        }
        let invocation = Invocation::parse_from(arguments);
        let Some(Front::Gateway(settings)) = invocation.front else { panic!("not a gateway") };

        // Act
        let error = settings.validate().unwrap_err();

        // Assert
        assert_eq!(error.to_string(), expected);
    }
}
