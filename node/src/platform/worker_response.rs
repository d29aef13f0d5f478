//! Response of a worker: its updates line by line, and what is left of it after the final one.

use super::answer_memory::{AnswerMemory, NoMemory};
use super::update_pace::UpdatePace;
use crate::line_buffer::LineBuffer;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::timeout_at;

/// Longest line of a worker's response, in bytes: a whole response needs no more.
pub const LINE_MAX: usize = 64 * 1024;

/// Why the next line of a worker's response cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// A line has no end within the limit.
    #[error("line is longer than {LINE_MAX} bytes")]
    TooLong,
    /// There is no memory for a long line.
    #[error(transparent)]
    NoMemory(#[from] NoMemory),
    /// A long line was not complete in time.
    #[error("line was not complete in time")]
    Timeout,
    /// The connection broke.
    #[error("reading the response failed")]
    Broken(#[source] hyper::Error),
    /// The response ended without the final update.
    #[error("the response ended without a final update")]
    Ended,
}

/// Reads a worker's response line by line, without empty lines.
pub struct UpdateLines {
    body: Incoming,
    buffer: LineBuffer,
    memory: AnswerMemory,
    pace: UpdatePace,
}

impl UpdateLines {
    /// Reads the lines of this body.
    pub fn new(body: Incoming, memory: AnswerMemory) -> UpdateLines {
        UpdateLines { body, buffer: LineBuffer::default(), memory, pace: UpdatePace::default() }
    }

    /// Returns the next line, after a pause if the worker has sent too much too fast.
    ///
    /// # Errors
    /// [`LineError`] if there is none.
    pub async fn next(&mut self) -> Result<BytesMut, LineError> {
        loop {
            while let Some(line) = self.buffer.next_line() {
                self.pace.line_read(line.len()).await;
                if !line.trim_ascii().is_empty() {
                    return Ok(line);
                }
            }
            // Bounds the memory for a line without an end.
            if self.buffer.len() > LINE_MAX {
                return Err(LineError::TooLong);
            }
            self.memory.reserve(self.buffer.len()).await?;
            match self.next_frame().await? {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend(data);
                    }
                }
                Some(Err(error)) => return Err(LineError::Broken(error)),
                // The last line may lack a line break.
                None => {
                    let line = self.buffer.take_rest();
                    return if line.trim_ascii().is_empty() { Err(LineError::Ended) } else { Ok(line) };
                }
            }
        }
    }

    async fn next_frame(&mut self) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, LineError> {
        match self.memory.deadline() {
            Some(deadline) => timeout_at(deadline, self.body.frame()).await.map_err(|_| LineError::Timeout),
            None => Ok(self.body.frame().await),
        }
    }

    /// The result of a line. As long as it lives it keeps its share of the memory for answers.
    pub fn hold_memory(&mut self, result: Bytes) -> Bytes {
        self.memory.hold(result)
    }

    /// The rest of the response after its final update, which holds nothing but white space.
    pub fn into_unread(self) -> UnreadResponse {
        UnreadResponse::new(self.body, 0)
    }
}

/// Part of a response that has not been read.
pub struct UnreadResponse {
    body: Incoming,
    /// Largest number of bytes, without surrounding white space, after which the connection is reused.
    limit: usize,
}

impl UnreadResponse {
    /// The rest of a response with this limit.
    pub fn new(body: Incoming, limit: usize) -> UnreadResponse {
        UnreadResponse { body, limit }
    }

    /// Reads the rest of the response; returns whether it ended within the limit.
    pub async fn ends_within_limit(mut self) -> bool {
        let mut length = 0;
        loop {
            match self.body.frame().await {
                None => return true,
                Some(Ok(frame)) => length += frame.data_ref().map_or(0, |d| d.trim_ascii().len()),
                Some(Err(_)) => return false,
            }
            if length > self.limit {
                return false;
            }
        }
    }
}
