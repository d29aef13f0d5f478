//! The fields of the platform's wire: what is taken out of requests and worker lines.

use crate::dispatcher::number_of;
use crate::names::Names;
use bytes::Bytes;
use dispatch_policy::api::{LoadReport, Request};
use hyper::header::HeaderMap;
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// The first part of a path, which names the class; what a path can't hold comes in it as `%` and two digits.
pub fn class_in(path: &str) -> Cow<'_, str> {
    let part = path.trim_start_matches('/').split('/').next().unwrap_or("");
    percent_decode_str(part).decode_utf8().unwrap_or(Cow::Borrowed(part))
}

/// Why a request is answered 400.
pub type Bad = &'static str;

/// What the decisions need of a request. Its number is the core's to give.
pub fn request(headers: &HeaderMap, path: &str, query: &str, names: &Names) -> Result<Request, Bad> {
    // As UTF-8: the names in the settings may hold more than ASCII.
    let text = |name: &str| {
        let value = headers.get(name).and_then(|v| std::str::from_utf8(v.as_bytes()).ok());
        value.map(str::trim).unwrap_or("")
    };
    let id = text("x-request-id");
    if id.is_empty() || id.len() > 256 || headers.get_all("x-request-id").iter().count() > 1 {
        return Err("X-Request-Id is missing or malformed");
    }
    let class = names.class(&class_in(path)).ok_or("the class is unknown")?;
    let stated = text("x-class");
    if !stated.is_empty() && stated != names.classes[class] {
        return Err("X-Class is unknown or differs from the path");
    }
    let tenant = match names.tenant(text("x-tenant")) {
        Some(i) => i,
        None if names.tenants.is_empty() => 0,
        None => return Err("the tenant is unknown"),
    };
    if names.keyed[class] && text("idempotency-key").is_empty() {
        return Err("Idempotency-Key is missing");
    }
    let left = text("x-deadline").parse::<f64>().ok().filter(|s| *s > 0.0 && *s <= 86_400.0);
    let left_us = (left.ok_or("X-Deadline is missing or malformed")? * 1e6).round() as u64;
    let number = |s: &str| s.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
    let extra = |name: &str| {
        let pair =
            |p: &str| p.split_once('=').filter(|(k, _)| k.trim() == name).and_then(|(_, v)| number(v.trim()));
        text("x-extras").split(',').find_map(pair).unwrap_or(0.0)
    };
    let key = query.split('&').find_map(|p| p.strip_prefix("user=")).unwrap_or("");
    Ok(Request {
        id: 0,
        class,
        tenant,
        left_us,
        hint_us: number(text("x-cost-hint")).filter(|h| *h > 0.0).map(|h| h as u64),
        retry: text("x-retry") == "1",
        key: if key.is_empty() { 0 } else { u64::from_str_radix(key, 16).unwrap_or_else(|_| number_of(key)) },
        slots: extra("slots"),
        memory: extra("memory"),
    })
}

/// What one line of a worker says.
#[derive(Debug, PartialEq)]
pub enum News {
    /// The job has started.
    Started,
    /// This part of it is done.
    Running(f64),
    /// Served, with this result.
    Done(Bytes, Option<LoadReport>),
    /// The worker gave an error.
    Failed(Option<LoadReport>),
    /// Handed back unstarted.
    Returned(Option<LoadReport>),
    /// The job was killed.
    Lost(Option<LoadReport>),
}

#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    share: Option<f64>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    load: Option<serde_json::Map<String, serde_json::Value>>,
}

/// Reads a worker's line about the request with this wire id; `None` is a bad line.
pub fn news(line: &[u8], id: &[u8], names: &Names) -> Option<News> {
    let line: Line = serde_json::from_slice(line).ok()?;
    if line.id.as_bytes() != id {
        return None;
    }
    let load = line.load.map(|load| report(names, |name| load.get(name).and_then(|v| v.as_f64())));
    Some(match &*line.state {
        "started" => News::Started,
        "running" => News::Running(line.share.filter(|s| (0.0..=1.0).contains(s))?),
        "done" => News::Done(result(line.result?)?, load),
        "failed" => News::Failed(load),
        "returned" => News::Returned(load),
        "lost" => News::Lost(load),
        _ => return None,
    })
}

/// A result is the text of a JSON string; anything else stays the bytes that came.
fn result(raw: &RawValue) -> Option<Bytes> {
    let text = raw.get();
    if !text.starts_with('"') {
        return Some(Bytes::copy_from_slice(text.as_bytes()));
    }
    serde_json::from_str::<String>(text).ok().map(Bytes::from)
}

fn report(names: &Names, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, field) in &names.report {
        if let Some(value) = value(name) {
            field.put(&mut report, value);
        }
    }
    report
}

/// The load report of an answer's `X-Load` header.
pub fn load_header(headers: &HeaderMap, names: &Names) -> Option<LoadReport> {
    Some(pairs(headers.get("x-load")?.to_str().ok()?, names))
}

/// The load report that a probe's body is: an object as in a worker's lines, or pairs as in the header. `None` where it
/// tells nothing that the settings name.
pub fn load_body(body: &[u8], names: &Names) -> Option<LoadReport> {
    let told = match serde_json::from_slice::<serde_json::Value>(body) {
        Ok(object) => {
            let load = object.get("load").unwrap_or(&object);
            report(names, |name| load.get(name).and_then(|v| v.as_f64()))
        }
        Err(_) => pairs(std::str::from_utf8(body).ok()?, names),
    };
    Some(told).filter(|told| *told != LoadReport::default())
}

fn pairs(text: &str, names: &Names) -> LoadReport {
    let pairs: Vec<(&str, &str)> = text.split(',').filter_map(|p| p.trim().split_once('=')).collect();
    let value = |name: &str| pairs.iter().find(|p| p.0 == name).and_then(|p| p.1.parse().ok());
    report(names, value)
}
