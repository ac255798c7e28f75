//! Measured series, how they are printed and how they are written as JSON.

use std::fmt::{self, Display, Formatter};
use std::fs;
use std::io;
use std::path::Path;

use serde::Serialize;

use super::fit::{Fit, Point};

/// File with the load average of the machine.
const LOAD_AVERAGE_FILE: &str = "/proc/loadavg";

/// One quantity measured while another was varied.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// The fitted line, if the points allow one.
    pub fit: Option<Fit>,
    /// The measured quantity, with its unit.
    pub measured: String,
    /// The points in the order of measurement.
    pub points: Vec<Point>,
    /// The varied quantity, with its unit.
    pub varied: String,
}

impl Series {
    /// Creates a series and fits a line to its points.
    pub fn new(varied: &str, measured: &str, points: Vec<Point>) -> Self {
        let fit = Fit::least_squares(&points);
        Self { fit, measured: measured.to_owned(), points, varied: varied.to_owned() }
    }
}

impl Display for Series {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} by {}:", self.measured, self.varied)?;
        for point in &self.points {
            write!(formatter, " ({}, {:.1})", point.x, point.y)?;
        }
        match self.fit {
            None => writeln!(formatter, "; no fit"),
            Some(fit) => writeln!(
                formatter,
                "; slope {:.3}, intercept {:.1}, R2 {:.3}",
                fit.slope, fit.intercept, fit.r_squared
            ),
        }
    }
}

/// All series of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CapacityReport {
    /// Load averages of the machine over the last minute, recorded at the start and during the run.
    pub load_averages: Vec<f64>,
    /// The series.
    pub series: Vec<Series>,
}

impl CapacityReport {
    /// Adds series and prints them.
    pub fn add(&mut self, series: Vec<Series>) {
        for item in &series {
            print!("{item}");
        }
        self.series.extend(series);
    }

    /// Records and prints the load average of the machine over the last minute.
    pub fn record_load_average(&mut self) {
        if let Some(load_average) = load_average() {
            println!("load average {load_average}");
            self.load_averages.push(load_average);
        }
    }

    /// Writes the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, serde_json::to_string_pretty(self)?)
    }
}

/// Returns the load average of the machine over the last minute.
pub(super) fn load_average() -> Option<f64> {
    let text = fs::read_to_string(LOAD_AVERAGE_FILE).ok()?;
    text.split_whitespace().next()?.parse().ok()
}
