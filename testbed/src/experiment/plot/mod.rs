//! Plots of a comparison as SVG.

mod chart;
mod series;

pub use chart::goodput_svg;
