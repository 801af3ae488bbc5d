//! Conversion of the messages about streams.

use yuccapass_decisions::gateway::{StreamOrigin, StreamRecord};

use super::{check_count, parse_id, required};
use crate::error::DecodeError;
use crate::message::MAX_STREAM_RECORDS;
use crate::wire::{WireStreamOrigin, WireStreamRecord, WireStreamRecords};

impl From<Vec<StreamRecord>> for WireStreamRecords {
    fn from(records: Vec<StreamRecord>) -> Self {
        let record = |record: StreamRecord| WireStreamRecord {
            id: record.id.to_string(),
            origin: Some(record.origin.into()),
        };
        Self { records: records.into_iter().map(record).collect() }
    }
}

impl TryFrom<WireStreamRecords> for Vec<StreamRecord> {
    type Error = DecodeError;

    fn try_from(wire: WireStreamRecords) -> Result<Self, DecodeError> {
        check_count("records", wire.records.len(), MAX_STREAM_RECORDS)?;
        let record = |wire: WireStreamRecord| {
            let origin = required("origin", wire.origin)?.try_into()?;
            Ok(StreamRecord { id: parse_id("id", &wire.id)?, origin })
        };
        wire.records.into_iter().map(record).collect()
    }
}

impl From<StreamOrigin> for WireStreamOrigin {
    fn from(origin: StreamOrigin) -> Self {
        let software = origin.software.map(|software| software.to_string());
        Self { service: origin.service.to_string(), software }
    }
}

impl TryFrom<WireStreamOrigin> for StreamOrigin {
    type Error = DecodeError;

    fn try_from(wire: WireStreamOrigin) -> Result<Self, DecodeError> {
        let software = wire.software.map(|software| parse_id("software", &software)).transpose()?;
        Ok(Self { service: parse_id("service", &wire.service)?, software })
    }
}
