//! One part of a prompt crashes each replica that begins to write an answer on it.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::site::{ADVISER, MODEL, Replica, configuration, request};
use crate::store::Store;

const STABLE_MS: u64 = 4_000;
/// A replica that has crashed is back after this time, under a new id.
const DOWN_MS: u64 = 3_000;
/// Its entry is removed after three heartbeat intervals.
const LAPSE_MS: u64 = 3_600;
/// The part that crashes replicas, and the part that stands before it in all prompts.
const DEADLY: &str = "dead0001";
const COMMON: &str = "c0ffee01";

#[derive(Clone)]
struct Site {
    record: Arc<Record>,
    store: Store,
    is_disturbed: bool,
    // When the replicas crashed.
    crashes: Arc<Mutex<Vec<u64>>>,
    // When requests with the deadly part reached a replica.
    arrivals: Arc<Mutex<Vec<u64>>>,
    starts: Arc<AtomicU64>,
}

pub fn run(record: &Arc<Record>, is_disturbed: bool, folder: &str) -> Result<bool, String> {
    let store = Store::start();
    let site = Site {
        record: Arc::clone(record),
        store: store.clone(),
        is_disturbed,
        crashes: Arc::default(),
        arrivals: Arc::default(),
        starts: Arc::default(),
    };
    for _ in 0..9 {
        site.start_replica();
    }
    store.put("op/config", &configuration(1));
    store.put(&format!("op/version/{MODEL}"), &format!("{{\"model\":\"{MODEL}\",\"version\":1}}"));
    let gateways: Vec<Gateway> = ["node-a", "node-b", "node-c"]
        .iter()
        .map(|name| Gateway::start(name, "zone-a", store.address_for(name), folder))
        .collect();
    if !gateways.iter().all(Gateway::await_ready) {
        return Err("the gateways did not become ready".to_owned());
    }
    thread::sleep(Duration::from_millis(4_000));
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<Vec<(u64, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    // Sound requests share the first part with the deadly ones.
    for (number, gateway) in gateways.iter().enumerate() {
        let (front, record, is_over) = (gateway.front, Arc::clone(record), Arc::clone(&is_over));
        let counts = Arc::clone(&counts);
        clients.push(thread::spawn(move || {
            let mut serial = 0;
            while !is_over.load(Ordering::SeqCst) {
                serial += 1;
                let id = format!("sound-{number}-{serial}");
                let parts =
                    format!("{COMMON}:200,5{:07x}:300,{number}{serial:07x}:40", serial % 40);
                record.line(&format!("client sends {id}"));
                let got = ask(front, &id, &parts);
                record.line(&format!("client got {got:?} for {id}"));
                let is_answered = got.is_some_and(|(status, _)| status == 200);
                counts.lock().expect("sound").push((record.now_ms(), is_answered));
                thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    for serial in 0..40_u32 {
        let gateway = &gateways[serial as usize % gateways.len()];
        let id = format!("deadly-{serial}");
        let parts = format!("{COMMON}:200,{DEADLY}:300,e{serial:07x}:40");
        record.line(&format!("client sends {id} to {}", gateway.name));
        let got = ask(gateway.front, &id, &parts);
        record.line(&format!("client got {got:?} for {id}"));
        thread::sleep(Duration::from_millis(1_300));
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let crashes = site.crashes.lock().expect("sound").clone();
    let arrivals = site.arrivals.lock().expect("sound").clone();
    let counts = counts.lock().expect("sound").clone();
    let sound = counts.iter().filter(|(_, is_answered)| *is_answered).count();
    record.line(&format!("{sound} of {} sound requests were answered", counts.len()));
    record.line(&format!("replicas crashed at {crashes:?}"));
    let Some(fifth) = crashes.get(4) else {
        record.line("there were no five crashes");
        return Ok(true);
    };
    let late = arrivals.iter().filter(|at| **at > fifth + STABLE_MS).count();
    record.line(&format!(
        "the fifth crash was at {fifth} ms; {late} requests with the part reached replicas later \
         than {STABLE_MS} ms after it, and {} replicas crashed",
        crashes.iter().filter(|at| **at > fifth + STABLE_MS).count()
    ));
    Ok(late <= 3)
}

/// Sends a streaming request; returns the status and whether the answer was complete.
fn ask(front: SocketAddr, id: &str, parts: &str) -> Option<(u16, bool)> {
    let headers = format!(
        "Model-Id: {MODEL}\r\nToken-Count: 540,20\r\nPrefix-Hash: {parts}\r\nDeadline-Ms: 3000\r\n"
    );
    let message = request("POST", "/ask/1", id, &headers, id);
    let mut open = Connection::open(front, Duration::from_secs(4)).ok()?;
    open.write(message.as_bytes()).ok()?;
    match open.read() {
        Ok(answer) => answer.map(|answer| (answer.status(), true)),
        // The head came, or not even that; an answer that was cut counts as not complete.
        Err(_) => Some((0, false)),
    }
}

impl Site {
    fn start_replica(&self) {
        let number = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
        let replica = Replica::new(&format!("engine-{number}"), ADVISER, 1);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        *replica.address.lock().expect("sound") = Some(address);
        let is_down = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (site, own) = (self.clone(), Arc::clone(&replica));
        thread::spawn(move || {
            listener.set_nonblocking(true).expect("the listener can be polled");
            while !is_down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(second) = stream.try_clone() {
                    open.lock().expect("sound").push(second);
                }
                let (site, replica) = (site.clone(), Arc::clone(&own));
                let (is_down, open) = (Arc::clone(&is_down), Arc::clone(&open));
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read() {
                        if is_down.load(Ordering::SeqCst) {
                            break;
                        }
                        if !site.serve(&replica, &request, &mut connection) {
                            site.crash(&replica, &is_down, &open);
                            break;
                        }
                    }
                });
            }
            // Dropping the listener refuses new connections.
        });
        replica.register(&self.store, "ready");
    }

    /// Answers a request; returns false if the replica crashes.
    fn serve(&self, replica: &Replica, request: &Message, connection: &mut Connection) -> bool {
        if request.path() != "/ask/1" {
            let _ = connection.write(&crate::http::answer(404, "", ""));
            return true;
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let is_deadly = request.header("prefix-hash").is_some_and(|parts| parts.contains(DEADLY));
        if is_deadly {
            self.arrivals.lock().expect("sound").push(self.record.now_ms());
        }
        self.record.line(&format!("{id} reaches {}, which runs it", replica.id));
        let last: u32 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        thread::sleep(Duration::from_millis(20));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            replica.headers(request)
        );
        let mut out = head.into_bytes();
        for event in last + 1..=4 {
            let text = format!("id: {event}\ndata: token\n\n");
            out.extend(format!("{:x}\r\n{text}\r\n", text.len()).into_bytes());
            if connection.write(&out).is_err() {
                return true;
            }
            out.clear();
            thread::sleep(Duration::from_millis(10));
            if is_deadly && self.is_disturbed {
                return false;
            }
        }
        let _ = connection.write(b"0\r\n\r\n");
        true
    }

    fn crash(&self, replica: &Replica, is_down: &AtomicBool, open: &Mutex<Vec<TcpStream>>) {
        if is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crashes.lock().expect("sound").push(self.record.now_ms());
        self.record.line(&format!("{} crashes", replica.id));
        // The listener is closed before the connections end, as when a process ends.
        thread::sleep(Duration::from_millis(5));
        for stream in open.lock().expect("sound").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (site, id) = (self.clone(), replica.id.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(DOWN_MS));
            site.start_replica();
            thread::sleep(Duration::from_millis(LAPSE_MS - DOWN_MS));
            site.store.delete(&format!("servers/{id}"));
        });
    }
}
