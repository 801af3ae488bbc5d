//! Conversion of votes and outcomes.

use std::sync::Arc;

use bytes::Bytes;
use yuccapass_decisions::quorum::{
    AttemptId, MAX_OUTCOME_BYTES, Outcome, OutcomeState, RequestDigest, VoteHolder, VoteKey,
    VoteKind, VoteReply, VoteRequest, VoterListId,
};
use yuccapass_types::Incarnation;

use super::{check_count, parse_hash, parse_id, required, unknown_number};
use crate::error::DecodeError;
use crate::wire::{
    WireOutcomeState, WireProcessScopedId, WireVote, WireVoteReply, WireVoteRequest,
};

const GRANTED: u32 = 1;
const HELD_BY: u32 = 2;
const ABSTAINED: u32 = 3;
const WRONG_LIST: u32 = 4;
const FULL: u32 = 5;

pub(super) fn vote_to_wire(key: &VoteKey, attempt: AttemptId) -> WireVote {
    WireVote {
        kind: match key.kind() {
            VoteKind::Ledger => 1,
            VoteKind::Permit => 2,
        },
        key: Bytes::copy_from_slice(key.hash()),
        attempt: Some(attempt_to_wire(&attempt)),
    }
}

pub(super) fn vote_from_wire(wire: Option<WireVote>) -> Result<(VoteKey, AttemptId), DecodeError> {
    let wire = required("vote", wire)?;
    let kind = match wire.kind {
        1 => VoteKind::Ledger,
        2 => VoteKind::Permit,
        other => return Err(unknown_number("kind", other)),
    };
    let key = VoteKey::from_parts(kind, parse_hash("key", &wire.key)?);
    Ok((key, attempt_from_wire(wire.attempt)?))
}

fn attempt_to_wire(attempt: &AttemptId) -> WireProcessScopedId {
    WireProcessScopedId {
        node: attempt.node.to_string(),
        incarnation: attempt.incarnation.get(),
        number: attempt.number,
    }
}

fn attempt_from_wire(wire: Option<WireProcessScopedId>) -> Result<AttemptId, DecodeError> {
    let wire = required("attempt", wire)?;
    let incarnation = Incarnation::new(wire.incarnation);
    Ok(AttemptId { node: parse_id("attempt.node", &wire.node)?, incarnation, number: wire.number })
}

impl From<VoteRequest> for WireVoteRequest {
    fn from(request: VoteRequest) -> Self {
        Self {
            vote: Some(vote_to_wire(&request.key, request.attempt)),
            digest: Bytes::copy_from_slice(request.digest.as_bytes()),
            list: request.list.get(),
            zone: request.zone.to_string(),
        }
    }
}

impl TryFrom<WireVoteRequest> for VoteRequest {
    type Error = DecodeError;

    fn try_from(wire: WireVoteRequest) -> Result<Self, DecodeError> {
        let (key, attempt) = vote_from_wire(wire.vote)?;
        let digest = RequestDigest::from_bytes(parse_hash("digest", &wire.digest)?);
        let (list, zone) = (VoterListId::new(wire.list), parse_id("zone", &wire.zone)?);
        Ok(Self { key, attempt, digest, list, zone })
    }
}

impl From<VoteReply> for WireVoteReply {
    fn from(reply: VoteReply) -> Self {
        let kind = |kind| Self { kind, ..Self::default() };
        match reply {
            VoteReply::Granted => kind(GRANTED),
            VoteReply::Abstained => kind(ABSTAINED),
            VoteReply::Full => kind(FULL),
            VoteReply::WrongList(list) => Self { list: list.get(), ..kind(WRONG_LIST) },
            VoteReply::HeldBy(holder) => Self {
                holder: Some(attempt_to_wire(&holder.attempt)),
                digest: Bytes::copy_from_slice(holder.digest.as_bytes()),
                outcome: Some(holder.outcome.into()),
                ..kind(HELD_BY)
            },
        }
    }
}

impl TryFrom<WireVoteReply> for VoteReply {
    type Error = DecodeError;

    fn try_from(wire: WireVoteReply) -> Result<Self, DecodeError> {
        match wire.kind {
            GRANTED => Ok(Self::Granted),
            ABSTAINED => Ok(Self::Abstained),
            FULL => Ok(Self::Full),
            WRONG_LIST => Ok(Self::WrongList(VoterListId::new(wire.list))),
            HELD_BY => Ok(Self::HeldBy(VoteHolder {
                attempt: attempt_from_wire(wire.holder)?,
                digest: RequestDigest::from_bytes(parse_hash("digest", &wire.digest)?),
                outcome: outcome_from_wire(wire.outcome)?,
            })),
            other => Err(unknown_number("kind", other)),
        }
    }
}

impl From<OutcomeState> for WireOutcomeState {
    fn from(state: OutcomeState) -> Self {
        match state {
            OutcomeState::Pending => Self { kind: 1, ..Self::default() },
            OutcomeState::NotKept => Self { kind: 2, ..Self::default() },
            OutcomeState::Unknown => Self { kind: 4, ..Self::default() },
            OutcomeState::Recorded(outcome) => Self {
                kind: 3,
                status: u32::from(outcome.status),
                body: Bytes::copy_from_slice(&outcome.body),
            },
        }
    }
}

pub(super) fn outcome_from_wire(
    wire: Option<WireOutcomeState>,
) -> Result<OutcomeState, DecodeError> {
    let wire = required("outcome", wire)?;
    match wire.kind {
        1 => Ok(OutcomeState::Pending),
        2 => Ok(OutcomeState::NotKept),
        3 => {
            check_count("outcome.body", wire.body.len(), MAX_OUTCOME_BYTES)?;
            let status = u16::try_from(wire.status)
                .ok()
                .filter(|status| (100..1_000).contains(status))
                .ok_or_else(|| unknown_number("outcome.status", wire.status))?;
            Ok(OutcomeState::Recorded(Outcome { status, body: Arc::from(wire.body.as_ref()) }))
        }
        4 => Ok(OutcomeState::Unknown),
        other => Err(unknown_number("outcome.kind", other)),
    }
}
