//! The end of a datagram, which states the format of the message before it.
//!
//! Hosts of builds without a number ignore bytes behind the message. Later formats add fields between
//! the message and the trailer.

/// Number of the format of a datagram. A later format only adds to earlier ones.
pub type FormatNumber = u16;

/// The format in which this host sends. Formats without a number come before it.
pub const CURRENT_FORMAT: FormatNumber = 1;
/// The last bytes of a datagram with a number.
const MARKER: [u8; 4] = *b"\xffwpf";

/// Appends the trailer to an encoded message.
pub(super) fn append(bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(&CURRENT_FORMAT.to_le_bytes());
    bytes.extend_from_slice(&MARKER);
}

/// Returns the number of the format that a datagram states, or `None` if its sender states none.
#[must_use]
pub fn stated_format(bytes: &[u8]) -> Option<FormatNumber> {
    let numbered = bytes.strip_suffix(&MARKER)?;
    let number = numbered.last_chunk()?;
    Some(FormatNumber::from_le_bytes(*number))
}
