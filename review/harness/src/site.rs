//! The configuration of a small deployment, and its replicas.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::gateway::Gateway;
use crate::http::{Connection, Message, answer, listen};
use crate::record::Record;
use crate::store::Store;

pub const KEY: &str = "k3yofthefirsttenant1";
pub const LEDGER: &str = "ledger";
pub const ADVISER: &str = "adviser";
pub const MODEL: &str = "model-a";

/// Routes: `/book/` may run once, `/read/` may be repeated, `/ask/` streams and may be resumed.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u64, rest: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"site.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":150,\
             \"priority\":1,\"service\":\"{service}\",\"public\":false,\
             \"allowed_regions\":[],{rest}}}"
        )
    };
    let plain = "\"sticky\":false,\"resumable\":false,\"max_attempts\":";
    let routes = [
        route("book", "non_idempotent", LEDGER, 800, &format!("{plain}1")),
        route("read", "idempotent", LEDGER, 800, &format!("{plain}2")),
        route(
            "ask",
            "streaming",
            ADVISER,
            3_000,
            "\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":250,\"max_attempts\":2",
        ),
    ];
    let service = |name: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":370,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0{rest}}}"
        )
    };
    let engine = format!(
        ",\"engine\":{{\"slots\":64,\"kv_capacity\":144184,\"kv_bytes\":18432,\
         \"link_mbps\":550000.0,\"managed\":true,\"models\":[{{\"name\":\"{MODEL}\"}}]}}"
    );
    let services = [service(LEDGER, ""), service(ADVISER, &engine)];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"allowed_regions\":[]}}]}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// What a replica says about itself.
pub struct Replica {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub born: u64,
    pub address: Mutex<Option<SocketAddr>>,
    /// The version of its weights; 0 if it has no model.
    pub version: Mutex<u64>,
    pub is_leaving: AtomicBool,
    sequence: Mutex<u64>,
}

impl Replica {
    pub fn new(id: &str, service: &'static str, version: u64) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            service,
            zone: "zone-a",
            born: unix_ms(),
            address: Mutex::new(None),
            version: Mutex::new(version),
            is_leaving: AtomicBool::new(false),
            sequence: Mutex::new(0),
        })
    }

    /// Writes the replica's entry into the store.
    pub fn register(&self, store: &Store, state: &str) {
        let address = self.address.lock().expect("sound").expect("the replica listens");
        let version = *self.version.lock().expect("sound");
        let models = match version {
            0 => String::new(),
            _ => format!(
                ",\"stage\":\"colocated\",\"models\":[{{\"name\":\"{MODEL}\",\
                 \"version\":{version},\"adapters\":[]}}]"
            ),
        };
        let mut sequence = self.sequence.lock().expect("sound");
        *sequence += 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{}{models}}}",
            self.service, self.zone, self.born
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// The headers of an answer to this request.
    pub fn headers(&self, request: &Message) -> String {
        let id = request.header("request-id").unwrap_or_default();
        let leaving = match self.is_leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\nConnection: close\r\n",
            false => "",
        };
        let version = *self.version.lock().expect("sound");
        let weights = match version {
            0 => String::new(),
            _ => format!("Weight-Versions: {version}\r\n"),
        };
        format!("Request-Id: {id}\r\nServer-Stamp: stamp.{}.{id}\r\n{weights}{leaving}", self.id)
    }

    /// Starts to serve. `serve` answers a request that is for this replica, and returns whether
    /// the connection stays open.
    pub fn listen<F>(self: &Arc<Self>, record: &Arc<Record>, serve: F)
    where
        F: Fn(&Replica, &Message, &mut Connection, &Record) -> bool + Send + Sync + 'static,
    {
        let (replica, record) = (Arc::clone(self), Arc::clone(record));
        let address = listen(move |mut connection| {
            while let Ok(Some(request)) = connection.read() {
                let expected = request.header("expect-instance");
                if expected.is_some_and(|id| id != replica.id) {
                    let headers = format!("Instance-Id: {}\r\nNot-Executed: 1\r\n", replica.id);
                    if connection.write(&answer(421, &headers, "")).is_err() {
                        return;
                    }
                    continue;
                }
                if !serve(&replica, &request, &mut connection, &record) {
                    return;
                }
            }
        });
        *self.address.lock().expect("sound") = Some(address);
    }
}

/// A request of a client.
pub fn request(method: &str, path: &str, id: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\n\
         Credential: {KEY}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends requests that may run once to each gateway at the same time, each on a new connection.
pub fn book(record: &Arc<Record>, gateways: &[Gateway], label: &str, count: usize) {
    let mut clients = Vec::new();
    for gateway in gateways {
        for number in 0..count {
            let id = format!("{label}-{}-{number}", gateway.name);
            let (front, record) = (gateway.front, Arc::clone(record));
            clients.push(thread::spawn(move || {
                let message = request("POST", "/book/1", &id, "Deadline-Ms: 1500\r\n", "one");
                let status =
                    Connection::open(front, Duration::from_secs(3)).and_then(|mut open| {
                        record.line(&format!("client sends {id}"));
                        open.write(message.as_bytes())?;
                        Ok(open.read()?.map(|answer| answer.status()))
                    });
                record.line(&format!("client got {status:?} for {id}"));
            }));
        }
    }
    for client in clients {
        let _ = client.join();
    }
}
