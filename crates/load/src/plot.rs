//! Plots of runs and of capacity measurements.

use plotters::prelude::{
    BLUE, ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, RED, SVGBackend, WHITE,
};

use crate::error::Code;
use crate::{Capacity, Error, Report, Result};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 360);

/// Plots the acknowledged writes (red) and answered reads (blue) per second over time, as SVG.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn plot(report: &Report, path: &std::path::Path) -> Result<()> {
    draw(report, path).map_err(|error| Error::new(Code::Plot(error.to_string())))
}

fn draw(
    report: &Report,
    path: &std::path::Path,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let all_counts = report.writes_by_100_ms.iter().chain(&report.reads_by_100_ms);
    let max_rate = all_counts.copied().max().unwrap_or(1).max(1) * 10;
    let caption =
        format!("{} with policy {}: statements per second", report.scenario, report.policy);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 16).into_font())
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..report.seconds, 0..max_rate)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (counts, color) in [(&report.reads_by_100_ms, &BLUE), (&report.writes_by_100_ms, &RED)] {
        let points =
            counts.iter().enumerate().map(|(index, count)| (index as f64 / 10.0, count * 10));
        chart.draw_series(LineSeries::new(points, color))?;
    }
    area.present()?;
    Ok(())
}

/// Plots the share of a core that a single idle node uses by its number of databases, as SVG.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn plot_capacity(capacity: &Capacity, path: &std::path::Path) -> Result<()> {
    draw_capacity(capacity, path).map_err(|error| Error::new(Code::Plot(error.to_string())))
}

fn draw_capacity(
    capacity: &Capacity,
    path: &std::path::Path,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let single_node = capacity.points.iter().filter(|point| point.nodes == 1);
    let points: Vec<(f64, f64)> = single_node
        .map(|point| (point.databases as f64, point.core_share_per_node * 100.0))
        .collect();
    let max_databases = points.iter().map(|(databases, _)| *databases).fold(1.0, f64::max);
    let max_share = points.iter().map(|(_, share)| *share).fold(1.1, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("percent of a core by databases of one idle node", ("sans-serif", 16).into_font())
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..max_databases, 0.0..max_share)?;
    chart.configure_mesh().x_desc("databases").draw()?;
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    area.present()?;
    Ok(())
}
