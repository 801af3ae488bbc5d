//! Summaries, charts, comparisons and the plan of a deployment.

mod load_common;

use load_common::record;
use serde_json::json;
use yuccapass_decisions::config::{Document, validate};
use yuccapass_standins::load::chart::chart_svg;
use yuccapass_standins::load::compare::comparison_table;
use yuccapass_standins::load::plan::{PlanConfig, configuration, plan, processes};
use yuccapass_standins::load::record::{Outcome, RequestRecord};
use yuccapass_standins::load::report_text::report_text;
use yuccapass_standins::load::summary::{AppliedFault, EngineCounts, Report, summarise};
use yuccapass_standins::load::workload::{Preset, Workload};
use yuccapass_types::TokensPerSecond;

fn records() -> Vec<RequestRecord> {
    let late = RequestRecord { end_us: 3_000_000, ..record(1_000_000) };
    let refused = Outcome::Failed {
        code: "YP-2001".into(),
        run_state: "not run".into(),
        message: String::new(),
    };
    let refused =
        RequestRecord { outcome: refused, token_times_us: Vec::new(), ..record(1_500_000) };
    vec![record(0), late, refused]
}

fn report() -> Report {
    let mut counts = EngineCounts::default();
    counts.add(&json!({"prompt_tokens": 100, "cached_prompt_tokens": 25, "crashes": 2}));
    let mut workload = Workload::preset(Preset::Society);
    workload.duration_ms = 2_000;
    let mut report = summarise(9, &workload, &records(), counts);
    report.faults.push(AppliedFault {
        at_ms: 500,
        action: "crash".to_owned(),
        result: "status 200".to_owned(),
    });
    report
}

/// Guards against late answers that count as good, and against times that are measured from when a
/// request was sent instead of when it was scheduled.
#[test]
fn a_summary_counts_from_the_scheduled_time() {
    // Act
    let report = report();

    // Assert
    assert_eq!((report.all.requests, report.all.whole, report.all.in_time), (3, 2, 1));
    // The record was sent 100 ms late and got its first token 200 ms after that.
    assert_eq!(report.all.first_token.p50_us / 1000, 300);
    assert_eq!(report.all.between_tokens.p50_us / 1000, 50);
    assert_eq!(report.goodput_per_s, 0.5);
    assert_eq!(report.recomputed_share, 0.75);
    assert_eq!(report.refusals, [("YP-2001 not run".to_owned(), 1)]);
    let timeline: Vec<_> = report.timeline.iter().map(|it| (it.due, it.good)).collect();
    assert_eq!(timeline, [(1, 1), (2, 0), (0, 0), (0, 0)]);
}

/// Guards against reports that lack figures, faults or the chart.
#[test]
fn reports_show_figures_and_faults() {
    // Arrange
    let report = report();

    // Act
    let (text, svg) = (report_text(&report), chart_svg(&report).unwrap());

    // Assert
    for part in [
        "recomputed share 0.750",
        "YP-2001 not run",
        "engines: 2",
        "fault at 500 ms",
        "violations: 0",
    ] {
        assert!(text.contains(part), "{part} is missing in {text}");
    }
    assert!(svg.starts_with("<svg") && svg.contains("Time to first token"));
}

/// Guards against ratios to the wrong report.
#[test]
fn a_comparison_shows_ratios_to_the_first_report_of_a_group() {
    // Arrange
    let (base, mut other) = (report(), report());
    other.all.first_token.p95_us *= 2;
    other.timeline[0].good *= 2;
    let reports =
        [("cost", base.clone()), ("random", other.clone()), ("light", other), ("x", base)];
    let reports = reports.map(|(name, report)| (name.to_owned(), report));

    // Act
    let table = comparison_table(&reports, 2);

    // Assert
    let row = |name: &str| -> Vec<String> {
        let row = table.lines().find(|line| line.starts_with(name)).unwrap();
        row.split_whitespace().skip(1).map(str::to_owned).collect()
    };
    assert_eq!(row("random"), ["1.00", "2.00", "1.00", "2.00", "0.3333", "0"]);
    assert_eq!(row("x"), ["1.00", "0.50", "1.00", "0.50", "0.3333", "0"]);
}

/// Guards against a planned configuration that nodes reject, and against two processes with the
/// same address.
#[test]
fn a_plan_has_a_valid_configuration_and_distinct_addresses() {
    for preset in [Preset::Society, Preset::Association] {
        // Arrange
        let config = PlanConfig {
            preset,
            nodes_per_zone: 3,
            engines_per_zone: 2,
            base_port: 18_400,
            prefill_rate: TokensPerSecond::new(8_000),
            token_time_ms: 20,
            cache_capacity_blocks: 256,
            placement: "cost".to_owned(),
        };

        // Act
        let deployment = plan(&config);
        let document: Document = serde_json::from_value(configuration(&deployment)).unwrap();
        let lines = processes(&config, &deployment, "configuration.json");

        // Assert
        assert_eq!(validate(&document), Ok(()));
        assert_eq!((deployment.nodes.len(), deployment.engines.len()), (9, 9));
        assert_eq!(lines.lines().count(), 20);
        assert!(lines.lines().all(|line| line.split('\t').count() == 4));
        let mut addresses: Vec<_> = deployment.addresses().into_iter().map(|it| it.1).collect();
        addresses.sort_unstable();
        addresses.dedup();
        assert_eq!(addresses.len(), 9 + 18 + 2);
    }
}
