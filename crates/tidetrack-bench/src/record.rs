//! Recorded benchmark series, stored as JSON below `docs/measured`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

/// A quantity measured at several sizes, such as numbers of hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// What the sizes count, for example `hosts` or `replicas`.
    pub size: String,
    /// Unit of the measured values.
    pub unit: String,
    /// Measured points as pairs of size and value.
    pub points: Vec<(f64, f64)>,
    /// Command that produces the series.
    pub command: String,
}

/// A least-squares line through the points of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Value at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
}

impl Series {
    /// Fits a line to the points by least squares. The slope is 0 if all points have the same size.
    pub fn fit(&self) -> LinearFit {
        let n = self.points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| self.points.iter().map(f).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let var: f64 = self.points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
        let cov: f64 = self.points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
        let slope = if var > 0.0 { cov / var } else { 0.0 };
        LinearFit { intercept: my - slope * mx, slope }
    }

    /// Estimates the value at `size` from the fitted line, clamped to 0 or above.
    pub fn estimate_at(&self, size: f64) -> f64 {
        let fit = self.fit();
        (fit.intercept + fit.slope * size).max(0.0)
    }

    /// Returns the largest measured size.
    pub fn max_size(&self) -> f64 {
        self.points.iter().map(|p| p.0).fold(0.0, f64::max)
    }
}

/// Benchmark series by name.
pub type SeriesByName = BTreeMap<String, Series>;

/// Returns the path of the repository's `docs` directory.
pub fn docs_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn slopes_file() -> PathBuf {
    docs_dir().join("measured/slopes.json")
}

/// Reads the recorded series. Returns an error if the file is missing or is not valid JSON.
pub fn read_recorded() -> Result<SeriesByName> {
    let text = std::fs::read_to_string(slopes_file())
        .with_context(|| slopes_file().display().to_string())?;
    Ok(serde_json::from_str(&text)?)
}

/// Adds series to the recorded file and replaces those with the same name.
///
/// A file that is missing or cannot be read is replaced.
pub fn update_recorded(new: SeriesByName) -> Result<()> {
    let mut record = read_recorded().unwrap_or_default();
    record.extend(new);
    std::fs::create_dir_all(docs_dir().join("measured"))?;
    let text = serde_json::to_string_pretty(&record)?;
    Ok(std::fs::write(slopes_file(), text + "\n")?)
}

/// Renders the series as text, one per line, with their points and fitted lines.
pub fn render(record: &SeriesByName) -> String {
    let mut text = String::new();
    for (name, series) in record {
        let points: Vec<String> =
            series.points.iter().map(|(x, y)| format!("{x}: {y:.4}")).collect();
        let fit = series.fit();
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "{name} ({} over {}): {} | {:.4} + {:.6} x",
            series.unit,
            series.size,
            points.join(", "),
            fit.intercept,
            fit.slope
        );
    }
    text
}

/// Collects the points of several series while a benchmark runs.
#[derive(Debug, Default)]
pub struct SeriesCollector {
    record: SeriesByName,
}

impl SeriesCollector {
    /// Adds a point to the series `name`; `description` holds its unit, what its sizes count, and its
    /// command.
    pub fn add_point(
        &mut self,
        name: &str,
        description: (&str, &str, &str),
        size: f64,
        value: f64,
    ) {
        let (unit, size_unit, command) = description;
        let series = self.record.entry(name.to_string()).or_insert_with(|| Series {
            size: size_unit.to_string(),
            unit: unit.to_string(),
            points: Vec::new(),
            command: command.to_string(),
        });
        series.points.push((size, value));
    }

    /// Returns the collected series.
    pub fn into_series(self) -> SeriesByName {
        self.record
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn points_on_a_line_are_fitted_exactly() {
        let points = vec![(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)];
        let series = Series { size: "n".into(), unit: "u".into(), points, command: String::new() };
        let fit = series.fit();
        assert!((fit.intercept - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9);
        assert!((series.estimate_at(10.0) - 23.0).abs() < 1e-9);
    }
}
