//! Asks all other members the same question.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::{Stream, StreamExt, stream};

use super::{CallClient, PeerError, PeerGroup};

/// Members asked at the same time. One round covers today's 19 entries and four
/// cover the 200 of the design size.
const MAX_ASKED: usize = 64;

/// Asks the other members that this entry knows.
#[derive(Clone)]
pub struct PeerFanout {
    group: Arc<PeerGroup>,
    own: Arc<str>,
}

impl PeerFanout {
    /// Creates calls to all members of `group` but the one named `own`.
    pub fn new(group: Arc<PeerGroup>, own: Arc<str>) -> Self {
        Self { group, own }
    }

    /// Counts the other members.
    pub fn len(&self) -> usize {
        self.addresses().len()
    }

    /// Tells whether there is no other member.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let members = self.group.members();
        let others = members.iter().filter(|member| *member.name != *self.own);
        others.map(|member| member.call_address).collect()
    }

    /// Asks every other member; answers come in the order in which they arrive.
    pub fn call_all<T, F>(
        &self,
        ask: impl Fn(CallClient) -> F + Send + Sync,
    ) -> impl Stream<Item = Result<T, PeerError>> + Send
    where
        T: Send,
        F: Future<Output = Result<T, PeerError>> + Send,
    {
        let ask = Arc::new(ask);
        stream::iter(self.addresses())
            .map(move |address| {
                let ask = ask.clone();
                async move { ask(CallClient::connect(address).await?).await }
            })
            .buffer_unordered(MAX_ASKED)
    }
}
