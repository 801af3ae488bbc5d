//! The right answer of a request, and whose answer a wrong one is.

use yuccapass_types::{CacheSalt, ModelId, OrganisationId, Sharded, SortedMap, WeightVersion};

use crate::engine::AnswerSource;

/// Returns the digits that start each token of an answer.
pub fn expected_digest(
    organisation: &OrganisationId,
    model: &ModelId,
    version: &WeightVersion,
    prompt: &[u8],
) -> String {
    let salt = CacheSalt::derive(organisation, model, version, None);
    AnswerSource { salt, version, adapter: None, prompt }.digest()
}

/// Digests of the answers of all requests that were sent, with the request that each belongs to.
#[derive(Debug, Default)]
pub struct AnswerBook {
    owners: Sharded<SortedMap<String, String>>,
}

impl AnswerBook {
    /// Notes the answer of a request.
    pub fn note(&self, digest: &str, marker: &str) {
        self.owners.with(digest, |shard| {
            shard.insert(digest.to_owned(), marker.to_owned());
        });
    }

    /// Returns the request that an answer belongs to.
    pub fn owner(&self, digest: &str) -> Option<String> {
        self.owners.with(digest, |shard| shard.get(&digest.to_owned()).cloned())
    }
}

/// What is needed to judge the answer of one request.
#[derive(Debug, Clone)]
pub struct Expectation {
    /// The request.
    pub marker: String,
    /// Who asked.
    pub organisation: OrganisationId,
    /// The model that was asked.
    pub model: ModelId,
    /// Versions that may have answered.
    pub versions: Vec<WeightVersion>,
    /// The prompt.
    pub prompt: Vec<u8>,
    /// Tokens of the answer.
    pub length_tokens: u64,
}

impl Expectation {
    /// Returns the digests that are right, one for each version.
    pub fn digests(&self) -> Vec<String> {
        let digest = |version| self.digest_for(&self.organisation, version);
        self.versions.iter().map(digest).collect()
    }

    /// Says whose answer a wrong digest belongs to, as far as that can be found out.
    pub fn describe_wrong(
        &self,
        digest: &str,
        book: &AnswerBook,
        organisations: &[OrganisationId],
    ) -> String {
        if let Some(owner) = book.owner(digest) {
            return format!("the answer of request {owner}");
        }
        let is_of = |other: &&OrganisationId| {
            self.versions.iter().any(|version| self.digest_for(other, version) == digest)
        };
        if let Some(other) = organisations.iter().find(is_of) {
            return format!("this prompt's answer with the salt of organisation {other}");
        }
        // Versions are named v1, v2 and so on in trials.
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
