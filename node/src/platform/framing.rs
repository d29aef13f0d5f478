//! Boundaries of HTTP requests in a byte stream. They tell what the HTTP library does not: whether a head had both
//! `Content-Length` and `Transfer-Encoding`, and whether part of a message has come.

/// Bytes that are kept of a line: the fields that matter here are shorter.
const LINE_MAX: usize = 64;

/// How a request's body is framed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// By its length; 0 where none is stated.
    ContentLength,
    /// By chunks. What follows is not followed: the connection must close after the answer.
    Chunked,
    /// By both, so that two readers may not agree where it ends.
    Conflicting,
}

/// Framing fields of the head that is coming in.
#[derive(Debug, Default)]
struct HeadFields {
    content_length: Option<u64>,
    has_transfer_encoding: bool,
}

impl HeadFields {
    /// Reads a field's line; others are passed over.
    fn read(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|b| *b == b':') else { return };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = std::str::from_utf8(value.trim_ascii()).unwrap_or("");
            // One that is no number is refused by the HTTP library.
            self.content_length = Some(value.parse().unwrap_or(0));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
        }
    }

    fn framing(&self) -> Framing {
        match (self.has_transfer_encoding, self.content_length) {
            (true, Some(_)) => Framing::Conflicting,
            (true, None) => Framing::Chunked,
            (false, _) => Framing::ContentLength,
        }
    }
}

/// A head after which nothing is followed.
#[derive(Debug)]
struct LastHead {
    number: u64,
    framing: Framing,
}

/// Where in the messages the bytes so far end.
#[derive(Debug, Default)]
pub struct MessageBoundaries {
    /// Complete heads so far.
    heads: u64,
    /// Bytes of the current body that are still to come.
    body_left: u64,
    /// Whether the head that is coming in has a line.
    has_line: bool,
    /// Its current line, cut off at [`LINE_MAX`].
    line: Vec<u8>,
    fields: HeadFields,
    last: Option<LastHead>,
}

impl MessageBoundaries {
    /// Follows bytes that have come in.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.last.is_none() {
            if self.body_left > 0 {
                let skipped = bytes.len().min(usize::try_from(self.body_left).unwrap_or(usize::MAX));
                self.body_left -= skipped as u64;
                bytes = &bytes[skipped..];
                continue;
            }
            let end = bytes.iter().position(|b| *b == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            let room = LINE_MAX.saturating_sub(self.line.len()).min(part.len());
            self.line.extend_from_slice(&part[..room]);
            let Some(end) = end else { return };
            bytes = &bytes[end + 1..];
            self.line_ended();
        }
    }

    fn line_ended(&mut self) {
        let mut line = std::mem::take(&mut self.line);
        let text = line.trim_ascii_end();
        if !text.is_empty() {
            // The first line is the request's, not a field's.
            if self.has_line {
                self.fields.read(text);
            }
            self.has_line = true;
        } else if std::mem::take(&mut self.has_line) {
            // Empty lines before a head are passed over, as the HTTP library does.
            self.head_ended();
        }
        line.clear();
        self.line = line;
    }

    fn head_ended(&mut self) {
        self.heads += 1;
        let fields = std::mem::take(&mut self.fields);
        match fields.framing() {
            Framing::ContentLength => self.body_left = fields.content_length.unwrap_or(0),
            framing => self.last = Some(LastHead { number: self.heads, framing }),
        }
    }

    /// Number of complete heads.
    pub fn head_count(&self) -> u64 {
        self.heads
    }

    /// Whether a head has come after which nothing is followed.
    pub fn is_tracking_finished(&self) -> bool {
        self.last.is_some()
    }

    /// How the request of this number, from 1 on, is framed.
    pub fn framing(&self, request: u64) -> Framing {
        let last = self.last.as_ref().filter(|last| last.number == request);
        last.map_or(Framing::ContentLength, |last| last.framing)
    }

    /// Whether a head is coming in, or is yet to.
    pub fn is_in_head(&self) -> bool {
        self.body_left == 0 && self.last.is_none()
    }

    /// Whether nothing of a next message has come.
    pub fn is_between_messages(&self) -> bool {
        self.is_in_head() && !self.has_line && self.line.is_empty()
    }
}
