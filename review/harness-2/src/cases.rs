//! The cases.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Request, last_event, send};
use crate::gateway::{Gateway, SIGKILL, SIGTERM, note_ended, note_started};
use crate::http::{Message, free_address};
use crate::record::Record;
use crate::replica::{Order, Replica, Settings, Work};
use crate::store::Store;

/// What breaks the rule, one line each; or why the case could not run.
type Outcome = Result<Vec<String>, String>;

const ZONES: [&str; 3] = ["brum-jq", "notts-lace", "wolves-ring"];

/// The zones of the gateways, as in the small site `mhsa-yuccapass`.
const GATEWAYS: [usize; 8] = [0, 0, 0, 0, 1, 1, 2, 2];

/// Time after which the platform sends the connections of clients to the gateways of other zones.
const NEXT_ZONES: Duration = Duration::from_millis(2_200);

/// Limit for a gateway to become ready.
const START_LIMIT: Duration = Duration::from_secs(15);

pub fn run(case: &str, is_disturbed: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    match case {
        "second-term" => second_term(is_disturbed, folder, record),
        "isolated-later" => isolated_later(is_disturbed, folder, record),
        "zone-streams" => zone_streams(is_disturbed, folder, record),
        "zone-out-of-step" => zone_out_of_step(is_disturbed, folder, record),
        "late-homes" => late_homes(is_disturbed, folder, record),
        "restored-keys" => restored_keys(is_disturbed, folder, record),
        "last-tenant" => last_tenant(is_disturbed, folder, record),
        "unframed-crash" => unframed_crash(is_disturbed, record, folder),
        "first-holder" => first_holder(is_disturbed, folder, record),
        _ => Err(format!("there is no case {case}")),
    }
}

struct Route {
    name: &'static str,
    kind: &'static str,
    service: &'static str,
    timeout_ms: u64,
    target_ms: u64,
    max_attempts: u32,
    is_sticky: bool,
    is_resumable: bool,
    is_public: bool,
}

#[derive(Clone, Copy)]
struct Tenant {
    name: &'static str,
    key: &'static str,
    is_isolated: bool,
}

const TENANTS: [Tenant; 2] = [
    Tenant { name: "framers", key: "key-of-framers", is_isolated: false },
    Tenant { name: "workshops", key: "key-of-workshops", is_isolated: false },
];

const ROUTES: [Route; 4] = [
    Route {
        name: "ledger-book",
        kind: "non_idempotent",
        service: "member-ledger",
        timeout_ms: 800,
        target_ms: 150,
        max_attempts: 1,
        is_sticky: false,
        is_resumable: false,
        is_public: false,
    },
    Route {
        name: "alloy-query",
        kind: "streaming",
        service: "bench-adviser",
        timeout_ms: 12_000,
        target_ms: 400,
        max_attempts: 1,
        is_sticky: true,
        is_resumable: false,
        is_public: false,
    },
    Route {
        name: "dossier-review",
        kind: "streaming",
        service: "bench-adviser",
        timeout_ms: 15_000,
        target_ms: 800,
        max_attempts: 2,
        is_sticky: true,
        is_resumable: true,
        is_public: false,
    },
    // The same for everybody.
    Route {
        name: "dossier-open",
        kind: "streaming",
        service: "bench-adviser",
        timeout_ms: 15_000,
        target_ms: 800,
        max_attempts: 2,
        is_sticky: true,
        is_resumable: true,
        is_public: true,
    },
];

fn configuration(version: u64, tenants: &[Tenant]) -> String {
    let routes = ROUTES.iter().map(|route| {
        format!(
            r#"{{"name":"{0}","host":"h.example","prefix":"/{0}/","kind":"{1}","timeout_ms":{2},"target_latency_ms":{3},"priority":1,"service":"{4}","max_attempts":{5},"public":{8},"sticky":{6},"resumable":{7},"gap_aim_ms":250,"allowed_regions":[]}}"#,
            route.name,
            route.kind,
            route.timeout_ms,
            route.target_ms,
            route.service,
            route.max_attempts,
            route.is_sticky,
            route.is_resumable,
            route.is_public
        )
    });
    let tenants = tenants.iter().map(|tenant| {
        format!(
            r#"{{"name":"{}","api_keys":["{}"],"priority":1,"isolated":{},"allowed_regions":[]}}"#,
            tenant.name, tenant.key, tenant.is_isolated
        )
    });
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"bench-adviser","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":13.0,"engine":{{"slots":64,"kv_capacity":144184,"kv_bytes":18432,"link_mbps":550000.0,"moves":true,"backups":true,"managed":true,"stride":6,"max_inflight":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"moe"}}]}}}},{{"name":"member-ledger","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        routes.collect::<Vec<_>>().join(","),
        tenants.collect::<Vec<_>>().join(",")
    )
}

