//! Datagrams between entries and their encoding.

use std::net::SocketAddr;
use std::sync::Arc;

use bincode::Options;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use zinniaport_core::placement::PlacementMessage;
use zinniaport_core::quarantine::CrashRecord;
use zinniaport_core::quota::QuotaMessage;
use zinniaport_core::signals::SignalMessage;

/// Maximum size of a received datagram, in bytes.
pub(super) const MAX_DATAGRAM: usize = 16 << 10;

/// A datagram between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SignalDatagram {
    /// State of the sender.
    Signal(SignalMessage),
    /// Placement requests and responses.
    Placement(PlacementMessage),
    /// Crash records.
    Crashes(Vec<CrashRecord>),
    /// Tokens of the limits of tenants.
    Quota(QuotaMessage),
}

/// Sends datagrams to other entries.
#[derive(Clone)]
pub struct SignalSender {
    pub(super) socket: Arc<UdpSocket>,
    pub(super) address: SocketAddr,
}

impl SignalSender {
    /// Returns the address of the socket.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a datagram to each address. Datagrams may be lost, so the sender repeats what must
    /// arrive.
    pub fn send(&self, datagram: &SignalDatagram, addresses: &[SocketAddr]) {
        let bytes = match encode_datagram(datagram) {
            Ok(bytes) => bytes,
            Err(error) => return log::error!("cannot encode datagram: {error}"),
        };
        for address in addresses {
            if let Err(error) = self.socket.try_send_to(&bytes, *address) {
                log::debug!("cannot send datagram to {address}: {error}");
            }
        }
    }
}

/// Encodes a datagram. Numbers have a variable length, since most are small and traffic between
/// data centres is paid for by the byte.
///
/// # Errors
///
/// Returns an error if the datagram is too large to encode.
pub fn encode_datagram(datagram: &SignalDatagram) -> bincode::Result<Vec<u8>> {
    bincode::DefaultOptions::new().serialize(datagram)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if the bytes are not a complete datagram.
pub fn decode_datagram(bytes: &[u8]) -> bincode::Result<SignalDatagram> {
    bincode::DefaultOptions::new().with_limit(MAX_DATAGRAM as u64).deserialize(bytes)
}
