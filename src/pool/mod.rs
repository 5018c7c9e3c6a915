//! Connections to targets.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use http::{HeaderValue, Request, header};
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::exchange::{BodyError, CallBody, CallResponse};

/// Why a target gave no answer.
#[derive(Debug, Display, Error)]
pub enum TransportError {
    /// No byte of the request can have reached the target.
    #[display(
        "cannot reach target {address}: {cause}; check that it runs and is listed in the intent"
    )]
    NotSent {
        /// Address of the target.
        address: SocketAddr,
        /// What failed.
        #[error(not(source))]
        cause: String,
    },
    /// The connection ended after part of the request may have been sent.
    #[display("lost target {address} before its answer: {cause}; look up whether the request ran")]
    Lost {
        /// Address of the target.
        address: SocketAddr,
        /// What failed.
        #[error(not(source))]
        cause: String,
    },
}

/// Sends requests to targets.
pub trait TargetTransport: Send + Sync {
    /// Sends a request and returns the response once its head has arrived.
    /// Dropping the future cancels the request at the target.
    fn send(
        &self,
        address: SocketAddr,
        request: Request<CallBody>,
    ) -> BoxFuture<'_, Result<CallResponse, TransportError>>;
}

/// Sends HTTP/1.1 requests, one exchange on a connection at a time.
#[derive(Debug, Default)]
pub struct HttpTransport;

impl HttpTransport {
    async fn exchange(
        address: SocketAddr,
        mut request: Request<CallBody>,
    ) -> Result<CallResponse, TransportError> {
        let not_sent =
            |cause: &dyn ToString| TransportError::NotSent { address, cause: cause.to_string() };
        let stream = TcpStream::connect(address).await.map_err(|error| not_sent(&error))?;
        stream.set_nodelay(true).map_err(|error| not_sent(&error))?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| not_sent(&error))?;
        tokio::spawn(connection);
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().entry(header::HOST).or_insert(host);
        }
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| TransportError::Lost { address, cause: error.to_string() })?;
        Ok(response.map(|body| body.map_err(BodyError::from).boxed()))
    }
}

impl TargetTransport for HttpTransport {
    fn send(
        &self,
        address: SocketAddr,
        request: Request<CallBody>,
    ) -> BoxFuture<'_, Result<CallResponse, TransportError>> {
        Box::pin(Self::exchange(address, request))
    }
}
