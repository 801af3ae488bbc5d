//! A stand-in for a replica: an application or an engine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Peer, listen, serve};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// How long a replica works on a request, and how it answers.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// One answer after this time.
    Answer { ms: u64 },
    /// A stream of this many events, with this time before each.
    Stream { events: u32, gap_ms: u64 },
}

/// The settings of a replica.
#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    /// The version of its software.
    pub software: &'static str,
    pub slots: u32,
    pub work: Work,
    /// The model that it serves, if it is an engine.
    pub model: Option<&'static str>,
    /// How long it takes to change its weights.
    pub swap: Duration,
}

/// An order that has arrived at a replica.
#[derive(Debug, Clone)]
pub struct Order {
    pub at_ms: u64,
    pub replica: String,
    pub holder: String,
    pub fencing: u64,
    pub status: u16,
}

/// A request that a replica has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub tenant: String,
    /// The parts that were found in the cache, each with the tenant whose request made it.
    pub found: Vec<(String, String)>,
}

struct State {
    beats: u64,
    orders: u64,
    version: u64,
    swap_end: Option<(Instant, u64)>,
    is_draining: bool,
    // Who made the cached parts, by salt and part.
    cache: BTreeMap<(String, String), String>,
    runs: Vec<Run>,
}

pub struct Replica {
    pub settings: Settings,
    pub address: SocketAddr,
    born_ms: u128,
    state: Mutex<State>,
    store: Arc<Store>,
    record: Arc<Record>,
    orders: Arc<Mutex<Vec<Order>>>,
}

impl Replica {
    /// Starts a replica and registers it. `orders` gets the orders that arrive.
    pub fn start(
        settings: Settings,
        store: &Arc<Store>,
        record: &Arc<Record>,
        orders: &Arc<Mutex<Vec<Order>>>,
    ) -> Arc<Self> {
        let (listener, address) = listen();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let replica = Arc::new(Self {
            settings,
            address,
            born_ms: since_epoch.as_millis(),
            state: Mutex::new(State {
                beats: 0,
                orders: 0,
                version: 1,
                swap_end: None,
                is_draining: false,
                cache: BTreeMap::new(),
                runs: Vec::new(),
            }),
            store: Arc::clone(store),
            record: Arc::clone(record),
            orders: Arc::clone(orders),
        });
        let served = Arc::clone(&replica);
        serve(listener, move |peer| served.connection(peer));
        replica.beat();
        let beating = Arc::clone(&replica);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1_200));
                beating.beat();
            }
        });
        replica
    }

    pub fn runs(&self) -> Vec<Run> {
        self.with(|state| state.runs.clone())
    }

    pub fn version(&self) -> u64 {
        self.with(|state| state.version)
    }

    fn with<R>(&self, action: impl FnOnce(&mut State) -> R) -> R {
        let mut state = self.state.lock().expect("no thread fails with the lock");
        if let Some((end, version)) = state.swap_end
            && end <= Instant::now()
        {
            state.swap_end = None;
            state.version = version;
            state.cache.clear();
            self.record.line(format!("{}: serves version {version}", self.settings.id));
        }
        action(&mut state)
    }

    fn models(&self, version: u64) -> String {
        self.settings.model.map_or_else(String::new, |model| {
            format!(r#"{{"name":"{model}","version":{version},"adapters":[]}}"#)
        })
    }

    /// Writes the entry in the store.
    fn beat(&self) {
        let (beats, version, is_draining) = self.with(|state| {
            state.beats += 1;
            (state.beats, state.version, state.is_draining)
        });
        let Settings { id, service, zone, software, slots, .. } = &self.settings;
        let state = if is_draining { "draining" } else { "ready" };
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"{software}","slots":{slots},"state":"{state}","cold_remaining_ms":0,"stage":"colocated","models":[{}],"sequence":{beats},"born":{}}}"#,
            self.address,
            self.models(version),
            self.born_ms
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    fn connection(&self, mut peer: Peer) {
        while let Some(request) = peer.read(false, None) {
            let expected = request.header("Expect-Instance");
            if expected.is_some_and(|expected| expected != self.settings.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.settings.id
                );
                if peer.write(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let is_open = match request.path() {
                "/report" => self.report(&mut peer),
                "/order" => self.order(&mut peer, &request),
                "/healthz" => {
                    send(&mut peer, 200, &format!("Instance-Id: {}\r\n", self.settings.id), "")
                }
                _ => self.run(&mut peer, &request),
            };
            if !is_open {
                return;
            }
        }
    }

    fn report(&self, peer: &mut Peer) -> bool {
        let (is_busy, orders, version) =
            self.with(|state| (state.swap_end.is_some(), state.orders, state.version));
        let body = format!(
            r#"{{"stage":"colocated","models":[{}],"busy":{is_busy},"sequence":{orders},"waiting":0,"running":0,"kv_used":0,"kv_total":144184,"handles":0,"born":{}}}"#,
            self.models(version),
            self.born_ms
        );
        send(peer, 200, "Content-Type: application/json\r\n", &body)
    }

    fn order(&self, peer: &mut Peer, request: &Message) -> bool {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let version = body.number("version") as u64;
        let fencing = body.number("fencing_token") as u64;
        let expected = body.get("expected").map(|_| body.number("expected") as u64);
        let status = self.with(|state| match () {
            _ if state.version >= version => 200,
            _ if state.swap_end.is_some() => 409,
            _ if expected.is_some_and(|expected| expected != state.orders) => 409,
            _ => {
                state.orders += 1;
                state.swap_end = Some((Instant::now() + self.settings.swap, version));
                202
            }
        });
        let (at_ms, holder) = (self.record.ms(), body.text("holder").to_owned());
        let replica = self.settings.id.clone();
        self.record.line(format!(
            "{replica}: order for version {version} from {holder}, fencing token {fencing}: {status}"
        ));
        let order = Order { at_ms, replica, holder, fencing, status };
        self.orders.lock().expect("no thread fails with the lock").push(order);
        send(peer, status, "", "")
    }

    fn run(&self, peer: &mut Peer, request: &Message) -> bool {
        let header = |name| request.header(name).unwrap_or_default().to_owned();
        let (id, tenant, salt) = (header("Request-Id"), header("Tenant-Id"), header("Cache-Salt"));
        let version = self.with(|state| state.version);
        let expected = request.header("Expect-Version").and_then(|text| text.parse::<u64>().ok());
        if self.settings.model.is_some() && expected.is_some_and(|expected| expected != version) {
            return send(peer, 421, &format!("Request-Id: {id}\r\nNot-Executed: 1\r\n"), "");
        }
        let parts: Vec<String> = header("Prefix-Hash")
            .split(',')
            .filter_map(|part| Some(part.split_once(':')?.0.to_owned()))
            .collect();
        let found = self.with(|state| {
            let mut found = Vec::new();
            let mut is_kept = true;
            for part in &parts {
                let key = (salt.clone(), part.clone());
                match state.cache.get(&key).filter(|_| is_kept) {
                    Some(maker) => found.push((part.clone(), maker.clone())),
                    // A part is used only if all before it are kept too.
                    None => {
                        is_kept = false;
                        state.cache.insert(key, tenant.clone());
                    }
                }
            }
            state.runs.push(Run {
                request: id.clone(),
                tenant: tenant.clone(),
                found: found.clone(),
            });
            found
        });
        self.record.line(format!(
            "{} ({}): runs {id} {} for tenant {tenant}, Cache-Salt {salt:?}, cached parts {found:?}",
            self.settings.id,
            self.settings.software,
            request.target()
        ));
        let stamp = format!("Request-Id: {id}\r\nServer-Stamp: {}.{id}\r\n", self.settings.id);
        match self.settings.work {
            Work::Answer { ms } => {
                std::thread::sleep(Duration::from_millis(ms));
                let is_sent = send(peer, 200, &stamp, &format!("done {id}"));
                self.record.line(format!("{}: answers {id}", self.settings.id));
                is_sent
            }
            Work::Stream { events, gap_ms } => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{stamp}Weight-Versions: {version}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                let mut is_sent = peer.write(head.as_bytes()).is_ok();
                // A stream that is taken up goes on after the last event that has come.
                let last: u32 = header("Last-Event-Id").parse().unwrap_or(0);
                for number in last + 1..=events {
                    std::thread::sleep(Duration::from_millis(gap_ms));
                    let event = format!("id: {number}\ndata: t{number}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    is_sent = is_sent && peer.write(chunk.as_bytes()).is_ok();
                }
                is_sent = is_sent && peer.write(b"0\r\n\r\n").is_ok();
                let end = if is_sent { "has sent all of" } else { "was cut off in" };
                self.record.line(format!("{}: {end} {id}", self.settings.id));
                is_sent
            }
        }
    }
}

