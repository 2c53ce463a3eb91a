//! Encoding of messages between entry hosts: a version byte, a keyed digest and a postcard body.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::{ResultExt, Snafu, ensure};

use crate::messages::PeerEnvelope;

/// Maximum size of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

const VERSION: u8 = 1;
const MAC_BYTES: usize = 32;
const HEADER_BYTES: usize = 1 + MAC_BYTES;

#[derive(Debug, Snafu)]
pub enum CodecError {
    #[snafu(display("message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"))]
    TooLong { length: usize },
    #[snafu(display("message of {length} bytes is shorter than its header"))]
    TooShort { length: usize },
    #[snafu(display("message has version {version}, expected {VERSION}"))]
    WrongVersion { version: u8 },
    #[snafu(display("message digest does not match; the sender uses another peer secret"))]
    WrongMac,
    #[snafu(display("message body is malformed"))]
    Malformed { source: postcard::Error },
    #[snafu(display("message body has {length} bytes after its end"))]
    TrailingBytes { length: usize },
}

/// Encodes and decodes messages that are authenticated by one peer secret.
#[derive(Clone)]
pub struct MessageCodec {
    mac: Hmac<Sha256>,
}

impl MessageCodec {
    /// Creates a codec for the secret.
    ///
    /// # Panics
    /// Never panics, because HMAC accepts keys of any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC accepts keys of any length");
        Self { mac }
    }

    /// Encodes one message.
    ///
    /// # Errors
    /// Returns `TooLong` if the encoded message would exceed `MAX_MESSAGE_BYTES`.
    pub fn encode(&self, envelope: &PeerEnvelope) -> Result<Vec<u8>, CodecError> {
        let body = postcard::to_stdvec(envelope).context(MalformedSnafu)?;
        let length = HEADER_BYTES + body.len();
        ensure!(length <= MAX_MESSAGE_BYTES, TooLongSnafu { length });
        Ok(self.seal(&body))
    }

    /// Prepends the version and the digest to a body.
    pub(crate) fn seal(&self, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.push(VERSION);
        bytes.resize(HEADER_BYTES, 0);
        bytes.extend_from_slice(body);
        let digest = self.keyed_digest(&bytes).finalize().into_bytes();
        bytes[1..HEADER_BYTES].copy_from_slice(&digest);
        bytes
    }

    /// Verifies and decodes one message. The digest is verified in constant time before any part of
    /// the body is parsed.
    ///
    /// # Errors
    /// Returns the check that failed.
    pub fn decode(&self, bytes: &[u8]) -> Result<PeerEnvelope, CodecError> {
        let length = bytes.len();
        ensure!(length <= MAX_MESSAGE_BYTES, TooLongSnafu { length });
        ensure!(length > HEADER_BYTES, TooShortSnafu { length });
        let version = bytes[0];
        ensure!(version == VERSION, WrongVersionSnafu { version });
        let verified = self
            .keyed_digest(bytes)
            .verify_slice(&bytes[1..HEADER_BYTES]);
        ensure!(verified.is_ok(), WrongMacSnafu);
        let (envelope, rest) =
            postcard::take_from_bytes(&bytes[HEADER_BYTES..]).context(MalformedSnafu)?;
        let length = rest.len();
        ensure!(length == 0, TrailingBytesSnafu { length });
        Ok(envelope)
    }

    fn keyed_digest(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(&bytes[..1]);
        mac.update(&bytes[HEADER_BYTES..]);
        mac
    }
}
