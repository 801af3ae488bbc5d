//! Fixtures of the load tool's tests.

use yuccapass_standins::load::record::{Outcome, RequestRecord};

/// Creates the record of a request that was sent 100 ms after its scheduled time and answered with
/// two tokens, the first one 200 ms later and the second one 50 ms after that. The deadline is 1 s.
pub fn record(scheduled_us: u64) -> RequestRecord {
    let sent_us = scheduled_us + 100_000;
    RequestRecord {
        marker: format!("s1-{scheduled_us}"),
        is_resent: false,
        organisation: "society-0".parse().unwrap(),
        class: "driver".parse().unwrap(),
        is_repeatable: true,
        idempotency_key: None,
        nodes: vec!["127.0.0.1:1".to_owned()],
        request_id: None,
        scheduled_us,
        sent_us,
        token_times_us: vec![sent_us + 200_000, sent_us + 250_000],
        end_us: sent_us + 260_000,
        text: String::new(),
        deadline_ms: 1_000,
        outcome: Outcome::Answered,
    }
}
