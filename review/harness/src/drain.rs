//! Open connections to the store go silent, and a replica begins to leave meanwhile.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::http::answer;
use crate::record::Record;
use crate::site::{LEDGER, Replica, book, configuration};
use crate::store::Store;

const STABLE_MS: u64 = 4_000;
const DRAIN_MS: u64 = 2_500;

pub fn run(record: &Arc<Record>, is_disturbed: bool, folder: &str) -> Result<bool, String> {
    let store = Store::start();
    // Arrivals: when, replica, request.
    let arrivals: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
    let replicas: Vec<Arc<Replica>> =
        (1..=3).map(|number| Replica::new(&format!("ledger-{number}"), LEDGER, 0)).collect();
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
    let names = ["node-a", "node-b"];
    let gateways: Vec<Gateway> = names
        .iter()
        .map(|name| Gateway::start(name, "zone-a", store.address_for(name), folder))
        .collect();
    if !gateways.iter().all(Gateway::await_ready) {
        return Err("the gateways did not become ready".to_owned());
    }
    thread::sleep(Duration::from_millis(3_000));
    book(record, &gateways, "calm", 6);
    // The watches of both machines began together, when the replicas were read or last changed.
    let newest = || names.iter().filter_map(|name| store.watch_began(name, "servers/")).max();
    let before = newest();
    let limit = Instant::now() + Duration::from_secs(12);
    while newest() == before && Instant::now() < limit {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(300));
    let silent_at = record.now_ms();
    if is_disturbed {
        store.silence_open_connections();
        record.line("all open connections to the store are silent from now on");
    }
    thread::sleep(Duration::from_millis(300));
    let leaving = &replicas[0];
    leaving.is_leaving.store(true, Ordering::SeqCst);
    leaving.register(&store, "draining");
    let acknowledged_at = record.now_ms();
    record.line(&format!("the store has accepted that {} is draining", leaving.id));
    let resume_at = silent_at + STABLE_MS + 200;
    thread::sleep(Duration::from_millis(resume_at.saturating_sub(record.now_ms())));
    let sent_from = record.now_ms();
    book(record, &gateways, "later", 12);
    thread::sleep(Duration::from_millis(500));
    let late: Vec<(u64, String, String)> = arrivals
        .lock()
        .expect("sound")
        .iter()
        .filter(|(at, id, _)| *id == leaving.id && *at > acknowledged_at + DRAIN_MS)
        .cloned()
        .collect();
    record.line(&format!(
        "sent from {sent_from} ms on, {} ms after the silence began; the limit for {} ended at {} ms",
        sent_from - silent_at,
        leaving.id,
        acknowledged_at + DRAIN_MS
    ));
    record.line(&format!("requests at {} after the limit: {late:?}", leaving.id));
    Ok(late.is_empty())
}
