//! Bytes that a gossip exchange between two entries sends over its connection, counted by a
//! relay on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::future::BoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::messages::{full_list_message, ordinary_message};
use super::report::{SlopeRow, SlopeSubject};
use super::{MEMBERS, ROUNDS};
use crate::peers::{GossipHandler, GossipMessage, GossipNetwork, GossipTransport};

/// Number of calls over which the bytes of an exchange are averaged.
const CALLS: u32 = 20;

/// Gossip handler that responds to every message with the same message.
struct FixedResponder(GossipMessage);

impl GossipHandler for FixedResponder {
    fn respond(&self, _message: GossipMessage) -> BoxFuture<'static, Option<GossipMessage>> {
        let response = self.0.clone();
        Box::pin(async move { Some(response) })
    }
}

async fn start_network(
    response: GossipMessage,
    stop: &CancellationToken,
) -> std::io::Result<(GossipNetwork, SocketAddr)> {
    let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let network = GossipNetwork::start(listener, Arc::new(FixedResponder(response)), stop.clone())?;
    Ok((network, address))
}

/// Returns the bytes of a call and its response in both directions together, without the headers
/// of TCP and IP.
async fn exchange_bytes(
    message: GossipMessage,
    response: GossipMessage,
) -> Result<f64, Box<dyn std::error::Error>> {
    let (client_stop, stop) = (CancellationToken::new(), CancellationToken::new());
    let _stop = stop.clone().drop_guard();
    let (client, _) = start_network(GossipMessage::default(), &client_stop).await?;
    let (_server, address) = start_network(response, &stop).await?;
    let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
    let relay_address = listener.local_addr()?;
    let (counter, relay_stop) = (Arc::new(AtomicU64::new(0)), CancellationToken::new());
    let relayed = relay_stop.clone().run_until_cancelled_owned(relay_bytes(
        listener,
        address,
        counter.clone(),
    ));
    tokio::spawn(relayed);
    for _ in 0..CALLS {
        client.call(relay_address, message.clone()).await?;
    }
    relay_stop.cancel();
    client_stop.cancel();
    Ok(counter.load(Ordering::Relaxed) as f64 / f64::from(CALLS))
}

/// Accepts one connection, relays it to `address` and counts the bytes in both directions.
async fn relay_bytes(
    listener: TcpListener,
    address: SocketAddr,
    counter: Arc<AtomicU64>,
) -> std::io::Result<()> {
    let (client_stream, _) = listener.accept().await?;
    let server_stream = TcpStream::connect(address).await?;
    let ((client_reader, client_writer), (server_reader, server_writer)) =
        (client_stream.into_split(), server_stream.into_split());
    tokio::try_join!(
        copy_counted(client_reader, server_writer, &counter),
        copy_counted(server_reader, client_writer, &counter)
    )?;
    Ok(())
}

/// Copies bytes until the end of the stream and adds their number to `counter`.
async fn copy_counted(
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

/// Measures the bytes of exchanges for each number of members.
///
/// # Errors
///
/// Returns an error if a connection on loopback fails.
pub async fn rows() -> Result<Vec<SlopeRow>, Box<dyn std::error::Error>> {
    let mut ordinary = Vec::new();
    let mut full_list = Vec::new();
    for members in MEMBERS {
        let message = ordinary_message(members);
        ordinary.push(exchange_bytes(message.clone(), message.clone()).await?);
        full_list.push(exchange_bytes(message, full_list_message(members)).await?);
    }
    let row = |quantity, values: Vec<f64>| {
        let subject = SlopeSubject { quantity, unit: "bytes", size: "members" };
        let value = |size| MEMBERS.iter().position(|members| *members == size).map(|at| values[at]);
        // One round is enough, because the bytes are the same in every round.
        SlopeRow::measure(subject, &MEMBERS, ROUNDS.min(1), |size| value(size).unwrap_or(f64::NAN))
    };
    Ok(vec![
        row("Exchange of ordinary messages, on the connection", ordinary),
        row("Exchange answered by a full list, on the connection", full_list),
    ])
}
