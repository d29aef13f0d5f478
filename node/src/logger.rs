//! A small logger: a line a record on standard error, with the time, the node's name and the record's fields; as text,
//! or as JSON where programs read it.

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde_json::{json, Map};
use std::fmt::Write as _;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// The longest record, in bytes. A pipe that is ready takes so many without a wait (`PIPE_BUF`).
const RECORD_MAX: usize = 3_500;

struct Logger {
    name: String,
    json: bool,
    /// Records that found no room since the last one that did.
    dropped: AtomicU64,
}

/// Whether standard error takes a record now. Guards the one thread: a pipe that nobody reads would hold it up.
fn has_room() -> bool {
    let stderr = std::io::stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    match poll(&mut descriptors, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })) {
        Ok(0) => false,
        // One that can't be asked is written to: files are always ready.
        Ok(_) | Err(_) => true,
    }
}

/// Shortens a record to what a ready pipe takes.
fn cut(line: &mut String) {
    if line.len() > RECORD_MAX {
        line.truncate(line.floor_char_boundary(RECORD_MAX));
    }
}

fn lost(args: std::fmt::Arguments) -> Record {
    Record::builder().args(args).level(log::Level::Warn).target("molevale").build()
}

/// A record's fields, in the order in which they stand there.
#[derive(Default)]
struct Fields(Vec<(String, serde_json::Value)>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let plain = match (value.to_bool(), value.to_u64(), value.to_i64(), value.to_f64()) {
            (Some(yes), ..) => json!(yes),
            (_, Some(n), ..) => json!(n),
            (_, _, Some(n), _) => json!(n),
            (_, _, _, Some(x)) => json!(x),
            _ => json!(value.to_string()),
        };
        self.0.push((key.to_string(), plain));
        Ok(())
    }
}

impl Logger {
    fn line(&self, at: std::time::Duration, record: &Record) -> String {
        let mut fields = Fields::default();
        // Fails only where a field does, and ours don't; what came before it is kept.
        let _ = record.key_values().visit(&mut fields);
        let (s, ms) = (at.as_secs(), at.subsec_millis());
        let (name, level, args) = (&self.name, record.level(), record.args());
        if self.json {
            let at_ms = at.as_millis() as u64;
            let mut all = Map::new();
            all.insert("at_ms".to_string(), json!(at_ms));
            all.insert("node".to_string(), json!(name));
            all.insert("level".to_string(), json!(level.as_str()));
            all.insert("message".to_string(), json!(args.to_string()));
            // Guards the four against fields that have their names.
            for (key, value) in fields.0 {
                all.entry(key).or_insert(value);
            }
            return serde_json::Value::Object(all).to_string();
        }
        let mut line = format!("{s}.{ms:03} {name} {level} {args}");
        for (key, value) in &fields.0 {
            let _ = match value {
                serde_json::Value::String(text)
                    if !text.contains([' ', '"', '=', '\n']) && !text.is_empty() =>
                {
                    write!(line, " {key}={text}")
                }
                value => write!(line, " {key}={value}"),
            };
        }
        line
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("molevale")
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            if !has_room() {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let mut line = self.line(at, record);
            cut(&mut line);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let _ = write!(
                    line,
                    "\n{}",
                    self.line(
                        at,
                        &lost(format_args!("{dropped} records were dropped: nobody reads the log"))
                    )
                );
            }
            line.push('\n');
            // A log that can't be written is no reason to stop serving.
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// Starts the log of this process at the level that `MOLEVALE_LOG` names, else `info`; as JSON lines where
/// `MOLEVALE_LOG_FORMAT` is `json`.
pub fn start(name: &str) {
    let level = std::env::var("MOLEVALE_LOG").ok().and_then(|v| v.parse().ok()).unwrap_or(LevelFilter::Info);
    let json = std::env::var("MOLEVALE_LOG_FORMAT").is_ok_and(|v| v == "json");
    if log::set_boxed_logger(Box::new(Logger { name: name.to_string(), json, dropped: AtomicU64::new(0) }))
        .is_ok()
    {
        log::set_max_level(level);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(json: bool) -> String {
        let fields = [("member", Value::from("n 2")), ("count", Value::from(3)), ("node", Value::from("x"))];
        let logger = Logger { name: "n1".to_string(), json, dropped: AtomicU64::new(0) };
        let args = format_args!("a \"member\"");
        let record = Record::builder().args(args).level(log::Level::Warn).key_values(&fields).build();
        logger.line(std::time::Duration::from_millis(1_002), &record)
    }

    #[test]
    fn a_record_is_one_line_with_its_fields() {
        assert_eq!(line(false), "1.002 n1 WARN a \"member\" member=\"n 2\" count=3 node=x");
        let read: serde_json::Value = serde_json::from_str(&line(true)).unwrap();
        let want = json!({"at_ms": 1002, "node": "n1", "level": "WARN", "message": "a \"member\"",
            "member": "n 2", "count": 3});
        assert_eq!(read, want, "a field can't take another's place");
    }
}
