//! Transport of gossip messages: Cap'n Proto RPC on a dedicated thread, because its
//! objects are not `Send`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use futures::future::BoxFuture;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::sync::CancellationToken;

use super::peer_capnp::peer_gossip;
use super::{
    GossipHandler, GossipMessage, GossipTransport, PeerError, decode_message, encode_message,
};

/// Time limit of a call and of opening a connection. Round trips between entries take at
/// most about 100 ms, so a peer that takes longer than this limit counts as silent.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Time after the last call until an incoming connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(120);

/// Open incoming connections; further ones are closed at once.
const MAX_INCOMING: usize = 1024;

/// Calls that may wait for the gossip thread.
const MAX_WAITING_CALLS: usize = 64;

struct GossipCall {
    address: SocketAddr,
    message: GossipMessage,
    reply: oneshot::Sender<Result<GossipMessage, PeerError>>,
}

/// Sends gossip messages to other entries and serves theirs.
#[derive(Clone)]
pub struct GossipNetwork {
    calls: mpsc::Sender<GossipCall>,
}

impl GossipNetwork {
    /// Starts the gossip thread, which serves `listener` until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread or its runtime cannot be started.
    pub fn start(
        listener: TcpListener,
        handler: Arc<dyn GossipHandler>,
        stop: CancellationToken,
    ) -> std::io::Result<Self> {
        let (calls, queued) = mpsc::channel(MAX_WAITING_CALLS);
        let listener = listener.into_std()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("gossip".to_owned()).spawn(move || {
            let local = LocalSet::new();
            runtime.block_on(local.run_until(async move {
                let listener = match TcpListener::from_std(listener) {
                    Ok(listener) => listener,
                    Err(error) => {
                        log::error!(
                            "cannot listen for gossip messages: {error}; restart the entry"
                        );
                        return;
                    }
                };
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = accept_connections(listener, handler) => {}
                    () = serve_calls(queued) => {}
                }
            }));
        })?;
        Ok(Self { calls })
    }
}

impl GossipTransport for GossipNetwork {
    fn call(
        &self,
        address: SocketAddr,
        message: GossipMessage,
    ) -> BoxFuture<'static, Result<GossipMessage, PeerError>> {
        let calls = self.calls.clone();
        Box::pin(async move {
            let (reply, response) = oneshot::channel();
            let stopping =
                || PeerError::Failed { address, cause: "this entry is stopping".to_owned() };
            let call = GossipCall { address, message, reply };
            calls.send(call).await.map_err(|_| stopping())?;
            response.await.unwrap_or_else(|_| Err(stopping()))
        })
    }
}

/// Serves the calls on one connection.
struct GossipServer {
    handler: Arc<dyn GossipHandler>,
    last_call: Rc<Cell<Instant>>,
}

impl peer_gossip::Server for GossipServer {
    async fn exchange(
        self: Rc<Self>,
        params: peer_gossip::ExchangeParams,
        mut results: peer_gossip::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        self.last_call.set(Instant::now());
        let message = decode_message(params.get()?.get_message()?)?;
        let reply = self.handler.respond(message).await;
        let reply = reply.ok_or_else(|| capnp::Error::failed("the entry stops".to_owned()))?;
        encode_message(&reply, results.get().init_reply());
        Ok(())
    }
}

async fn accept_connections(listener: TcpListener, handler: Arc<dyn GossipHandler>) {
    let open = Rc::new(());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(
                    "cannot accept a connection of another entry: {error}; check the limit of open files"
                );
                tokio::time::sleep(CALL_LIMIT).await;
                continue;
            }
        };
        if Rc::strong_count(&open) > MAX_INCOMING {
            log::warn!("closed a new connection of another entry: {MAX_INCOMING} are open already");
            continue;
        }
        let (handler, counted) = (handler.clone(), open.clone());
        spawn_local(async move {
            serve_peer(stream, handler).await;
            drop(counted);
        });
    }
}

async fn serve_peer(stream: TcpStream, handler: Arc<dyn GossipHandler>) {
    let last_call = Rc::new(Cell::new(Instant::now()));
    let server = GossipServer { handler, last_call: last_call.clone() };
    let client: peer_gossip::Client = capnp_rpc::new_client(server);
    let system = RpcSystem::new(network(stream, Side::Server), Some(client.client));
    let idle = async {
        while last_call.get().elapsed() < MAX_IDLE {
            tokio::time::sleep_until(last_call.get() + MAX_IDLE).await;
        }
    };
    tokio::select! {
        _ = system => {}
        () = idle => {}
    }
}

fn network(
    stream: TcpStream,
    side: Side,
) -> Box<twoparty::VatNetwork<impl futures::AsyncRead + Unpin>> {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    Box::new(twoparty::VatNetwork::new(reader, writer, side, capnp::message::ReaderOptions::new()))
}

/// Open connections to other entries, by address.
type OpenPeers = Rc<RefCell<HashMap<SocketAddr, OpenPeer>>>;

#[derive(Clone)]
struct OpenPeer {
    client: peer_gossip::Client,
    /// Ends the connection's task when the last clone is dropped.
    _end: Rc<tokio_util::sync::DropGuard>,
}

async fn serve_calls(mut queued: mpsc::Receiver<GossipCall>) {
    let peers = OpenPeers::default();
    while let Some(GossipCall { address, message, reply }) = queued.recv().await {
        let peers = peers.clone();
        spawn_local(async move {
            let result = call_peer(&peers, address, &message).await;
            if result.is_err() {
                peers.borrow_mut().remove(&address);
            }
            let _ = reply.send(result);
        });
    }
}

async fn call_peer(
    peers: &OpenPeers,
    address: SocketAddr,
    message: &GossipMessage,
) -> Result<GossipMessage, PeerError> {
    let open = peers.borrow().get(&address).cloned();
    let peer = match open {
        Some(peer) => peer,
        None => {
            let peer = open_peer(address).await?;
            peers.borrow_mut().insert(address, peer.clone());
            peer
        }
    };
    let mut request = peer.client.exchange_request();
    encode_message(message, request.get().init_message());
    let failed = |error: capnp::Error| PeerError::Failed { address, cause: error.to_string() };
    match timeout(CALL_LIMIT, request.send().promise).await {
        Err(_) => Err(PeerError::Silent { address }),
        Ok(Err(error)) => Err(failed(error)),
        Ok(Ok(response)) => {
            let reply = response.get().and_then(|reply| decode_message(reply.get_reply()?));
            reply.map_err(failed)
        }
    }
}

async fn open_peer(address: SocketAddr) -> Result<OpenPeer, PeerError> {
    let unreachable = |cause: String| PeerError::Unreachable { address, cause };
    let connected = timeout(CALL_LIMIT, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| unreachable("timed out".to_owned()))?
        .map_err(|error| unreachable(error.to_string()))?;
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client: peer_gossip::Client = system.bootstrap(Side::Server);
    let end = CancellationToken::new();
    let ended = end.clone();
    spawn_local(async move {
        tokio::select! {
            () = ended.cancelled() => {}
            _ = system => {}
        }
    });
    Ok(OpenPeer { client, _end: Rc::new(end.drop_guard()) })
}
