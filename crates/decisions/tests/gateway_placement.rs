//! Tests of the choice of an endpoint.

mod gateway_fixtures;

use gateway_fixtures::{id, part};
use yuccapass_decisions::gateway::placement::prefers_current;
use yuccapass_decisions::gateway::{
    Candidate, Distance, LeastLoaded, Placement, PlacementRequest, PrefixAffinity, PromptPart,
};
use yuccapass_types::{EndpointId, Tokens};

fn endpoints(count: usize) -> Vec<EndpointId> {
    (0..count).map(|number| id(&format!("e{number}"))).collect()
}

fn candidate(endpoint: &EndpointId) -> Candidate<'_> {
    Candidate {
        endpoint,
        distance: Distance::SameZone,
        load: 0.0,
        load_tokens: 0.0,
        slots: 8,
        failure_rate: 0.0,
    }
}

fn request(parts: &[PromptPart], random: u64) -> PlacementRequest<'_> {
    PlacementRequest { parts, random }
}

/// Guards against nodes that send the same prompt prefix to different endpoints, and against
/// requests with a shared prefix that are spread by their own last part.
#[test]
fn the_same_prefix_goes_to_the_same_endpoint() {
    let ids = endpoints(9);
    let candidates: Vec<Candidate<'_>> = ids.iter().map(candidate).collect();
    let reversed: Vec<Candidate<'_>> = ids.iter().rev().map(candidate).collect();
    let chosen = |candidates: &[Candidate<'_>], own: &str, random| {
        let parts = [part("a0", 500), part("b7", 8_000), part(own, 2_000)];
        let position = PrefixAffinity::default().choose(&request(&parts, random), candidates);
        candidates[position.expect("there are candidates")].endpoint.clone()
    };

    let first = chosen(&candidates, "c1", 1);

    assert_eq!(chosen(&reversed, "c1", 2), first);
    assert_eq!(chosen(&candidates, "c2", 3), first);
}

/// Guards against one endpoint that gets all requests because they share the same prefix.
#[test]
fn a_popular_prefix_spreads() {
    let ids = endpoints(4);
    let parts = [part("a", 500), part("b", 8_000), part("c", 2_000)];
    let mut load_tokens = [0.0; 4];

    for random in 0..400 {
        let mut candidates: Vec<Candidate<'_>> = ids.iter().map(candidate).collect();
        for (candidate, load) in candidates.iter_mut().zip(load_tokens) {
            candidate.load_tokens = load;
        }
        let placement = PrefixAffinity::default().load_bound(1.25, Tokens::new(20_000));
        let position = placement.choose(&request(&parts, random), &candidates);
        load_tokens[position.expect("there are candidates")] += 10_500.0;
    }

    let mean = load_tokens.iter().sum::<f64>() / 4.0;
    assert!(load_tokens.iter().all(|&load| load <= 1.25 * mean + 31_000.0), "{load_tokens:?}");
    assert!(load_tokens.iter().all(|&load| load > 0.0), "{load_tokens:?}");
}

/// Guards against requests to an endpoint that always fails while healthy ones have free slots.
#[test]
fn failing_endpoints_are_avoided() {
    let ids = endpoints(3);
    let mut candidates: Vec<Candidate<'_>> = ids.iter().map(candidate).collect();
    candidates[0].failure_rate = 1.0;
    candidates[1].load = 6.0;
    candidates[2].load = 6.0;

    let chosen: Vec<Option<usize>> =
        (0..20).map(|random| LeastLoaded.choose(&request(&[], random), &candidates)).collect();

    assert!(chosen.iter().all(|&position| position != Some(0)), "{chosen:?}");
}

/// Guards against requests that cross regions although a nearer endpoint has free slots.
#[test]
fn near_endpoints_come_first() {
    let ids = endpoints(2);
    let mut candidates: Vec<Candidate<'_>> = ids.iter().map(candidate).collect();
    candidates[0].distance = Distance::OtherRegion;
    candidates[1].load = 4.0;

    let near = LeastLoaded.choose(&request(&[], 0), &candidates);
    candidates[1].load = 8.0;
    let far = LeastLoaded.choose(&request(&[], 0), &candidates);

    assert_eq!((near, far), (Some(1), Some(0)));
}

/// Guards against a panic if there are no candidates.
#[test]
fn there_may_be_no_candidate() {
    let parts = [part("a", 1)];

    assert_eq!(LeastLoaded.choose(&request(&[], 5), &[]), None);
    assert_eq!(PrefixAffinity::default().choose(&request(&parts, 5), &[]), None);
}

/// Guards against overloading the first endpoints that have the target weights.
#[test]
fn endpoints_with_new_weights_take_what_they_can() {
    let ids = endpoints(3);
    let mut current = vec![candidate(&ids[0])];
    let mut outdated = vec![candidate(&ids[1]), candidate(&ids[2])];
    outdated[0].load = 4.0;
    outdated[1].load = 4.0;

    current[0].load = 14.0;
    let has_room = prefers_current(&current, &outdated);
    current[0].load = 15.0;
    let is_full = !prefers_current(&current, &outdated);

    assert!(has_room && is_full);
    assert!(!prefers_current(&[], &outdated));
}
