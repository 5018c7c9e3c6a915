//! Bytes that one exchange puts on a connection between two entries, counted by
//! a relay on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::future::BoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::messages::{full_list, ordinary};
use super::report::{SlopeRow, SlopeSubject};
use super::{MEMBERS, ROUNDS};
use crate::peers::{GossipHandler, GossipMessage, GossipNetwork, GossipTransport};

/// Calls over which the bytes of one exchange are averaged.
const CALLS: u32 = 20;

/// Gives the same answer to every message.
struct FixedAnswerer(GossipMessage);

impl GossipHandler for FixedAnswerer {
    fn answer(&self, _message: GossipMessage) -> BoxFuture<'static, Option<GossipMessage>> {
        let answer = self.0.clone();
        Box::pin(async move { Some(answer) })
    }
}

async fn start_network(
    answer: GossipMessage,
    stop: &CancellationToken,
) -> std::io::Result<(GossipNetwork, SocketAddr)> {
    let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let network = GossipNetwork::start(listener, Arc::new(FixedAnswerer(answer)), stop.clone())?;
    Ok((network, address))
}

/// Gives the bytes of one call and its answer, both directions together, without
/// the headers of TCP and IP.
async fn exchange_bytes(
    message: GossipMessage,
    answer: GossipMessage,
) -> Result<f64, Box<dyn std::error::Error>> {
    let (caller_stop, stop) = (CancellationToken::new(), CancellationToken::new());
    let _stop = stop.clone().drop_guard();
    let (caller, _) = start_network(GossipMessage::default(), &caller_stop).await?;
    let (_answerer, address) = start_network(answer, &stop).await?;
    let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
    let relay = listener.local_addr()?;
    let (counter, counted) = (Arc::new(AtomicU64::new(0)), CancellationToken::new());
    let relayed =
        counted.clone().run_until_cancelled_owned(relay_bytes(listener, address, counter.clone()));
    tokio::spawn(relayed);
    for _ in 0..CALLS {
        caller.call(relay, message.clone()).await?;
    }
    counted.cancel();
    caller_stop.cancel();
    Ok(counter.load(Ordering::Relaxed) as f64 / f64::from(CALLS))
}

/// Relays one connection and counts the bytes in both directions.
async fn relay_bytes(
    listener: TcpListener,
    address: SocketAddr,
    counter: Arc<AtomicU64>,
) -> std::io::Result<()> {
    let (near, _) = listener.accept().await?;
    let far = TcpStream::connect(address).await?;
    let ((near_reader, near_writer), (far_reader, far_writer)) =
        (near.into_split(), far.into_split());
    tokio::try_join!(
        pump_bytes(near_reader, far_writer, &counter),
        pump_bytes(far_reader, near_writer, &counter)
    )?;
    Ok(())
}

async fn pump_bytes(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    counter: &AtomicU64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let count = reader.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        counter.fetch_add(count as u64, Ordering::Relaxed);
        writer.write_all(&buffer[..count]).await?;
    }
}

/// Measures the bytes of exchanges against the number of members.
///
/// # Errors
///
/// Returns an error when loopback cannot be used.
pub async fn rows() -> Result<Vec<SlopeRow>, Box<dyn std::error::Error>> {
    let mut quiet = Vec::new();
    let mut listing = Vec::new();
    for members in MEMBERS {
        let message = ordinary(members);
        quiet.push(exchange_bytes(message.clone(), message.clone()).await?);
        listing.push(exchange_bytes(message, full_list(members)).await?);
    }
    let row = |quantity, values: Vec<f64>| {
        let subject = SlopeSubject { quantity, unit: "bytes", size: "members" };
        let value = |size| MEMBERS.iter().position(|members| *members == size).map(|at| values[at]);
        // The bytes are the same in every round.
        SlopeRow::measure(subject, &MEMBERS, ROUNDS.min(1), |size| value(size).unwrap_or(f64::NAN))
    };
    Ok(vec![
        row("Exchange of ordinary messages, on the connection", quiet),
        row("Exchange answered by a full list, on the connection", listing),
    ])
}
