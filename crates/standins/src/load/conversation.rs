//! Prompts that grow by an answer and a question with each turn.

use serde_json::{Value, json};

/// Words that generated texts consist of; stand-ins ignore their meaning.
const WORDS: [&str; 16] = [
    "clip", "frame", "brace", "yard", "truck", "return", "manifest", "count", "hinge", "bench",
    "solder", "booking", "member", "repair", "batch", "report",
];

/// The messages of a conversation that the caller has sent and received.
#[derive(Debug, Clone, Default)]
pub struct Conversation {
    /// Turn, role and content of each message.
    messages: Vec<(u32, &'static str, String)>,
}

impl Conversation {
    /// Adds the instructions at the start of the prompt, unless the conversation has begun.
    pub fn set_instructions(&mut self, text: String) {
        if self.messages.is_empty() {
            self.messages.push((0, "system", text));
        }
    }

    /// Adds the question of a turn and returns all messages so far, as the request body has them.
    pub fn add_question(&mut self, turn: u32, question: String) -> Value {
        self.messages.push((turn, "user", question));
        let message =
            |(_, role, text): &(u32, &str, String)| json!({"role": role, "content": text});
        Value::Array(self.messages.iter().map(message).collect())
    }

    /// Adds the answer of a turn after its question.
    ///
    /// An answer that arrives after the next question was sent is dropped. That question's prompt
    /// does not contain it, and each prompt must extend the previous one.
    pub fn add_answer(&mut self, turn: u32, text: String) {
        if self.messages.last().is_some_and(|(last, role, _)| *last == turn && *role == "user") {
            self.messages.push((turn, "assistant", text));
        }
    }
}

/// Returns a text of `bytes` bytes that depends only on the arguments.
pub fn pseudorandom_text(seed: u64, name: &str, bytes: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_be_bytes());
    hasher.update(name.as_bytes());
    let mut hash_output = hasher.finalize_xof();
    let mut text = String::with_capacity(bytes as usize + 16);
    let mut chunk = [0; 64];
    while (text.len() as u64) < bytes {
        hash_output.fill(&mut chunk);
        for byte in chunk {
            text.push_str(WORDS[usize::from(byte) % WORDS.len()]);
            text.push(' ');
        }
    }
    text.truncate(bytes as usize);
    text
}
