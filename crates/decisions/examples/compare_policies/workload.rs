//! A workload of prompts that are repeated after long gaps.

use rand::RngExt;
use rand::rngs::StdRng;
use yuccapass_decisions::routing::placement::PlacementRequest;
use yuccapass_types::{BlockHash, Bytes, Tokens};

/// Prompt tokens in a block.
pub const BLOCK_TOKENS: u64 = 64;
/// KV cache bytes of a block.
pub const BLOCK_BYTES: u64 = 1_000_000;

const ORGANISATIONS: usize = 10;
const CONVERSATIONS: usize = 1_200;
/// Number of blocks by which a conversation grows with each request.
const GROWTH_BLOCKS: usize = 2;
const MAX_BLOCKS: usize = 128;

struct Conversation {
    chain: Vec<BlockHash>,
    length_blocks: usize,
    /// Number of blocks that any endpoint has processed before.
    processed_blocks: usize,
}

/// All conversations of all organisations.
pub struct Workload {
    conversations: Vec<Conversation>,
}

/// A request of a conversation.
#[derive(Clone)]
pub struct Prompt {
    conversation: usize,
    pub chain: Vec<BlockHash>,
    /// Number of blocks that any endpoint has processed before.
    pub processed_blocks: usize,
    pub answer_tokens: u64,
}

impl Workload {
    pub fn new(random: &mut StdRng) -> Self {
        let prefixes: Vec<Vec<BlockHash>> = (0..ORGANISATIONS).map(|_| blocks(random, 8)).collect();
        let conversations = (0..CONVERSATIONS).map(|_| {
            // The smaller of two numbers, so that some organisations have more conversations.
            let organisation =
                random.random_range(0..ORGANISATIONS).min(random.random_range(0..10));
            let mut chain = prefixes[organisation].clone();
            chain.extend(blocks(random, MAX_BLOCKS - chain.len()));
            let length_blocks = random.random_range(16..100);
            Conversation { chain, length_blocks, processed_blocks: 0 }
        });
        Self { conversations: conversations.collect() }
    }

    /// Returns the mean length of a prompt.
    pub fn mean_prompt_tokens(&self) -> u64 {
        let blocks: usize = self.conversations.iter().map(|c| c.length_blocks).sum();
        blocks as u64 * BLOCK_TOKENS / self.conversations.len() as u64
    }

    /// Draws the next request, from a random conversation.
    pub fn next(&self, random: &mut StdRng) -> Prompt {
        let number = random.random_range(0..self.conversations.len());
        let conversation = &self.conversations[number];
        Prompt {
            conversation: number,
            chain: conversation.chain[..conversation.length_blocks].to_vec(),
            processed_blocks: conversation.processed_blocks,
            answer_tokens: random.random_range(20..100),
        }
    }

    /// Records that a prompt was processed; the next prompt of its conversation is longer.
    pub fn complete(&mut self, prompt: &Prompt) {
        let conversation = &mut self.conversations[prompt.conversation];
        let processed = prompt.chain.len();
        conversation.processed_blocks = conversation.processed_blocks.max(processed);
        let grown = (processed + GROWTH_BLOCKS).min(MAX_BLOCKS);
        conversation.length_blocks = conversation.length_blocks.max(grown);
    }
}

impl Prompt {
    pub fn tokens(&self) -> u64 {
        self.chain.len() as u64 * BLOCK_TOKENS
    }

    /// Returns the request for placement, without import sources.
    pub fn request(&self) -> PlacementRequest {
        PlacementRequest {
            prompt: Tokens::new(self.tokens()),
            prompt_blocks: self.chain.len() as u32,
            block_size: Bytes::new(BLOCK_BYTES),
            is_suspect: false,
            sending_nodes: 1,
            sources: Vec::new(),
        }
    }
}

fn blocks(random: &mut StdRng, count: usize) -> Vec<BlockHash> {
    (0..count).map(|_| BlockHash::from_bits(random.random())).collect()
}
