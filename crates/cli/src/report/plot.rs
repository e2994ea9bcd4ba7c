//! What became of requests by second, as a picture.

use plotters::{
    prelude,
    prelude::IntoDrawingArea as _,
    style::{Color as _, RGBColor},
};

use crate::report;

const SIZE: (u32, u32) = (960, 420);
const MARGIN: u32 = 12;
const AXIS: u32 = 44;

/// One part of the bars.
struct Part {
    name: &'static str,
    color: RGBColor,
    of: fn(&report::Tally) -> usize,
}

/// The parts from below: what was of use first.
const PARTS: [Part; 5] = [
    Part { name: "in time", color: RGBColor(46, 125, 50), of: |tally| tally.in_time },
    Part { name: "late", color: RGBColor(249, 168, 37), of: |tally| tally.late },
    Part { name: "refused", color: RGBColor(144, 164, 174), of: |tally| tally.refused },
    Part { name: "broken", color: RGBColor(198, 40, 40), of: |tally| tally.broken },
    Part { name: "failed", color: RGBColor(106, 27, 154), of: |tally| tally.failed },
];

/// Says that a picture could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the picture cannot be drawn: {0}")]
pub struct DrawError(String);

/// Draws what became of the requests of each second.
///
/// # Errors
///
/// Fails if there are no requests, or the picture cannot be drawn.
pub fn svg(figures: &report::Figures) -> Result<String, DrawError> {
    let mut svg = String::new();
    draw(figures, &mut svg).map_err(|error| DrawError(error.to_string()))?;
    Ok(svg)
}

fn draw(figures: &report::Figures, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = prelude::SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&prelude::WHITE)?;
    let most = figures.seconds.iter().map(|group| group.tally.offered).max();
    let most = most.ok_or("there are no requests")?;
    let last = figures.seconds.len();
    let mut chart = prelude::ChartBuilder::on(&root)
        .margin(MARGIN)
        .x_label_area_size(AXIS)
        .y_label_area_size(AXIS)
        .build_cartesian_2d(0..last, 0..most)?;
    chart.configure_mesh().x_desc("second").y_desc("requests").draw()?;
    let mut bottoms = vec![0; last];
    for part in &PARTS {
        let mut bars = Vec::with_capacity(last);
        for (second, group) in figures.seconds.iter().enumerate() {
            let top = bottoms[second] + (part.of)(&group.tally);
            let corners = [(second, bottoms[second]), (second + 1, top)];
            bars.push(prelude::Rectangle::new(corners, part.color.filled()));
            bottoms[second] = top;
        }
        let color = part.color;
        let swatch = move |(x, y): (i32, i32)| {
            prelude::Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled())
        };
        chart.draw_series(bars)?.label(part.name).legend(swatch);
    }
    chart
        .configure_series_labels()
        .position(prelude::SeriesLabelPosition::UpperRight)
        .background_style(prelude::WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}
