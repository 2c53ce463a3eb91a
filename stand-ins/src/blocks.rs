//! Hashes of prompt prefixes.

use sha2::{Digest, Sha256};

/// Words in one block of the prefix cache.
pub const BLOCK_WORDS: usize = 64;

/// Hashes every whole block of a prompt. The hash of block `i` covers the words from the start
/// of the prompt to the end of that block, joined by one space.
#[must_use]
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut prefix = Sha256::new();
    for (index, word) in prompt.split_whitespace().enumerate() {
        if index > 0 {
            prefix.update(b" ");
        }
        prefix.update(word.as_bytes());
        if (index + 1) % BLOCK_WORDS == 0 {
            let digest: [u8; 32] = prefix.clone().finalize().into();
            let (head, _) = digest.split_at(8);
            hashes.push(
                head.iter()
                    .fold(0, |hash, byte| hash << 8 | u64::from(*byte)),
            );
        }
    }
    hashes
}
