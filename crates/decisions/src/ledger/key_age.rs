//! The age of idempotency keys in UUID version 7 form.

use yuccapass_types::IdempotencyKey;

/// Maximum total difference between the wall clocks of a caller and two nodes.
///
/// A vote outlives the retention window by the 30 s in which a winner may send; twice this
/// tolerance has to fit into that, so that a key expires before its vote does.
const CLOCK_TOLERANCE_MS: u64 = 10_000;

/// Age of a key by the timestamp in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// The key carries no timestamp.
    Untimed,
    /// The timestamp is within the retention window.
    Fresh,
    /// The timestamp is older than the retention window, so the key's vote may have ended.
    Expired,
    /// The timestamp is too far in the future, so the key would outlive its vote.
    Ahead,
}

/// Checks the age of a key; `unix_ms` is the wall clock in milliseconds since 1970.
pub fn check_key_age(key: &IdempotencyKey, window_ms: u64, unix_ms: u64) -> KeyAge {
    let Some(created_ms) = uuid_v7_ms(key.as_str()) else { return KeyAge::Untimed };
    if created_ms > unix_ms.saturating_add(CLOCK_TOLERANCE_MS) {
        return KeyAge::Ahead;
    }
    match unix_ms.saturating_sub(created_ms) > window_ms {
        true => KeyAge::Expired,
        false => KeyAge::Fresh,
    }
}

/// Returns the timestamp of a version 7 UUID, written with or without hyphens.
fn uuid_v7_ms(text: &str) -> Option<u64> {
    const HYPHENS: [usize; 4] = [8, 13, 18, 23];
    let bytes = text.as_bytes();
    let digits: Vec<u8> = match bytes.len() {
        36 if HYPHENS.iter().all(|&position| bytes[position] == b'-') => {
            let kept =
                |(position, &byte): (usize, &u8)| (!HYPHENS.contains(&position)).then_some(byte);
            bytes.iter().enumerate().filter_map(kept).collect()
        }
        32 => bytes.to_vec(),
        _ => return None,
    };
    let is_hex = digits.iter().all(u8::is_ascii_hexdigit);
    let has_variant = matches!(digits[16].to_ascii_lowercase(), b'8' | b'9' | b'a' | b'b');
    if !is_hex || digits[12] != b'7' || !has_variant {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(&digits[..12]).ok()?, 16).ok()
}
