//! Binary encoding of copied records, the same as for calls between entries.

use std::pin::Pin;

use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::tokio_util::bytes::BytesMut;
use zinniaport_core::decision::CompactRecord;

type RecordCodec = Bincode<CompactRecord, CompactRecord>;

/// Encodes a record. Returns `None` if it cannot be encoded.
pub fn encode_record(record: &CompactRecord) -> Option<Vec<u8>> {
    let mut codec = RecordCodec::default();
    Some(Pin::new(&mut codec).serialize(record).ok()?.to_vec())
}

/// Decodes a record. Returns `None` if the bytes are of another encoding version.
pub fn decode_record(bytes: &[u8]) -> Option<CompactRecord> {
    let mut codec = RecordCodec::default();
    Pin::new(&mut codec).deserialize(&BytesMut::from(bytes)).ok()
}