/// A small deployment.
struct Deployment {
    store: Arc<Store>,
    ledgers: Vec<Arc<Replica>>,
    engines: Vec<Arc<Replica>>,
    orders: Arc<Mutex<Vec<Order>>>,
    gateways: Vec<Gateway>,
}

struct Size {
    /// The zone of each gateway.
    gateways: &'static [usize],
    /// The version of the software of each engine.
    engines: &'static [&'static str],
    engine_work: Work,
    ledger_work: Work,
    swap: Duration,
    first_era: u64,
}

/// The machines that the store turns away for a while.
#[derive(Default)]
struct TurnedAway {
    zone: usize,
    is_on: Arc<AtomicBool>,
}

impl Deployment {
    /// Starts the store and the replicas; the gateways follow with `start_gateways`.
    fn start(size: &Size, record: &Arc<Record>) -> Self {
        let store = Store::start(record, size.first_era);
        store.put("op/config", &configuration(2, &TENANTS));
        let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
        let start = |settings| Replica::start(settings, &store, record, &orders);
        let ledgers = (0..3).map(|number| {
            start(Settings {
                id: format!("i-ledger{number}"),
                service: "member-ledger",
                zone: ZONES[number],
                software: "v1",
                slots: 6,
                work: size.ledger_work,
                model: None,
                swap: size.swap,
            })
        });
        let ledgers = ledgers.collect();
        let engines = size.engines.iter().enumerate().map(|(number, software)| {
            start(Settings {
                id: format!("i-engine{number:02}"),
                service: "bench-adviser",
                zone: ZONES[number % ZONES.len()],
                software,
                slots: 64,
                work: size.engine_work,
                model: Some("moe"),
                swap: size.swap,
            })
        });
        let engines = engines.collect();
        Self { store, ledgers, engines, orders, gateways: Vec::new() }
    }

    fn start_gateways(
        &mut self,
        size: &Size,
        folder: &Path,
        record: &Arc<Record>,
    ) -> Result<(), String> {
        self.start_gateways_turned_away(size, &TurnedAway::default(), folder, record)
    }

    /// The same with a zone that the store can turn away.
    fn start_gateways_turned_away(
        &mut self,
        size: &Size,
        turned_away: &TurnedAway,
        folder: &Path,
        record: &Arc<Record>,
    ) -> Result<(), String> {
        for (number, &zone) in size.gateways.iter().enumerate() {
            let store = match zone == turned_away.zone {
                true => self.store.open_for_some(&turned_away.is_on),
                false => self.store.open(),
            };
            let zone = ZONES[zone];
            let name = format!("frontend-{zone}-{number}");
            let gateway = Gateway::start(&name, zone, store, folder, record);
            self.gateways.push(gateway.map_err(|error| format!("a gateway: {error}"))?);
        }
        let is_ready = |gateway: &Gateway| gateway.wait_until_ready(START_LIMIT);
        match self.gateways.iter().all(is_ready) {
            true => Ok(()),
            false => Err("a gateway is not ready".to_owned()),
        }
    }

    /// Returns whether a replica has begun to run a request.
    fn has_run(&self, id: &str) -> bool {
        let replicas = self.ledgers.iter().chain(&self.engines);
        replicas.flat_map(|replica| replica.runs()).any(|run| run.request == id)
    }
}

/// Sends requests at once, and returns the answers with their ids.
fn send_all(
    requests: Vec<Request>,
    address: std::net::SocketAddr,
    record: &Arc<Record>,
) -> Vec<thread::JoinHandle<(String, Option<Message>)>> {
    let send_one = |request: Request| {
        let record = Arc::clone(record);
        thread::spawn(move || {
            let answer = send(address, &request, &record);
            (request.id, answer)
        })
    };
    requests.into_iter().map(send_one).collect()
}

