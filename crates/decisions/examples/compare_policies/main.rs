//! Compares the placement policies in a discrete-event model.
//!
//! Run with `cargo run --release -p yuccapass-decisions --example compare_policies`. The first
//! argument is the seed, 1 by default. Three consecutive seeds are simulated and their requests are
//! counted together.
//!
//! The model has two regions. Prompts are repeated after gaps in which the endpoints' caches have
//! usually evicted them, while a store in one region still has them. Capacity is the load that the
//! endpoints can process without any cached blocks.

mod engine;
mod simulation;
mod workload;

use std::error::Error;

use yuccapass_decisions::routing::placement::{
    CostPolicy, LeastLoadedPolicy, RandomPolicy, RoundRobinPolicy,
};

use simulation::{MakePolicy, Outcome, Simulation};

/// Load as a percentage of the capacity.
const LOADS_PERCENT: [u64; 2] = [40, 150];
const SEEDS: u64 = 3;

fn main() -> Result<(), Box<dyn Error>> {
    let seed = std::env::args().nth(1).map_or(Ok(1), |text| text.parse())?;
    println!("seeds {seed} to {}", seed + SEEDS - 1);
    println!(
        "{:>6} {:>12} {:>9} {:>9} {:>12} {:>9} {:>9} {:>9}",
        "load", "policy", "p50 ms", "p95 ms", "recomputed", "refused", "late", "imported"
    );
    for load_percent in LOADS_PERCENT {
        for (name, policy) in POLICIES {
            let mut outcome = Outcome::default();
            for seed in seed..seed + SEEDS {
                Simulation::new(policy, load_percent, seed).run(&mut outcome);
            }
            print_row(load_percent, name, &mut outcome);
        }
    }
    Ok(())
}

const POLICIES: [(&str, MakePolicy); 4] = [
    ("cost", || Box::new(CostPolicy::default())),
    ("random", || Box::new(RandomPolicy)),
    ("round robin", || Box::new(RoundRobinPolicy::default())),
    ("least loaded", || Box::new(LeastLoadedPolicy)),
];

fn print_row(load_percent: u64, name: &str, outcome: &mut Outcome) {
    outcome.first_token_us.sort_unstable();
    let times = &outcome.first_token_us;
    let quantile_ms = |percent: usize| match times.len() {
        0 => 0,
        count => times[(count - 1) * percent / 100] / 1_000,
    };
    let share = |part: u64, whole: u64| part as f64 * 100.0 / whole.max(1) as f64;
    println!(
        "{load_percent:>5}% {name:>12} {:>9} {:>9} {:>11.1}% {:>8.1}% {:>8.1}% {:>8.1}%",
        quantile_ms(50),
        quantile_ms(95),
        share(outcome.recomputed_tokens, outcome.prompt_tokens),
        share(outcome.refused, outcome.arrived),
        share(outcome.late(), outcome.arrived),
        share(outcome.imported_tokens, outcome.prompt_tokens),
    );
}
