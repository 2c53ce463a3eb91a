//! Compares versions by their endpoints, whatever hardware and load these have.
//!
//! Endpoints of one service differ several-fold in speed, and the new version's have little load
//! while it is tested. So runs of a version that is a few times slower may look as fast as those of
//! the old one. The least time that each endpoint was seen to take is free of load, and where both
//! versions run on like hardware, each part of the new version's endpoints is slower.

/// Endpoints of each version without which chance in their hardware may explain a difference.
const LEAST_ENDPOINTS: usize = 8;
/// Factor by which each part must be slower. The least of the few runs that a new endpoint has had
/// may be somewhat longer than that of the many runs of an old one.
const SLOWER_FACTOR: f64 = 1.5;
/// The parts that are compared: the fastest endpoint, and those at these parts of the order. Slower
/// endpoints get few requests while a version is tested, and may not be known.
const PARTS: [f64; 3] = [0.0, 0.25, 0.5];

/// Whether the new version's endpoints are slower than the old one's in each part of their order.
/// An endpoint whose least time isn't known takes its place behind the others.
pub(super) fn is_slower_on_all(old: &[Option<f64>], new: &[Option<f64>]) -> bool {
    if old.len().min(new.len()) < LEAST_ENDPOINTS {
        return false;
    }
    let (old, new) = (in_order(old), in_order(new));
    PARTS.iter().all(|part| {
        let (old, new) = (at(&old, *part), at(&new, *part));
        new.is_finite() && new >= SLOWER_FACTOR * old
    })
}

fn in_order(gaps: &[Option<f64>]) -> Vec<f64> {
    let gaps = gaps.iter().map(|gap| gap.unwrap_or(f64::INFINITY));
    let mut gaps: Vec<f64> = gaps.collect();
    gaps.sort_unstable_by(f64::total_cmp);
    gaps
}

fn at(sorted: &[f64], part: f64) -> f64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a place in a short list"
    )]
    let place = ((sorted.len() - 1) as f64 * part) as usize;
    sorted[place]
}
