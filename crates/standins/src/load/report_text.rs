//! The report as text for humans.

use std::fmt::Write;

use super::summary::{GroupSummary, Quantiles, Report};

/// Formats a report as text.
pub fn report_text(report: &Report) -> String {
    let mut out = String::new();
    write_report(&mut out, report).expect("writing to a string does not fail");
    out
}

fn write_report(out: &mut String, report: &Report) -> std::fmt::Result {
    let workload = &report.workload;
    writeln!(
        out,
        "seed {}, {} stated over {} s; {} requests sent, {} whole, {} whole and in time, \
         goodput {:.2}/s",
        report.seed,
        workload.rate,
        workload.duration_ms / 1000,
        report.all.requests,
        report.all.whole,
        report.all.in_time,
        report.goodput_per_s
    )?;
    write_header(out)?;
    write_group(out, "all", &report.all)?;
    for (name, group) in report.classes.iter().chain(&report.organisations) {
        write_group(out, name, group)?;
    }
    writeln!(out, "not answered, by code and run state:")?;
    for (name, count) in &report.refusals {
        writeln!(out, "  {count:>7} {name}")?;
    }
    write_engine_counts(out, report)?;
    for fault in &report.faults {
        writeln!(out, "fault at {} ms: {}: {}", fault.at_ms, fault.action, fault.result)?;
    }
    writeln!(out, "violations: {}", report.violations.len())?;
    report.violations.iter().try_for_each(|violation| writeln!(out, "  {violation}"))
}

fn write_engine_counts(out: &mut String, report: &Report) -> std::fmt::Result {
    let counts = &report.engine_counts;
    writeln!(
        out,
        "prompt work: {} tokens, {} cached, recomputed share {:.3}; engines not read: {}",
        counts.prompt_tokens,
        counts.cached_prompt_tokens,
        report.recomputed_share,
        counts.unread_engines
    )?;
    writeln!(out, "crashes of engines: {}", counts.crashes)?;
    match counts.link_bytes {
        Some(bytes) => writeln!(out, "link between regions: {bytes} bytes"),
        None => writeln!(out, "link between regions: not reported by any stand-in"),
    }
}

fn write_header(out: &mut String) -> std::fmt::Result {
    writeln!(
        out,
        "{:<16}{:>8}{:>8}{:>8}  {:^26}  {:^26}  {:^26}",
        "", "sent", "whole", "in time", "first token ms", "between tokens ms", "total ms"
    )?;
    let columns = format!("{:>8}{:>9}{:>9}", "p50", "p95", "p99");
    writeln!(out, "{:<40}  {columns}  {columns}  {columns}", "")
}

fn write_group(out: &mut String, name: &str, group: &GroupSummary) -> std::fmt::Result {
    writeln!(
        out,
        "{name:<16}{:>8}{:>8}{:>8}  {}  {}  {}",
        group.requests,
        group.whole,
        group.in_time,
        quantile_columns(&group.first_token),
        quantile_columns(&group.between_tokens),
        quantile_columns(&group.total)
    )
}

fn quantile_columns(quantiles: &Quantiles) -> String {
    let ms = |us: u64| us as f64 / 1000.0;
    format!(
        "{:>8.1}{:>9.1}{:>9.1}",
        ms(quantiles.p50_us),
        ms(quantiles.p95_us),
        ms(quantiles.p99_us)
    )
}
