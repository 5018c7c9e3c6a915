//! Signals between entries over UDP sockets.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use zinniaport::gate::QuarantineGate;
use zinniaport::settings::SignalSettings;
use zinniaport::signals::{SignalDatagram, SignalsDriver, decode_datagram, encode_datagram};
use zinniaport::state::SharedState;
use zinniaport::targets::TargetsDriver;
use zinniaport_core::call::CallFingerprint;
use zinniaport_core::clock::{ClockSource, SystemClock, Timestamp};
use zinniaport_core::placement::{PlacementId, PlacementMessage};
use zinniaport_core::quarantine::CrashRecord;
use zinniaport_core::signals::SignalMessage;
use zinniaport_testing::test_cases;

async fn start(clock: Arc<dyn ClockSource>) -> (SocketAddr, Arc<QuarantineGate>) {
    let state = Arc::new(SharedState::new(clock.clone(), "entry-1", "valle-a"));
    let (_, targets) = TargetsDriver::new(state.clone());
    let quarantine = Arc::new(QuarantineGate::new(clock));
    let settings: SignalSettings = serde_norway::from_str("listen: 127.0.0.1:0").unwrap();
    let driver = SignalsDriver::open(state, targets, quarantine.clone(), settings);
    let driver = driver.await.unwrap();
    let address = driver.address();
    tokio::spawn(driver.run(CancellationToken::new()));
    (address, quarantine)
}

fn crash(last_crash: Timestamp) -> CrashRecord {
    let targets = BTreeSet::from([([10, 0, 0, 1], 80).into(), ([10, 0, 0, 2], 80).into()]);
    CrashRecord { fingerprint: CallFingerprint(7), targets, last_crash }
}

test_cases! {
    async crashes_reach_other_entries: "a request that crashes the permitted number of targets once per entry, not once in total" => {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let (first, _) = start(clock.clone()).await;
        let (second, quarantine) = start(clock.clone()).await;
        // A third entry reports a crash and the second entry to the first one.
        let third = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let message = SignalMessage {
            incarnation: 1,
            sequence: 1,
            crashes: vec![crash(clock.now())],
            members: vec![second],
            ..SignalMessage::default()
        };
        third.send_to(&encode_datagram(&SignalDatagram::Signal(message)).unwrap(), first).await.unwrap();
        for _ in 0..400 {
            if !quarantine.crash_records().is_empty() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(quarantine.crash_records().len(), 1, "the first entry did not pass the crash on to the second");
    }

    damaged_datagrams_are_dropped: "a malformed datagram that makes an entry panic or exhaust its memory" => {
        let signal = SignalMessage { incarnation: 1 << 50, sequence: 3, ..SignalMessage::default() };
        let placement = PlacementMessage { held_grants: Some(vec![PlacementId(1 << 50)]), ..PlacementMessage::default() };
        for datagram in [SignalDatagram::Signal(signal), SignalDatagram::Placement(placement)] {
            let bytes = encode_datagram(&datagram).unwrap();
            assert_eq!(decode_datagram(&bytes).unwrap(), datagram);
            for position in 0..bytes.len() {
                assert!(decode_datagram(&bytes[..position]).is_err(), "cut at {position}");
                let mut damaged = bytes.clone();
                damaged[position] = 0xff;
                let _ = decode_datagram(&damaged);
            }
        }
        assert!(decode_datagram(&[0xff; 64]).is_err());
    }
}
