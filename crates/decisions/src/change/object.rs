//! The objects of the configuration that changes affect.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;
use yuccapass_types::{ClassId, EndpointId, ModelId, OrganisationId, ZoneId};

/// Reports a text that names no object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the text is not a kind of object followed by a name"))]
pub struct ParseObjectError;

macro_rules! objects {
    ($($variant:ident, $kind:literal, $id:ty;)+) => {
        /// One object of the configuration: the unit in which changes conflict.
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub enum ObjectRef {
            $(#[doc = concat!("The ", $kind, " of this name.")] $variant($id),)+
        }

        impl fmt::Display for ObjectRef {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                match self { $(Self::$variant(id) => write!(f, concat!($kind, " {}"), id),)+ }
            }
        }

        impl FromStr for ObjectRef {
            type Err = ParseObjectError;

            fn from_str(text: &str) -> Result<Self, ParseObjectError> {
                let (kind, name) = text.split_once(' ').ok_or(ParseObjectError)?;
                match kind {
                    $($kind => name.parse().map(Self::$variant).map_err(|_| ParseObjectError),)+
                    _ => Err(ParseObjectError),
                }
            }
        }
    };
}

objects! {
    Organisation, "organisation", OrganisationId;
    Zone, "zone", ZoneId;
    Endpoint, "endpoint", EndpointId;
    Class, "class", ClassId;
    Model, "model", ModelId;
}
