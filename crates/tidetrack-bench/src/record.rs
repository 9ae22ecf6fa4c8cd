//! Recorded measurements: points of a figure over a size, kept as JSON in `docs_dir/measured`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

/// A figure measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// What the size counts.
    pub size: String,
    /// Unit of the figure.
    pub unit: String,
    /// Size and figure.
    pub points: Vec<(f64, f64)>,
    /// The command that measures it.
    pub command: String,
}

/// A straight line through the points of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Figure at size 0.
    pub intercept: f64,
    /// Growth for each one of the size.
    pub slope: f64,
}

impl Series {
    /// Fits a line by least squares.
    pub fn fit(&self) -> LinearFit {
        let n = self.points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| self.points.iter().map(f).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let var: f64 = self.points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
        let cov: f64 = self.points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
        let slope = if var > 0.0 { cov / var } else { 0.0 };
        LinearFit { intercept: my - slope * mx, slope }
    }

    /// Works the figure out at a size, never below nothing.
    pub fn estimate_at(&self, size: f64) -> f64 {
        let fit = self.fit();
        (fit.intercept + fit.slope * size).max(0.0)
    }

    /// Gets the largest size measured.
    pub fn max_size(&self) -> f64 {
        self.points.iter().map(|p| p.0).fold(0.0, f64::max)
    }
}

/// All recorded series by name.
pub type SeriesByName = BTreeMap<String, Series>;

/// Gets the repository's folder of documents.
pub fn docs_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn slopes_file() -> PathBuf {
    docs_dir().join("measured/slopes.json")
}

/// Reads what was recorded.
pub fn read_recorded() -> Result<SeriesByName> {
    let text = std::fs::read_to_string(slopes_file())
        .with_context(|| slopes_file().display().to_string())?;
    Ok(serde_json::from_str(&text)?)
}

/// Adds series to what was recorded, replacing those of the same name.
pub fn update_recorded(new: SeriesByName) -> Result<()> {
    let mut record = read_recorded().unwrap_or_default();
    record.extend(new);
    std::fs::create_dir_all(docs_dir().join("measured"))?;
    let text = serde_json::to_string_pretty(&record)?;
    Ok(std::fs::write(slopes_file(), text + "\n")?)
}

/// Renders series for a person.
pub fn render(record: &SeriesByName) -> String {
    let mut text = String::new();
    for (name, series) in record {
        let points: Vec<String> =
            series.points.iter().map(|(x, y)| format!("{x}: {y:.4}")).collect();
        let fit = series.fit();
        // Writing to a string does not fail.
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

/// Gathers points of several series while a measurement runs.
#[derive(Debug, Default)]
pub struct SeriesCollector {
    record: SeriesByName,
}

impl SeriesCollector {
    /// Adds a point.
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

    /// Gets all series.
    pub fn into_record(self) -> SeriesByName {
        self.record
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_found_through_its_points() {
        let points = vec![(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)];
        let series = Series { size: "n".into(), unit: "u".into(), points, command: String::new() };
        let fit = series.fit();
        assert!((fit.intercept - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9);
        assert!((series.estimate_at(10.0) - 23.0).abs() < 1e-9);
    }
}
