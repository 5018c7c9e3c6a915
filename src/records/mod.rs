//! Decision records at other entries: copying, storing and finding them.

mod copier;
mod copies;
mod encoding;
mod packing;
mod peers;

pub use copier::RecordCopier;
pub use copies::{CopyBatch, RecordCopies};
pub use encoding::{decode_record, encode_record};
pub use packing::{CopyLimiter, RecordPacker};
pub use peers::PeerRecords;
