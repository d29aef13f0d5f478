//! Buffer that splits received bytes into lines. Each byte is searched for the end of a line once, in however many pieces
//! it arrives.

use bytes::{Buf, BytesMut};

/// Received bytes that are not consumed yet.
#[derive(Debug, Default)]
pub struct LineBuffer {
    bytes: BytesMut,
    /// Number of leading bytes that contain no end of a line.
    searched: usize,
}

impl LineBuffer {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete line, with its line break.
    pub fn next_line(&mut self) -> Option<BytesMut> {
        match self.bytes[self.searched..].iter().position(|byte| *byte == b'\n') {
            Some(position) => {
                let end = self.searched + position + 1;
                self.searched = 0;
                Some(self.bytes.split_to(end))
            }
            None => {
                self.searched = self.bytes.len();
                None
            }
        }
    }

    /// Removes and returns the first byte.
    pub fn take_byte(&mut self) -> Option<u8> {
        let byte = *self.bytes.first()?;
        self.bytes.advance(1);
        self.searched = self.searched.saturating_sub(1);
        Some(byte)
    }

    /// Removes and returns all bytes, which are an incomplete line if [`LineBuffer::next_line`] returned none.
    pub fn take_rest(&mut self) -> BytesMut {
        self.searched = 0;
        self.bytes.split()
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}
