//! The correct answer of a request, and the likely origin of a wrong one.

use yuccapass_types::{CacheSalt, ModelId, OrganisationId, Sharded, SortedMap, WeightVersion};

use crate::engine::AnswerSource;

/// Returns the digest that every token of an answer starts with.
pub fn expected_digest(
    organisation: &OrganisationId,
    model: &ModelId,
    version: &WeightVersion,
    prompt: &[u8],
) -> String {
    let salt = CacheSalt::derive(organisation, model, version, None);
    AnswerSource { salt, version, adapter: None, prompt }.digest()
}

/// An index from the digests of the answers of all sent requests to the markers of the requests.
#[derive(Debug, Default)]
pub struct AnswerIndex {
    markers: Sharded<SortedMap<String, String>>,
}

impl AnswerIndex {
    /// Adds the digest of a request's answer.
    pub fn insert(&self, digest: &str, marker: &str) {
        self.markers.with(digest, |shard| {
            shard.insert(digest.to_owned(), marker.to_owned());
        });
    }

    /// Returns the marker of the request whose answer has this digest.
    pub fn marker_for(&self, digest: &str) -> Option<String> {
        self.markers.with(digest, |shard| shard.get(&digest.to_owned()).cloned())
    }
}

/// What is needed to check the answer of one request.
#[derive(Debug, Clone)]
pub struct Expectation {
    /// The request's marker.
    pub marker: String,
    /// The organisation that sent the request.
    pub organisation: OrganisationId,
    /// The model that the request was for.
    pub model: ModelId,
    /// Weight versions that may have answered.
    pub versions: Vec<WeightVersion>,
    /// The bytes of the prompt.
    pub prompt: Vec<u8>,
    /// Number of tokens of the complete answer.
    pub length_tokens: u64,
}

impl Expectation {
    /// Returns the digests of correct answers, one for each version.
    pub fn digests(&self) -> Vec<String> {
        let digest = |version| self.digest_for(&self.organisation, version);
        self.versions.iter().map(digest).collect()
    }

    /// Describes which answer a wrong digest belongs to, as far as that can be determined: another
    /// request, another organisation, another weight version or a wrong cache block.
    pub fn describe_origin(
        &self,
        digest: &str,
        answer_index: &AnswerIndex,
        organisations: &[OrganisationId],
    ) -> String {
        if let Some(marker) = answer_index.marker_for(digest) {
            return format!("the answer of request {marker}");
        }
        let is_of = |other: &&OrganisationId| {
            self.versions.iter().any(|version| self.digest_for(other, version) == digest)
        };
        if let Some(other) = organisations.iter().find(is_of) {
            return format!("this prompt's answer with the salt of organisation {other}");
        }
        // Weight versions are named v1, v2 and so on in trials.
        let numbered = (0..100).filter_map(|number| format!("v{number}").parse().ok());
        let mut unexpected = numbered.filter(|version| !self.versions.contains(version));
        match unexpected.find(|version| self.digest_for(&self.organisation, version) == digest) {
            Some(version) => format!("this prompt's answer by weight version {version}"),
            None if digest == "wrongblock" => "an answer from a wrong cache block".to_owned(),
            None => "an answer of unknown origin".to_owned(),
        }
    }

    fn digest_for(&self, organisation: &OrganisationId, version: &WeightVersion) -> String {
        expected_digest(organisation, &self.model, version, &self.prompt)
    }
}
