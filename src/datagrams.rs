//! Datagrams between entries and the socket that they are sent through.

use std::net::SocketAddr;
use std::sync::Arc;

use bincode::Options;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use zinniaport_core::placement::PlacementMessage;
use zinniaport_core::quarantine::CrashRecord;
use zinniaport_core::quota::QuotaMessage;
use zinniaport_core::signals::{HeadroomMessage, LocationMessage, RevisionsMessage, SignalMessage};

use crate::state::SharedState;
use crate::telemetry::TrafficKind;

/// Maximum size of a received datagram, in bytes.
pub(crate) const MAX_DATAGRAM: usize = 16 << 10;

/// A datagram between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SignalDatagram {
    /// State of the sender.
    Signal(SignalMessage),
    /// Placement requests and responses.
    Placement(PlacementMessage),
    /// Crash records.
    Crashes(Vec<CrashRecord>),
    /// Data centre of the sender.
    Location(LocationMessage),
    /// Headroom of the parts that the sender coordinates.
    Headroom(HeadroomMessage),
    /// Tokens of the limits of tenants.
    Quota(QuotaMessage),
    /// Revisions of a directory whose store states its era.
    Revisions(RevisionsMessage),
}

impl SignalDatagram {
    fn traffic_kind(&self) -> TrafficKind {
        match self {
            Self::Placement(_) | Self::Headroom(_) | Self::Quota(_) => TrafficKind::Placement,
            Self::Signal(_) | Self::Crashes(_) | Self::Location(_) | Self::Revisions(_) => {
                TrafficKind::Signals
            }
        }
    }
}

/// Sends datagrams to other entries.
#[derive(Clone)]
pub struct SignalSender {
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    state: Arc<SharedState>,
}

impl SignalSender {
    /// Creates a sender that uses a socket with this address.
    pub fn new(socket: Arc<UdpSocket>, address: SocketAddr, state: Arc<SharedState>) -> Self {
        Self { socket, address, state }
    }

    /// Returns the socket.
    pub(crate) fn socket(&self) -> Arc<UdpSocket> {
        self.socket.clone()
    }

    /// Returns the address of the socket.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a datagram to each address. Datagrams may be lost, so the sender repeats what must
    /// arrive.
    pub fn send(&self, datagram: &SignalDatagram, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            return;
        }
        let bytes = match encode_datagram(datagram) {
            Ok(bytes) => bytes,
            Err(error) => return log::error!("cannot encode datagram: {error}"),
        };
        let kind = datagram.traffic_kind();
        for address in addresses {
            if self.state.is_elsewhere(*address) {
                self.state.metrics.traffic.count(kind, bytes.len());
            }
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
