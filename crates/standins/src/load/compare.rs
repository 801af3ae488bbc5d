//! A table of several reports as ratios to the first one.

use std::fmt::Write;

use super::summary::Report;

/// Returns a table of ratios; a ratio to zero is shown as a dash.
pub fn comparison_table(reports: &[(String, Report)]) -> String {
    let mut out = format!(
        "{:<22}{:>14}{:>14}{:>12}{:>10}{:>12}{:>12}\n",
        "", "ttft p50", "ttft p95", "recomputed", "goodput", "unanswered", "violations"
    );
    let Some((_, first)) = reports.first() else { return out };
    for (name, report) in reports {
        let [p50, p95, recomputed, goodput, unanswered] =
            std::array::from_fn(|column| ratio(figures(report)[column], figures(first)[column]));
        let written = writeln!(
            out,
            "{name:<22}{p50:>14}{p95:>14}{recomputed:>12}{goodput:>10}{unanswered:>12}{:>12}",
            report.violations.len()
        );
        written.expect("writing to a string does not fail");
    }
    let [p50, p95, recomputed, goodput, unanswered] = figures(first);
    let written = writeln!(
        out,
        "1.00 is: ttft p50 {:.1} ms, p95 {:.1} ms, recomputed {recomputed:.3}, goodput \
         {goodput:.2}/s, unanswered share {unanswered:.4}",
        p50 / 1000.0,
        p95 / 1000.0
    );
    written.expect("writing to a string does not fail");
    out
}

fn figures(report: &Report) -> [f64; 5] {
    let unanswered = report.all.requests - report.all.whole;
    [
        report.all.first_token.p50_us as f64,
        report.all.first_token.p95_us as f64,
        report.recomputed_share,
        report.goodput_per_s,
        unanswered as f64 / report.all.requests.max(1) as f64,
    ]
}

fn ratio(value: f64, base: f64) -> String {
    if base > 0.0 { format!("{:.2}", value / base) } else { "-".to_owned() }
}