fn prompt(parts: &str) -> String {
    format!("Model-Id: moe\r\nToken-Count: 1460,80\r\nPrefix-Hash: {parts}\r\n")
}

/// LOST: a gateway that stops as planned gets SIGTERM once more.
fn second_term(is_disturbed: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    let size = Size {
        gateways: &GATEWAYS,
        engines: &["v1"; 9],
        engine_work: Work::Stream { events: 30, gap_ms: 100 },
        ledger_work: Work::Answer { ms: 300 },
        swap: Duration::from_millis(760),
        first_era: 1,
    };
    let mut deployment = Deployment::start(&size, record);
    deployment.start_gateways(&size, folder, record)?;
    thread::sleep(Duration::from_secs(3));
    let address = deployment.gateways[0].callers;
    let key = TENANTS[0].key;
    let probe = send(address, &Request::new("probe", "/ledger-book/1", key, 1_500), record);
    if probe.is_none_or(|answer| answer.status() != 200) {
        return Err("the deployment does not serve in calm".to_owned());
    }
    let streams = (0..8).map(|number| {
        let request = Request::new(&format!("stream-{number}"), "/alloy-query/1", key, 12_000);
        Request { more: prompt(&format!("aa{number}:800,bb{number}:200")), ..request }
    });
    let mut sent = send_all(streams.collect(), address, record);
    thread::sleep(Duration::from_millis(500));
    deployment.gateways[0].signal(SIGTERM);
    thread::sleep(Duration::from_millis(800));
    let bookings =
        (0..8).map(|number| Request::new(&format!("book-{number}"), "/ledger-book/1", key, 1_500));
    sent.extend(send_all(bookings.collect(), address, record));
    thread::sleep(Duration::from_millis(150));
    if is_disturbed {
        deployment.gateways[0].signal(SIGTERM);
    }
    let mut broken = Vec::new();
    for answer in sent {
        let Ok((id, answer)) = answer.join() else { return Err("a client failed".to_owned()) };
        let is_whole = answer.as_ref().is_some_and(|answer| answer.is_complete);
        if !is_whole && deployment.has_run(&id) {
            broken.push(format!("{id} was passed on to a replica and got no complete answer"));
        }
    }
    Ok(broken)
}

/// WALL: a tenant becomes isolated while the cache holds what it made before.
fn isolated_later(is_disturbed: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    let size = Size {
        gateways: &GATEWAYS,
        engines: &["v1"; 9],
        engine_work: Work::Stream { events: 3, gap_ms: 20 },
        ledger_work: Work::Answer { ms: 15 },
        swap: Duration::from_millis(760),
        first_era: 1,
    };
    let mut deployment = Deployment::start(&size, record);
    deployment.start_gateways(&size, folder, record)?;
    thread::sleep(Duration::from_secs(3));
    let address = deployment.gateways[0].callers;
    let ask = |id: &str, tenant: &Tenant, parts: String| {
        let request = Request::new(id, "/alloy-query/1", tenant.key, 12_000);
        let answer = send(address, &Request { more: prompt(&parts), ..request }, record);
        answer.is_some_and(|answer| answer.status() == 200 && answer.is_complete)
    };
    let [framers, workshops] = &TENANTS;
    for number in 0..6 {
        let parts = format!("5c{number}:800,0a{number}:200");
        if !ask(&format!("before-{number}"), framers, parts) {
            return Err("the deployment does not serve in calm".to_owned());
        }
    }
    let mut isolated = None;
    if is_disturbed {
        let changed = [Tenant { is_isolated: true, ..TENANTS[0] }, TENANTS[1]];
        deployment.store.put("op/config", &configuration(7, &changed));
        record
            .line(format!("store: version 7 is acknowledged, tenant {} is isolated", framers.name));
        isolated = Some(framers.name);
    }
    // Longer than `config_apply_ms`.
    thread::sleep(Duration::from_millis(4_000));
    for number in 0..6 {
        let parts = format!("5c{number}:800,0b{number}:200");
        ask(&format!("after-{number}"), workshops, parts);
    }
    let runs = deployment.engines.iter().flat_map(|replica| replica.runs());
    let after = runs.filter(|run| run.request.starts_with("after-"));
    let mut broken = Vec::new();
    let mut used = 0;
    for run in after {
        for (part, maker) in &run.found {
            used += 1;
            let is_wall = |name: &str| isolated == Some(name);
            if *maker != run.tenant && (is_wall(maker) || is_wall(&run.tenant)) {
                broken.push(format!(
                    "{} of tenant {} used part {part}, which a request of tenant {maker} made",
                    run.request, run.tenant
                ));
            }
        }
    }
    record.line(format!("{used} cached parts were used after the change"));
    Ok(broken)
}

