//! Compares versions by the speed of their endpoints, independently of hardware and load.
//!
//! Endpoints of one service differ several-fold in speed, and those of the new version have little
//! load while it is tested. Runs of a version that is a few times slower may therefore look as fast
//! as those of the old one. The shortest time that was observed at an endpoint doesn't depend on
//! load. If both versions run on similar hardware, a slower version is slower at every quantile of
//! its endpoints.

/// Minimum number of endpoints per version. With fewer, a difference may be due to which hardware
/// each version happened to be given.
const MIN_ENDPOINTS: usize = 8;
/// Factor by which every quantile must be slower. The minimum over the few runs of a new endpoint
/// may be somewhat longer than that over the many runs of an old one.
const MIN_SLOWDOWN_FACTOR: f64 = 1.5;
/// Quantiles that are compared, from the fastest endpoint to the median. Slower endpoints receive
/// few requests while a version is tested, so their speed may be unknown.
const COMPARED_QUANTILES: [f64; 3] = [0.0, 0.25, 0.5];

/// Returns whether the new version's endpoints are slower than the old one's at every compared
/// quantile. Endpoints whose shortest time is unknown count as the slowest.
pub(super) fn is_slower_at_all_quantiles(old: &[Option<f64>], new: &[Option<f64>]) -> bool {
    if old.len().min(new.len()) < MIN_ENDPOINTS {
        return false;
    }
    let (old, new) = (sorted_gaps(old), sorted_gaps(new));
    COMPARED_QUANTILES.iter().all(|quantile| {
        let (old, new) = (value_at(&old, *quantile), value_at(&new, *quantile));
        new.is_finite() && new >= MIN_SLOWDOWN_FACTOR * old
    })
}

fn sorted_gaps(gaps: &[Option<f64>]) -> Vec<f64> {
    let gaps = gaps.iter().map(|gap| gap.unwrap_or(f64::INFINITY));
    let mut gaps: Vec<f64> = gaps.collect();
    gaps.sort_unstable_by(f64::total_cmp);
    gaps
}

fn value_at(sorted: &[f64], quantile: f64) -> f64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an index into a short list"
    )]
    let index = ((sorted.len() - 1) as f64 * quantile) as usize;
    sorted[index]
}
