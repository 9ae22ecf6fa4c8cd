//! A chart of the burn rates over time.

use std::path::Path;

use anyhow::{anyhow, Result};
use plotters::prelude::*;

use crate::burn::ObjectiveReport;

/// Width and height in pixels.
const SIZE_PIXELS: (u32, u32) = (900, 420);

/// Minimum upper end of the burn rate axis, so that the line at 1 is always visible.
const MIN_AXIS_TOP: f64 = 2.0;

/// Draws the burn rates of all objectives as SVG.
pub fn draw(report: &[ObjectiveReport], file: &Path) -> Result<()> {
    let points = || report.iter().flat_map(|b| &b.interval_rates);
    let end = points().map(|p| p.0).max().unwrap_or(1).max(1);
    let top = points().map(|p| p.1).fold(MIN_AXIS_TOP, f64::max) * 1.1;
    let root = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    let error = |e: &dyn std::fmt::Display| anyhow!("{}: {e}", file.display());
    root.fill(&WHITE).map_err(|e| error(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Burn rate of each objective (1 uses up the budget in its period)",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0..end, 0.0..top)
        .map_err(|e| error(&e))?;
    chart
        .configure_mesh()
        .x_desc("seconds since the first snapshot")
        .y_desc("burn rate")
        .draw()
        .map_err(|e| error(&e))?;
    let limit = [(0, 1.0), (end, 1.0)];
    chart.draw_series(LineSeries::new(limit, BLACK.stroke_width(1))).map_err(|e| error(&e))?;
    for (i, objective) in report.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let line = LineSeries::new(objective.interval_rates.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(|e| error(&e))?
            .label(&objective.objective)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| error(&e))?;
    root.present().map_err(|e| error(&e))
}