/// LOST: all gateways of a zone end while two versions of the engines' software serve.
fn zone_streams(is_disturbed: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    const EVENTS: u32 = 40;
    let size = Size {
        gateways: &GATEWAYS,
        engines: &["v1", "v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2"],
        engine_work: Work::Stream { events: EVENTS, gap_ms: 100 },
        ledger_work: Work::Answer { ms: 15 },
        swap: Duration::from_millis(760),
        first_era: 1,
    };
    let mut deployment = Deployment::start(&size, record);
    deployment.start_gateways(&size, folder, record)?;
    // The gateways that stay are in touch.
    thread::sleep(Duration::from_secs(6));
    let addresses = |zone: usize| -> Vec<_> {
        let of_zone =
            deployment.gateways.iter().zip(&GATEWAYS).filter(|(_, known)| **known == zone);
        of_zone.map(|(gateway, _)| gateway.callers).collect()
    };
    let (leaving, staying) = (addresses(1), addresses(2));
    let stream = |id: &str, number: usize, more: &str| {
        let key = TENANTS[number % TENANTS.len()].key;
        let request = Request::new(id, "/dossier-review/1", key, 15_000);
        let parts = format!("5c{number}:800,0a{number}:200");
        Request { more: prompt(&parts) + more, ..request }
    };
    let take_up = |number: usize| {
        let id = format!("first-{number}");
        let (at, request) = (leaving[number % leaving.len()], stream(&id, number, ""));
        let (next, record) = (staying[number % staying.len()], Arc::clone(record));
        let headers = move |last: u32| format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
        let again = move |last: u32| stream(&format!("again-{number}"), number, &headers(last));
        let work = move || {
            let begun_at = Instant::now();
            let answer = send(at, &request, &record)?;
            let last = last_event(&answer);
            if answer.status() != 200 || answer.is_complete || last == 0 {
                return None;
            }
            // The platform sends new connections to the next zones once it has missed two answers.
            thread::sleep(NEXT_ZONES);
            let answer = send(next, &again(last).with_time_left(begun_at), &record);
            let goes_on =
                answer.is_some_and(|answer| answer.status() == 200 && last_event(&answer) > last);
            Some(goes_on)
        };
        thread::spawn(work)
    };
    let first: Vec<_> = (0..24).map(take_up).collect();
    thread::sleep(Duration::from_millis(1_500));
    if is_disturbed {
        for (gateway, _) in
            deployment.gateways.iter().zip(&GATEWAYS).filter(|(_, zone)| **zone == 1)
        {
            gateway.signal(SIGKILL);
        }
    }
    let new: Vec<Request> =
        (0..24).map(|number| stream(&format!("new-{number}"), number, "")).collect();
    let mut begun = 0;
    let answers: Vec<_> = new
        .into_iter()
        .enumerate()
        .flat_map(|(number, request)| {
            send_all(vec![request], staying[number % staying.len()], record)
        })
        .collect();
    let new = answers.len();
    for answer in answers {
        let (_, answer) = answer.join().map_err(|_| "a client failed")?;
        begun += usize::from(answer.is_some_and(|answer| last_event(&answer) > 0));
    }
    let mut taken_up = Vec::new();
    for client in first {
        taken_up.extend(client.join().map_err(|_| "a client failed")?);
    }
    let gone_on = taken_up.iter().filter(|goes_on| **goes_on).count();
    let text = format!(
        "of {} streams that clients took up again, {gone_on} went on; of {new} new ones {begun} began",
        taken_up.len()
    );
    record.line(&text);
    let share = |count: usize, all: usize| count as f64 / all as f64;
    let is_broken =
        taken_up.len() >= 12 && share(gone_on, taken_up.len()) < share(begun, new) / 2.0;
    Ok(if is_broken { vec![text] } else { Vec::new() })
}

