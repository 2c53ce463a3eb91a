//! The table of all figures, as text and as JSON.

use std::fmt::Write as _;

use serde::Serialize;

/// One figure.
#[derive(Clone, Debug, Serialize)]
pub struct FigureRow {
    pub part: String,
    pub case: String,
    pub variant: String,
    pub figure: String,
    pub value: f64,
    /// Standard error, where one is known.
    pub error: Option<f64>,
    pub unit: String,
}

/// Rows in the order of their measurement.
#[derive(Clone, Debug, Default)]
pub struct FigureTable {
    pub rows: Vec<FigureRow>,
}

impl FigureTable {
    pub fn add(&mut self, place: [&str; 3], figure: &str, value: f64, unit: &str) {
        self.add_with_error(place, figure, value, None, unit);
    }

    /// Adds a figure of a part, case and variant.
    pub fn add_with_error(
        &mut self,
        [part, case, variant]: [&str; 3],
        figure: &str,
        value: f64,
        error: Option<f64>,
        unit: &str,
    ) {
        self.rows.push(FigureRow {
            part: part.to_owned(),
            case: case.to_owned(),
            variant: variant.to_owned(),
            figure: figure.to_owned(),
            value,
            error,
            unit: unit.to_owned(),
        });
    }

    /// The table in Markdown.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::from(
            "| part | case | variant | figure | value | standard error | unit |\n|---|---|---|---|---|---|---|\n",
        );
        for row in &self.rows {
            let error = row.error.map_or_else(|| "-".to_owned(), number);
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} | {} | {error} | {} |",
                row.part,
                row.case,
                row.variant,
                row.figure,
                number(row.value),
                row.unit
            );
        }
        text
    }
}

fn number(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || value == 0.0 {
        format!("{value:.0}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else if size >= 0.001 {
        format!("{value:.4}")
    } else {
        format!("{value:.2e}")
    }
}
