//! Runs property tests with fixed seeds.

use arbtest::arbitrary::{Result, Unstructured};

/// 2^32 divided by the golden ratio; multiplication by it spreads small numbers over all bits.
/// The generator of arbtest starts from the high half of a seed, and small values there produce
/// almost the same first bytes.
const SEED_MULTIPLIER: u32 = 0x9E37_79B1;

/// Runs the property twice for each number, with the number itself and with its spread value as the
/// seed, and with growing inputs. A failure prints its seed.
pub fn check_seeds(count: u32, property: impl Fn(&mut Unstructured) -> Result<()>) {
    for number in 1..=count {
        // The low half of an arbtest seed is the size of the input in bytes.
        let size = 32 + number * 4_000 / count;
        for start in [number, number.wrapping_mul(SEED_MULTIPLIER)] {
            arbtest::arbtest(|input| property(input))
                .seed(u64::from(start) << 32 | u64::from(size))
                .run();
        }
    }
}
