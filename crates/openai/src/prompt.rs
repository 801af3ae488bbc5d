//! The prompt bytes that a node and an engine both hash, so that their block hashes agree.

use serde_json::Value;

use crate::api::Api;

/// Returns the prompt bytes of a request body, or `None` if the body has no prompt.
///
/// The bytes of a chat prompt are, for each message, the role, a line feed, the text and a record
/// separator (U+001E). If the content of a message is a list of parts, only its text parts are
/// used. Two conversations that begin with the same messages have prompt bytes with a common
/// prefix, which prefix caching needs.
pub fn prompt_bytes(api: Api, body: &Value) -> Option<Vec<u8>> {
    match api {
        Api::Chat => chat_bytes(body.get("messages")?.as_array()?),
        Api::Completions => Some(body.get("prompt")?.as_str()?.as_bytes().to_vec()),
    }
}

fn chat_bytes(messages: &[Value]) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    for message in messages {
        bytes.extend_from_slice(message.get("role")?.as_str()?.as_bytes());
        bytes.push(b'\n');
        append_content(&mut bytes, message.get("content")?)?;
        bytes.push(0x1e);
    }
    Some(bytes)
}

fn append_content(bytes: &mut Vec<u8>, content: &Value) -> Option<()> {
    match content {
        Value::Null => {}
        Value::String(text) => bytes.extend_from_slice(text.as_bytes()),
        Value::Array(parts) => {
            let texts = parts.iter().filter_map(|part| part.get("text")?.as_str());
            texts.for_each(|text| bytes.extend_from_slice(text.as_bytes()));
        }
        _ => return None,
    }
    Some(())
}
