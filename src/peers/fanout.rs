//! Calls to all other members.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::{Stream, StreamExt, stream};

use super::{CallClient, PeerError, PeerGroup};

/// Concurrent calls. One batch covers 19 entries and four cover 200, the size that the
/// program is designed for.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Makes the same call to all other members that this entry knows.
#[derive(Clone)]
pub struct PeerFanout {
    group: Arc<PeerGroup>,
    own: Arc<str>,
}

impl PeerFanout {
    /// Creates a fan-out to all members of `group` except the one named `own`.
    pub fn new(group: Arc<PeerGroup>, own: Arc<str>) -> Self {
        Self { group, own }
    }

    /// Returns the number of other members.
    pub fn len(&self) -> usize {
        self.addresses().len()
    }

    /// Returns `true` if there is no other member.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let members = self.group.members();
        let others = members.iter().filter(|member| *member.name != *self.own);
        others.map(|member| member.call_address).collect()
    }

    /// Calls every other member. Results come in the order in which they arrive.
    pub fn call_all<T, F>(
        &self,
        call: impl Fn(CallClient) -> F + Send + Sync,
    ) -> impl Stream<Item = Result<T, PeerError>> + Send
    where
        T: Send,
        F: Future<Output = Result<T, PeerError>> + Send,
    {
        let call = Arc::new(call);
        stream::iter(self.addresses())
            .map(move |address| {
                let call = call.clone();
                async move { call(CallClient::connect(address).await?).await }
            })
            .buffer_unordered(MAX_CONCURRENT_CALLS)
    }
}
