//! Logger of the process: writes each record as one line on standard error, with the time, the node's name and the
//! record's fields, as text or as JSON.

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde_json::{json, Map};
use std::fmt::Write as _;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest record, in bytes: what a writable pipe takes without blocking (`PIPE_BUF`), less a reserve.
const MAX_RECORD_BYTES: usize = 3_500;
/// Prefix of the targets that are logged: this crate's name.
const TARGET: &str = "molevale";

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Time, node, level and message, then the fields as `key=value`.
    Text,
    /// An object with `at_ms`, `node`, `level`, `message` and the fields.
    Json,
}

impl Format {
    /// Renders a record of this node at this Unix time as one line, without the line end.
    pub fn render(self, node: &str, at: Duration, record: &Record) -> String {
        let mut fields = Fields::default();
        // Fails only if a field does, which those of this crate do not; the fields before it are kept.
        let _ = record.key_values().visit(&mut fields);
        match self {
            Format::Text => render_text(node, at, record, &fields),
            Format::Json => render_json(node, at, record, fields),
        }
    }
}

fn render_text(node: &str, at: Duration, record: &Record, fields: &Fields) -> String {
    let (seconds, millis) = (at.as_secs(), at.subsec_millis());
    let (level, message) = (record.level(), record.args());
    let mut line = format!("{seconds}.{millis:03} {node} {level} {message}");
    for (key, value) in &fields.0 {
        // Writing to a string does not fail.
        let _ = match value {
            serde_json::Value::String(text) if is_plain(text) => write!(line, " {key}={text}"),
            value => write!(line, " {key}={value}"),
        };
    }
    line
}

/// Whether a field's value needs no quotes.
fn is_plain(text: &str) -> bool {
    !text.is_empty() && !text.contains([' ', '"', '=', '\n'])
}

fn render_json(node: &str, at: Duration, record: &Record, fields: Fields) -> String {
    let at_ms = at.as_millis() as u64;
    let mut object = Map::new();
    object.insert("at_ms".to_string(), json!(at_ms));
    object.insert("node".to_string(), json!(node));
    object.insert("level".to_string(), json!(record.level().as_str()));
    object.insert("message".to_string(), json!(record.args().to_string()));
    for (key, value) in fields.0 {
        // A field can't replace one of these four.
        object.entry(key).or_insert(value);
    }
    serde_json::Value::Object(object).to_string()
}

/// Fields of a record, in their order.
#[derive(Default)]
struct Fields(Vec<(String, serde_json::Value)>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_bool(), value.to_u64(), value.to_i64(), value.to_f64()) {
            (Some(flag), ..) => json!(flag),
            (_, Some(number), ..) => json!(number),
            (_, _, Some(number), _) => json!(number),
            (_, _, _, Some(number)) => json!(number),
            _ => json!(value.to_string()),
        };
        self.0.push((key.to_string(), value));
        Ok(())
    }
}

struct Logger {
    node: String,
    format: Format,
    /// Records dropped since the last one that was written.
    dropped: AtomicU64,
}

impl Logger {
    fn write(&self, record: &Record) {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = self.format.render(&self.node, at, record);
        truncate(&mut line);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.push('\n');
            line.push_str(&self.render_dropped(at, dropped));
        }
        line.push('\n');
        // Ignored: the node goes on serving without a log.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn render_dropped(&self, at: Duration, dropped: u64) -> String {
        let fields = [("event", Value::from("log_records_dropped")), ("records", Value::from(dropped))];
        let mut record = Record::builder();
        record.level(Level::Warn).target(TARGET).key_values(&fields);
        let message = format_args!("log records dropped: standard error was not writable");
        self.format.render(&self.node, at, &record.args(message).build())
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with(TARGET)
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        if is_writable() {
            self.write(record);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Whether standard error takes a record now. Writing to a full pipe would block the only thread.
fn is_writable() -> bool {
    let stderr = std::io::stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    match poll(&mut descriptors, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })) {
        Ok(0) => false,
        // Written to even if it can't be polled: files are always ready.
        Ok(_) | Err(_) => true,
    }
}

/// Truncates a record to what a writable pipe takes.
fn truncate(line: &mut String) {
    if line.len() > MAX_RECORD_BYTES {
        line.truncate(line.floor_char_boundary(MAX_RECORD_BYTES));
    }
}

/// Installs the logger of this process. `MOLEVALE_LOG` sets the level (default `info`), and
/// `MOLEVALE_LOG_FORMAT=json` the format. A second call has no effect.
pub fn init(node: &str) {
    let level = std::env::var("MOLEVALE_LOG").ok().and_then(|v| v.parse().ok()).unwrap_or(LevelFilter::Info);
    let is_json = std::env::var("MOLEVALE_LOG_FORMAT").is_ok_and(|v| v == "json");
    let format = if is_json { Format::Json } else { Format::Text };
    let logger = Logger { node: node.to_string(), format, dropped: AtomicU64::new(0) };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
    }
}
