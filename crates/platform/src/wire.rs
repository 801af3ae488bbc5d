//! JSON messages of the etcd v3 gateway: 64-bit numbers as text, keys and values as base64.
//!
//! Fields that are zero or empty may be absent, as in the JSON mapping of protocol buffers.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, PickFirst, serde_as};

/// Bytes that are encoded as base64 text.
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
    /// The header of every response.
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
        /// The lease, or zero for none.
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
        /// Maximum number of entries, or zero for no limit.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        limit: u64,
        /// Revision to read at, or zero for the newest.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        revision: u64,
    }
}
message! {
    /// Response to `POST /v3/kv/range`.
    RangeAnswer {
        /// The header.
        header: Header,
        /// The entries.
        kvs: Vec<Kv>,
        /// Whether the limit left entries out.
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
        /// The lease, or zero for none.
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
    /// A condition of a transaction on the revision of a key's last write, which is zero if the key
    /// does not exist.
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
        /// Operations if all conditions hold.
        success: Vec<OperationBody>,
        /// Operations otherwise.
        failure: Vec<OperationBody>,
    }
}
message! {
    /// Response to one operation; responses to writes are not used.
    OperationAnswer {
        /// Response to a read.
        #[serde(skip_serializing_if = "Option::is_none")]
        response_range: Option<RangeAnswer>,
    }
}
message! {
    /// Response to `POST /v3/kv/txn`, and to a put, which has only a header.
    TxnAnswer {
        /// The header.
        header: Header,
        /// Whether all conditions held.
        succeeded: bool,
        /// Responses to the operations.
        responses: Vec<OperationAnswer>,
    }
}
message! {
    /// Body of the lease calls, and response to a grant.
    LeaseMessage {
        /// The header, in a response.
        #[serde(skip_serializing_if = "Option::is_none")]
        header: Option<Header>,
        /// The lease.
        #[serde(rename = "ID")]
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        id: u64,
        /// Lifetime in seconds; zero in the response to a renewal of an expired lease.
        #[serde(rename = "TTL")]
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        ttl: u64,
    }
}
message! {
    /// Response to a renewal.
    KeepAliveAnswer {
        /// The renewed lease.
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
        /// First revision whose changes are wanted.
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
    /// Content of one line of a watch response.
    WatchResult {
        /// The header.
        header: Header,
        /// Whether the watch was accepted.
        created: bool,
        /// Whether the watch has ended.
        canceled: bool,
        /// The oldest revision that is kept, if the watch ended because it started before that.
        #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
        compact_revision: u64,
        /// The changes.
        events: Vec<EventBody>,
    }
}
message! {
    /// One line of a watch response.
    WatchLine {
        /// The content.
        result: WatchResult,
    }
}
message! {
    /// Body of an error response.
    ErrorBody {
        /// gRPC status code.
        code: u32,
        /// Error message.
        message: String,
    }
}

/// gRPC status code `NOT_FOUND`: the lease does not exist.
pub const CODE_NOT_FOUND: u32 = 5;
/// gRPC status code `OUT_OF_RANGE`: the revision is no longer kept.
pub const CODE_OUT_OF_RANGE: u32 = 11;

/// Returns the first key after all keys with `prefix`; a single zero byte means that there is no
/// upper bound.
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
