//! `GET /v1/explain/ID[?why_after=OTHER]` and `GET /v1/records?after=N&limit=N`.

use std::sync::{Arc, PoisonError};

use futures::future::BoxFuture;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use zinniaport_core::decision::{NamedRecord, RequestId, compare, explain};

use super::{
    AdminHandler, AdminRequest, AdminResponse, json_response, percent_decode, query_value,
};
use crate::state::SharedState;

/// Largest number of records in one response.
const MAX_RECORDS: usize = 1000;

/// Finds the decision record of a request, at this entry or at another.
pub trait RecordLookup: Send + Sync {
    /// Finds the newest record of a request.
    fn find<'a>(&'a self, request_id: &'a str) -> BoxFuture<'a, Option<NamedRecord>>;
}

/// Finds records of this entry and the copies that it stores for others.
pub struct LocalRecords(pub Arc<SharedState>);

impl LocalRecords {
    /// Returns the newest record of a request, written or copied here.
    pub fn get(&self, request_id: &str) -> Option<NamedRecord> {
        let state = &self.0;
        let found = state.decisions.find(&RequestId::new(request_id));
        let fleet = state.fleet.load();
        let callers = state.callers.lock().unwrap_or_else(PoisonError::into_inner);
        let named =
            found.map(|(number, record)| record.named(number, &state.entry_name, &fleet, &callers));
        named.or_else(|| state.copies.find(request_id))
    }
}

impl RecordLookup for LocalRecords {
    fn find<'a>(&'a self, request_id: &'a str) -> BoxFuture<'a, Option<NamedRecord>> {
        Box::pin(std::future::ready(self.get(request_id)))
    }
}

/// JSON body of an error response.
#[derive(Debug, Deserialize, Serialize)]
pub struct ErrorBody {
    /// What is wrong.
    pub detail: String,
    /// What to do.
    pub remedy: String,
}

/// Explains the decisions about a request, or why it was served after another one.
pub struct ExplainHandler {
    lookups: Vec<Arc<dyn RecordLookup>>,
}

impl ExplainHandler {
    /// Creates a handler that tries the lookups in order.
    pub fn new(lookups: Vec<Arc<dyn RecordLookup>>) -> Self {
        Self { lookups }
    }

    async fn find(&self, request_id: &str) -> Result<NamedRecord, AdminResponse> {
        for lookup in &self.lookups {
            if let Some(record) = lookup.find(request_id).await {
                return Ok(record);
            }
        }
        let detail = format!(
            "no record of request {request_id:?} is kept here or at an entry that answered"
        );
        let remedy = "take the id from X-Request-Id, and ask soon after the request";
        Err(error_response(StatusCode::NOT_FOUND, detail, remedy))
    }

    async fn respond(&self, request: &AdminRequest) -> Result<AdminResponse, AdminResponse> {
        let path = request.uri().path();
        let request_id = percent_decode(path.strip_prefix("/v1/explain/").unwrap_or_default());
        let record = self.find(&request_id).await?;
        let explanation = match query_value(request, "why_after") {
            Some(other) => compare(&record, &self.find(&other).await?),
            None => explain(&record),
        };
        Ok(json_response(StatusCode::OK, &explanation))
    }
}

impl AdminHandler for ExplainHandler {
    fn path(&self) -> &'static str {
        "/v1/explain"
    }

    fn handle<'a>(&'a self, request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async { self.respond(request).await.unwrap_or_else(|response| response) })
    }
}

/// A range of decision records.
#[derive(Debug, Deserialize, Serialize)]
pub struct RecordBatch {
    /// The records, oldest first.
    pub records: Vec<NamedRecord>,
    /// Records of the range that were already overwritten.
    pub lost: u64,
    /// Number of the last record, to continue after.
    pub last: u64,
}

/// Returns decision records in the order of their numbers.
pub struct RecordsHandler(pub Arc<SharedState>);

impl AdminHandler for RecordsHandler {
    fn path(&self) -> &'static str {
        "/v1/records"
    }

    fn handle<'a>(&'a self, request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        let read = |name, default: u64| match query_value(request, name) {
            Some(text) => text.parse().map_err(|_| (name, text)),
            None => Ok(default),
        };
        let (after, limit) = match (read("after", 0), read("limit", 100)) {
            (Ok(after), Ok(limit)) => (after, (limit as usize).min(MAX_RECORDS)),
            (Err((name, text)), _) | (_, Err((name, text))) => {
                let detail = format!("{name}={text} is not a whole number");
                let remedy = "give after and limit as whole numbers";
                let response = error_response(StatusCode::BAD_REQUEST, detail, remedy);
                return Box::pin(std::future::ready(response));
            }
        };
        let batch = self.0.decisions.read_after(after, limit);
        let fleet = self.0.fleet.load();
        let callers = self.0.callers.lock().unwrap_or_else(PoisonError::into_inner);
        let named = batch
            .records
            .iter()
            .map(|(number, record)| record.named(*number, &self.0.entry_name, &fleet, &callers));
        let batch = RecordBatch { records: named.collect(), lost: batch.lost, last: batch.last };
        Box::pin(std::future::ready(json_response(StatusCode::OK, &batch)))
    }
}

/// Creates an error response.
pub fn error_response(
    status: StatusCode,
    detail: impl Into<String>,
    remedy: &str,
) -> AdminResponse {
    json_response(status, &ErrorBody { detail: detail.into(), remedy: remedy.to_owned() })
}