/// ORDER: a zone that the store turns away goes on with streams of a version that it has not heard of.
fn zone_out_of_step(is_disturbed: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    const EVENTS: u32 = 40;
    let size = Size {
        gateways: &GATEWAYS,
        engines: &["v1"; 5],
        engine_work: Work::Stream { events: EVENTS, gap_ms: 100 },
        ledger_work: Work::Answer { ms: 15 },
        swap: Duration::from_millis(760),
        first_era: 1,
    };
    let mut deployment = Deployment::start(&size, record);
    let turned_away = TurnedAway { zone: 2, ..TurnedAway::default() };
    deployment.start_gateways_turned_away(&size, &turned_away, folder, record)?;
    thread::sleep(Duration::from_secs(6));
    let addresses = |zone: usize| -> Vec<_> {
        let of_zone =
            deployment.gateways.iter().zip(&GATEWAYS).filter(|(_, known)| **known == zone);
        of_zone.map(|(gateway, _)| gateway.callers).collect()
    };
    let (leaving, staying) = (addresses(1), addresses(2));
    if is_disturbed {
        turned_away.is_on.store(true, Ordering::SeqCst);
        record.line("store: gives the machines of wolves-ring no answers");
    }
    thread::sleep(Duration::from_millis(100));
    let joined: Vec<_> = (5..9)
        .map(|number| {
            let settings = Settings {
                id: format!("i-engine{number:02}"),
                service: "bench-adviser",
                zone: ZONES[number % ZONES.len()],
                software: "v2",
                slots: 64,
                work: size.engine_work,
                model: Some("moe"),
                swap: size.swap,
            };
            Replica::start(settings, &deployment.store, record, &deployment.orders)
        })
        .collect();
    record.line("four replicas of v2 have joined");
    thread::sleep(Duration::from_millis(900));
    let stream = |id: &str, number: usize, more: &str| {
        let request = Request::new(id, "/dossier-open/1", TENANTS[0].key, 15_000);
        let parts = format!("5c{number}:800,0a{number}:200");
        Request { more: prompt(&parts) + more, ..request }
    };
    let version_of = |answer: &Message| {
        let stamp = answer.header("Server-Stamp").unwrap_or_default();
        let is_new = joined.iter().any(|replica| stamp.starts_with(&replica.settings.id));
        if is_new { "v2" } else { "v1" }
    };
    // Returns the first answer, and the one to the client's second try.
    let client = |number: usize| {
        let id = format!("first-{number}");
        let (at, request) = (leaving[number % leaving.len()], stream(&id, number, ""));
        let (next, record) = (staying[number % staying.len()], Arc::clone(record));
        let headers = move |last: u32| format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
        let again = move |last: u32| stream(&format!("again-{number}"), number, &headers(last));
        thread::spawn(move || {
            let begun_at = Instant::now();
            let first = send(at, &request, &record)?;
            let last = last_event(&first);
            if first.status() != 200 || first.is_complete || last == 0 {
                return None;
            }
            thread::sleep(NEXT_ZONES);
            let second = send(next, &again(last).with_time_left(begun_at), &record)?;
            (last_event(&second) > last).then_some((first, second))
        })
    };
    let clients: Vec<_> = (0..24).map(client).collect();
    thread::sleep(Duration::from_millis(1_000));
    if is_disturbed {
        for (gateway, _) in
            deployment.gateways.iter().zip(&GATEWAYS).filter(|(_, zone)| **zone == 1)
        {
            gateway.signal(SIGKILL);
        }
        // The store turns the machines away for less than 9 s in all.
        let (is_on, record) = (Arc::clone(&turned_away.is_on), Arc::clone(record));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(6_700));
            is_on.store(false, Ordering::SeqCst);
            record.line("store: answers the machines of wolves-ring again");
        });
    }
    let mut mixed = Vec::new();
    for (number, client) in clients.into_iter().enumerate() {
        let Some((first, second)) = client.join().map_err(|_| "a client failed")? else { continue };
        let (begun, gone_on) = (version_of(&first), version_of(&second));
        record.line(format!("stream {number} began at {begun} and went on at {gone_on}"));
        if begun != gone_on {
            mixed.push(format!("stream {number} holds events of {begun} and of {gone_on}"));
        }
    }
    // The rule allows two.
    Ok(if mixed.len() > 2 { mixed } else { Vec::new() })
}

