//! Commands of the Faktory work protocol, version 2: parsing of the lines that clients and workers send.

use bytes::Bytes;
use serde::de::IgnoredAny;
use serde::Deserialize;

/// Longest line, in bytes: a job of 64 KiB, as on the platform, and the name of the command.
pub const LINE_MAX: usize = 64 * 1024 + 16;
/// Most queues in one `FETCH`.
const QUEUES_MAX: usize = 64;
/// Shortest job id, in bytes.
const JID_MIN: usize = 8;
/// Longest job id, worker id or idempotency key, in bytes.
pub(super) const ID_MAX: usize = 256;
/// Characters of an unknown command that the error repeats.
const UNKNOWN_COMMAND_SHOWN: usize = 32;

// The names of these types are those of the commands, and part of the error texts that clients see.

/// Arguments of `HELLO`, with which a client or worker opens its session.
#[derive(Debug, Deserialize)]
pub struct Hello {
    /// Version of the protocol.
    #[serde(rename = "v")]
    pub version: u32,
    /// Worker id; `None` for a client.
    #[serde(rename = "wid")]
    pub worker_id: Option<String>,
    /// Hash of the password.
    #[serde(rename = "pwdhash")]
    pub password_hash: Option<String>,
}

/// Job that a client pushes: the fields that decisions are made by.
#[derive(Debug, Deserialize)]
pub struct Push {
    /// Job id.
    pub jid: String,
    /// Type of the job.
    pub jobtype: String,
    /// Arguments: a list, passed on to the worker without being read.
    #[serde(rename = "args")]
    _args: Vec<IgnoredAny>,
    /// Queue, which is the name of the class.
    #[serde(default = "default_queue")]
    pub queue: String,
    /// Scheduled start; jobs that have one are rejected.
    pub at: Option<String>,
    /// Further fields.
    pub custom: Option<Custom>,
}

/// Fields of a job that Faktory leaves to its users.
#[derive(Debug, Default, Deserialize)]
pub struct Custom {
    /// Name of the tenant.
    pub tenant: Option<String>,
    /// Idempotency key; the job id if absent.
    pub key: Option<String>,
    /// Deadline, in seconds, if it is shorter than that of the class.
    pub deadline: Option<f64>,
    /// Estimate of the run time, in microseconds.
    pub cost_hint: Option<f64>,
}

/// Arguments of `BEAT`, the heartbeat of a worker.
#[derive(Debug, Deserialize)]
pub struct Beat {
    /// Worker id.
    #[serde(rename = "wid")]
    pub worker_id: String,
    /// State that the worker reports, if it is about to stop.
    pub current_state: Option<String>,
}

impl Beat {
    /// Whether the worker reports that it is about to stop.
    pub fn is_stopping(&self) -> bool {
        matches!(self.current_state.as_deref(), Some("quiet" | "terminate"))
    }
}

/// Arguments of `ACK` and `FAIL`.
#[derive(Deserialize)]
struct ByJid {
    jid: String,
}

/// Command of a client or worker.
#[derive(Debug)]
pub enum Command {
    /// `HELLO`: opens the session.
    Hello(Hello),
    /// `PUSH`: submits a job, with its bytes as received.
    Push(Push, Bytes),
    /// `TRACK GET`: requests the state of the job of this id.
    TrackGet(String),
    /// `INFO`: requests the server's information.
    Info,
    /// `END`: closes the session.
    End,
    /// A command that only workers may send.
    Worker(WorkerCommand),
}

/// Command that only workers may send.
#[derive(Debug)]
pub enum WorkerCommand {
    /// `FETCH`: requests a job of one of these queues.
    Fetch(Vec<String>),
    /// `ACK`: the worker has done the job of this id.
    Ack(String),
    /// `FAIL`: the worker has failed the job of this id.
    Fail(String),
    /// `BEAT`: heartbeat.
    Beat(Beat),
}

/// Error in a line, which is answered and leaves the session open.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command is known, and its arguments are invalid.
    #[error("{0}")]
    Malformed(String),
    /// There is no such command.
    #[error("{0}")]
    Unknown(String),
}

impl CommandError {
    fn malformed(reason: &str) -> CommandError {
        CommandError::Malformed(reason.to_string())
    }
}

impl Command {
    /// Parses a line, without its line end.
    ///
    /// # Errors
    ///
    /// Fails if the command is unknown or its arguments are invalid.
    pub fn parse(line: &str) -> Result<Command, CommandError> {
        let (name, arguments) = line.split_once(' ').unwrap_or((line, ""));
        let arguments = arguments.trim();
        Ok(match name {
            "HELLO" => Command::Hello(parse_json(arguments)?),
            "PUSH" => Command::Push(parse_push(arguments)?, Bytes::copy_from_slice(arguments.as_bytes())),
            "FETCH" => Command::Worker(WorkerCommand::Fetch(parse_queues(arguments)?)),
            "ACK" => Command::Worker(WorkerCommand::Ack(parse_jid(arguments)?)),
            "FAIL" => Command::Worker(WorkerCommand::Fail(parse_jid(arguments)?)),
            "BEAT" => Command::Worker(WorkerCommand::Beat(parse_json(arguments)?)),
            "TRACK" => match arguments.split_once(' ') {
                Some(("GET", jid)) => Command::TrackGet(jid.trim().to_string()),
                _ => return Err(CommandError::Unknown("TRACK offers GET only".to_string())),
            },
            "INFO" => Command::Info,
            "END" => Command::End,
            _ => return Err(unknown_command(name)),
        })
    }
}

fn parse_jid(arguments: &str) -> Result<String, CommandError> {
    Ok(parse_json::<ByJid>(arguments)?.jid)
}

fn parse_push(arguments: &str) -> Result<Push, CommandError> {
    let job: Push = parse_json(arguments)?;
    if !(JID_MIN..=ID_MAX).contains(&job.jid.len()) {
        return Err(CommandError::malformed("a jid has 8 to 256 characters"));
    }
    if job.jobtype.is_empty() {
        return Err(CommandError::malformed("a job needs a jobtype"));
    }
    let key = job.custom.as_ref().and_then(|custom| custom.key.as_ref());
    if key.is_some_and(|key| !(1..=ID_MAX).contains(&key.len())) {
        return Err(CommandError::malformed("a key has 1 to 256 characters"));
    }
    Ok(job)
}

fn parse_queues(arguments: &str) -> Result<Vec<String>, CommandError> {
    let queues: Vec<String> = arguments.split_whitespace().map(String::from).collect();
    if queues.len() > QUEUES_MAX {
        return Err(CommandError::malformed("too many queues"));
    }
    Ok(if queues.is_empty() { vec![default_queue()] } else { queues })
}

fn parse_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, CommandError> {
    serde_json::from_str(text).map_err(|error| CommandError::Malformed(error.to_string()))
}

fn unknown_command(name: &str) -> CommandError {
    let shown = name.chars().filter(char::is_ascii_graphic).take(UNKNOWN_COMMAND_SHOWN);
    CommandError::Unknown(format!("unknown command {}", shown.collect::<String>()))
}

fn default_queue() -> String {
    "default".to_string()
}
