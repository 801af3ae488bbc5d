//! A chart of goodput and time to first token over time.

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use snafu::Snafu;

use super::summary::Report;

/// Width and height of the chart, in pixels.
const SIZE_PX: (u32, u32) = (1100, 760);

/// The error for a chart that could not be drawn.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the picture could not be drawn: {detail}"))]
pub struct ChartError {
    detail: String,
}

/// A labelled line of a panel.
struct Line {
    label: &'static str,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Draws a report as SVG; vertical lines show when faults were injected.
///
/// # Errors
///
/// Fails if the drawing library does.
pub fn chart_svg(report: &Report) -> Result<String, ChartError> {
    let mut svg = String::new();
    let draw = |svg: &mut String| -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let (top, bottom) = area.split_vertically(SIZE_PX.1 / 2);
        draw_panel(&top, report, "Requests and goodput", "per second", rate_lines(report))?;
        let caption = "Time to first token, by the second in which a request was due";
        draw_panel(&bottom, report, caption, "milliseconds", first_token_lines(report))?;
        area.present()?;
        Ok(())
    };
    draw(&mut svg).map_err(|error| ChartError { detail: error.to_string() })?;
    Ok(svg)
}

fn rate_lines(report: &Report) -> Vec<Line> {
    let points = |value: fn(&super::summary::SecondSummary) -> f64| {
        let seconds = report.timeline.iter().enumerate();
        seconds.map(|(at, second)| (at as f64, value(second))).collect()
    };
    vec![
        Line { label: "due", colour: RGBColor(150, 150, 150), points: points(|s| s.due as f64) },
        Line {
            label: "whole and in time",
            colour: RGBColor(20, 120, 60),
            points: points(|second| second.good as f64),
        },
    ]
}

fn first_token_lines(report: &Report) -> Vec<Line> {
    // Seconds without a first token are left out rather than shown as zero.
    let points = |value: fn(&super::summary::SecondSummary) -> u64| {
        let seconds = report.timeline.iter().enumerate();
        let seconds = seconds.filter(|(_, second)| second.first_token.count > 0);
        seconds.map(|(at, second)| (at as f64, value(second) as f64 / 1000.0)).collect()
    };
    vec![
        Line {
            label: "p50",
            colour: RGBColor(30, 90, 180),
            points: points(|second| second.first_token.p50_us),
        },
        Line {
            label: "p95",
            colour: RGBColor(200, 70, 30),
            points: points(|second| second.first_token.p95_us),
        },
    ]
}

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws a vertical line for each injected fault; the legend shows one entry for all of them.
fn draw_fault_lines(
    chart: &mut Chart<'_, '_>,
    report: &Report,
    max: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let colour = RGBColor(180, 0, 120).mix(0.5);
    for (number, fault) in report.faults.iter().enumerate() {
        let at_s = fault.at_ms as f64 / 1000.0;
        let series = chart.draw_series(LineSeries::new([(at_s, 0.0), (at_s, max)], colour))?;
        if number == 0 {
            series.label("failure applied").legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(1))
            });
        }
    }
    Ok(())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn draw_panel(
    area: &Area<'_>,
    report: &Report,
    caption: &str,
    unit: &str,
    lines: Vec<Line>,
) -> Result<(), Box<dyn std::error::Error>> {
    let end = report.timeline.len().max(1) as f64;
    let values = lines.iter().flat_map(|line| line.points.iter().map(|(_, value)| *value));
    // Leaves space above the lines for the legend, which would cover them otherwise.
    let max = values.fold(1.0, f64::max) * 1.4;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..end, 0.0..max)?;
    chart
        .configure_mesh()
        .x_desc("seconds from the start of the run")
        .y_desc(unit)
        .x_label_formatter(&|value| format!("{value:.0}"))
        .y_label_formatter(&|value| format!("{value:.0}"))
        .light_line_style(WHITE)
        .draw()?;
    draw_fault_lines(&mut chart, report, max)?;
    for Line { label, colour, points } in lines {
        let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        series.label(label).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
        });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperRight)
        .draw()?;
    Ok(())
}
