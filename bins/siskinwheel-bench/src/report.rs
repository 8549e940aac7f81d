//! Output of results: tables as text or JSON, and plots as SVG.
#![allow(dead_code)]

use anyhow::{Context, Result};
use comfy_table::Table as Printed;
use pico_args::Arguments;
use plotters::prelude::*;
use serde::Serialize;
use std::path::PathBuf;

/// Output options of a command.
#[derive(Clone, Debug)]
pub struct Output {
    json: bool,
    plot: Option<PathBuf>,
}

/// A table of results.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    /// Title, with the sizes and seeds of the run.
    pub title: String,
    /// Column names, with units.
    pub columns: Vec<String>,
    /// Rows with one value per column.
    pub rows: Vec<Vec<String>>,
}

/// A named line of a plot.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// Name shown in the legend.
    pub name: String,
    /// Points as `(x, y)`.
    pub points: Vec<(f64, f64)>,
}

/// Title and axis labels of a plot.
#[derive(Clone, Debug, Serialize)]
pub struct Axes {
    /// Title of the plot.
    pub title: String,
    /// Label of the horizontal axis, with the unit.
    pub x: String,
    /// Label of the vertical axis, with the unit.
    pub y: String,
}

impl Output {
    /// Takes `--json` and `--plot FILE` out of the arguments.
    pub fn take(args: &mut Arguments) -> Result<Self> {
        let json = args.contains("--json");
        let plot = args.opt_value_from_str("--plot")?;
        Ok(Self { json, plot })
    }

    /// Prints the tables, as JSON with `--json`.
    pub fn tables(&self, tables: &[Table]) -> Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(tables)?);
            return Ok(());
        }
        for table in tables {
            let mut printed = Printed::new();
            printed.load_style(comfy_table::presets::ASCII_MARKDOWN);
            printed.set_header(&table.columns);
            printed.add_rows(&table.rows);
            println!("{}\n{printed}\n", table.title);
        }
        Ok(())
    }

    /// Writes the lines as an SVG plot, if `--plot` was given.
    pub fn plot(&self, axes: &Axes, series: &[Series]) -> Result<()> {
        let Some(path) = &self.plot else { return Ok(()) };
        let points = || series.iter().flat_map(|s| &s.points);
        let (x, y) = (axis_range(points().map(|p| p.0)), axis_range(points().map(|p| p.1)));
        let area = SVGBackend::new(path, (800, 480)).into_drawing_area();
        area.fill(&WHITE).context("drawing")?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(60)
            .caption(&axes.title, ("sans-serif", 16))
            .build_cartesian_2d(x, y)
            .context("drawing")?;
        chart.configure_mesh().x_desc(&axes.x).y_desc(&axes.y).draw().context("drawing")?;
        for (i, line) in series.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), &color))
                .context("drawing")?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart.configure_series_labels().border_style(BLACK).draw().context("drawing")?;
        area.present().with_context(|| format!("writing {}", path.display()))
    }
}

fn axis_range(values: impl Iterator<Item = f64>) -> std::ops::Range<f64> {
    let max = values.fold(0.0, f64::max);
    0.0..if max > 0.0 { max * 1.05 } else { 1.0 }
}
