//! SVG plots.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    SeriesLabelPosition, WHITE,
};

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct PlotLine {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// Names of a plot and its axes.
#[derive(Clone, Copy, Debug)]
pub struct PlotNames<'a> {
    pub title: &'a str,
    pub x: &'a str,
    pub y: &'a str,
}

/// Writes lines of percentages over `x`.
///
/// # Errors
///
/// Says why the file could not be drawn.
pub fn draw_lines(path: &Path, names: PlotNames<'_>, lines: &[PlotLine]) -> Result<(), String> {
    try_draw(path, names, lines).map_err(|error| format!("{}: {error}", path.display()))
}

fn try_draw(
    path: &Path,
    names: PlotNames<'_>,
    lines: &[PlotLine],
) -> Result<(), Box<dyn std::error::Error>> {
    let xs = || {
        lines
            .iter()
            .flat_map(|line| line.points.iter().map(|point| point.0))
    };
    let (low, high) = (xs().fold(f64::MAX, f64::min), xs().fold(f64::MIN, f64::max));
    if low > high {
        return Err("there is nothing to draw".into());
    }
    let area = SVGBackend::new(path, (800, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(names.title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(low..high.max(low + 0.1), 0.0..105.0)?;
    chart
        .configure_mesh()
        .x_desc(names.x)
        .y_desc(names.y)
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color))?
            .label(line.name.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
