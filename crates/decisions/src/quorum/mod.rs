//! In-memory majority votes of a small panel of nodes.
//!
//! A [`VoterList`] selects a [`Panel`] for each key. A [`Proposal`] collects the votes of a
//! majority of the panel for one [`AttemptId`], and a [`Voter`] votes for one attempt of a key at a
//! time. Any two majorities of a panel share a voter, so two attempts cannot both hold a key.
//!
//! The proposer counts the lifetime from before it sends its request and the voter from receipt, so
//! the proposer stops relying on a vote before the voter gives it to another attempt. This assumes
//! that the monotonic clocks of two machines run at the same rate to within the message delay.

mod key;
mod panel;
mod proposal;
mod standing;
mod vote_table;
mod voter;

pub use key::{AttemptId, RequestDigest, VoteKey, VoteKind};
pub use panel::{ListedVoter, PANEL_SIZE, Panel, VoterList, VoterListId};
pub use proposal::{Proposal, ProposalState, Tally};
pub use vote_table::{MAX_OUTCOME_BYTES, Outcome, OutcomeState};
pub use voter::{VoteHolder, VoteReply, VoteRequest, Voter, VoterConfig};