/// HOME: machines that the store turns away send requests to regions that a newer configuration doesn't allow.
fn late_homes(is_disturbed: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    let size = Size {
        gateways: &GATEWAYS,
        engines: &["v1"; 9],
        engine_work: Work::Stream { events: 3, gap_ms: 20 },
        ledger_work: Work::Answer { ms: 15 },
        swap: Duration::from_millis(760),
        first_era: 1,
    };
    let mut deployment = Deployment::start(&size, record);
    let turned_away = TurnedAway { zone: 2, ..TurnedAway::default() };
    deployment.start_gateways_turned_away(&size, &turned_away, folder, record)?;
    thread::sleep(Duration::from_secs(6));
    if is_disturbed {
        turned_away.is_on.store(true, Ordering::SeqCst);
        record.line("store: gives the machines of wolves-ring no answers");
    }
    thread::sleep(Duration::from_millis(200));
    let changed = configuration(7, &TENANTS);
    let open = changed.find(r#""name":"dossier-open""#).ok_or("there is no such route")?;
    let (before, route) = changed.split_at(open);
    let route = route.replacen(r#""allowed_regions":[]"#, r#""allowed_regions":["east-mids"]"#, 1);
    deployment.store.put("op/config", &format!("{before}{route}"));
    record.line("store: version 7 is acknowledged, dossier-open is served in east-mids only");
    thread::sleep(Duration::from_secs(4));
    let mut broken = Vec::new();
    let of_zone = deployment.gateways.iter().zip(&GATEWAYS).filter(|(_, zone)| **zone == 2);
    for (number, (gateway, _)) in of_zone.enumerate() {
        for repeat in 0..6 {
            let id = format!("after-{number}-{repeat}");
            let request = Request::new(&id, "/dossier-open/1", TENANTS[0].key, 15_000);
            let parts = format!("5c{repeat}:800,0a{repeat}:200");
            send(gateway.callers, &Request { more: prompt(&parts), ..request }, record);
            for engine in &deployment.engines {
                let has_run = engine.runs().iter().any(|run| run.request == id);
                if has_run && engine.settings.zone != "notts-lace" {
                    broken.push(format!("{id} has run in {}", engine.settings.zone));
                }
            }
        }
    }
    turned_away.is_on.store(false, Ordering::SeqCst);
    Ok(broken)
}

/// CONFIG: a gateway starts while the store comes back from a copy that still has a key which was taken away.
fn restored_keys(is_disturbed: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    const REMOVED: usize = 4;
    let size = Size {
        gateways: &GATEWAYS,
        engines: &["v1"; 9],
        engine_work: Work::Stream { events: 3, gap_ms: 20 },
        ledger_work: Work::Answer { ms: 15 },
        swap: Duration::from_millis(760),
        first_era: 1,
    };
    let mut deployment = Deployment::start(&size, record);
    deployment.start_gateways(&size, folder, record)?;
    thread::sleep(Duration::from_secs(5));
    let copy = deployment.store.copy();
    deployment.store.put("op/config", &configuration(7, &TENANTS[1..]));
    record.line("store: version 7 is acknowledged, tenant framers and its key are gone");
    thread::sleep(Duration::from_secs(7));
    if is_disturbed {
        let name = deployment.gateways[REMOVED].name.clone();
        deployment.gateways[REMOVED].signal(SIGKILL);
        drop(deployment.gateways.remove(REMOVED));
        record.line("store: is away and comes back from a copy of 7 s ago");
        let (store, away) = (Arc::clone(&deployment.store), Duration::from_millis(500));
        thread::spawn(move || store.come_back_from(&copy, away, Duration::from_secs(1)));
        thread::sleep(Duration::from_millis(300));
        let address = deployment.store.open();
        let started = Gateway::start(&name, ZONES[GATEWAYS[REMOVED]], address, folder, record);
        let started = started.map_err(|error| format!("a gateway: {error}"))?;
        deployment.gateways.insert(REMOVED, started);
    }
    let mut broken = Vec::new();
    for number in 0..80 {
        thread::sleep(Duration::from_millis(50));
        let request =
            Request::new(&format!("after-{number}"), "/ledger-book/1", TENANTS[0].key, 1_500);
        send(deployment.gateways[REMOVED].callers, &request, record);
        if deployment.has_run(&request.id) {
            broken.push(format!("{} has run with a key that was taken away", request.id));
        }
    }
    Ok(broken)
}

/// CONFIG and ROUTE: the operator takes the keys of all tenants away, one tenant after the other.
fn last_tenant(is_disturbed: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    let size = Size {
        gateways: &GATEWAYS,
        engines: &["v1"; 9],
        engine_work: Work::Stream { events: 3, gap_ms: 20 },
        ledger_work: Work::Answer { ms: 15 },
        swap: Duration::from_millis(760),
        first_era: 1,
    };
    let mut deployment = Deployment::start(&size, record);
    deployment.start_gateways(&size, folder, record)?;
    thread::sleep(Duration::from_secs(3));
    let ask = |id: &str, key: &str| {
        let request = Request::new(id, "/ledger-book/1", key, 1_500);
        send(deployment.gateways[0].callers, &request, record).map_or(0, |answer| answer.status())
    };
    let [framers, workshops] = &TENANTS;
    if ask("before-framers", framers.key) != 200 || ask("before-workshops", workshops.key) != 200 {
        return Err("the deployment does not serve in calm".to_owned());
    }
    if ask("before-stranger", "key-of-nobody") != 401 {
        return Err("a key that no configuration holds is not refused in calm".to_owned());
    }
    if is_disturbed {
        deployment.store.put("op/config", &configuration(7, &TENANTS[1..]));
        record.line("store: version 7 is acknowledged, tenant framers and its key are gone");
        // Longer than `revoke_ms`.
        thread::sleep(Duration::from_secs(7));
        let status = ask("framers-gone", framers.key);
        record.line(format!("with one tenant left, the key of framers gets {status}"));
        deployment.store.put("op/config", &configuration(9, &[]));
        record.line("store: version 9 is acknowledged, tenant workshops and its key are gone");
    }
    thread::sleep(Duration::from_secs(7));
    let keys = [framers.key, workshops.key, "key-of-nobody"];
    let mut broken = Vec::new();
    for (number, gateway) in deployment.gateways.iter().enumerate() {
        for key in keys {
            let id = format!("after-{number}-{key}");
            let request = Request::new(&id, "/ledger-book/1", key, 1_500);
            send(gateway.callers, &request, record);
            let is_held = !is_disturbed && key != "key-of-nobody";
            if deployment.has_run(&id) && !is_held {
                broken.push(format!("{id} has run, though its key is not held"));
            }
        }
    }
    Ok(broken)
}

/// A replica that is a process of its own, which ends when this is dropped.
struct ReplicaProcess(std::process::Child);

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        // It fails only if the process has ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
        note_ended(self.0.id());
    }
}

