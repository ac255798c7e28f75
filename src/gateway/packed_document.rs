//! Routing documents as instances send them to each other: encoded once for a version, compressed.
//!
//! Most of a document is names of fields and beginnings of paths that recur in each route.

use std::cell::OnceCell;
use std::io::{self, Read, Write};
use std::sync::Arc;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::error::Error;
use crate::gateway::routing_document::RoutingDocument;

/// Longest document before compression, in bytes.
const UNPACKED_LIMIT_BYTES: u64 = 16 * 1_048_576;

/// A document together with its packed form, which is made when it is first asked for.
#[derive(Clone, Debug, Default)]
pub struct KeptDocument {
    document: Arc<RoutingDocument>,
    packed: OnceCell<Bytes>,
}

impl KeptDocument {
    /// Keeps a document.
    pub fn new(document: RoutingDocument) -> Self {
        Self { document: Arc::new(document), packed: OnceCell::new() }
    }

    /// Returns the document.
    pub fn document(&self) -> &Arc<RoutingDocument> {
        &self.document
    }

    /// Returns the document in packed form.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if it can't be encoded.
    pub fn packed(&self) -> Result<Bytes, Error> {
        if let Some(packed) = self.packed.get() {
            return Ok(packed.clone());
        }
        let packed = pack(&self.document)
            .map_err(|error| Error::io("Packing a routing document failed", error))?;
        Ok(self.packed.get_or_init(|| packed).clone())
    }
}

/// Returns the document that was packed.
///
/// # Errors
///
/// Returns [`Error::Io`] if the bytes are no packed document, or one that is too long.
pub fn unpack(packed: &[u8]) -> Result<RoutingDocument, Error> {
    let bounded = DeflateDecoder::new(packed).take(UNPACKED_LIMIT_BYTES);
    ciborium::from_reader(bounded).map_err(|error| {
        Error::io("Unpacking a routing document failed", io::Error::other(error.to_string()))
    })
}

fn pack(document: &RoutingDocument) -> io::Result<Bytes> {
    let mut bytes = Vec::new();
    ciborium::into_writer(document, &mut bytes)
        .map_err(|error| io::Error::other(error.to_string()))?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes)?;
    Ok(encoder.finish()?.into())
}
