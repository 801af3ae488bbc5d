//! Conversion between the protobuf messages and the types of the decisions crate. Messages from
//! other nodes are checked.

mod config;
mod frame;
mod members;
mod permits;
mod relay;
mod streams;
mod votes;
mod zone_room;

use std::str::FromStr;

use bytes::Bytes;

use crate::error::DecodeError;

/// Parses an id, which checks its length and characters.
fn parse_id<T: FromStr>(field: &'static str, text: &str) -> Result<T, DecodeError>
where
    T::Err: ToString,
{
    text.parse().map_err(|error: T::Err| DecodeError::new(field, error.to_string()))
}

fn required<T>(field: &'static str, value: Option<T>) -> Result<T, DecodeError> {
    value.ok_or_else(|| DecodeError::new(field, "it is missing"))
}

fn parse_hash(field: &'static str, bytes: &Bytes) -> Result<[u8; 32], DecodeError> {
    <[u8; 32]>::try_from(bytes.as_ref())
        .map_err(|_| DecodeError::new(field, "it does not have 32 bytes"))
}

fn check_count(field: &'static str, count: usize, max: usize) -> Result<(), DecodeError> {
    match count <= max {
        true => Ok(()),
        false => Err(DecodeError::new(field, format!("{count} is more than {max}"))),
    }
}

fn unknown_number(field: &'static str, number: u32) -> DecodeError {
    DecodeError::new(field, format!("the number {number} is not known"))
}
