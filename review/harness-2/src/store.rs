//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Peer, listen, serve};
use crate::json::{Json, base64, from_base64};
use crate::record::Record;

/// Shortest time to live of a lease, as in the settings of the small deployments.
const TTL_MIN_MS: u64 = 1_000;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    era: u64,
    // Revision before which the history was dropped.
    dropped: u64,
}

/// A copy of the store.
pub struct Copy(State);

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    is_away: AtomicBool,
    record: Arc<Record>,
}

enum Answer {
    Send(u16, String),
    Cut,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((self.revision, key.to_owned(), Some(item)));
        self.revision
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.delete(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(&id, _)| id).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created_rev":{},"lease":{}}}"#,
        base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    /// Starts a store that has never come back from a copy. `first_era` is what `Store-Era` says then.
    pub fn start(record: &Arc<Record>, first_era: u64) -> Arc<Self> {
        let state = State { revision: 1, era: first_era, ..State::default() };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            is_away: AtomicBool::new(false),
            record: Arc::clone(record),
        })
    }

    /// Opens another address of the store.
    pub fn open(self: &Arc<Self>) -> SocketAddr {
        self.open_for_some(&Arc::default())
    }

    /// Opens another address of the store, which gives no answers while `turns_away` is true.
    pub fn open_for_some(self: &Arc<Self>, turns_away: &Arc<AtomicBool>) -> SocketAddr {
        let (listener, address) = listen();
        let (store, turns_away) = (Arc::clone(self), Arc::clone(turns_away));
        serve(listener, move |peer| store.connection(peer, &turns_away));
        address
    }

    fn with<R>(&self, action: impl FnOnce(&mut State) -> R) -> R {
        let mut state = self.state.lock().expect("no thread fails with the lock");
        state.expire();
        let result = action(&mut state);
        self.changed.notify_all();
        result
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.with(|state| state.put(key, value.as_bytes().to_vec(), 0))
    }

    /// Copies what is stored now.
    pub fn copy(&self) -> Copy {
        Copy(self.with(|state| state.clone()))
    }

    /// Is away for a moment and comes back from the copy. What the operator and the replicas wrote is written again, the
    /// configuration `later` than the rest; what the system wrote since is gone, and all leases are.
    pub fn come_back_from(&self, copy: &Copy, away: Duration, later: Duration) {
        self.is_away.store(true, Ordering::SeqCst);
        std::thread::sleep(away);
        let is_others = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let configuration = self.with(|state| {
            let outside: Vec<(String, Vec<u8>)> = state
                .items
                .iter()
                .filter(|(key, _)| is_others(key))
                .map(|(key, item)| (key.clone(), item.value.clone()))
                .collect();
            let era = state.era + 1;
            let next_lease = copy.0.next_lease;
            *state = State { era, next_lease, leases: BTreeMap::new(), ..copy.0.clone() };
            state.items.retain(|_, item| item.lease == 0);
            let mut configuration = None;
            for (key, value) in outside {
                if key == "op/config" {
                    configuration = Some(value);
                } else if state.items.get(&key).map(|item| &item.value) != Some(&value) {
                    state.put(&key, value, 0);
                }
            }
            configuration
        });
        self.is_away.store(false, Ordering::SeqCst);
        std::thread::sleep(later);
        self.with(|state| {
            let known = state.items.get("op/config").map(|item| item.value.clone());
            if let Some(configuration) =
                configuration.filter(|wanted| known.as_ref() != Some(wanted))
            {
                state.put("op/config", configuration, 0);
            }
        });
    }

    fn connection(&self, mut peer: Peer, turns_away: &AtomicBool) {
        while let Some(request) = peer.read(false, None) {
            if turns_away.load(Ordering::SeqCst) {
                // Nothing further comes on a connection on which an answer was lost.
                while peer.read(false, None).is_some() {}
                return;
            }
            let era = self.with(|state| state.era);
            let answer = match self.is_away.load(Ordering::SeqCst) {
                true => Answer::Send(503, "{}".to_owned()),
                false => self.answer(&request, era),
            };
            let Answer::Send(status, body) = answer else { return };
            // An answer that is ready when the store goes away is lost.
            let now_era = self.with(|state| state.era);
            if now_era != era {
                return;
            }
            if turns_away.load(Ordering::SeqCst) {
                while peer.read(false, None).is_some() {}
                return;
            }
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if peer.write(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, era: u64) -> Answer {
        let send = |status: u16, body: String| Answer::Send(status, body);
        match request.path() {
            "/kv-key" => self.with(|state| {
                let key = request.query("key");
                match state.items.get(&key) {
                    Some(item) => send(200, item_json(&key, item)),
                    None => send(404, "{}".to_owned()),
                }
            }),
            "/kv-range" => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                self.with(|state| {
                    let items: Vec<String> = state
                        .items
                        .iter()
                        .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                        .map(|(key, item)| item_json(key, item))
                        .collect();
                    let body = format!(
                        r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
                        items.join(","),
                        state.revision
                    );
                    send(200, body)
                })
            }
            "/kv-watch" => self.watch(request, era),
            "/kv-txn" => self.transact(request),
            "/kv-lease" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl_ms = (body.number("ttl_ms") as u64).clamp(TTL_MIN_MS, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                self.with(|state| {
                    state.next_lease += 1;
                    state.leases.insert(state.next_lease, (ttl, Instant::now() + ttl));
                    send(200, format!(r#"{{"lease":{},"ttl_ms":{ttl_ms}}}"#, state.next_lease))
                })
            }
            path => {
                let id = |prefix| path.strip_prefix(prefix).and_then(|id: &str| id.parse().ok());
                if let Some(lease) = id("/kv-keep/") {
                    return self.with(|state| match state.leases.get_mut(&lease) {
                        Some((ttl, end)) => {
                            *end = Instant::now() + *ttl;
                            send(200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                        }
                        None => send(404, "{}".to_owned()),
                    });
                }
                match id("/kv-lease-end/") {
                    Some(lease) => {
                        self.with(|state| state.end_lease(lease));
                        send(200, "{}".to_owned())
                    }
                    None => send(404, "{}".to_owned()),
                }
            }
        }
    }

    fn watch(&self, request: &Message, era: u64) -> Answer {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().expect("no thread fails with the lock");
        loop {
            state.expire();
            if state.era != era || self.is_away.load(Ordering::SeqCst) {
                return Answer::Cut;
            }
            if after > state.revision || after < state.dropped {
                return Answer::Send(410, format!(r#"{{"current_rev":{}}}"#, state.revision));
            }
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let body = format!(
                    r#"{{"events":[{}],"current_rev":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return Answer::Send(200, body);
            }
            // Leases end without a call.
            let step = (end - now).min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, step).expect("no thread fails").0;
        }
    }

    fn transact(&self, request: &Message) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        self.with(|state| {
            let is_met = |row: &Json| {
                let known = state.items.get(row.text("key")).map_or(0, |item| item.revision);
                known == row.number("revision") as u64
            };
            if !body.list("expected").iter().all(is_met) {
                let items: Vec<String> = body
                    .list("expected")
                    .iter()
                    .filter_map(|row| {
                        let key = row.text("key");
                        state.items.get(key).map(|item| item_json(key, item))
                    })
                    .collect();
                return Answer::Send(412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
            }
            let has_ended = |row: &Json| {
                let lease = row.number("lease") as u64;
                lease != 0 && !state.leases.contains_key(&lease)
            };
            if body.list("writes").iter().any(has_ended) {
                return Answer::Send(404, "{}".to_owned());
            }
            for row in body.list("writes") {
                let value = from_base64(row.text("value"));
                if row.text("key").starts_with("yuccapass/weights/") {
                    let text = String::from_utf8_lossy(&value);
                    self.record.line(format!("store: {} = {text}", row.text("key")));
                }
                state.put(row.text("key"), value, row.number("lease") as u64);
            }
            for key in body.list("deletes") {
                if let Json::Text(key) = key {
                    state.delete(key);
                }
            }
            Answer::Send(200, format!(r#"{{"revision":{}}}"#, state.revision))
        })
    }
}
