//! Finds decision records at other entries.

use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use tokio::time::timeout;
use zinniaport_core::decision::NamedRecord;

use crate::admin::RecordLookup;
use crate::peers::PeerFanout;

/// Time limit of a search over all members. One call takes at most 4 s, including
/// opening its connection.
const SEARCH_LIMIT: Duration = Duration::from_secs(5);

/// Queries all other members at once and returns the first record found.
pub struct PeerRecords(pub PeerFanout);

impl RecordLookup for PeerRecords {
    fn find<'a>(&'a self, request_id: &'a str) -> BoxFuture<'a, Option<NamedRecord>> {
        let results = self.0.call_all(move |member| {
            let request_id = request_id.to_owned();
            async move { member.explain(&request_id).await }
        });
        Box::pin(async move {
            let found = results.filter_map(|result| async {
                result
                    .inspect_err(|error| {
                        log::debug!("cannot search an entry for a record: {error}");
                    })
                    .ok()
                    .flatten()
                    .and_then(|text| serde_json::from_str(&text).ok())
            });
            timeout(SEARCH_LIMIT, Box::pin(found).next()).await.ok().flatten()
        })
    }
}
