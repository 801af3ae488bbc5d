//! Generates random keys and command ids.

use std::fs::File;
use std::io::{self, Read};

use yuccapass_types::CommandId;

/// Generates a bearer key with 256 random bits.
pub(crate) fn new_key() -> io::Result<String> {
    Ok(format!("yk-{}", random_hex::<32>()?))
}

/// Generates a command id with 128 random bits, so that ids of different operators do not collide.
pub(crate) fn new_command_id() -> io::Result<CommandId> {
    random_hex::<16>()?.parse().map_err(io::Error::other)
}

fn random_hex<const N: usize>() -> io::Result<String> {
    let mut bytes = [0; N];
    File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
