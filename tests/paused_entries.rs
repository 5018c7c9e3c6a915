//! Entry processes that are paused while requests wait or are in progress.

#[path = "support/outcomes.rs"]
mod outcomes;
mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use outcomes::{
    ReceivedRequests, answer, post, promises_not_run, record, refusal, request_id, start_recording,
    status_and_outcome,
};
use support::{FakeTarget, read_request, settings_text, start_entry};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use zinniaport_testing::process::{ChildProcess, ChildSignal};
use zinniaport_testing::test_cases;

/// Length of a pause.
const PAUSE: Duration = Duration::from_millis(700);

/// Time within which a running entry reads a request, also on a busy machine.
const READ_TIME: Duration = Duration::from_millis(100);

/// Delay beyond which a request arrived at a target after its deadline, also on a busy machine.
/// Requests that were sent before a pause and arrive after it have a delay of more than [`PAUSE`].
const LATE: Duration = Duration::from_millis(600);

/// A request that a caller sent, with the response that it got.
struct SentRequest {
    id: String,
    sent: Instant,
    head: Option<String>,
}

/// Takes 20 ms for each request and refuses those whose identity says so.
async fn serve_slowly(mut stream: TcpStream, received: ReceivedRequests) {
    while let Some(head) = read_request(&mut stream).await {
        let is_refused = request_id(&head).unwrap().contains("refused");
        record(&received, &head);
        sleep(Duration::from_millis(20)).await;
        let response = if is_refused { refusal(&head) } else { answer(&head) };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Sends requests, one after the other, and returns them.
async fn send_requests(entry: SocketAddr, caller: usize) -> Vec<SentRequest> {
    let mut requests = Vec::new();
    for number in 0..40 {
        let kind = if (caller + number).is_multiple_of(3) { "refused" } else { "ran" };
        let id = format!("{caller}-{number}-{kind}");
        let sent = Instant::now();
        let response = post(entry, &id, "X-Deadline-Ms: 300\r\n").await;
        requests.push(SentRequest { id, sent, head: response.map(|(head, _)| head) });
        sleep(Duration::from_millis(10)).await;
    }
    requests
}

/// Starts an entry process with targets that have this many slots each, and returns it with the
/// address that callers use.
async fn start_process(targets: &[&FakeTarget], slots: usize) -> (ChildProcess, SocketAddr) {
    let text = settings_text(targets[0].address, "pool: { max_connections_per_target: 2 }");
    let mut text = text.replace("slots: 100", &format!("slots: {slots}"));
    for target in &targets[1..] {
        let address = target.address;
        text +=
            &format!("\x20 - {{ address: \"{address}\", data_centre: valle-a, slots: {slots} }}\n");
    }
    let settings = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("paused-{slots}.yaml"));
    std::fs::write(&settings, text).unwrap();
    let arguments = ["--settings".as_ref(), settings.as_os_str()];
    let mut entry = ChildProcess::start(env!("CARGO_BIN_EXE_zinniaport-entry"), arguments);
    let address = entry.wait_for_line("callers:").await.parse().unwrap();
    (entry, address)
}

/// Pauses an entry four times while callers send more requests than two targets with this many
/// slots take. Checks the promises and returns the requests that the entry had read before a pause
/// and sent after their deadline.
async fn pause_entry(slots: usize) -> Vec<String> {
    let received = ReceivedRequests::default();
    let first = start_recording(&received, serve_slowly).await;
    let second = start_recording(&received, serve_slowly).await;
    let (entry, address) = start_process(&[&first, &second], slots).await;
    let callers = (0..24).map(|caller| tokio::spawn(send_requests(address, caller)));
    let callers: Vec<_> = callers.collect();
    let mut pauses = Vec::new();
    for pause in 0..4 {
        sleep(Duration::from_millis(150 + 17 * pause)).await;
        pauses.push(Instant::now());
        entry.signal(ChildSignal::STOP);
        sleep(PAUSE).await;
        entry.signal(ChildSignal::CONT);
    }
    let mut requests = Vec::new();
    for caller in callers {
        requests.extend(caller.await.unwrap());
    }
    sleep(Duration::from_millis(200)).await;
    let received = received.lock().unwrap();
    let mut counts = HashMap::<_, usize>::new();
    let mut late = Vec::new();
    for SentRequest { id, sent, head } in &requests {
        let arrivals = received.get(id).map_or(&[][..], Vec::as_slice);
        let runs = if id.ends_with("ran") { arrivals.len() } else { 0 };
        let told = head.as_deref().map(status_and_outcome);
        assert!(runs <= 1, "{id} ran {runs} times: {told:?}");
        let is_promised = head.as_deref().is_some_and(promises_not_run);
        assert!(runs == 0 || !is_promised, "{id} ran: {told:?}");
        // The deadline of a request that the entry reads after the pause begins then.
        let is_unread = |pause: &Instant| (*pause..*pause + PAUSE).contains(&(*sent + READ_TIME));
        if !pauses.iter().any(is_unread) {
            let delays = arrivals.iter().map(|arrival| arrival.duration_since(*sent));
            let delays = delays.filter(|delay| *delay > LATE);
            late.extend(delays.map(|delay| format!("{id} after {delay:?}: {told:?}")));
        }
        *counts.entry((told, arrivals.len())).or_default() += 1;
    }
    println!("{slots} slots, requests by response and arrivals at targets: {counts:?}");
    late
}

/// Pauses an entry while `holders` requests occupy its target and others wait. Checks that no
/// response is wrong, and returns how often the target received each request.
async fn pause_with_waiting(slots: usize, holders: usize) -> Vec<(String, usize)> {
    let received = ReceivedRequests::default();
    let target = start_recording(&received, |mut stream, received| async move {
        while let Some(head) = read_request(&mut stream).await {
            record(&received, &head);
            // Ends while the entry is paused.
            sleep(Duration::from_millis(400)).await;
            let _ = stream.write_all(answer(&head).as_bytes()).await;
        }
    })
    .await;
    let (entry, address) = start_process(&[&target], slots).await;
    let holder = |number| async move {
        post(address, &format!("holder-{number}"), "X-Deadline-Ms: 9000\r\n").await.unwrap().0
    };
    let waiter = |number| async move {
        let sent = Instant::now();
        let response = post(address, &format!("waiter-{number}"), "X-Deadline-Ms: 500\r\n").await;
        (response.unwrap().0, sent.elapsed())
    };
    let holders: Vec<_> = (0..holders).map(|number| tokio::spawn(holder(number))).collect();
    sleep(Duration::from_millis(100)).await;
    let waiters: Vec<_> = (0..10).map(|number| tokio::spawn(waiter(number))).collect();
    sleep(Duration::from_millis(100)).await;
    entry.signal(ChildSignal::STOP);
    sleep(PAUSE).await;
    entry.signal(ChildSignal::CONT);
    for waiter in waiters {
        let (head, elapsed) = waiter.await.unwrap();
        assert_eq!(status_and_outcome(&head), (503, "not-run"));
        assert!(elapsed >= PAUSE, "refused before the pause, after {elapsed:?}");
    }
    for holder in holders {
        assert_eq!(status_and_outcome(&holder.await.unwrap()), (200, "ran"));
    }
    sleep(Duration::from_millis(200)).await;
    let received = received.lock().unwrap();
    received.iter().map(|(id, arrivals)| (id.clone(), arrivals.len())).collect()
}

test_cases! {
    async paused_entries_keep_their_promises: "an entry that was paused past the deadline of its requests and then runs them or reports them wrongly" => {
        let late = pause_entry(2).await;
        assert!(late.is_empty(), "sent after their deadline: {late:#?}");
    }

    async paused_entries_refuse_requests_that_wait: "a request that waited for a slot or a connection while its entry was paused and is sent after its deadline" => {
        // With one slot requests wait in the queue, with 100 for one of the two connections.
        for (slots, holders) in [(1, 1), (100, 2)] {
            for (id, arrivals) in pause_with_waiting(slots, holders).await {
                assert_eq!((id.starts_with("holder"), arrivals), (true, 1), "{slots} slots, {id}");
            }
        }
    }

    async waiting_requests_state_the_time_left: "a target that is allowed the time that the request spent waiting for a connection" => {
        let stated = Arc::new(Mutex::new(Vec::new()));
        let recorded = stated.clone();
        let target = FakeTarget::start(move |mut stream, _| {
            let recorded = recorded.clone();
            async move {
                while let Some(head) = read_request(&mut stream).await {
                    let stated = head.lines().find_map(|line| line.strip_prefix("x-deadline-ms: "));
                    recorded.lock().unwrap().push(stated.unwrap().parse::<u64>().unwrap());
                    sleep(Duration::from_millis(600)).await;
                    let _ = stream.write_all(answer(&head).as_bytes()).await;
                }
            }
        })
        .await;
        let entry = start_entry(target.address, "pool: { max_connections_per_target: 1 }").await;
        let address = entry.caller_address();
        tokio::join!(
            post(address, "first", "X-Deadline-Ms: 2000\r\n"),
            post(address, "second", "X-Deadline-Ms: 2000\r\n"),
        );
        let stated = stated.lock().unwrap();
        assert!(stated[0] > 1500 && stated[1] < 1500, "the targets were allowed {stated:?} ms");
    }
}
