//! Calls between entries by tarpc: what an operator asks one entry about another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::{Stream, StreamExt};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio_util::sync::CancellationToken;

use super::PeerError;
use crate::records::CopyBatch;

/// Time limit of a call and of opening a connection.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Calls that one connection may have under way.
const MAX_CALLS_PER_CONNECTION: usize = 16;

/// Answers calls of other entries; the operator tools implement it.
pub trait CallHandler: Send + Sync {
    /// Gives the decision record of a request as JSON, if this entry holds it.
    fn explain(&self, request_id: &str) -> Option<String>;

    /// Gives the state of this entry as JSON.
    fn status(&self) -> String;

    /// Gives the burn of this entry as JSON.
    fn burn(&self) -> String;

    /// Keeps copies of another entry's records; false if the batch does not
    /// continue what is held.
    fn store_records(&self, batch: CopyBatch) -> bool;
}

/// Calls that entries make to each other.
#[tarpc::service]
trait EntryCalls {
    /// Gives the decision record of a request as JSON.
    async fn explain(request_id: String) -> Option<String>;

    /// Gives the state of the entry as JSON.
    async fn status() -> String;

    /// Keeps copies of the caller's records.
    async fn copy_records(batch: CopyBatch) -> bool;

    /// Gives the burn of the entry as JSON.
    async fn burn() -> String;
}

#[derive(Clone)]
struct EntryServer(Arc<dyn CallHandler>);

impl EntryCalls for EntryServer {
    async fn explain(self, _: context::Context, request_id: String) -> Option<String> {
        self.0.explain(&request_id)
    }

    async fn status(self, _: context::Context) -> String {
        self.0.status()
    }

    async fn copy_records(self, _: context::Context, batch: CopyBatch) -> bool {
        self.0.store_records(batch)
    }

    async fn burn(self, _: context::Context) -> String {
        self.0.burn()
    }
}

/// Listens for calls of other entries.
pub struct CallListener {
    address: SocketAddr,
}

impl CallListener {
    /// Answers calls at `address` until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        answers: Arc<dyn CallHandler>,
        stop: CancellationToken,
    ) -> std::io::Result<Self> {
        let incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
        let address = incoming.local_addr();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = serve(incoming, EntryServer(answers)) => {}
            }
        });
        Ok(Self { address })
    }

    /// Gives the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn serve<S, T, E>(incoming: S, server: EntryServer)
where
    S: Stream<Item = Result<T, E>>,
    T: tarpc::Transport<
            tarpc::Response<EntryCallsResponse>,
            tarpc::ClientMessage<EntryCallsRequest>,
        > + Send
        + 'static,
    T::Error: Send + Sync,
{
    let connections = incoming.filter_map(|connection| async { connection.ok() });
    connections
        .for_each(|transport| {
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(server.clone().serve());
            // Calls answer from memory, so that each connection's run in turn.
            tokio::spawn(calls.for_each_concurrent(MAX_CALLS_PER_CONNECTION, |call| call));
            async {}
        })
        .await;
}

/// Calls another entry on a connection of its own.
pub struct CallClient {
    address: SocketAddr,
    client: EntryCallsClient,
}

impl CallClient {
    /// Connects to an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry cannot be reached in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = match tokio::time::timeout(CALL_LIMIT, connecting).await {
            Ok(Ok(transport)) => transport,
            Ok(Err(error)) => {
                return Err(PeerError::Unreachable { address, cause: error.to_string() });
            }
            Err(_) => return Err(PeerError::Silent { address }),
        };
        let client = EntryCallsClient::new(client::Config::default(), transport).spawn();
        Ok(Self { address, client })
    }

    /// Asks for the decision record of a request.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer comes in time.
    pub async fn explain(&self, request_id: &str) -> Result<Option<String>, PeerError> {
        let call = self.client.explain(context(), request_id.to_owned());
        call.await.map_err(|error| self.failure(&error))
    }

    /// Asks for the state of the entry.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer comes in time.
    pub async fn status(&self) -> Result<String, PeerError> {
        self.client.status(context()).await.map_err(|error| self.failure(&error))
    }

    /// Asks for the burn of the entry.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer comes in time.
    pub async fn burn(&self) -> Result<String, PeerError> {
        self.client.burn(context()).await.map_err(|error| self.failure(&error))
    }

    /// Sends copies of records; false if the entry does not hold the names that
    /// they refer to.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer comes in time.
    pub async fn copy_records(&self, batch: CopyBatch) -> Result<bool, PeerError> {
        self.client.copy_records(context(), batch).await.map_err(|error| self.failure(&error))
    }

    fn failure(&self, error: &client::RpcError) -> PeerError {
        match error {
            client::RpcError::DeadlineExceeded => PeerError::Silent { address: self.address },
            error => PeerError::Failed { address: self.address, cause: error.to_string() },
        }
    }
}

/// Gives the time limit of a call to its server too.
fn context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_LIMIT;
    context
}
