//! A table that compares several reports by ratios.

use std::fmt::Write;

use super::summary::{Report, goodput_per_s};

/// Returns a table of ratios. The reports come in groups of `group_size`, and each is compared with
/// the first of its group; a ratio to zero is shown as a dash.
pub fn comparison_table(reports: &[(String, Report)], group_size: usize) -> String {
    let mut out = format!(
        "{:<20}{:>10}{:>10}{:>12}{:>9}{:>13}{:>12}\n",
        "", "ttft p50", "ttft p95", "recomputed", "goodput", "not answered", "violations"
    );
    for group in reports.chunks(group_size.max(1)) {
        write_group(&mut out, group).expect("writing to a string does not fail");
    }
    out
}

fn write_group(out: &mut String, group: &[(String, Report)]) -> std::fmt::Result {
    let Some((_, first)) = group.first() else { return Ok(()) };
    let base = figures(first);
    for (name, report) in group {
        let figures = figures(report);
        let [p50, p95, recomputed, goodput] =
            std::array::from_fn(|column| ratio(figures[column], base[column]));
        // A share instead of a ratio, since the first report of a group often has none.
        let not_answered = 1.0 - report.all.whole as f64 / report.all.requests.max(1) as f64;
        let violations = report.violations.len();
        writeln!(
            out,
            "{name:<20}{p50:>10}{p95:>10}{recomputed:>12}{goodput:>9}{not_answered:>13.4}\
             {violations:>12}"
        )?;
    }
    let [p50, p95, recomputed, goodput] = base;
    writeln!(
        out,
        "    1.00 is ttft p50 {:.1} ms, p95 {:.1} ms, recomputed {recomputed:.3}, goodput \
         {goodput:.2}/s",
        p50 / 1000.0,
        p95 / 1000.0
    )
}

/// Returns the values that are shown as ratios.
fn figures(report: &Report) -> [f64; 4] {
    [
        report.all.first_token.p50_us as f64,
        report.all.first_token.p95_us as f64,
        report.recomputed_share,
        goodput_per_s(&report.timeline, &report.workload),
    ]
}

fn ratio(value: f64, base: f64) -> String {
    if base > 0.0 { format!("{:.2}", value / base) } else { "-".to_owned() }
}
