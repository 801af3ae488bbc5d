//! A stand-in of the platform's metadata store: linearizable, with leases and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer, listen};
use crate::json::{Json, base64};

/// Entries of a page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (u64, Instant)>,
    next_lease: u64,
    // The watches that have begun: machine, prefix and when.
    watches: BTreeMap<(String, String), Instant>,
    // Connections that were opened before are silent.
    silent_before: Option<Instant>,
    // Machines that the store turns away with 503 while it serves the others.
    refused: Vec<String>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let store = Self { shared: Arc::new((Mutex::default(), Condvar::new())) };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.expire();
            }
        });
        store
    }

    /// Opens an address for one machine, so that its calls can be told from those of others.
    pub fn address_for(&self, machine: &str) -> SocketAddr {
        let (store, machine) = (self.clone(), machine.to_owned());
        listen(move |connection| store.serve(connection, &machine))
    }

    /// Writes a value as the operator or a replica does; returns when the store has accepted it.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, base64(value.as_bytes()), 0));
    }

    pub fn delete(&self, key: &str) {
        self.change(|state| state.delete(key));
    }

    /// When a machine's newest watch of a prefix has begun.
    pub fn watch_began(&self, machine: &str, prefix: &str) -> Option<Instant> {
        self.lock().watches.get(&(machine.to_owned(), prefix.to_owned())).copied()
    }

    /// All connections that are open now go silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.lock().silent_before = Some(Instant::now());
    }

    /// From now on these machines get 503 for every call; calls of theirs that wait are cut.
    pub fn refuse(&self, machines: &[&str]) {
        self.change(|state| state.refused = machines.iter().map(|&name| name.to_owned()).collect());
    }

    fn is_refused(&self, machine: &str) -> bool {
        self.lock().refused.iter().any(|refused| refused == machine)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.0.lock().expect("no call has failed")
    }

    fn change<R>(&self, action: impl FnOnce(&mut State) -> R) -> R {
        let result = action(&mut self.lock());
        self.shared.1.notify_all();
        result
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| lease.1 <= now).map(|(id, _)| *id).collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        drop(state);
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn is_silent(&self, opened: Instant) -> bool {
        self.lock().silent_before.is_some_and(|before| opened <= before)
    }

    fn serve(&self, mut connection: Connection, machine: &str) {
        let opened = Instant::now();
        while let Ok(Some(request)) = connection.read() {
            if self.is_silent(opened) {
                break;
            }
            let reply = match self.is_refused(machine) {
                true => answer(503, "", ""),
                false => self.reply(&request, machine, opened),
            };
            if self.is_silent(opened) || connection.write(&reply).is_err() {
                break;
            }
        }
        if self.is_silent(opened) {
            // Nothing is read, written or closed any more.
            thread::sleep(Duration::from_secs(600));
        }
    }

    fn reply(&self, request: &Message, machine: &str, opened: Instant) -> Vec<u8> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&body).unwrap_or(Json::Null);
        match (request.method(), request.path()) {
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-key") => {
                let key = request.query("key").unwrap_or_default();
                let state = self.lock();
                match state.items.get(&key) {
                    Some(item) => ok(&item_json(&key, item)),
                    None => answer(404, "", ""),
                }
            }
            ("GET", "/kv-watch") => self.watch(request, machine, opened),
            ("POST", "/kv-txn") => self.change(|state| state.transact(&body)),
            ("POST", "/kv-lease") => self.change(|state| state.grant(body.number_of("ttl_ms"))),
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or_default();
                match self.lock().leases.get_mut(&lease) {
                    Some((ttl_ms, end)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl_ms);
                        ok(&format!("{{\"ttl_ms\":{ttl_ms}}}"))
                    }
                    None => answer(404, "", ""),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or_default();
                match self.change(|state| state.end_lease(lease)) {
                    true => ok("{}"),
                    false => answer(404, "", ""),
                }
            }
            _ => answer(400, "", ""),
        }
    }

    fn range(&self, request: &Message) -> Vec<u8> {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.lock();
        let found: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let has_more = found.len() > PAGE;
        let items = found[..found.len().min(PAGE)].join(",");
        let revision = state.revision;
        ok(&format!("{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{revision}}}"))
    }

    fn watch(&self, request: &Message, machine: &str, opened: Instant) -> Vec<u8> {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let (after, wait_ms): (u64, u64) =
            (number("after").unwrap_or_default(), number("wait_ms").unwrap_or_default());
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        state.watches.insert((machine.to_owned(), prefix.clone()), Instant::now());
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .map(event_json)
                .collect();
            let now = Instant::now();
            let is_silent = state.silent_before.is_some_and(|before| opened <= before);
            if state.refused.iter().any(|refused| refused == machine) {
                return answer(503, "", "");
            }
            if !events.is_empty() || now >= end || is_silent {
                let revision = state.revision;
                let events = events.join(",");
                return ok(&format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
            }
            state = self.shared.1.wait_timeout(state, end - now).expect("no call has failed").0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { revision: self.revision, key: key.to_owned(), item: Some(item) });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event { revision: self.revision, key: key.to_owned(), item: None });
        }
    }

    fn grant(&mut self, ttl_ms: u64) -> Vec<u8> {
        let ttl_ms = ttl_ms.clamp(1_000, 600_000);
        self.next_lease += 1;
        let end = Instant::now() + Duration::from_millis(ttl_ms);
        self.leases.insert(self.next_lease, (ttl_ms, end));
        ok(&format!("{{\"lease\":{},\"ttl_ms\":{ttl_ms}}}", self.next_lease))
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let was_known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| lease != 0 && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.delete(key));
        was_known
    }

    fn transact(&mut self, body: &Json) -> Vec<u8> {
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let expected = body.list("expected");
        let holds =
            |row: &Json| revision_of(self, &row.text_of("key")) == row.number_of("revision");
        if !expected.iter().all(holds) {
            let found: Vec<String> = expected
                .iter()
                .map(|row| row.text_of("key"))
                .filter_map(|key| self.items.get(&key).map(|item| item_json(&key, item)))
                .collect();
            let items = found.join(",");
            let body = format!("{{\"items\":[{items}],\"current_rev\":{}}}", self.revision);
            return answer(412, "Content-Type: application/json\r\n", &body);
        }
        let leases: Vec<u64> =
            body.list("writes").iter().map(|row| row.number_of("lease")).collect();
        if leases.iter().any(|lease| *lease != 0 && !self.leases.contains_key(lease)) {
            return answer(404, "", "");
        }
        for row in body.list("writes") {
            self.put(&row.text_of("key"), row.text_of("value"), row.number_of("lease"));
        }
        for key in body.list("deletes").iter().filter_map(Json::text) {
            self.delete(key);
        }
        ok(&format!("{{\"revision\":{}}}", self.revision))
    }
}

fn ok(json: &str) -> Vec<u8> {
    answer(200, "Content-Type: application/json\r\n", json)
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created_rev\":{created},\"lease\":{lease}}}"
    )
}

fn event_json(event: &Event) -> String {
    match &event.item {
        Some(item) => item_json(&event.key, item),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
            event.key, event.revision
        ),
    }
}
