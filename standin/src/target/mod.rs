//! Stand-in for a target: slots, a queue and its load in a response header.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

/// Time that a request holds a slot.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// A running target.
#[derive(Debug)]
pub struct StandinTarget {
    address: SocketAddr,
    accept: JoinHandle<()>,
}

struct TargetSlots {
    slots: Semaphore,
    load: AtomicU32,
}

impl StandinTarget {
    /// Starts a target with `slots` slots.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    pub async fn start(address: SocketAddr, slots: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(TargetSlots { slots: Semaphore::new(slots), load: AtomicU32::new(0) });
        let accept = tokio::spawn(accept_connections(listener, state));
        Ok(Self { address, accept })
    }

    /// Gives the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandinTarget {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<TargetSlots>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        let service = service_fn(move |request| serve(state.clone(), request));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn serve(
    state: Arc<TargetSlots>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    state.load.fetch_add(1, Ordering::Relaxed);
    if let Ok(_slot) = state.slots.acquire().await {
        tokio::time::sleep(SERVICE_TIME).await;
    }
    let load = state.load.fetch_sub(1, Ordering::Relaxed) - 1;
    let text = format!("{} {}\n", request.method(), request.uri().path());
    let mut response = Response::new(Full::new(Bytes::from(text)));
    response.headers_mut().insert("x-load", HeaderValue::from(load));
    Ok(response)
}
