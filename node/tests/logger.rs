//! Rendering of log records.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use log::kv::Value;
use log::{Level, Record};
use molevale::logger::Format;
use serde_json::json;
use std::time::Duration;

fn render_record(format: Format) -> String {
    let fields = [("member", Value::from("n 2")), ("count", Value::from(3)), ("node", Value::from("x"))];
    let mut record = Record::builder();
    record.level(Level::Warn).key_values(&fields);
    format.render("n1", Duration::from_millis(1_002), &record.args(format_args!("a \"member\"")).build())
}

#[test]
fn a_record_is_one_line_with_its_fields() {
    assert_eq!(render_record(Format::Text), "1.002 n1 WARN a \"member\" member=\"n 2\" count=3 node=x");
    let parsed: serde_json::Value = serde_json::from_str(&render_record(Format::Json)).unwrap();
    let want = json!({"at_ms": 1002, "node": "n1", "level": "WARN", "message": "a \"member\"",
        "member": "n 2", "count": 3});
    assert_eq!(parsed, want, "a field can't replace a field of the record");
}
