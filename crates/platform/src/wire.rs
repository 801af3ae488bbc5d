//! JSON messages of the etcd v3 gateway: 64-bit numbers as text, keys and values as base64.
//!
//! Fields that are zero or empty may be absent, as the JSON form of protocol buffers has it.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, PickFirst, serde_as};

/// Bytes that appear as base64 text.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Base64Bytes(pub Vec<u8>);

impl Serialize for Base64Bytes {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use base64::Engine;
        serializer.serialize_str(&base64::engine::general_purpose::STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        use base64::Engine;
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        let bytes = base64::engine::general_purpose::STANDARD.decode(text.as_bytes());
        bytes.map(Self).map_err(serde::de::Error::custom)
    }
}

macro_rules! message {
    ($(#[$doc:meta])* $name:ident { $($(#[$attribute:meta])* $field:ident: $type:ty,)* }) => {
        $(#[$doc])*
        #[serde_as]
        #[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(default)]
        pub struct $name {
            $($(#[$attribute])* pub $field: $type,)*
        }
    };
}

message! {
    /// The part that all answers begin with.
    Header {
        /// The service's revision.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        revision: u64,
    }
}
message! {
    /// A stored key.
    Kv {
        /// The key.
        key: Base64Bytes,
        /// The value.
        value: Base64Bytes,
        /// Revision of the last write.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        mod_revision: u64,
        /// The lease, or zero.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        lease: u64,
    }
}
message! {
    /// Body of `POST /v3/kv/range`.
    RangeBody {
        /// First key.
        key: Base64Bytes,
        /// Key after the last one; empty for a single key.
        range_end: Base64Bytes,
        /// Most entries, or zero.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        limit: u64,
        /// Revision to read at, or zero.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        revision: u64,
    }
}
message! {
    /// Answer to `POST /v3/kv/range`.
    RangeAnswer {
        /// The header.
        header: Header,
        /// The entries.
        kvs: Vec<Kv>,
        /// Whether the limit cut the range.
        more: bool,
    }
}
message! {
    /// Body of `POST /v3/kv/put`, and a write of a transaction.
    PutBody {
        /// The key.
        key: Base64Bytes,
        /// The value.
        value: Base64Bytes,
        /// The lease, or zero.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        lease: u64,
    }
}
message! {
    /// A deletion.
    DeleteBody {
        /// The key.
        key: Base64Bytes,
    }
}
message! {
    /// A condition of a transaction: the last write of a key, with zero for absence.
    CompareBody {
        /// The key.
        key: Base64Bytes,
        /// What is compared; only `MOD` is used.
        target: String,
        /// How it is compared; only `EQUAL` is used.
        result: String,
        /// The expected revision.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        mod_revision: u64,
    }
}
message! {
    /// One operation of a transaction; exactly one field is present.
    OperationBody {
        /// A write.
        #[serde(skip_serializing_if = "Option::is_none")]
        request_put: Option<PutBody>,
        /// A deletion.
        #[serde(skip_serializing_if = "Option::is_none")]
        request_delete_range: Option<DeleteBody>,
        /// A read.
        #[serde(skip_serializing_if = "Option::is_none")]
        request_range: Option<RangeBody>,
    }
}
message! {
    /// Body of `POST /v3/kv/txn`.
    TxnBody {
        /// The conditions.
        compare: Vec<CompareBody>,
        /// What to do if all hold.
        success: Vec<OperationBody>,
        /// What to do otherwise.
        failure: Vec<OperationBody>,
    }
}
message! {
    /// Answer to one operation; answers to writes are not used.
    OperationAnswer {
        /// Answer to a read.
        #[serde(skip_serializing_if = "Option::is_none")]
        response_range: Option<RangeAnswer>,
    }
}
message! {
    /// Answer to `POST /v3/kv/txn`, and to a put, which has only a header.
    TxnAnswer {
        /// The header.
        header: Header,
        /// Whether all conditions held.
        succeeded: bool,
        /// Answers to the operations.
        responses: Vec<OperationAnswer>,
    }
}
message! {
    /// Body of the lease calls and answer to a grant.
    LeaseMessage {
        /// The header of an answer.
        #[serde(skip_serializing_if = "Option::is_none")]
        header: Option<Header>,
        /// The lease.
        #[serde(rename = "ID")]
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        id: u64,
        /// Lifetime in seconds; zero in the answer to a renewal of an expired lease.
        #[serde(rename = "TTL")]
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        ttl: u64,
    }
}
message! {
    /// Answer to a renewal.
    KeepAliveAnswer {
        /// The answer.
        result: LeaseMessage,
    }
}
message! {
    /// What to watch.
    WatchCreate {
        /// First key.
        key: Base64Bytes,
        /// Key after the last one; empty for a single key.
        range_end: Base64Bytes,
        /// First revision.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        start_revision: u64,
    }
}
message! {
    /// Body of `POST /v3/watch`.
    WatchBody {
        /// What to watch.
        create_request: WatchCreate,
    }
}
message! {
    /// A change.
    EventBody {
        /// `DELETE`, or `PUT` or absent for a write.
        #[serde(rename = "type")]
        kind: String,
        /// The key after the change.
        kv: Kv,
    }
}
message! {
    /// Content of a line of a watch.
    WatchResult {
        /// The header.
        header: Header,
        /// Whether the watch was accepted.
        created: bool,
        /// Whether the watch has ended.
        canceled: bool,
        /// Oldest kept revision, if that is why the watch ended.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        compact_revision: u64,
        /// The changes.
        events: Vec<EventBody>,
    }
}
message! {
    /// A line of a watch.
    WatchLine {
        /// The content.
        result: WatchResult,
    }
}
message! {
    /// Body of an error answer.
    ErrorBody {
        /// Number of the gRPC status.
        code: u32,
        /// Text.
        message: String,
    }
}

/// Status number of a missing lease.
pub const CODE_NOT_FOUND: u32 = 5;
/// Status number of a revision that is no longer kept.
pub const CODE_OUT_OF_RANGE: u32 = 11;

/// Returns the key after all keys that begin with `prefix`; a single zero byte means no bound.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
