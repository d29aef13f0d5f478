//! Boundaries of HTTP requests in a byte stream. They provide what the HTTP library does not: whether a head
//! had both `Content-Length` and `Transfer-Encoding`, and whether a message has been received in part.

/// Maximum number of bytes that are kept of a line. The framing headers are shorter.
const LINE_PREFIX_MAX: usize = 64;

/// Framing of a request's body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// By `Content-Length`; without the header, the body is empty.
    ContentLength,
    /// By `Transfer-Encoding`. Later messages are not tracked, so the connection must be closed after the
    /// answer.
    Chunked,
    /// By both headers, so that two readers may disagree where the body ends.
    Conflicting,
}

/// Framing headers of the head that is being received.
#[derive(Debug, Default)]
struct HeadFields {
    content_length: Option<u64>,
    has_transfer_encoding: bool,
}

impl HeadFields {
    /// Parses a header line; ignores all but the framing headers.
    fn parse_line(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|b| *b == b':') else { return };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = std::str::from_utf8(value.trim_ascii()).unwrap_or("");
            // The HTTP library rejects a value that is not a number.
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

/// Request after whose head message boundaries are no longer tracked.
#[derive(Debug)]
struct UntrackedBody {
    request: u64,
    framing: Framing,
}

/// Tracks where in the sequence of messages the bytes received so far end.
#[derive(Debug, Default)]
pub struct MessageBoundaries {
    /// Number of complete heads so far.
    head_count: u64,
    /// Number of bytes of the current body that are yet to be received.
    body_bytes_left: u64,
    /// Whether the head that is being received has a complete line.
    has_head_line: bool,
    /// Its current line, truncated to [`LINE_PREFIX_MAX`].
    line: Vec<u8>,
    fields: HeadFields,
    untracked: Option<UntrackedBody>,
}

impl MessageBoundaries {
    /// Processes received bytes.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.untracked.is_none() {
            if self.body_bytes_left > 0 {
                let skipped = bytes.len().min(usize::try_from(self.body_bytes_left).unwrap_or(usize::MAX));
                self.body_bytes_left -= skipped as u64;
                bytes = &bytes[skipped..];
                continue;
            }
            let end = bytes.iter().position(|b| *b == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            let length = LINE_PREFIX_MAX.saturating_sub(self.line.len()).min(part.len());
            self.line.extend_from_slice(&part[..length]);
            let Some(end) = end else { return };
            bytes = &bytes[end + 1..];
            self.finish_line();
        }
    }

    fn finish_line(&mut self) {
        let mut line = std::mem::take(&mut self.line);
        let text = line.trim_ascii_end();
        if !text.is_empty() {
            // The first line is the request line, not a header.
            if self.has_head_line {
                self.fields.parse_line(text);
            }
            self.has_head_line = true;
        } else if std::mem::take(&mut self.has_head_line) {
            // Empty lines before a head are ignored, as by the HTTP library.
            self.finish_head();
        }
        line.clear();
        self.line = line;
    }

    fn finish_head(&mut self) {
        self.head_count += 1;
        let fields = std::mem::take(&mut self.fields);
        match fields.framing() {
            Framing::ContentLength => self.body_bytes_left = fields.content_length.unwrap_or(0),
            framing => self.untracked = Some(UntrackedBody { request: self.head_count, framing }),
        }
    }

    /// Number of complete heads so far.
    pub fn head_count(&self) -> u64 {
        self.head_count
    }

    /// Whether message boundaries are no longer tracked, because a body was not framed by `Content-Length`
    /// alone.
    pub fn is_tracking_finished(&self) -> bool {
        self.untracked.is_some()
    }

    /// Framing of the request with this number, counted from 1.
    pub fn framing(&self, request: u64) -> Framing {
        let untracked = self.untracked.as_ref().filter(|u| u.request == request);
        untracked.map_or(Framing::ContentLength, |u| u.framing)
    }

    /// Whether the next byte belongs to a head.
    pub fn is_in_head(&self) -> bool {
        self.body_bytes_left == 0 && self.untracked.is_none()
    }

    /// Whether no byte of the next message has been received.
    pub fn is_between_messages(&self) -> bool {
        self.is_in_head() && !self.has_head_line && self.line.is_empty()
    }
}
