//! Measures the configuration: `measure_config [ORGANISATIONS]`.
//!
//! `measure_config ORGANISATIONS write | measure_config 0 assemble` passes the manifest and the
//! chunks, one a line, to a second process and measures the document that it puts together, as on a
//! node that starts.
//!
//! Prints the bytes of the document and of its chunks, the bytes that one change moves, the
//! processor time of a change and of putting it in force, and the resident bytes of the document.
//! Each size is measured in a process of its own, since freed memory stays with the process.

use std::time::Duration;

use yuccapass_decisions::change::{Change, Command, ExecuteOutcome, NextConfig, execute};
use yuccapass_decisions::config::{
    Action, ActiveConfig, ChunkHash, ConfigSync, DEFAULT_BLOCK_PAYLOAD, Document, Endpoint, Model,
    Organisation, Source, Zone, ZoneState,
};
use yuccapass_types::{Instant, KeyHash, Revision, TokensPerSecond};

/// Changes over which times and bytes are averaged; a quarter of them create an organisation.
const CHANGES: usize = 40;

/// Revisions that are held at the same time.
const HELD: usize = 100;

/// Endpoints of the target size.
const ENDPOINTS: usize = 850;

fn main() {
    let argument = std::env::args().nth(1);
    let count = argument.map_or(Ok(23_000), |text| text.parse());
    let Ok(count) = count else {
        eprintln!("usage: measure_config [ORGANISATIONS]");
        return;
    };
    match std::env::args().nth(2).as_deref() {
        Some("write") => write(count),
        Some("assemble") => assemble(),
        _ => measure(count),
    }
}

fn write(count: usize) {
    let config = ActiveConfig::from_document(document(count)).expect("the document is valid");
    println!("{}", String::from_utf8_lossy(&config.manifest().encode()));
    let chunks = config.manifest().chunks.iter().filter_map(|hash| config.chunk_bytes(hash));
    chunks.for_each(|bytes| println!("{}", String::from_utf8_lossy(&bytes)));
}

fn assemble() {
    let mut lines = std::io::stdin().lines().map_while(Result::ok);
    let manifest = lines.next().unwrap_or_default();
    let now = Instant::from_ms(0);
    let mut holder = ConfigSync::default();
    let before_bytes = resident_bytes();
    let start = processor_time();
    holder.offer_manifest(now, Source::Platform, manifest.as_bytes());
    for line in lines {
        let hash = ChunkHash::of(line.as_bytes());
        holder.offer_chunk(now, Source::Platform, hash, line.as_bytes());
    }
    let time = processor_time() - start;
    let Some(active) = holder.active() else { return eprintln!("the document is not complete") };
    println!("organisations {}", active.document().organisations.len());
    println!(
        "processor time to put the first document in force {:.2} ms",
        time.as_secs_f64() * 1e3
    );
    println!(
        "resident bytes of a document put together from chunks {}",
        resident_bytes() - before_bytes
    );
}

fn measure(count: usize) {
    let before_bytes = resident_bytes();
    let config = ActiveConfig::from_document(document(count)).expect("the document is valid");
    let active_bytes = resident_bytes().saturating_sub(before_bytes);
    let sizes: Vec<usize> = config
        .manifest()
        .chunks
        .iter()
        .map(|hash| config.chunk_bytes(hash).map_or(0, |bytes| bytes.len()))
        .collect();
    let document_bytes: usize = sizes.iter().sum();
    println!("organisations {count}");
    println!("document bytes {document_bytes}");
    println!(
        "chunks {}, largest {} bytes, mean {} bytes",
        sizes.len(),
        sizes.iter().max().copied().unwrap_or_default(),
        document_bytes / sizes.len().max(1)
    );
    println!("resident bytes of the active document {active_bytes}");
    measure_changes(config, count);
}

/// Applies changes, and passes each to a second node that puts it in force.
fn measure_changes(mut current: ActiveConfig, count: usize) {
    let mut holder = ConfigSync::new(Some(current.clone()));
    let mut totals = Totals::default();
    for number in 0..CHANGES {
        let command = Command {
            id: format!("measure-command-{number:08}").parse().expect("a valid id"),
            change: change(number, count),
            expected_revision: None,
        };
        let start = processor_time();
        let next = execute(&current, &command);
        totals.execute += processor_time() - start;
        let Ok(ExecuteOutcome::Write(next)) = next else { panic!("{next:?}") };
        totals.add_bytes(&next);
        let start = processor_time();
        put_in_force(&mut holder, &next);
        totals.put_in_force += processor_time() - start;
        current = next.config;
    }
    assert_eq!(holder.active().map(|active| &**active), Some(&current));
    totals.print();
    measure_held(current, count);
}

/// Measures what a revision costs that running requests still hold when newer ones are in force.
fn measure_held(current: ActiveConfig, count: usize) {
    let mut held = vec![current];
    let before_bytes = resident_bytes();
    for number in CHANGES..CHANGES + HELD {
        let command = Command {
            id: format!("measure-command-{number:08}").parse().expect("a valid id"),
            change: change(number, count),
            expected_revision: None,
        };
        let Some(newest) = held.last() else { return };
        let Ok(ExecuteOutcome::Write(next)) = execute(newest, &command) else { return };
        held.push(next.config);
    }
    let bytes = resident_bytes().saturating_sub(before_bytes) / HELD;
    println!("resident bytes of each further revision that requests hold {bytes}");
}

