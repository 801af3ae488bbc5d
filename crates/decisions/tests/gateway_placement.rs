//! Tests of the choice of an endpoint.

mod gateway_fixtures;

use gateway_fixtures::{id, part};
use proptest::prelude::*;
use yuccapass_decisions::gateway::placement::prefers_current;
use yuccapass_decisions::gateway::{
    Candidate, CandidateSpeed, Distance, ExpectedTime, ExpectedTimeAffinity, LeastLoaded,
    Placement, PlacementRequest, PrefixAffinity, PromptPart,
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
        speed: None,
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

/// Returns a candidate of a service whose endpoints report their speeds.
fn with_speed(endpoint: &EndpointId, factor: f64, wait_ms: f64) -> Candidate<'_> {
    let speed = CandidateSpeed {
        factor,
        lasting_factor: factor,
        wait_ms,
        token_ms: 0.02 * factor,
        run_ms: 200.0,
        is_barred: false,
    };
    Candidate { speed: Some(speed), ..candidate(endpoint) }
}

fn candidate_of(endpoint: &EndpointId, drawn: (u8, f64, f64, u32, f64)) -> Candidate<'_> {
    let (distance, load, load_tokens, slots, failure_rate) = drawn;
    let distance = match distance {
        0 => Distance::SameZone,
        1 => Distance::SameRegion,
        _ => Distance::OtherRegion,
    };
    Candidate { distance, load, load_tokens, slots, failure_rate, ..candidate(endpoint) }
}

proptest! {
    /// Guards against deployments whose endpoints report no speed and that are served differently
    /// from before.
    #[test]
    fn without_reported_speeds_the_choices_are_those_of_the_plain_strategies(
        drawn in prop::collection::vec(
            (0_u8..3, 0.0..100.0_f64, 0.0..400_000.0_f64, 0_u32..64, 0.0..1.0_f64),
            0..20,
        ),
        prefix in 0_u32..50,
        part_count in 0_usize..4,
        random in any::<u64>(),
    ) {
        // Arrange
        let ids = endpoints(drawn.len());
        let candidates: Vec<Candidate<'_>> =
            ids.iter().zip(drawn).map(|(id, drawn)| candidate_of(id, drawn)).collect();
        let all_parts = [part(&format!("p{prefix}"), 500), part("q", 100), part("own", 30)];
        let request = request(&all_parts[..part_count], random);
        let ids: Vec<&EndpointId> = ids.iter().collect();

        // Act and assert
        prop_assert_eq!(
            ExpectedTime.choose(&request, &candidates),
            LeastLoaded.choose(&request, &candidates)
        );
        let (new, old) = (ExpectedTimeAffinity::default(), PrefixAffinity::default());
        prop_assert_eq!(new.choose(&request, &candidates), old.choose(&request, &candidates));
        prop_assert_eq!(new.preferred(&request, &ids), old.preferred(&request, &ids));
    }
}

/// Guards against requests that leave the cache of their prefix for a gain that is smaller than the
/// cost of prefilling it again, and against ones that stay although it is larger.
#[test]
fn request_leaves_its_home_only_for_more_than_the_prefill_of_its_prefix() {
    // Arrange: to prefill the prefix takes 200 ms.
    let ids = endpoints(5);
    let parts = [part("prefix", 10_000), part("own", 100)];
    let idle: Vec<Candidate<'_>> = ids.iter().map(|id| with_speed(id, 1.0, 50.0)).collect();
    let placement = ExpectedTimeAffinity::default();
    let home = placement.home(&request(&parts, 0), &idle).expect("there are endpoints");
    let with_wait = |wait_ms| {
        let mut candidates = idle.clone();
        candidates[home] = with_speed(&ids[home], 1.0, wait_ms);
        candidates
    };

    // Act
    let chosen = |wait_ms, random| placement.choose(&request(&parts, random), &with_wait(wait_ms));

    // Assert
    for random in 0..50 {
        assert_eq!(chosen(50.0, random), Some(home));
        assert_eq!(chosen(200.0, random), Some(home));
        assert_ne!(chosen(1_000.0, random), Some(home));
        assert_eq!(chosen(1_000.0, random), chosen(1_000.0, 0), "requests do not stay together");
    }
}

/// Guards against slow endpoints that get requests beside those that show whether they have
/// recovered, and against a service without an endpoint because all are slow.
#[test]
fn barred_endpoints_get_requests_only_if_all_are_barred() {
    // Arrange
    let ids = endpoints(4);
    let parts = [part("prefix", 1_000), part("own", 100)];
    let barred = |id| {
        let candidate = with_speed(id, 5.0, 10.0);
        let speed = candidate.speed.map(|speed| CandidateSpeed { is_barred: true, ..speed });
        Candidate { speed, ..candidate }
    };
    let mut some: Vec<Candidate<'_>> = ids.iter().map(barred).collect();
    let all = some.clone();
    some[2] = with_speed(&ids[2], 5.0, 900.0);
    let strategies: [Box<dyn Placement>; 2] =
        [Box::new(ExpectedTime), Box::new(ExpectedTimeAffinity::default())];

    for strategy in strategies {
        for random in 0..20 {
            // Act
            let (one, any) = (
                strategy.choose(&request(&parts, random), &some),
                strategy.choose(&request(&parts, random), &all),
            );

            // Assert
            assert_eq!(one, Some(2));
            assert!(any.is_some());
        }
    }
}

/// Guards against speeds that are a matter of yes or no: twice the time means half of the requests.
#[test]
fn idle_endpoints_get_requests_in_proportion_to_their_speeds() {
    // Arrange
    let ids = endpoints(8);
    let speed_of = |(number, id)| with_speed(id, if number < 4 { 1.0 } else { 2.0 }, 30.0);
    let candidates: Vec<Candidate<'_>> = ids.iter().enumerate().map(speed_of).collect();
    let placement = ExpectedTimeAffinity::default();

    // Act: each request has a prefix of its own.
    let homes = (0..4_000).filter_map(|number| {
        let parts = [part(&format!("prefix-{number}"), 1_000), part("own", 10)];
        placement.home(&request(&parts, 0), &candidates)
    });
    let fast = homes.filter(|home| *home < 4).count();

    // Assert: two thirds go to the fast half.
    assert!((2_540..2_800).contains(&fast), "{fast}");
}
