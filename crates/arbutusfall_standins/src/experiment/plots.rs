//! Plots of the results against load, on one page.

use std::fmt;
use std::path::Path;

use error_stack::Report;
use plotters::chart::ChartBuilder;
use plotters::coord::Shift;
use plotters::drawing::DrawingArea;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::Circle;
use plotters::prelude::DrawingBackend;
use plotters::prelude::SVGBackend;
use plotters::prelude::Text;
use plotters::series::LineSeries;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use crate::experiment::measurements::RunResult;

/// Width and height of the page in pixels.
const PAGE_SIZE: (u32, u32) = (1_800, 700);

/// Width of the legend in pixels.
const LEGEND_WIDTH: u32 = 280;

/// Font size of labels in pixels.
const LABEL_SIZE: u32 = 15;

/// Font size of captions in pixels.
const CAPTION_SIZE: u32 = 20;

/// Error of drawing or writing the page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlotError;

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the plots could not be drawn")
    }
}

impl std::error::Error for PlotError {}

/// Value of a run that a plot shows.
type Metric = fn(&RunResult) -> f64;

/// Draws goodput, latency to the first token and wasted prefill against load.
pub(crate) fn draw(path: &Path, results: &[RunResult]) -> Result<(), Report<PlotError>> {
    let page = SVGBackend::new(path, PAGE_SIZE).into_drawing_area();
    let failed = |_| Report::new(PlotError);
    page.fill(&WHITE).map_err(failed)?;
    let plots: [(&str, Metric); 3] = [
        ("goodput, % of requests", RunResult::goodput_percent),
        ("first token, p95, ms", |result| result.first_token_p95_ms),
        ("wasted prefill, % of tokens", RunResult::wasted_percent),
    ];
    let (plot_area, legend_area) = page.split_horizontally(PAGE_SIZE.0 - LEGEND_WIDTH);
    for (area, (caption, metric)) in plot_area.split_evenly((1, 3)).iter().zip(plots) {
        let points = results.iter().map(|result| (result.load, metric(result)));
        let max_value = points.clone().map(|(_, value)| value).fold(1.0, f64::max);
        let max_load = points.map(|(load, _)| load).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(caption, ("sans-serif", CAPTION_SIZE))
            .margin(14)
            .x_label_area_size(46)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..max_load * 1.1, 0.0..max_value * 1.1)
            .map_err(failed)?;
        chart
            .configure_mesh()
            .x_desc("load")
            .x_labels(8)
            .y_labels(8)
            .label_style(("sans-serif", LABEL_SIZE))
            .axis_desc_style(("sans-serif", LABEL_SIZE))
            .light_line_style(WHITE)
            .draw()
            .map_err(failed)?;
        for (index, series) in all_series(results).into_iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let line = means(results, &series, metric);
            chart
                .draw_series(LineSeries::new(line.clone(), colour.stroke_width(2)))
                .map_err(failed)?;
            let dots = line.into_iter();
            chart
                .draw_series(dots.map(|point| Circle::new(point, 4, colour.filled())))
                .map_err(failed)?;
        }
    }
    draw_legend(&legend_area, &all_series(results)).map_err(failed)?;
    page.present().map_err(failed)
}

/// Draws the name of each series beside its colour.
fn draw_legend<B: DrawingBackend>(
    area: &DrawingArea<B, Shift>,
    series: &[String],
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
    for (index, name) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let y = 60 + 24 * i32::try_from(index).unwrap_or_default();
        area.draw(&Circle::new((12, y), 5, colour.filled()))?;
        let label = Text::new(name.clone(), (26, y - 7), ("sans-serif", LABEL_SIZE));
        area.draw(&label)?;
    }
    Ok(())
}

/// Returns the names of all series, in order of their first run.
fn all_series(results: &[RunResult]) -> Vec<String> {
    let mut all: Vec<String> = Vec::new();
    for result in results {
        let series = result.series();
        if !all.contains(&series) {
            all.push(series);
        }
    }
    all
}

/// Returns the mean over a series' runs at each load, in ascending order of load.
fn means(results: &[RunResult], series: &str, metric: Metric) -> Vec<(f64, f64)> {
    let runs = results.iter().filter(|result| result.series() == series);
    let runs: Vec<&RunResult> = runs.collect();
    let mut loads: Vec<f64> = runs.iter().map(|run| run.load).collect();
    loads.sort_by(f64::total_cmp);
    loads.dedup();
    let mean = |load: f64| {
        let at_load = runs.iter().filter(|run| run.load == load);
        let values: Vec<f64> = at_load.map(|run| metric(run)).collect();
        values.iter().sum::<f64>() / values.len() as f64
    };
    loads.into_iter().map(|load| (load, mean(load))).collect()
}
