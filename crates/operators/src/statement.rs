//! Statements of the command language as typed values.

use std::fmt;

use smol_str::SmolStr;
use yuccapass_decisions::change::Change;
use yuccapass_types::{ModelId, OrganisationId};

/// A statement of the command language.
///
/// `Display` writes its text, which parses back to an equal value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// A change to the configuration.
    Change(Change),
    /// `add key to ...`: the tool generates the key and sends [`Change::AddKey`] with its hash.
    AddNewKey(OrganisationId),
    /// A query of the state.
    Query(Query),
    /// `help`, optionally with a word by which commands are selected.
    Help(Option<SmolStr>),
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Change(change) => change.fmt(f),
            Self::AddNewKey(organisation) => write!(f, "add key to {organisation}"),
            Self::Query(query) => query.fmt(f),
            Self::Help(None) => f.write_str("help"),
            Self::Help(Some(topic)) => write!(f, "help {topic}"),
        }
    }
}

/// A query of the state, which changes nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// `show ...`.
    Show {
        /// The kind of the listed objects.
        subject: Subject,
        /// Conditions that all listed rows meet.
        filters: Vec<Filter>,
    },
    /// `watch rollout of ...`: the state of a model's rollout; the tool repeats it until the
    /// rollout is finished.
    Rollout(ModelId),
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rollout(model) => write!(f, "watch rollout of {model}"),
            Self::Show { subject, filters } => {
                write!(f, "show {subject}")?;
                for (position, filter) in filters.iter().enumerate() {
                    let word = if position == 0 { "where" } else { "and" };
                    write!(f, " {word} {} is {}", filter.field, filter.value)?;
                }
                Ok(())
            }
        }
    }
}

/// A condition of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Filter {
    /// The column.
    pub field: Field,
    /// The value that the column must have, or have among its values.
    pub value: SmolStr,
}

macro_rules! words {
    ($(#[$doc:meta])* $name:ident { $($variant:ident = $word:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $name {
            $(#[doc = concat!("`", $word, "`.")] $variant,)+
        }

        impl $name {
            /// All values.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the word of the command language.
            pub const fn word(self) -> &'static str {
                match self { $(Self::$variant => $word,)+ }
            }

            pub(crate) fn from_word(word: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|item| item.word().eq_ignore_ascii_case(word))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.word())
            }
        }
    };
}

words! {
    /// The kind of objects that a query lists.
    Subject {
        Endpoints = "endpoints",
        Nodes = "nodes",
        Organisations = "organisations",
        Models = "models",
        Requests = "requests",
        Zones = "zones",
        Classes = "classes",
        Services = "services",
        Configuration = "configuration",
    }
}

words! {
    /// A column that a query can be filtered by.
    Field {
        Model = "model",
        Zone = "zone",
        Region = "region",
        Organisation = "organisation",
        Service = "service",
        Endpoint = "endpoint",
        Class = "class",
        State = "state",
        Version = "version",
        Node = "node",
    }
}

impl Subject {
    /// Returns the columns that a query of this subject can be filtered by.
    pub const fn fields(self) -> &'static [Field] {
        match self {
            Self::Endpoints => &[Field::Endpoint, Field::Model, Field::Zone, Field::State],
            Self::Nodes => &[Field::Node, Field::Zone, Field::State],
            Self::Organisations => &[Field::Organisation, Field::Model, Field::Service],
            Self::Models => &[Field::Model, Field::Version],
            Self::Requests => &[
                Field::Organisation,
                Field::Model,
                Field::Endpoint,
                Field::Class,
                Field::State,
                Field::Node,
            ],
            Self::Zones => &[Field::Zone, Field::Region, Field::State],
            Self::Classes => &[Field::Class],
            Self::Services => &[Field::Service, Field::Zone],
            Self::Configuration => &[],
        }
    }
}
