//! Majority votes among small panels of nodes, held in memory only.
//!
//! A [`VoterList`] selects a [`Panel`] for each key. A [`Proposal`] collects the votes of a
//! majority of the panel for one [`AttemptId`], and a [`Voter`] votes for one attempt per key at a
//! time. Any two majorities of a panel share a voter, so two attempts cannot both hold a key.
//!
//! The proposer counts a vote's lifetime from before it sends its request and the voter from
//! receipt, so the proposer stops relying on a vote before the voter gives it to another attempt.
//! This assumes that over a lifetime the monotonic clocks of two machines diverge by less than the
//! message delay.

mod key;
mod panel;
mod proposal;
mod vote_table;
mod voter;
mod voter_list_state;

pub use key::{AttemptId, RequestDigest, VoteKey, VoteKind};
pub use panel::{ListedVoter, PANEL_SIZE, Panel, VoterList, VoterListId};
pub use proposal::{Proposal, ProposalState, Tally};
pub use vote_table::{MAX_OUTCOME_BYTES, Outcome, OutcomeState};
pub use voter::{VoteHolder, VoteReply, VoteRequest, Voter, VoterConfig};
