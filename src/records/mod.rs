//! Decision records beyond the entry that wrote them.

mod peers;

pub use peers::PeerRecords;
