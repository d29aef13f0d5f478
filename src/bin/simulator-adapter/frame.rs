//! Frames of the simulator's protocol: big-endian records of fixed size, followed by a tail for data of
//! variable size.

use super::error::Error;

/// Length of a batch's header.
pub const HEADER_BYTES: usize = 20;
/// Length of an event record.
const EVENT_BYTES: usize = 48;
/// Length of an action record.
const ACTION_BYTES: usize = 24;
/// Length of an entry of an endpoint list.
const LIST_ENTRY_BYTES: usize = 23;
/// Length of a reply's header.
const REPLY_HEADER_BYTES: usize = 12;

/// A received batch of events.
pub struct Batch {
    /// Its serial number.
    pub serial: u32,
    /// Time of the events, in microseconds.
    pub now_us: u64,
    body: Vec<u8>,
    count: usize,
}

/// A bounds-checked view of a record's bytes.
#[derive(Clone, Copy)]
pub struct Record<'a>(&'a [u8]);

macro_rules! read {
    ($name:ident, $type:ty) => {
        /// Reads the field at an offset.
        pub fn $name(&self, offset: usize) -> Result<$type, Error> {
            let bytes = self.0.get(offset..offset + std::mem::size_of::<$type>());
            let bytes = bytes.and_then(|bytes| bytes.try_into().ok());
            bytes.map(<$type>::from_be_bytes).ok_or(Error::FieldPastRecord { offset })
        }
    };
}

impl Record<'_> {
    read!(u8, u8);
    read!(u16, u16);
    read!(u32, u32);
    read!(u64, u64);
    read!(f32, f32);

    /// Reads a worker's address and port as one big-endian number.
    pub fn worker(&self, offset: usize) -> Result<u64, Error> {
        Ok(u64::from(self.u32(offset)?) << 16 | u64::from(self.u16(offset + 4)?))
    }
}

/// Length of the whole frame, as stated by its header.
pub fn frame_len(header: &[u8; HEADER_BYTES]) -> Result<usize, Error> {
    let len = Record(header).u32(12)? as usize;
    if len < HEADER_BYTES {
        return Err(Error::FrameTooShort { stated: len });
    }
    Ok(len)
}

impl Batch {
    /// Parses a frame from its header and the remaining bytes.
    pub fn parse(header: &[u8; HEADER_BYTES], body: Vec<u8>) -> Result<Batch, Error> {
        let head = Record(header);
        let count = head.u32(16)? as usize;
        if count.checked_mul(EVENT_BYTES).is_none_or(|n| n > body.len()) {
            return Err(Error::MissingRecords { stated: count, bytes: body.len() });
        }
        Ok(Batch { serial: head.u32(0)?, now_us: head.u64(4)?, body, count })
    }

    /// Iterates over the records in order.
    pub fn records(&self) -> impl Iterator<Item = Record<'_>> {
        self.body[..self.count * EVENT_BYTES].chunks_exact(EVENT_BYTES).map(Record)
    }

    /// Returns a range of the tail.
    pub fn tail(&self, offset: u32, len: usize) -> Result<&[u8], Error> {
        let start = self.count * EVENT_BYTES + offset as usize;
        let end = start.checked_add(len);
        end.and_then(|end| self.body.get(start..end)).ok_or(Error::DataPastTail)
    }

    /// Iterates over the `n` entries of an endpoint list in the tail.
    pub fn entries(&self, offset: u32, n: u32) -> Result<impl Iterator<Item = Record<'_>>, Error> {
        Ok(self
            .tail(offset, (n as usize).saturating_mul(LIST_ENTRY_BYTES))?
            .chunks_exact(LIST_ENTRY_BYTES)
            .map(Record))
    }
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Clears the reply for the next batch.
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
        self.count = 0;
    }

    /// Appends an action: its code, its instance and its other fields, without padding in between.
    pub fn push_action(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_be_bytes());
        fields.iter().for_each(|f| self.records.extend_from_slice(f));
        self.records.resize(start + ACTION_BYTES, 0);
        self.count += 1;
    }

    /// Appends bytes to the tail and returns the field that refers to them.
    pub fn push_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let mut field = [0; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_be_bytes());
        field[4..].copy_from_slice(&(bytes.len() as u32).to_be_bytes());
        self.tail.extend_from_slice(bytes);
        field
    }

    /// Writes the complete frame to `out`, replacing its contents.
    pub fn write_frame(&self, serial: u32, out: &mut Vec<u8>) {
        out.clear();
        let len = REPLY_HEADER_BYTES + self.records.len() + self.tail.len();
        for word in [serial, len as u32, self.count] {
            out.extend_from_slice(&word.to_be_bytes());
        }
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
    }
}
