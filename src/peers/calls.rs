//! Calls between entries over tarpc: queries of operators that concern other entries, and
//! copies of decision records.

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

/// Largest number of concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 16;

/// Handles calls of other entries.
pub trait CallHandler: Send + Sync {
    /// Returns the decision record of a request as JSON, if this entry has it.
    fn explain(&self, request_id: &str) -> Option<String>;

    /// Returns the state of this entry as JSON.
    fn status(&self) -> String;

    /// Returns the error budget burn of this entry as JSON.
    fn burn(&self) -> String;

    /// Stores copies of another entry's records. Returns `false` if the names of the
    /// batch do not continue the stored name table.
    fn store_records(&self, batch: CopyBatch) -> bool;
}

/// The RPC interface between entries. bincode identifies a method by its position, so
/// their order must not change.
#[tarpc::service]
trait EntryCalls {
    /// Returns the decision record of a request as JSON.
    async fn explain(request_id: String) -> Option<String>;

    /// Returns the state of the entry as JSON.
    async fn status() -> String;

    /// Stores copies of the calling entry's records.
    async fn copy_records(batch: CopyBatch) -> bool;

    /// Returns the error budget burn of the entry as JSON.
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
    /// Serves calls at `address` until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        handler: Arc<dyn CallHandler>,
        stop: CancellationToken,
    ) -> std::io::Result<Self> {
        let incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
        let address = incoming.local_addr();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = serve(incoming, EntryServer(handler)) => {}
            }
        });
        Ok(Self { address })
    }

    /// Returns the address that the listener is bound to.
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
            // Handlers only access memory, so the calls of one connection can share a task.
            tokio::spawn(calls.for_each_concurrent(MAX_CALLS_PER_CONNECTION, |call| call));
            async {}
        })
        .await;
}

/// Client of one entry, with a connection of its own.
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

    /// Requests the decision record of a request.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or no response arrives in time.
    pub async fn explain(&self, request_id: &str) -> Result<Option<String>, PeerError> {
        let call = self.client.explain(context(), request_id.to_owned());
        call.await.map_err(|error| self.peer_error(&error))
    }

    /// Requests the state of the entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or no response arrives in time.
    pub async fn status(&self) -> Result<String, PeerError> {
        self.client.status(context()).await.map_err(|error| self.peer_error(&error))
    }

    /// Requests the error budget burn of the entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or no response arrives in time.
    pub async fn burn(&self) -> Result<String, PeerError> {
        self.client.burn(context()).await.map_err(|error| self.peer_error(&error))
    }

    /// Sends copies of records. Returns `false` if the entry does not have the names that
    /// they refer to.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or no response arrives in time.
    pub async fn copy_records(&self, batch: CopyBatch) -> Result<bool, PeerError> {
        self.client.copy_records(context(), batch).await.map_err(|error| self.peer_error(&error))
    }

    fn peer_error(&self, error: &client::RpcError) -> PeerError {
        match error {
            client::RpcError::DeadlineExceeded => PeerError::Silent { address: self.address },
            error => PeerError::Failed { address: self.address, cause: error.to_string() },
        }
    }
}

/// Returns a call context that also carries the time limit to the server.
fn context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_LIMIT;
    context
}
