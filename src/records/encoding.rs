//! Binary encoding of copied records, the one that calls between entries use.

use std::pin::Pin;

use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::tokio_util::bytes::BytesMut;
use zinniaport_core::decision::CompactRecord;

type RecordCodec = Bincode<CompactRecord, CompactRecord>;

/// Encodes a record; none if it cannot be encoded.
pub fn encode_record(record: &CompactRecord) -> Option<Vec<u8>> {
    let mut codec = RecordCodec::default();
    Some(Pin::new(&mut codec).serialize(record).ok()?.to_vec())
}

/// Decodes a record; none if another version of the program encoded it.
pub fn decode_record(bytes: &[u8]) -> Option<CompactRecord> {
    let mut codec = RecordCodec::default();
    Pin::new(&mut codec).deserialize(&BytesMut::from(bytes)).ok()
}
