//! Measures the processor time of placing one request of the gateway, by the number of endpoints.
//!
//! ```text
//! cargo run --release -p yuccapass-decisions --example measure_gateway_placement
//! ```

use std::time::Instant as WallInstant;

use yuccapass_decisions::gateway::{
    AllowedRegions, Candidate, Directory, Distance, EndpointRecord, EndpointState, EndpointTracker,
    EndpointTrackerSettings, Placement, PlacementRequest, PrefixAffinity, PromptPart,
};
use yuccapass_types::{EndpointId, Instant, SortedMap, Tokens, WeightRevision};

/// Numbers of endpoints: those of the sweep's days, and of the largest site.
const ENDPOINT_COUNTS: [usize; 4] = [86, 302, 998, 3_002];

/// Number of requests that are placed for each figure.
const REQUESTS: u32 = 200;

fn record(number: usize) -> EndpointRecord {
    EndpointRecord {
        service: "models".parse().expect("the id is valid"),
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 8_080).into(),
        zone: "zone-1".parse().expect("the id is valid"),
        software: None,
        slots: 16,
        state: EndpointState::Ready,
        cold_until: None,
        started_unix_ms: Some(number as u64),
        sequence: None,
        weights: vec![("model".parse().expect("the id is valid"), WeightRevision::new(1))],
    }
}

fn directory(endpoints: usize) -> Directory {
    let zones = [("zone-1", "region-1")].map(|(zone, region)| {
        (zone.parse().expect("the id is valid"), region.parse().expect("the id is valid"))
    });
    let mut directory = Directory::new(SortedMap::from_iter(zones));
    for number in 0..endpoints {
        let id: EndpointId = format!("i-{number:010x}").parse().expect("the id is valid");
        directory.register(id, record(number));
    }
    directory
}

/// Places one request as the gateway does: the endpoints of the service, their trackers, the choice.
fn place(
    directory: &Directory,
    trackers: &mut SortedMap<EndpointId, EndpointTracker>,
    parts: &[PromptPart],
    now: Instant,
) -> Option<usize> {
    let service = "models".parse().expect("the id is valid");
    let eligible = directory.eligible(&service, &AllowedRegions::default());
    let candidates: Vec<Candidate<'_>> = eligible
        .iter()
        .filter_map(|(id, record)| {
            let tracker = trackers.get(id)?;
            (!tracker.is_avoided(now)).then(|| Candidate {
                endpoint: id,
                distance: Distance::SameZone,
                load: tracker.load(now),
                load_tokens: tracker.load_tokens(now),
                slots: record.slots,
                failure_rate: tracker.failure_rate(),
                speed: None,
            })
        })
        .collect();
    PrefixAffinity::default().choose(&PlacementRequest { parts, random: 7 }, &candidates)
}

fn main() {
    println!("endpoints  microseconds for each request");
    for endpoints in ENDPOINT_COUNTS {
        let directory = directory(endpoints);
        let new_tracker = || EndpointTracker::new(EndpointTrackerSettings::default());
        let mut trackers: SortedMap<EndpointId, EndpointTracker> =
            directory.endpoints().map(|(id, _)| (id.clone(), new_tracker())).collect();
        let part = |id: &str| PromptPart {
            id: id.parse().expect("the id is valid"),
            tokens: Tokens::new(1_000),
        };
        let started_at = WallInstant::now();
        let mut chosen = 0;
        for number in 0..REQUESTS {
            let parts = [part("00aa"), part(&format!("{number:08x}")), part("00bb")];
            let position = place(&directory, &mut trackers, &parts, Instant::from_ms(1_000));
            chosen += position.map_or(0, |_| 1);
        }
        assert_eq!(chosen, REQUESTS);
        let microseconds = started_at.elapsed().as_micros() / u128::from(REQUESTS);
        println!("{endpoints:>9}  {microseconds:>8}");
    }
}
