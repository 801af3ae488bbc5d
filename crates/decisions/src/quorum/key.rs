//! Identifiers of votes, attempts and requests.

use std::fmt;

use yuccapass_types::{EndpointId, IdempotencyKey, Incarnation, NodeId, OrganisationId};

/// The purpose of a vote, which determines the vote's lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VoteKind {
    /// Execution of a request with an idempotency key.
    Ledger,
    /// Ownership of the permits of a cold endpoint.
    Permit,
}

/// Identifies what is voted on.
///
/// The names are hashed, so a key has a fixed size however long they are.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoteKey {
    kind: VoteKind,
    hash: [u8; 32],
}

impl VoteKey {
    /// Returns the vote key of an organisation's idempotency key.
    pub fn ledger(organisation: &OrganisationId, key: &IdempotencyKey) -> Self {
        Self::new(VoteKind::Ledger, organisation.as_str(), key.as_str().as_bytes())
    }

    /// Returns the vote key of the permits of an endpoint process.
    pub fn permit(endpoint: &EndpointId, incarnation: Incarnation) -> Self {
        Self::new(VoteKind::Permit, endpoint.as_str(), &incarnation.get().to_be_bytes())
    }

    /// Creates a key from the parts that a message carries.
    pub fn from_parts(kind: VoteKind, hash: [u8; 32]) -> Self {
        Self { kind, hash }
    }

    /// Returns the kind of the vote.
    pub fn kind(&self) -> VoteKind {
        self.kind
    }

    /// Returns the hash of the names in the key.
    pub fn hash(&self) -> &[u8; 32] {
        &self.hash
    }

    fn new(kind: VoteKind, scope: &str, name: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The length marks where the scope ends and the name starts.
        hasher.update(&(scope.len() as u64).to_be_bytes());
        hasher.update(scope.as_bytes());
        hasher.update(name);
        Self { kind, hash: *hasher.finalize().as_bytes() }
    }
}

impl fmt::Debug for VoteKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hash = blake3::Hash::from_bytes(self.hash).to_hex();
        write!(f, "{:?}({})", self.kind, &hash.as_str()[..16])
    }
}

/// Identifies one attempt to get a majority; never reused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The proposing node.
    pub node: NodeId,
    /// The proposing process.
    pub incarnation: Incarnation,
    /// Sequence number of the attempt within the process.
    pub number: u64,
}

/// Hash of a request's method, path and body, which distinguishes a repeated request from a
/// different request with the same key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Hashes the parts of a request that must be equal when it is repeated.
    pub fn of_request(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Creates a digest from the bytes that a message carries.
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}
