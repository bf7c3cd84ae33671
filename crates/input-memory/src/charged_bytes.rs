//! Bytes that stay charged as long as any part of them is kept.

use bytes::Bytes;

/// Bytes, and what they are charged to.
struct ChargedBytes<C> {
    bytes: Bytes,
    _charge: C,
}

impl<C> AsRef<[u8]> for ChargedBytes<C> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the bytes with their charge, which is dropped together with the last clone or slice of them.
pub fn charged_bytes<C: Send + 'static>(bytes: Bytes, charge: C) -> Bytes {
    Bytes::from_owner(ChargedBytes { bytes, _charge: charge })
}
