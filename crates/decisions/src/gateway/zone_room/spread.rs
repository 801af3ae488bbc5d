//! Spreads the requests of nodes that choose by the same counts.

/// Returns the largest part that a node adds to the load of an endpoint, drawn anew for each endpoint
/// with each update of the counts.
///
/// All nodes of a zone see the same counts, a moment old, and would all choose the endpoint with the
/// lowest one until the next. What they send until then fills the least loaded endpoints up to a common
/// level, and among those none is to be preferred. So the mean of the random parts is the height of that
/// level. `loads` are the requests at each endpoint that the zone uses, and `arrivals` what it sends there
/// in a period of the exchange.
pub fn load_spread(mut loads: Vec<f64>, arrivals: f64) -> f64 {
    loads.sort_by(f64::total_cmp);
    let Some(&lowest) = loads.first() else { return 0.0 };
    2.0 * (common_level(&loads, arrivals) - lowest)
}

/// Returns the level up to which the arrivals fill the lowest of the sorted loads.
fn common_level(loads: &[f64], arrivals: f64) -> f64 {
    let mut room = arrivals;
    let mut level = loads[0];
    for (filled, &next) in loads.iter().enumerate().skip(1) {
        let to_next = (next - level) * filled as f64;
        if to_next >= room {
            return level + room / filled as f64;
        }
        room -= to_next;
        level = next;
    }
    level + room / loads.len() as f64
}
