//! Least-squares fit of a straight line.

/// A fitted line `value = offset + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeFit {
    pub offset: f64,
    pub slope: f64,
    /// Standard error of the slope; `None` with fewer than three points.
    pub slope_error: Option<f64>,
}

/// Fits a line; `None` with fewer than two different x.
#[must_use]
pub fn fit_slope(points: &[(f64, f64)]) -> Option<SlopeFit> {
    let count = points.iter().fold(0.0, |count, _| count + 1.0);
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let product = |point: &(f64, f64)| (point.0 - mean_x) * (point.1 - mean_y);
    let slope = points.iter().map(product).sum::<f64>() / spread;
    let offset = mean_y - slope * mean_x;
    let residue = |point: &(f64, f64)| (point.1 - offset - slope * point.0).powi(2);
    let residues: f64 = points.iter().map(residue).sum();
    let slope_error = (points.len() > 2).then(|| (residues / (count - 2.0) / spread).sqrt());
    Some(SlopeFit {
        offset,
        slope,
        slope_error,
    })
}
