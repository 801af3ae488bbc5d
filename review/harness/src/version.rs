//! Open connections to the store go silent, and the operator names new weights just after.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::http::{Connection, Message, answer};
use crate::json::Json;
use crate::record::Record;
use crate::site::{ADVISER, MODEL, Replica, configuration, request};
use crate::store::Store;

const STABLE_MS: u64 = 4_000;
const VERSION_ALL_MS: u64 = 14_000;
const LOCK: &str = "yuccapass/weights/";
const NAMES: [&str; 4] = ["node-a", "node-b", "node-c", "node-d"];
/// Time that a replica needs for new weights.
const SWAP_MS: u64 = 760;

#[derive(Default)]
struct Engine {
    orders: u64,
    // Version to serve next, and when.
    swap: Option<(u64, Instant)>,
}

pub fn run(record: &Arc<Record>, is_disturbed: bool, folder: &str) -> Result<bool, String> {
    let store = Store::start();
    let replicas: Vec<Arc<Replica>> =
        (1..=9).map(|number| Replica::new(&format!("engine-{number}"), ADVISER, 1)).collect();
    for replica in &replicas {
        let engine = Mutex::new(Engine::default());
        replica.listen(record, move |replica, request, connection, record| {
            let reply = serve(replica, &engine, request, record);
            connection.write(&reply).is_ok()
        });
        replica.register(&store, "ready");
        publish(Arc::clone(replica), store.clone());
    }
    store.put("op/config", &configuration(1));
    store.put(&format!("op/version/{MODEL}"), &weights(1));
    let gateways: Vec<Gateway> = NAMES
        .iter()
        .map(|name| Gateway::start(name, "zone-a", store.address_for(name), folder))
        .collect();
    if !gateways.iter().all(Gateway::await_ready) {
        return Err("the gateways did not become ready".to_owned());
    }
    thread::sleep(Duration::from_millis(4_000));
    // The machines wait for changes of the lock of the leader; these calls began together.
    let newest = || NAMES.iter().filter_map(|name| store.watch_began(name, LOCK)).max();
    let before = newest();
    let limit = Instant::now() + Duration::from_secs(25);
    while newest() == before && Instant::now() < limit {
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(500));
    let silent_at = record.now_ms();
    if is_disturbed {
        store.silence_open_connections();
        record.line("all open connections to the store are silent from now on");
    }
    thread::sleep(Duration::from_millis(500));
    store.put(&format!("op/version/{MODEL}"), &weights(2));
    let acknowledged_at = record.now_ms();
    record.line("the store has accepted version 2");
    let old = || {
        let is_old = |replica: &&Arc<Replica>| *replica.version.lock().expect("sound") < 2;
        replicas.iter().filter(is_old).count()
    };
    // The machines are in touch again, and the store never was disturbed.
    let check_at = silent_at + STABLE_MS + VERSION_ALL_MS;
    while record.now_ms() < check_at {
        thread::sleep(Duration::from_millis(1_000));
        let statuses: Vec<u16> = gateways.iter().map(|gateway| ask(gateway, record)).collect();
        record.line(&format!("{} of 9 replicas have version 1; clients get {statuses:?}", old()));
    }
    let old_at_bound = old();
    record.line(&format!(
        "{} ms after version 2 was accepted, and {} ms after the machines were in touch again, \
         {old_at_bound} of 9 replicas have version 1",
        record.now_ms() - acknowledged_at,
        record.now_ms() - silent_at - STABLE_MS
    ));
    Ok(old_at_bound <= 1)
}

fn weights(version: u64) -> String {
    format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}")
}

/// Sends a request for the model; returns the status.
fn ask(gateway: &Gateway, record: &Record) -> u16 {
    let id = format!("ask-{}-{}", gateway.name, record.now_ms());
    let parts = format!("c0ffee01:200,{:08x}:40", record.now_ms());
    let headers = format!(
        "Model-Id: {MODEL}\r\nToken-Count: 240,20\r\nPrefix-Hash: {parts}\r\nDeadline-Ms: 3000\r\n"
    );
    let message = request("POST", "/ask/1", &id, &headers, "question");
    record.line(&format!("client sends {id}"));
    let asking = || {
        let mut open = Connection::open(gateway.front, Duration::from_secs(4)).ok()?;
        open.write(message.as_bytes()).ok()?;
        open.read().ok()?
    };
    let status = asking().map_or(0, |answer| answer.status());
    record.line(&format!("client got {status} for {id}"));
    status
}

/// Writes the replica's entry whenever its weights have changed.
fn publish(replica: Arc<Replica>, store: Store) {
    thread::spawn(move || {
        let mut known = *replica.version.lock().expect("sound");
        loop {
            thread::sleep(Duration::from_millis(50));
            let version = *replica.version.lock().expect("sound");
            if version != known {
                known = version;
                replica.register(&store, "ready");
            }
        }
    });
}

fn serve(replica: &Replica, engine: &Mutex<Engine>, request: &Message, record: &Record) -> Vec<u8> {
    let mut engine = engine.lock().expect("sound");
    if let Some((version, _)) = engine.swap.filter(|(_, at)| *at <= Instant::now()) {
        *replica.version.lock().expect("sound") = version;
        engine.swap = None;
    }
    let version = *replica.version.lock().expect("sound");
    let json = "Content-Type: application/json\r\n";
    match (request.method(), request.path()) {
        ("GET", "/report") => {
            let body = format!(
                "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"{MODEL}\",\
                 \"version\":{version},\"adapters\":[]}}],\"busy\":{},\"sequence\":{},\
                 \"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":144184,\"handles\":0}}",
                engine.swap.is_some(),
                engine.orders
            );
            answer(200, json, &body)
        }
        ("POST", "/order") => {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            let body = Json::parse(&text).unwrap_or(Json::Null);
            let target = body.number_of("version");
            let expected = body.get("expected").and_then(Json::number);
            let status = if version >= target {
                200
            } else if engine.swap.is_some() || expected.is_some_and(|n| n != engine.orders) {
                409
            } else {
                engine.orders += 1;
                engine.swap = Some((target, Instant::now() + Duration::from_millis(SWAP_MS)));
                202
            };
            record.line(&format!(
                "order to {} from {} with fencing token {}: {status}",
                replica.id,
                body.text_of("holder"),
                body.number_of("fencing_token")
            ));
            answer(status, json, "{}")
        }
        _ => {
            let is_other =
                request.header("expect-version").is_some_and(|v| v != version.to_string());
            if is_other {
                return answer(421, "Not-Executed: 1\r\n", "");
            }
            let id = request.header("request-id").unwrap_or_default();
            record.line(&format!("replica {} runs {id} on version {version}", replica.id));
            let headers = replica.headers(request);
            let events = "id: 1\ndata: token\n\n";
            answer(200, &format!("{headers}Content-Type: text/event-stream\r\n"), events)
        }
    }
}
