//! Tests of the reassembly of one answer.

use std::fmt::Write as _;

use crate::stream_buffer::{ChunkOutcome, StreamBuffer};

fn add_chunks(limit_bytes: usize, indexes: &[u32]) -> String {
    let mut buffer = StreamBuffer::new(limit_bytes);
    let mut text = String::new();
    for index in indexes {
        let outcome = buffer.add_chunk(*index, compact_str::format_compact!("t{index} "));
        let read: String = buffer
            .chunks_from(0)
            .map(|(_, text)| text.as_str())
            .collect();
        let (len, bytes) = (buffer.len(), buffer.bytes());
        writeln!(
            text,
            "{index:>3}: {outcome:?}, {len} chunks, {bytes} bytes: {read}"
        )
        .unwrap();
    }
    for tokens in 0..=buffer.len() + 1 {
        if buffer.is_complete(tokens) {
            writeln!(text, "complete with {tokens}").unwrap();
        }
    }
    text
}

/// Guards against lost, duplicated or misplaced chunks when chunks arrive late, twice or out of
/// order, and against an answer that counts as complete despite a gap or surplus chunks.
#[test]
fn chunks_are_put_in_order() {
    let mut text = String::new();
    for (name, limit, indexes) in [
        ("in order", 100, &[0, 1, 2, 3][..]),
        ("reversed", 100, &[3, 2, 1, 0]),
        ("first one delayed", 100, &[1, 2, 0, 3]),
        ("doubled", 100, &[0, 0, 2, 2, 1, 1, 2, 0]),
        ("resumed from the start", 100, &[0, 1, 2, 0, 1, 2, 3]),
        ("gap that stays", 100, &[0, 1, 3, 4]),
        ("over the limit", 9, &[0, 2, 1, 3, 2]),
    ] {
        writeln!(text, "{name}\n{}", add_chunks(limit, indexes)).unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Guards against a buffer that grows without bound behind a chunk that never arrives.
#[test]
fn a_long_gap_requires_a_resume() {
    let mut buffer = StreamBuffer::new(1_000_000);
    let outcomes: Vec<_> = (1..=257)
        .map(|index| buffer.add_chunk(index, "t".into()))
        .collect();
    assert!(
        outcomes[..256]
            .iter()
            .all(|outcome| *outcome == ChunkOutcome::Waiting)
    );
    assert_eq!(outcomes[256], ChunkOutcome::GapTooLong);
    assert_eq!(buffer.len(), 0, "the stream must be resumed from the gap");
    assert_eq!(buffer.add_chunk(0, "t".into()), ChunkOutcome::Extended);
    assert!(buffer.is_complete(258));
}
