//! Guards against entries that miss changes, or list without pause, while entries of an earlier
//! version, which state no era, run beside them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use zinniaport::admin::{AdminHandler, AdminRequest, AdminResponse, AdminRouter, json_response};
use zinniaport::directory::{
    BatchOrigin, DirectoryDriver, DirectoryRelay, DirectorySource, ReadConsistency, RelayHandler,
    RelayedDirectory,
};
use zinniaport::state::SharedState;
use zinniaport::store::StoreError;
use zinniaport::targets::TargetsDriver;
use zinniaport_core::clock::SystemClock;
use zinniaport_core::controllers::DirectorySettings;
use zinniaport_core::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, OperatorConfiguration,
    StoreRevision,
};
use zinniaport_testing::client::get;
use zinniaport_testing::test_cases;
