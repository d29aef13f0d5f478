//! The frames of the wire: big-endian records of fixed size and one tail for data of free size.

/// Bytes of a batch's header.
pub const HEADER: usize = 20;
const EVENT: usize = 48;
const ACTION: usize = 24;
const ENTRY: usize = 23;

/// A batch of events as it came in.
pub struct Batch {
    /// Its number.
    pub serial: u32,
    /// The clock, microseconds.
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
        pub fn $name(&self, at: usize) -> Result<$type, String> {
            let bytes = self.0.get(at..at + std::mem::size_of::<$type>());
            let bytes = bytes.ok_or_else(|| format!("a field at byte {at} lies past its record's end"))?;
            Ok(<$type>::from_be_bytes(bytes.try_into().map_err(|_| "a field of odd size".to_string())?))
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
    pub fn runner(&self, at: usize) -> Result<u64, String> {
        Ok(u64::from(self.u32(at)?) << 16 | u64::from(self.u16(at + 4)?))
    }
}

/// The size of the whole frame, as its header states it.
pub fn frame_len(header: &[u8; HEADER]) -> Result<usize, String> {
    let len = Record(header).u32(12)? as usize;
    if len < HEADER {
        return Err(format!("a frame states {len} bytes, less than its header"));
    }
    Ok(len)
}

impl Batch {
    /// Reads a frame from its header and the bytes after it.
    pub fn parse(header: &[u8; HEADER], body: Vec<u8>) -> Result<Batch, String> {
        let head = Record(header);
        let count = head.u32(16)? as usize;
        if count.checked_mul(EVENT).is_none_or(|n| n > body.len()) {
            return Err(format!("a frame states {count} records but holds {} bytes", body.len()));
        }
        Ok(Batch { serial: head.u32(0)?, now: head.u64(4)?, body, count })
    }

    /// The records, in order.
    pub fn records(&self) -> impl Iterator<Item = Record<'_>> {
        self.body[..self.count * EVENT].chunks_exact(EVENT).map(Record)
    }

    /// Bytes of the tail.
    pub fn tail(&self, offset: u32, len: usize) -> Result<&[u8], String> {
        let start = self.count * EVENT + offset as usize;
        let end = start.checked_add(len);
        end.and_then(|end| self.body.get(start..end))
            .ok_or_else(|| "data lies past the tail's end".to_string())
    }

    /// The lines of a worker list in the tail.
    pub fn entries(&self, offset: u32, n: u32) -> Result<impl Iterator<Item = Record<'_>>, String> {
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
        let len = 12 + self.records.len() + self.tail.len();
        for word in [serial, len as u32, self.count] {
            out.extend_from_slice(&word.to_be_bytes());
        }
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn header(len: u32, count: u32) -> [u8; HEADER] {
        let mut h = [0; HEADER];
        h[3] = 7;
        h[12..16].copy_from_slice(&len.to_be_bytes());
        h[16..].copy_from_slice(&count.to_be_bytes());
        h
    }

    #[test]
    fn refuses_more_records_than_bytes() {
        assert!(Batch::parse(&header(68, 2), vec![0; 48]).is_err());
        assert!(Batch::parse(&header(68, u32::MAX), vec![0; 48]).is_err());
        assert!(frame_len(&header(19, 0)).is_err());
    }

    #[test]
    fn refuses_data_past_the_tail() {
        let batch = Batch::parse(&header(72, 1), vec![0; 52]).unwrap();
        assert!(batch.tail(0, 4).is_ok());
        assert!(batch.tail(1, 4).is_err());
        assert!(batch.entries(0, 1).is_err());
    }

    #[test]
    fn reply_has_header_records_and_tail() {
        let mut reply = Reply::default();
        let at = reply.tail(b"two servers known");
        reply.push(8, 5, &[&at]);
        let mut out = Vec::new();
        reply.frame(12, &mut out);
        assert_eq!(out.len(), 12 + 24 + 17);
        assert_eq!(&out[..12], &[0, 0, 0, 12, 0, 0, 0, 53, 0, 0, 0, 1]);
        assert_eq!(&out[12..25], &[8, 0, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 17]);
    }
}
