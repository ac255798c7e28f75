//! Chart of goodput by policy and tier.

use std::error::Error;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, Palette, Palette99, Rectangle, SVGBackend, WHITE,
};

use super::trial::TrialResult;

/// Size of the chart in pixels.
const SIZE_PX: (u32, u32) = (800, 400);

/// Width of a bar as a share of its slot.
const BAR_WIDTH: f64 = 0.8;

/// A bar of the chart.
struct Bar {
    label: String,
    share: f64,
    tier: usize,
}

/// Draws the share of requests done in time over all seeds, by policy and tier.
pub(super) fn draw_goodput(
    path: &Path,
    results: &[TrialResult],
) -> Result<(), Box<dyn Error + Send + Sync>> {
    let bars = bars(results);
    draw(path, &bars).map_err(|error| error.to_string().into())
}

fn bars(results: &[TrialResult]) -> Vec<Bar> {
    let mut bars = Vec::new();
    for group in results.chunk_by(|a, b| a.policy == b.policy) {
        let tiers = group.first().map(|result| result.load.tiers.len()).unwrap_or_default();
        bars.extend((0..tiers).map(|tier| bar(group, tier)));
    }
    bars
}

fn bar(group: &[TrialResult], tier: usize) -> Bar {
    let reports = || group.iter().filter_map(|result| result.load.tiers.get(tier));
    let offered: u64 = reports().map(|report| report.offered).sum();
    let done: u64 = reports().map(|report| report.done_in_time).sum();
    let name = reports().next().map(|report| report.tier.as_str()).unwrap_or_default();
    let label = format!("{} {name}", group[0].policy);
    Bar { label, share: done as f64 / offered.max(1) as f64, tier }
}

fn draw(path: &Path, bars: &[Bar]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Share of requests done whole and in time", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..bars.len().max(1) as f64, 0.0..1.0)?;
    let label = |x: &f64| bars.get(*x as usize).map(|bar| bar.label.clone()).unwrap_or_default();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.len() + 1)
        .x_label_formatter(&label)
        .draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(index, bar)| {
        let corners = [(index as f64, 0.0), (index as f64 + BAR_WIDTH, bar.share)];
        Rectangle::new(corners, Palette99::pick(bar.tier).mix(1.0).filled())
    }))?;
    area.present()?;
    Ok(())
}
