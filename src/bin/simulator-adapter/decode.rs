//! Decoding of events, outcomes, load reports and endpoints from the simulator's records.

use super::error::Error;
use super::frame::{Batch, Record};
use dispatch_policy::api::{
    AttemptEnd, Availability, Endpoint, Event, LoadReport, Outcome, Request, RequestId, WorkerId,
};
use dispatch_policy::settings::ReportField;

/// Record codes.
pub mod code {
    pub const TIMER: u8 = 0;
    pub const ATTEMPT_ENDED: u8 = 1;
    pub const REQUEST: u8 = 2;
    pub const LIST: u8 = 3;
    pub const PROBE_ENDED: u8 = 4;
    pub const PEER_MESSAGE: u8 = 5;
    pub const RESPONSE_STREAMING: u8 = 6;
    pub const NOTE: u8 = 7;
    pub const INSTANCE_STOPPED: u8 = 8;
    pub const LIST_EVENT: u8 = 9;
    pub const INSTANCE_STARTED: u8 = 10;
    pub const CLIENT_DISCONNECTED: u8 = 11;
}

/// Kinds of notes about an attempt.
const NOTE_STARTED: u8 = 1;
const NOTE_PROGRESS: u8 = 2;
/// Status code of a success.
const STATUS_OK: u16 = 100;
/// Request flags.
const HAS_HINT: u16 = 1;
const IS_RETRY: u16 = 2;
/// Maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;

/// Decodes a record's event, except for events about endpoint lists; `None` for notes that are not used.
pub fn event(batch: &Batch, record: Record, report_fields: &[ReportField]) -> Result<Option<Event>, Error> {
    Ok(Some(match record.u8(0)? {
        code::TIMER => Event::TimerExpired,
        code::ATTEMPT_ENDED => Event::AttemptEnded(attempt_end(record, report_fields)?),
        code::REQUEST => Event::RequestReceived(request(record)?),
        code::PROBE_ENDED => Event::ProbeEnded {
            worker: WorkerId(record.worker(5)?),
            responded: record.u16(11)? == STATUS_OK,
            report: report(record, 17, report_fields)?,
        },
        code::PEER_MESSAGE => Event::PeerMessage {
            from: record.u32(5)?,
            bytes: batch.tail(record.u32(9)?, record.u32(13)? as usize)?.to_vec(),
        },
        code::RESPONSE_STREAMING => {
            Event::ResponseStreaming { id: request_id(record)?, attempt: u32::from(record.u16(19)?) }
        }
        code::NOTE => return note(record),
        code::CLIENT_DISCONNECTED => Event::ClientDisconnected { id: request_id(record)? },
        number => return Err(Error::Unknown { what: "event code", number: u64::from(number) }),
    }))
}

fn request_id(record: Record) -> Result<RequestId, Error> {
    record.u32(5).map(u64::from)
}

fn note(record: Record) -> Result<Option<Event>, Error> {
    let (id, attempt) = (request_id(record)?, u32::from(record.u16(9)?));
    Ok(match record.u8(17)? {
        NOTE_STARTED => Some(Event::Started { id, attempt }),
        NOTE_PROGRESS => Some(Event::Progress { id, attempt, done: f64::from(record.f32(18)?) }),
        _ => None,
    })
}

fn attempt_end(record: Record, report_fields: &[ReportField]) -> Result<AttemptEnd, Error> {
    Ok(AttemptEnd {
        id: request_id(record)?,
        attempt: u32::from(record.u16(9)?),
        outcome: outcome(record.u16(17)?)?,
        request_done: record.u8(23)? != 0,
        not_attributable: false, // not part of the protocol
        report: report(record, 28, report_fields)?,
    })
}

fn request(record: Record) -> Result<Request, Error> {
    let flags = record.u16(37)?;
    let hint = record.u32(25)?;
    Ok(Request {
        id: request_id(record)?,
        class: usize::from(record.u16(9)?),
        tenant: usize::from(record.u16(11)?),
        time_left_us: u64::from(record.u32(21)?),
        work_hint_us: (flags & HAS_HINT != 0 && hint > 0).then_some(u64::from(hint)),
        is_retry: flags & IS_RETRY != 0,
        affinity_key: record.u64(13)?,
        slots: f64::from(record.f32(29)?),
        memory: f64::from(record.f32(33)?),
    })
}

fn outcome(status: u16) -> Result<Outcome, Error> {
    Ok(match status {
        STATUS_OK => Outcome::Success,
        301 => Outcome::Error,
        302 => Outcome::Rejected,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::ConnectionLost,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        _ => return Err(Error::Unknown { what: "outcome", number: u64::from(status) }),
    })
}

fn report(record: Record, offset: usize, report_fields: &[ReportField]) -> Result<Option<LoadReport>, Error> {
    let values = usize::from(record.u8(offset)?);
    let mut report = LoadReport::default();
    for (i, field) in report_fields.iter().enumerate().take(values.min(MAX_REPORT_VALUES)) {
        field.set(&mut report, f64::from(record.f32(offset + 1 + 4 * i)?));
    }
    Ok((values > 0).then_some(report))
}

/// Decodes an entry of an endpoint list.
pub fn endpoint(record: Record) -> Result<Endpoint, Error> {
    Ok(Endpoint {
        kind: record.u8(0)?,
        zone: record.u8(1)?,
        cell: u32::from(record.u16(2)?),
        availability: match record.u8(4)? {
            0 => Availability::Gone,
            1 => Availability::Ready,
            2 => Availability::Draining,
            number => return Err(Error::Unknown { what: "availability", number: u64::from(number) }),
        },
        weight: f64::from(record.f32(5)?),
        worker: WorkerId(record.worker(9)?),
        started_at: record.u64(15)?,
    })
}