fn put_in_force(holder: &mut ConfigSync, next: &NextConfig) {
    let now = Instant::from_ms(0);
    let manifest = next.config.manifest().encode();
    let mut actions = holder.offer_manifest(now, Source::Platform, &manifest);
    while let Some(Action::RequestChunk { source, hash, .. }) = actions.pop() {
        let found = next.new_chunks.iter().find(|(new, _)| *new == hash);
        let (_, bytes) = found.expect("only new chunks are asked for");
        actions.extend(holder.offer_chunk(now, source, hash, bytes));
    }
}

#[derive(Default)]
struct Totals {
    execute: Duration,
    put_in_force: Duration,
    manifest_bytes: usize,
    chunk_bytes: usize,
    chunks: usize,
}

impl Totals {
    fn add_bytes(&mut self, next: &NextConfig) {
        self.manifest_bytes += next.config.manifest().encode().len();
        self.chunk_bytes += next.new_chunks.iter().map(|(_, bytes)| bytes.len()).sum::<usize>();
        self.chunks += next.new_chunks.len();
    }

    fn print(&self) {
        let mean_ms = |total: Duration| total.as_secs_f64() * 1e3 / CHANGES as f64;
        println!(
            "one change moves {} bytes: manifest {}, new chunks {} in {:.2} chunks",
            (self.manifest_bytes + self.chunk_bytes) / CHANGES,
            self.manifest_bytes / CHANGES,
            self.chunk_bytes / CHANGES,
            self.chunks as f64 / CHANGES as f64
        );
        println!("processor time to apply a change {:.2} ms", mean_ms(self.execute));
        println!("processor time to put it in force {:.2} ms", mean_ms(self.put_in_force));
    }
}

fn change(number: usize, count: usize) -> Change {
    let limit = TokensPerSecond::new(1_000);
    match number % 4 {
        0 => {
            let organisation = format!("new-organisation-{number:06}").parse().expect("a valid id");
            Change::CreateOrganisation { organisation, share: 1, limit }
        }
        _ => Change::SetShare(organisation_name(number * 7_919 % count), 2 + number as u32),
    }
}

fn organisation_name(number: usize) -> yuccapass_types::OrganisationId {
    // Names of 28 bytes: longer than the 23 that are kept without an allocation.
    format!("member-organisation-{number:08}").parse().expect("a valid id")
}

fn document(count: usize) -> Document {
    let zones: Vec<_> = (0..6).map(|number| format!("zone-{number}")).collect();
    let models: Vec<_> = (0..5).map(|number| format!("model-{number}")).collect();
    Document {
        revision: Revision::new(1),
        zones: zones.iter().map(|name| zone(name)).collect(),
        models: models.iter().map(|name| model(name)).collect(),
        endpoints: (0..ENDPOINTS).map(|number| endpoint(number, &models, &zones)).collect(),
        organisations: (0..count).map(|number| organisation(number, &models).into()).collect(),
        ..Document::default()
    }
}

fn zone(name: &str) -> Zone {
    let region = "lower-mainland".parse().expect("a valid id");
    let id = name.parse().expect("a valid id");
    Zone { id, region, state: ZoneState::In, voters: Vec::new(), replaced_voters: Vec::new() }
}

fn model(name: &str) -> Model {
    Model {
        id: name.parse().expect("a valid id"),
        version: "v1".parse().expect("a valid id"),
        adapter: None,
        store: None,
        block_payload_bytes: DEFAULT_BLOCK_PAYLOAD,
        max_swapping_replicas: 3,
        zone_versions: Vec::new(),
        zone_adapters: Vec::new(),
    }
}

fn endpoint(number: usize, models: &[String], zones: &[String]) -> Endpoint {
    Endpoint {
        id: format!("endpoint-{number:04}").parse().expect("a valid id"),
        model: models[number % models.len()].parse().expect("a valid id"),
        zone: zones[number % zones.len()].parse().expect("a valid id"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16)),
        checks_fencing: true,
        leaving: false,
        cold_requests: 2,
    }
}

/// An organisation with two keys and two models.
fn organisation(number: usize, models: &[String]) -> Organisation {
    let mut key_hashes = vec![
        KeyHash::of_key(&format!("key-{number}-a")),
        KeyHash::of_key(&format!("key-{number}-b")),
    ];
    key_hashes.sort_unstable();
    let first = number % (models.len() - 1);
    Organisation {
        id: organisation_name(number),
        key_hashes,
        models: models[first..first + 2].iter().map(|id| id.parse().expect("a valid id")).collect(),
        services: Vec::new(),
        share: 1,
        limit_tokens_per_s: TokensPerSecond::new(5_000),
    }
}

/// Time that this thread has spent on a processor, in the kernel's count of nanoseconds.
fn processor_time() -> Duration {
    let status = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = status.split_whitespace().next();
    Duration::from_nanos(first.and_then(|number| number.parse().ok()).unwrap_or_default())
}

fn resident_bytes() -> usize {
    status_bytes("VmRSS:")
}

/// Reads a line of the kernel's report on this process, in kB.
fn status_bytes(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap_or_default();
    let kib = line.split_whitespace().nth(1).and_then(|number| number.parse::<usize>().ok());
    kib.unwrap_or_default() * 1024
}
