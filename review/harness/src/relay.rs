//! The store turns away two machines of a zone for a moment, from which the others hear of changes,
//! while a replica leaves.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::http::answer;
use crate::record::Record;
use crate::site::{LEDGER, Replica, book, configuration};
use crate::store::Store;

const DRAIN_MS: u64 = 2_500;
/// How long the store turns machines away.
const REFUSED_MS: u64 = 500;
const NAMES: [&str; 6] = ["node-a", "node-b", "node-c", "node-d", "node-e", "node-f"];
/// The machines that the store turns away.
const REFUSED: [&str; 2] = ["node-a", "node-b"];

pub fn run(record: &Arc<Record>, is_disturbed: bool, folder: &str) -> Result<bool, String> {
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
    let replicas: Vec<Arc<Replica>> =
        (1..=6).map(|number| Replica::new(&format!("ledger-{number}"), LEDGER, 0)).collect();
    for replica in &replicas {
        let arrivals = Arc::clone(&arrivals);
        replica.listen(record, move |replica, request, connection, record| {
            let id = request.header("request-id").unwrap_or_default().to_owned();
            record.line(&format!("replica {} runs {id}", replica.id));
            let arrival = (record.now_ms(), replica.id.clone(), id);
            arrivals.lock().expect("sound").push(arrival);
            thread::sleep(Duration::from_millis(15));
            let headers = replica.headers(request);
            connection.write(&answer(200, &headers, "booked")).is_ok()
        });
        replica.register(&store, "ready");
    }
    store.put("op/config", &configuration(1));
    let gateways: Vec<Gateway> = NAMES
        .iter()
        .map(|name| Gateway::start(name, "zone-a", store.address_for(name), folder))
        .collect();
    if !gateways.iter().all(Gateway::await_ready) {
        return Err("the gateways did not become ready".to_owned());
    }
    // A call to the store that began before a machine followed another one goes on for up to 5.5 s.
    let follows = |gateway: &Gateway| {
        let lines = gateway.log_lines("the source of changes has changed");
        lines.last().is_some_and(|line| !line.contains("\"none\""))
    };
    let limit = Instant::now() + Duration::from_secs(60);
    let mut followed_since = Instant::now();
    while followed_since.elapsed() < Duration::from_millis(7_000) {
        if !gateways[2..].iter().all(follows) {
            followed_since = Instant::now();
        }
        if Instant::now() >= limit {
            return Err("the machines do not follow others of their zone".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    book(record, &gateways, "calm", 6);
    let leaving = &replicas[0];
    let refused_at = record.now_ms();
    if is_disturbed {
        store.refuse(&REFUSED);
        record.line(&format!("the store turns {REFUSED:?} away and serves the others"));
    }
    thread::sleep(Duration::from_millis(50));
    // It goes on serving for a while, and says in its answers that it leaves.
    leaving.is_leaving.store(true, Ordering::SeqCst);
    store.delete(&format!("servers/{}", leaving.id));
    let acknowledged_at = record.now_ms();
    record.line(&format!("the entry of {} is removed", leaving.id));
    thread::sleep(Duration::from_millis(REFUSED_MS - 50));
    store.refuse(&[]);
    record.line("the store serves all machines");
    let resume_at = acknowledged_at + DRAIN_MS + 80;
    thread::sleep(Duration::from_millis(resume_at.saturating_sub(record.now_ms())));
    let sent_from = record.now_ms();
    book(record, &gateways[2..], "later", 12);
    thread::sleep(Duration::from_millis(1_000));
    let late: Vec<(u64, String, String)> = arrivals
        .lock()
        .expect("sound")
        .iter()
        .filter(|(at, id, _)| *id == leaving.id && *at > acknowledged_at + DRAIN_MS)
        .cloned()
        .collect();
    record.line(&format!(
        "turned away from {refused_at} ms on, for {REFUSED_MS} ms; sent from {sent_from} ms on, {} ms \
         after the entry of {} was removed, by machines that the store has served all the while",
        sent_from - acknowledged_at,
        leaving.id
    ));
    record.line(&format!("requests at {} after the limit: {late:?}", leaving.id));
    for gateway in &gateways {
        for line in gateway.log_lines("an endpoint has changed") {
            if line.contains(&leaving.id) && line.contains("None") {
                record.line(&format!("log of {}: {line}", gateway.name));
            }
        }
    }
    Ok(late.is_empty())
}