/// Serves streams that have neither a length nor chunks, as a process of its own. `settings` are its address, its id,
/// the number of events and the pause before each in milliseconds.
pub fn serve_unframed(settings: &[String]) -> Option<()> {
    let [address, id, events, gap_ms] = settings else { return None };
    let listener = std::net::TcpListener::bind(address).ok()?;
    let (id, events, gap_ms) = (id.clone(), events.parse::<u32>().ok()?, gap_ms.parse().ok()?);
    serve(listener, move |mut peer| {
        while let Some(request) = peer.read(false, None) {
            if request.header("Expect-Instance").is_some_and(|expected| expected != id) {
                let head = format!("Instance-Id: {id}\r\nNot-Executed: 1\r\n");
                if !send(&mut peer, 421, &head, "") {
                    return;
                }
                continue;
            }
            let name = request.header("Request-Id").unwrap_or_default();
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nServer-Stamp: {id}.{name}\r\n\
                 Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
                 Connection: close\r\n\r\n"
            );
            if peer.write(head.as_bytes()).is_err() {
                return;
            }
            for number in 1..=events {
                std::thread::sleep(Duration::from_millis(gap_ms));
                if peer.write(format!("id: {number}\ndata: t{number}\n\n").as_bytes()).is_err() {
                    return;
                }
            }
            return;
        }
    });
    loop {
        std::thread::park();
    }
}

fn send(peer: &mut Peer, status: u16, headers: &str, body: &str) -> bool {
    let text =
        format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    peer.write(text.as_bytes()).is_ok()
}
