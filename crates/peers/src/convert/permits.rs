//! Conversion of permit messages.

use yuccapass_decisions::permits::{PermitId, PermitReply};
use yuccapass_types::Incarnation;

use super::{parse_id, required, unknown_number};
use crate::error::DecodeError;
use crate::message::{PermitAction, PermitRequest};
use crate::wire::{WirePermitReply, WirePermitRequest, WireProcessScopedId};

impl From<PermitRequest> for WirePermitRequest {
    fn from(request: PermitRequest) -> Self {
        let permit = WireProcessScopedId {
            node: request.permit.node.to_string(),
            incarnation: request.permit.incarnation.get(),
            number: request.permit.number,
        };
        Self {
            endpoint: request.endpoint.to_string(),
            incarnation: request.incarnation.get(),
            permit: Some(permit),
            action: match request.action {
                PermitAction::Acquire => 1,
                PermitAction::Renew => 2,
                PermitAction::Release => 3,
            },
        }
    }
}

impl TryFrom<WirePermitRequest> for PermitRequest {
    type Error = DecodeError;

    fn try_from(wire: WirePermitRequest) -> Result<Self, DecodeError> {
        let permit = required("permit", wire.permit)?;
        Ok(Self {
            endpoint: parse_id("endpoint", &wire.endpoint)?,
            incarnation: Incarnation::new(wire.incarnation),
            permit: PermitId {
                node: parse_id("permit.node", &permit.node)?,
                incarnation: Incarnation::new(permit.incarnation),
                number: permit.number,
            },
            action: match wire.action {
                1 => PermitAction::Acquire,
                2 => PermitAction::Renew,
                3 => PermitAction::Release,
                other => return Err(unknown_number("action", other)),
            },
        })
    }
}

impl From<PermitReply> for WirePermitReply {
    fn from(reply: PermitReply) -> Self {
        let (kind, remaining_ms) = match reply {
            PermitReply::Granted { remaining_ms } => (1, remaining_ms),
            PermitReply::Full => (2, 0),
            PermitReply::NotReady => (3, 0),
            PermitReply::NotOwner => (4, 0),
        };
        Self { kind, remaining_ms }
    }
}

impl TryFrom<WirePermitReply> for PermitReply {
    type Error = DecodeError;

    fn try_from(wire: WirePermitReply) -> Result<Self, DecodeError> {
        match wire.kind {
            1 => Ok(Self::Granted { remaining_ms: wire.remaining_ms }),
            2 => Ok(Self::Full),
            3 => Ok(Self::NotReady),
            4 => Ok(Self::NotOwner),
            other => Err(unknown_number("kind", other)),
        }
    }
}
