//! The operators' configuration and its checks.

mod document;
mod validate;

pub use document::{
    Class, Document, Endpoint, Model, Organisation, Service, Voter, Zone, ZoneState,
};
pub use validate::{InvalidDocument, validate};
