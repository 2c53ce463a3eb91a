//! Hashes of prompt prefixes, as engines publish them in their cache events.

use sha2::{Digest, Sha256};

use crate::ids::ContentDigest;

/// Number of words per block of an engine's prefix cache.
const BLOCK_WORDS: usize = 64;
/// Maximum number of blocks that are hashed. Further blocks bring no benefit and cost memory per
/// ticket.
const MAX_BLOCKS: usize = 64;

/// Length of a prompt and the hashes of its prefixes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PromptShape {
    pub tokens: u32,
    pub prefix_blocks: Vec<u64>,
}

/// Counts the words of a prompt and hashes its leading blocks.
#[must_use]
pub(crate) fn measure_prompt(prompt: &str) -> PromptShape {
    let mut hasher = Sha256::new();
    let mut tokens = 0_usize;
    let mut prefix_blocks = Vec::new();
    for word in prompt.split_whitespace() {
        if prefix_blocks.len() < MAX_BLOCKS {
            if tokens > 0 {
                hasher.update(b" ");
            }
            hasher.update(word.as_bytes());
            if (tokens + 1).is_multiple_of(BLOCK_WORDS) {
                prefix_blocks.push(leading_u64(&hasher.clone().finalize()));
            }
        }
        tokens += 1;
    }
    PromptShape {
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        prefix_blocks,
    }
}

fn leading_u64(digest: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(bytes)
}

/// Returns the digest of several fields. Each field is preceded by its length, so that different
/// lists of fields never have the same input.
#[must_use]
pub(crate) fn digest_fields(fields: &[&str]) -> ContentDigest {
    let mut hasher = Sha256::new();
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field.as_bytes());
    }
    let mut digest = ContentDigest::default();
    digest.copy_from_slice(&hasher.finalize()[..16]);
    digest
}

/// Returns the ID that an endpoint uses for a request. It binds the key to its workspace, so that
/// no workspace can look up a stream of another workspace by its key.
#[must_use]
pub(crate) fn endpoint_request_id(workspace: &str, key: &str) -> String {
    let digest = digest_fields(&[workspace, key]);
    let tag = u64::from_be_bytes(digest[..8].try_into().unwrap_or_default());
    format!("{key}.{tag:016x}")
}
