//! Frames of the simulator's wire: big-endian records of fixed size, and one tail for data of any size.

use super::error::Error;

/// Bytes of a batch's header.
pub const HEADER_BYTES: usize = 20;
/// Bytes of an event's record.
const EVENT: usize = 48;
/// Bytes of an action's record.
const ACTION: usize = 24;
/// Bytes of a list's entry.
const ENTRY: usize = 23;
/// Bytes of a reply's header.
const REPLY_HEADER: usize = 12;

/// A batch of events as it was received.
pub struct Batch {
    /// Its serial number.
    pub serial: u32,
    /// Time, in microseconds.
    pub now: u64,
    body: Vec<u8>,
    count: usize,
}

/// A view of bytes that reads fields and never past the end.
#[derive(Clone, Copy)]
pub struct Record<'a>(&'a [u8]);

macro_rules! read {
    ($name:ident, $type:ty) => {
        /// The field at this offset.
        pub fn $name(&self, at: usize) -> Result<$type, Error> {
            let bytes = self.0.get(at..at + std::mem::size_of::<$type>());
            let bytes = bytes.and_then(|bytes| bytes.try_into().ok());
            bytes.map(<$type>::from_be_bytes).ok_or(Error::FieldPastRecord { at })
        }
    };
}

impl Record<'_> {
    read!(u8, u8);
    read!(u16, u16);
    read!(u32, u32);
    read!(u64, u64);
    read!(f32, f32);

    /// A worker's address and port as one number, high bytes first.
    pub fn worker(&self, at: usize) -> Result<u64, Error> {
        Ok(u64::from(self.u32(at)?) << 16 | u64::from(self.u16(at + 4)?))
    }
}

/// Size of the whole frame, as its header states it.
pub fn frame_len(header: &[u8; HEADER_BYTES]) -> Result<usize, Error> {
    let len = Record(header).u32(12)? as usize;
    if len < HEADER_BYTES {
        return Err(Error::FrameTooShort { stated: len });
    }
    Ok(len)
}

impl Batch {
    /// Reads a frame from its header and the bytes after it.
    pub fn parse(header: &[u8; HEADER_BYTES], body: Vec<u8>) -> Result<Batch, Error> {
        let head = Record(header);
        let count = head.u32(16)? as usize;
        if count.checked_mul(EVENT).is_none_or(|n| n > body.len()) {
            return Err(Error::MissingRecords { stated: count, bytes: body.len() });
        }
        Ok(Batch { serial: head.u32(0)?, now: head.u64(4)?, body, count })
    }

    /// The records, in order.
    pub fn records(&self) -> impl Iterator<Item = Record<'_>> {
        self.body[..self.count * EVENT].chunks_exact(EVENT).map(Record)
    }

    /// Bytes of the tail.
    pub fn tail(&self, offset: u32, len: usize) -> Result<&[u8], Error> {
        let start = self.count * EVENT + offset as usize;
        let end = start.checked_add(len);
        end.and_then(|end| self.body.get(start..end)).ok_or(Error::DataPastTail)
    }

    /// Entries of an endpoint list in the tail.
    pub fn entries(&self, offset: u32, n: u32) -> Result<impl Iterator<Item = Record<'_>>, Error> {
        Ok(self.tail(offset, (n as usize).saturating_mul(ENTRY))?.chunks_exact(ENTRY).map(Record))
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
    /// Empties it for the next batch.
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
        self.count = 0;
    }

    /// Adds an action: its code, its instance and its other fields back to back.
    pub fn push(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_be_bytes());
        fields.iter().for_each(|f| self.records.extend_from_slice(f));
        self.records.resize(start + ACTION, 0);
        self.count += 1;
    }

    /// Adds bytes to the tail and returns the field that points to them.
    pub fn tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let mut field = [0; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_be_bytes());
        field[4..].copy_from_slice(&(bytes.len() as u32).to_be_bytes());
        self.tail.extend_from_slice(bytes);
        field
    }

    /// The whole frame.
    pub fn frame(&self, serial: u32, out: &mut Vec<u8>) {
        out.clear();
        let len = REPLY_HEADER + self.records.len() + self.tail.len();
        for word in [serial, len as u32, self.count] {
            out.extend_from_slice(&word.to_be_bytes());
        }
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
    }
}
