//! Joins the tokens of several attempts into one complete answer.

use yuccapass_types::Tokens;

/// What to do with a token that an endpoint sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenAction {
    /// Pass it on to the caller.
    Deliver,
    /// Drop it, since it was delivered before.
    DropDuplicate,
    /// Abandon the attempt, since a token before this one is missing.
    AbandonAttempt,
}

/// What to do when an endpoint reports the end of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndAction {
    /// The caller has the complete answer.
    Complete,
    /// Abandon the attempt, since the answer's length differs from the tokens received.
    AbandonAttempt,
}

/// Number of tokens of an answer that the caller has received without a gap.
///
/// # Examples
///
/// ```
/// use yuccapass_decisions::answer::{AnswerProgress, TokenAction};
/// use yuccapass_types::Tokens;
///
/// let mut progress = AnswerProgress::default();
/// assert_eq!(progress.accept_token(Tokens::new(0)), TokenAction::Deliver);
/// assert_eq!(progress.accept_token(Tokens::new(0)), TokenAction::DropDuplicate);
/// assert_eq!(progress.accept_token(Tokens::new(2)), TokenAction::AbandonAttempt);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerProgress {
    delivered_tokens: Tokens,
}

impl AnswerProgress {
    /// Returns how many tokens the caller has received.
    pub fn delivered_tokens(&self) -> Tokens {
        self.delivered_tokens
    }

    /// Decides what to do with the token at `offset_tokens`, and counts it if it is to be delivered.
    pub fn accept_token(&mut self, offset_tokens: Tokens) -> TokenAction {
        if offset_tokens < self.delivered_tokens {
            return TokenAction::DropDuplicate;
        }
        if offset_tokens > self.delivered_tokens {
            return TokenAction::AbandonAttempt;
        }
        self.delivered_tokens = self.delivered_tokens + Tokens::new(1);
        TokenAction::Deliver
    }

    /// Decides what to do at the end of an answer of `length_tokens` tokens.
    pub fn accept_end(&self, length_tokens: Tokens) -> EndAction {
        match length_tokens == self.delivered_tokens {
            true => EndAction::Complete,
            false => EndAction::AbandonAttempt,
        }
    }
}
