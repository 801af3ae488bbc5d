//! The tokens of an answer.

use std::fmt::Write;

use yuccapass_openai::Api;
use yuccapass_types::{AdapterId, CacheSalt, WeightVersion};

/// Hexadecimal digits of an answer's digest: 48 bits, so that answers of one test rarely collide.
const DIGEST_DIGITS: usize = 12;

/// The inputs that determine an answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSource<'a> {
    /// The cache salt of the request.
    pub salt: CacheSalt,
    /// The weight version that computed the answer.
    pub version: &'a WeightVersion,
    /// The adapter that was applied, if any.
    pub adapter: Option<&'a AdapterId>,
    /// The prompt.
    pub prompt: &'a [u8],
}

impl AnswerSource<'_> {
    /// Returns the hexadecimal digest that every token of the answer starts with.
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.salt.to_string().as_bytes());
        let adapter = self.adapter.map_or("", AdapterId::as_str);
        for field in [self.version.as_str().as_bytes(), adapter.as_bytes(), self.prompt] {
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        hasher.finalize().to_hex()[..DIGEST_DIGITS].to_owned()
    }
}

/// Returns the text of the token at an offset of an answer.
pub fn answer_text(digest: &str, offset_tokens: u64) -> String {
    format!("{digest}.{offset_tokens} ")
}

/// Appends the server-sent event of a token. `event_id` is `<request id>/<attempt>`.
pub(crate) fn append_token_event(
    out: &mut String,
    api: Api,
    event_id: &str,
    digest: &str,
    offset_tokens: u64,
    is_last: bool,
) {
    let finish_reason = if is_last { "\"stop\"" } else { "null" };
    // The digest has only letters and digits, so it needs no escaping in JSON.
    let text = answer_text(digest, offset_tokens);
    let (object, content) = match api {
        Api::Chat => ("chat.completion.chunk", format!("\"delta\":{{\"content\":\"{text}\"}}")),
        Api::Completions => ("text_completion", format!("\"text\":\"{text}\"")),
    };
    let written = write!(
        out,
        "id: {event_id}/{offset_tokens}\ndata: {{\"object\":\"{object}\",\"created\":0,\
         \"choices\":[{{\"index\":0,{content},\"finish_reason\":{finish_reason}}}]}}\n\n"
    );
    written.expect("writing to a string does not fail");
}

/// Appends the `[DONE]` event that ends an answer.
pub(crate) fn append_done_event(out: &mut String, event_id: &str, length_tokens: u64) {
    let written = write!(out, "id: {event_id}/{length_tokens}\ndata: [DONE]\n\n");
    written.expect("writing to a string does not fail");
}
