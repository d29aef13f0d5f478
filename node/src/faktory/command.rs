//! Parser for the commands of the Faktory work protocol, version 2.

use bytes::Bytes;
use serde::de::IgnoredAny;
use serde::Deserialize;

/// Longest line, in bytes: a job of 64 KiB, the limit of the platform frontend too, and the command's name.
pub const LINE_MAX: usize = 64 * 1024 + 16;
/// Maximum number of queues in a `FETCH`.
const QUEUES_MAX: usize = 64;
/// Shortest job id, in bytes.
const JID_MIN: usize = 8;
/// Longest job id, worker id or idempotency key, in bytes.
pub(super) const ID_MAX: usize = 256;
/// Maximum number of characters of an unknown command that the error text repeats.
const UNKNOWN_COMMAND_ECHO_MAX: usize = 32;

// The types are named after the commands: serde puts their names into the error texts that clients receive.

/// Arguments of `HELLO`, the handshake of a client or worker.
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

/// Arguments of `PUSH`: the fields of a job that the server reads.
#[derive(Debug, Deserialize)]
pub struct Push {
    /// Job id.
    pub jid: String,
    /// Type of the job.
    pub jobtype: String,
    /// Arguments of the job: a list, passed to the worker unread.
    #[serde(rename = "args")]
    _args: Vec<IgnoredAny>,
    /// Queue; its name is that of a class.
    #[serde(default = "default_queue")]
    pub queue: String,
    /// Time of a scheduled start. Jobs that have one are rejected.
    pub at: Option<String>,
    /// Fields that Faktory does not interpret.
    pub custom: Option<Custom>,
}

/// Fields of a job that the Faktory protocol leaves to applications.
#[derive(Debug, Default, Deserialize)]
pub struct Custom {
    /// Name of the tenant.
    pub tenant: Option<String>,
    /// Idempotency key; the job id by default.
    pub key: Option<String>,
    /// Deadline, in seconds; it can only shorten that of the class.
    pub deadline: Option<f64>,
    /// Estimated execution time, in microseconds.
    pub cost_hint: Option<f64>,
}

/// Arguments of `BEAT`, the heartbeat of a worker.
#[derive(Debug, Deserialize)]
pub struct Beat {
    /// Worker id.
    #[serde(rename = "wid")]
    pub worker_id: String,
    /// `quiet` or `terminate` if the worker is about to stop.
    pub current_state: Option<String>,
}

impl Beat {
    /// Whether the worker is about to stop.
    pub fn is_stopping(&self) -> bool {
        matches!(self.current_state.as_deref(), Some("quiet" | "terminate"))
    }
}

/// Arguments of `ACK` and `FAIL`.
#[derive(Deserialize)]
struct ByJid {
    jid: String,
}

/// Command from a client or worker.
#[derive(Debug)]
pub enum Command {
    /// `HELLO`: opens the session.
    Hello(Hello),
    /// `PUSH`: submits a job. The bytes are those received.
    Push(Push, Bytes),
    /// `TRACK GET`: returns the state of the job with this id.
    TrackGet(String),
    /// `INFO`: returns statistics of the server.
    Info,
    /// `END`: closes the session.
    End,
    /// Command that only workers may send.
    Worker(WorkerCommand),
}

/// Command that only workers may send.
#[derive(Debug)]
pub enum WorkerCommand {
    /// `FETCH`: requests a job from one of these queues.
    Fetch(Vec<String>),
    /// `ACK`: the job with this id succeeded.
    Ack(String),
    /// `FAIL`: the job with this id failed.
    Fail(String),
    /// `BEAT`: heartbeat.
    Beat(Beat),
}

/// Error in a command. The session replies with it and stays open.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The arguments are invalid.
    #[error("{0}")]
    Malformed(String),
    /// The command is unknown.
    #[error("{0}")]
    Unknown(String),
}

impl CommandError {
    fn malformed(reason: &str) -> CommandError {
        CommandError::Malformed(reason.to_string())
    }
}

impl Command {
    /// Parses a line, given without its terminator.
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
    let printable = name.chars().filter(char::is_ascii_graphic).take(UNKNOWN_COMMAND_ECHO_MAX);
    CommandError::Unknown(format!("unknown command {}", printable.collect::<String>()))
}

fn default_queue() -> String {
    "default".to_string()
}
