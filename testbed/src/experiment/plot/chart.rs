//! Goodput by tier against load.

use plotters::{
    coord, prelude,
    prelude::IntoDrawingArea as _,
    style::{Color as _, Palette as _},
};
use trefoildyke_types::error;

use super::series;
use crate::experiment::compare;

const PANEL: (u32, u32) = (460, 420);
const LEGEND_WIDTH: u32 = 190;
const LINE_HEIGHT: i32 = 18;
/// The bound is drawn in black and the project's scheduler thick.
const OWN: usize = 1;

type Area<'a> = prelude::DrawingArea<prelude::SVGBackend<'a>, coord::Shift>;
type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Returns a picture with one panel a tier: goodput, with its spread over seeds, against load.
///
/// # Errors
///
/// Fails if the picture cannot be drawn, as when the comparison holds no runs.
pub fn goodput_svg(comparison: &compare::Comparison) -> Result<String, error::Error> {
    let mut svg = String::new();
    draw(comparison, &mut svg).map_err(|e| {
        let error = error::Error::new(error::ErrorKind::Invalid, e.to_string());
        error.remedy("plot the JSON of a comparison with at least one run")
    })?;
    Ok(svg)
}

fn draw(comparison: &compare::Comparison, svg: &mut String) -> DrawResult {
    let panels = comparison.tiers.len() as u32;
    let size = (PANEL.0 * panels + LEGEND_WIDTH, PANEL.1);
    let root = prelude::SVGBackend::with_string(svg, size).into_drawing_area();
    root.fill(&prelude::WHITE)?;
    let (charts, legend) = root.split_horizontally(PANEL.0 * panels);
    for (rank, panel) in charts.split_evenly((1, panels as usize)).iter().enumerate() {
        let title = format!("{}: {}", comparison.scenario, comparison.tiers[rank]);
        draw_panel(panel, &title, &series::of_tier(comparison, rank))?;
    }
    draw_legend(&legend, &series::of_tier(comparison, 0))?;
    root.present()?;
    Ok(())
}

fn draw_panel(panel: &Area<'_>, title: &str, all: &[series::Series]) -> DrawResult {
    let loads = all.iter().flat_map(|series| series.points.iter().map(|point| point.0));
    let most = loads.fold(0.0, f64::max);
    let mut chart = prelude::ChartBuilder::on(panel)
        .margin(10)
        .caption(title, ("sans-serif", 18))
        .x_label_area_size(40)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..most * 1.05, 0.0..1.05)?;
    chart.configure_mesh().x_desc("load, in multiples of capacity").y_desc("goodput").draw()?;
    for (number, series) in all.iter().enumerate() {
        let points = series.points.iter().map(|point| (point.0, point.1));
        chart.draw_series(prelude::LineSeries::new(points, style(number)))?;
        let spread = series.points.iter().map(|point| {
            prelude::PathElement::new(vec![(point.0, point.2), (point.0, point.3)], style(number))
        });
        chart.draw_series(spread)?;
    }
    Ok(())
}

fn draw_legend(legend: &Area<'_>, all: &[series::Series]) -> DrawResult {
    for (number, series) in all.iter().enumerate() {
        let y = 40 + number as i32 * LINE_HEIGHT;
        legend.draw(&prelude::PathElement::new(vec![(5, y + 7), (30, y + 7)], style(number)))?;
        legend.draw(&prelude::Text::new(series.name.clone(), (36, y), ("sans-serif", 13)))?;
    }
    Ok(())
}

fn style(number: usize) -> prelude::ShapeStyle {
    match number {
        0 => prelude::BLACK.stroke_width(1),
        OWN => prelude::RED.stroke_width(3),
        _ => prelude::Palette99::pick(number).stroke_width(1),
    }
}
