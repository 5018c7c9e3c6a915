//! Guards against entries that lose contact with each other, and with it changes of intents.

mod memory_store;
#[allow(
    clippy::all,
    clippy::nursery,
    clippy::pedantic,
    dead_code,
    missing_docs,
    reason = "generated"
)]
#[path = "../testing/schema/newer_peer_capnp.rs"]
mod newer_peer_capnp;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use futures::future::BoxFuture;
use memory_store::MemoryStore;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use zinniaport::peers::peer_capnp::gossip_message;
use zinniaport::peers::{
    CallClient, GossipHandler, GossipMessage, GossipNetwork, GossipTransport, PeerError,
    decode_message, encode_message,
};
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport::store::{ObjectStore, WriteCondition};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{Heartbeat, MemberInfo};
use zinniaport_testing::test_cases;

async fn start(name: &str, store: &Arc<MemoryStore>, seed: Option<SocketAddr>) -> EntryRuntime {
    let seeds: Vec<_> = seed.iter().collect();
    let settings = json!({
        "name": name, "data_centre": "south-a",
        "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0",
        "platform": { "address": "127.0.0.1:1" },
        "peers": { "listen": "127.0.0.1:0", "seeds": seeds },
    });
    let settings: EntrySettings = serde_json::from_value(settings).unwrap();
    EntryRuntime::start_with_store(settings, Some(store.clone())).await.unwrap()
}

/// Waits until `done` returns `true`. The limit only ends a hung test.
async fn wait_until(what: &str, done: impl Fn() -> bool) {
    for _ in 0..600 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{what} did not happen within 30 s");
}

fn ready(entry: &EntryRuntime) -> bool {
    entry.control().unwrap().status().ready()
}

fn member_info() -> MemberInfo {
    MemberInfo {
        name: "entry-1".to_owned(),
        incarnation: 17,
        address: ([10, 0, 0, 1], 7903).into(),
        call_address: ([10, 0, 0, 1], 7904).into(),
        data_centre: "south-a".to_owned(),
        region: "south".to_owned(),
        beat: Timestamp(29),
    }
}

fn message() -> GossipMessage {
    let mut message = GossipMessage::default();
    message.members.sender = Some(member_info());
    message.members.members = vec![member_info()];
    message.members.heartbeats = vec![Heartbeat { identity: 5, beat: Timestamp(7) }];
    message.config.summary.confirmed_age = Some(Duration::ZERO);
    message.config.versions = vec![("calendar".to_owned(), 3)];
    message.config.wanted = vec!["calendar".to_owned()];
    message.quarantined = vec![vec![1, 2, 3]];
    message.vms.list_age = Some(Duration::ZERO);
    message.vms.leaving = vec![([10, 0, 0, 9].into(), Duration::from_secs(3))];
    message
}

struct EchoHandler;

impl GossipHandler for EchoHandler {
    fn respond(&self, message: GossipMessage) -> BoxFuture<'static, Option<GossipMessage>> {
        Box::pin(async move { Some(message) })
    }
}

async fn network(address: SocketAddr) -> (GossipNetwork, SocketAddr, CancellationToken) {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    (GossipNetwork::start(listener, Arc::new(EchoHandler), stop.clone()).unwrap(), address, stop)
}

test_cases! {
    async intents_reach_entries_without_a_store: "an entry that cannot reach the store and never receives changes" => {
        let store = Arc::new(MemoryStore::default());
        let unreachable = Arc::new(MemoryStore::default());
        unreachable.down.store(true, Ordering::SeqCst);
        let intent = json!({ "service": "calendar", "team": "poteca", "kinds": [], "targets": [] });
        let content = json!({ "intent": intent, "author": "luz", "applied": [] }).to_string();
        let content = Bytes::from(content);
        let name = "intents/calendar";
        let first = store.write(name, content.clone(), WriteCondition::Absent).await.unwrap();

        let one = start("entry-1", &store, None).await;
        let seed = one.control().unwrap().peers().unwrap();
        wait_until("the first entry's start", || !seed.members().is_empty()).await;
        let seed = seed.members()[0].address;
        let two = start("entry-2", &unreachable, Some(seed)).await;
        let three = start("entry-3", &unreachable, Some(seed)).await;
        let entries = [&one, &two, &three];
        wait_until("readiness", || entries.iter().all(|entry| ready(entry))).await;
        let has_version = |entry: &EntryRuntime, version| {
            let fleet = entry.control().unwrap().state().fleet.load();
            fleet.find("calendar").is_some_and(|(_, service)| service.version == version)
        };
        assert!(entries.iter().all(|entry| has_version(entry, first)));

        let second = store.write(name, content, WriteCondition::AtVersion(first)).await.unwrap();
        wait_until("the change", || entries.iter().all(|entry| has_version(entry, second))).await;
        let count = |entry: &EntryRuntime| entry.control().unwrap().peers().unwrap().members().len();
        wait_until("three members", || entries.iter().all(|entry| count(entry) == 3)).await;

        let client = CallClient::connect(two.control().unwrap().call_address().unwrap()).await;
        let client = client.unwrap();
        let status: serde_json::Value =
            serde_json::from_str(&client.status().await.unwrap()).unwrap();
        assert_eq!(status["members"].as_array().unwrap().len(), 3);
        assert_eq!(client.explain("unknown").await.unwrap(), None);
    }

    async silent_connections_are_reopened: "a silent connection that is reused instead of replaced" => {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let silent = TcpListener::bind(any_port).await.unwrap();
        let address = silent.local_addr().unwrap();
        let (caller, _, _stop) = network(any_port).await;
        let (call, accepted) = tokio::join!(caller.call(address, message()), silent.accept());
        assert!(matches!(call, Err(PeerError::Silent { .. })), "{call:?}");
        drop(silent);
        let (_replacement, _, _stop) = network(address).await;
        assert_eq!(caller.call(address, message()).await.unwrap(), message());
        drop(accepted);
    }

    versions_interoperate: "a rolling replacement during which old and new entries cannot decode each other's messages" => {
        let mut older = Builder::new_default();
        encode_message(&message(), older.init_root());
        let words = serialize::write_message_to_words(&older);
        let reader = serialize::read_message(&words[..], ReaderOptions::new()).unwrap();
        let seen: newer_peer_capnp::gossip_message::Reader<'_> = reader.get_root().unwrap();
        assert_eq!(seen.get_self().unwrap().get_name().unwrap(), "entry-1");
        assert_eq!(seen.get_note().unwrap(), "later");
        let heartbeat = seen.get_heartbeats().unwrap().get(0);
        assert_eq!((heartbeat.get_beat(), heartbeat.get_load()), (7, 0));

        let mut newer = Builder::new_default();
        let mut root: newer_peer_capnp::gossip_message::Builder<'_> = newer.init_root();
        root.set_note("unknown to the older version");
        root.reborrow().init_load_hints(3).set(0, 9);
        let mut heartbeat = root.init_heartbeats(1).get(0);
        heartbeat.set_identity(5);
        heartbeat.set_beat(7);
        heartbeat.set_load(11);
        heartbeat.set_rack("r1");
        let words = serialize::write_message_to_words(&newer);
        let reader = serialize::read_message(&words[..], ReaderOptions::new()).unwrap();
        let root: gossip_message::Reader<'_> = reader.get_root().unwrap();
        let seen = decode_message(root).unwrap();
        assert_eq!(seen.members.heartbeats, message().members.heartbeats);
        assert_eq!(seen.members.sender, None);
    }
}
