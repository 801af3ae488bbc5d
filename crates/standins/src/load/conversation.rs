//! Prompts that grow by an answer and a question with each turn.

use serde_json::{Value, json};

/// Words that questions are made of; their meaning does not matter to a stand-in.
const WORDS: [&str; 16] = [
    "clip", "frame", "brace", "yard", "truck", "return", "manifest", "count", "hinge", "bench",
    "solder", "booking", "member", "repair", "batch", "report",
];

/// A conversation as the caller knows it.
#[derive(Debug, Clone, Default)]
pub struct Conversation {
    messages: Vec<(u32, &'static str, String)>,
}

impl Conversation {
    /// Adds the instructions that an organisation starts its prompts with.
    pub fn instruct(&mut self, text: String) {
        if self.messages.is_empty() {
            self.messages.push((0, "system", text));
        }
    }

    /// Adds the question of a turn and returns all messages that are known now.
    pub fn ask(&mut self, turn: u32, question: String) -> Value {
        self.messages.push((turn, "user", question));
        let message =
            |(_, role, text): &(u32, &str, String)| json!({"role": role, "content": text});
        Value::Array(self.messages.iter().map(message).collect())
    }

    /// Adds the answer of a turn behind its question.
    ///
    /// An answer that arrives after the next question was sent does not appear in the prompt of that
    /// question, and is left out of later ones, so that each prompt extends the one before.
    pub fn answer(&mut self, turn: u32, text: String) {
        if self.messages.last().is_some_and(|(last, role, _)| *last == turn && *role == "user") {
            self.messages.push((turn, "assistant", text));
        }
    }
}

/// Returns a text of about `bytes` bytes that depends only on its arguments.
pub fn text_of(seed: u64, name: &str, bytes: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_be_bytes());
    hasher.update(name.as_bytes());
    let mut digits = hasher.finalize_xof();
    let mut text = String::with_capacity(bytes as usize + 16);
    let mut chunk = [0; 64];
    while (text.len() as u64) < bytes {
        digits.fill(&mut chunk);
        for byte in chunk {
            text.push_str(WORDS[usize::from(byte) % WORDS.len()]);
            text.push(' ');
        }
    }
    text.truncate(bytes as usize);
    text
}