/// ORDER: a replica ends between two events of streams that have neither a length nor chunks.
fn unframed_crash(is_disturbed: bool, record: &Arc<Record>, folder: &Path) -> Outcome {
    const EVENTS: u32 = 30;
    let size = Size {
        gateways: &GATEWAYS,
        engines: &[],
        engine_work: Work::Answer { ms: 15 },
        ledger_work: Work::Answer { ms: 15 },
        swap: Duration::from_millis(760),
        first_era: 1,
    };
    let mut deployment = Deployment::start(&size, record);
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut engines = Vec::new();
    for number in 0..9 {
        let (id, address) = (format!("i-engine{number:02}"), free_address());
        let settings = [address.to_string(), id.clone(), EVENTS.to_string(), "100".to_owned()];
        let process = std::process::Command::new(&program)
            .arg("unframed-replica")
            .args(settings)
            .stdin(std::process::Stdio::null())
            .spawn()
            .map_err(|error| error.to_string())?;
        note_started(process.id());
        record.line(format!("replica {id} starts at {address} (process {})", process.id()));
        engines.push(ReplicaProcess(process));
        let (store, zone) = (Arc::clone(&deployment.store), ZONES[number % ZONES.len()]);
        // Its entry is written for it.
        thread::spawn(move || {
            for beat in 1.. {
                let entry = format!(
                    r#"{{"service":"bench-adviser","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"stage":"colocated","models":[{{"name":"moe","version":1,"adapters":[]}}],"sequence":{beat},"born":1780000000000}}"#
                );
                store.put(&format!("servers/{id}"), &entry);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
    deployment.start_gateways(&size, folder, record)?;
    thread::sleep(Duration::from_secs(5));
    let streams: Vec<Request> = (0..24)
        .map(|number| {
            let key = TENANTS[number % TENANTS.len()].key;
            let request = Request::new(&format!("stream-{number}"), "/alloy-query/1", key, 12_000);
            Request { more: prompt(&format!("5c{number}:800,0a{number}:200")), ..request }
        })
        .collect();
    let sent: Vec<_> = streams
        .into_iter()
        .enumerate()
        .flat_map(|(number, request)| {
            let gateway = &deployment.gateways[number % deployment.gateways.len()];
            send_all(vec![request], gateway.callers, record)
        })
        .collect();
    thread::sleep(Duration::from_millis(1_550));
    if is_disturbed {
        for engine in engines.drain(..2) {
            record.line(format!("replica process {} is killed", engine.0.id()));
            drop(engine);
        }
    }
    let mut broken = Vec::new();
    for answer in sent {
        let (id, answer) = answer.join().map_err(|_| "a client failed")?;
        let Some(answer) = answer else { continue };
        let last = last_event(&answer);
        if answer.status() == 200 && answer.is_complete && last < EVENTS {
            broken.push(format!("{id} ended as complete after event {last} of {EVENTS}"));
        }
    }
    Ok(broken)
}

/// ONE: the store comes back from a copy that is older than the first holder.
fn first_holder(is_disturbed: bool, folder: &Path, record: &Arc<Record>) -> Outcome {
    const LEASE_MS: u64 = 3_000;
    let size = Size {
        gateways: &GATEWAYS,
        engines: &["v1"; 18],
        engine_work: Work::Stream { events: 3, gap_ms: 20 },
        ledger_work: Work::Answer { ms: 15 },
        swap: Duration::from_millis(1_100),
        first_era: 0,
    };
    let mut deployment = Deployment::start(&size, record);
    let copy = deployment.store.copy();
    record.line("store: a copy is made");
    deployment.start_gateways(&size, folder, record)?;
    thread::sleep(Duration::from_secs(4));
    deployment.store.put("op/version/moe", r#"{"model":"moe","version":2}"#);
    record.line("store: version 2 of the weights is acknowledged");
    let accepted = || {
        let orders = deployment.orders.lock().expect("no thread fails with the lock");
        orders.iter().filter(|order| order.status == 202).count()
    };
    // The leader has ordered a third of the engines, and orders the next ones in a second.
    for _ in 0..200 {
        if accepted() >= 6 {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    if accepted() < 6 {
        return Err("nobody ordered new weights".to_owned());
    }
    if is_disturbed {
        thread::sleep(Duration::from_millis(300));
        record.line("store: is away and comes back from the copy");
        deployment.store.come_back_from(&copy, Duration::from_millis(200), Duration::ZERO);
        record.line("store: is back");
    }
    thread::sleep(Duration::from_secs(12));
    let orders = deployment.orders.lock().expect("no thread fails with the lock").clone();
    let versions: Vec<u64> = deployment.engines.iter().map(|engine| engine.version()).collect();
    record.line(format!("versions at the end: {versions:?}"));
    let mut broken = Vec::new();
    for (position, earlier) in orders.iter().enumerate() {
        let near = orders[position..]
            .iter()
            .find(|later| later.holder != earlier.holder && later.at_ms - earlier.at_ms < LEASE_MS);
        if let Some(later) = near {
            broken.push(format!(
                "{} ordered {} with token {}, and {} ordered {} with token {} only {} ms later",
                earlier.holder,
                earlier.replica,
                earlier.fencing,
                later.holder,
                later.replica,
                later.fencing,
                later.at_ms - earlier.at_ms
            ));
        }
    }
    Ok(broken)
}
