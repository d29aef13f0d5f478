//! Fields of the platform's protocol: what is read out of requests, workers' updates and load reports.

use crate::dispatcher::stable_hash;
use crate::names::Names;
use bytes::Bytes;
use dispatch_policy::api::{LoadReport, Request};
use hyper::header::HeaderMap;
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// Longest `X-Request-Id`, in bytes.
const REQUEST_ID_MAX: usize = 256;
/// Longest `X-Deadline`, in seconds: a day.
const DEADLINE_MAX_S: f64 = 86_400.0;

/// The first part of a path, which names the class; what a path cannot hold comes in it percent-encoded.
pub fn class_in(path: &str) -> Cow<'_, str> {
    let part = path.trim_start_matches('/').split('/').next().unwrap_or("");
    percent_decode_str(part).decode_utf8().unwrap_or(Cow::Borrowed(part))
}

/// What is wrong with a request's fields. Its text is the body of the answer, with status 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// There is not exactly one id, or it is empty or too long.
    #[error("X-Request-Id is missing or malformed")]
    RequestId,
    /// The path names no class that is offered.
    #[error("the class is unknown")]
    UnknownClass,
    /// The header names another class than the path.
    #[error("X-Class is unknown or differs from the path")]
    ClassMismatch,
    /// There are tenants, and this is none of them.
    #[error("the tenant is unknown")]
    UnknownTenant,
    /// The class needs a key.
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    /// The deadline is no positive number of seconds within a day.
    #[error("X-Deadline is missing or malformed")]
    Deadline,
}

/// Headers as text. Names in the settings may hold more than ASCII, so values are read as UTF-8.
struct Headers<'a>(&'a HeaderMap);

impl<'a> Headers<'a> {
    /// A header's value without white space around it; empty if it is missing.
    fn text(&self, name: &str) -> &'a str {
        let value = self.0.get(name).and_then(|v| std::str::from_utf8(v.as_bytes()).ok());
        value.map(str::trim).unwrap_or("")
    }

    fn check_request_id(&self) -> Result<(), FieldError> {
        let id = self.text("x-request-id");
        let is_single = self.0.get_all("x-request-id").iter().count() <= 1;
        if id.is_empty() || id.len() > REQUEST_ID_MAX || !is_single {
            return Err(FieldError::RequestId);
        }
        Ok(())
    }

    fn class(&self, path: &str, names: &Names) -> Result<usize, FieldError> {
        let class = names.class(&class_in(path)).ok_or(FieldError::UnknownClass)?;
        let stated = self.text("x-class");
        if !stated.is_empty() && stated != names.classes[class] {
            return Err(FieldError::ClassMismatch);
        }
        Ok(class)
    }

    fn tenant(&self, names: &Names) -> Result<usize, FieldError> {
        match names.tenant(self.text("x-tenant")) {
            Some(tenant) => Ok(tenant),
            None if names.tenants.is_empty() => Ok(0),
            None => Err(FieldError::UnknownTenant),
        }
    }

    /// Time that the client still waits, in microseconds.
    fn time_left_us(&self) -> Result<u64, FieldError> {
        let seconds = self.text("x-deadline").parse::<f64>().ok();
        let seconds = seconds.filter(|s| *s > 0.0 && *s <= DEADLINE_MAX_S).ok_or(FieldError::Deadline)?;
        Ok((seconds * 1e6).round() as u64)
    }

    /// A value of the `X-Extras` header; 0 if it is missing.
    fn extra(&self, name: &str) -> f64 {
        let value = |pair: &str| {
            let (_, value) = pair.split_once('=').filter(|(key, _)| key.trim() == name)?;
            non_negative(value.trim())
        };
        self.text("x-extras").split(',').find_map(value).unwrap_or(0.0)
    }
}

fn non_negative(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0)
}

/// The affinity key of a query; 0 if there is none.
fn affinity_key(query: &str) -> u64 {
    match query.split('&').find_map(|part| part.strip_prefix("user=")).unwrap_or("") {
        "" => 0,
        user => u64::from_str_radix(user, 16).unwrap_or_else(|_| stable_hash(user)),
    }
}

/// What the dispatcher's decisions need of a request. Its number is the dispatcher's to give.
///
/// # Errors
/// [`FieldError`]: the first field that is wrong.
pub fn parse_request(
    headers: &HeaderMap,
    path: &str,
    query: &str,
    names: &Names,
) -> Result<Request, FieldError> {
    let headers = Headers(headers);
    headers.check_request_id()?;
    let class = headers.class(path, names)?;
    let tenant = headers.tenant(names)?;
    if names.requires_idempotency_key[class] && headers.text("idempotency-key").is_empty() {
        return Err(FieldError::MissingIdempotencyKey);
    }
    Ok(Request {
        id: 0,
        class,
        tenant,
        time_left_us: headers.time_left_us()?,
        work_hint_us: non_negative(headers.text("x-cost-hint")).filter(|h| *h > 0.0).map(|h| h as u64),
        is_retry: headers.text("x-retry") == "1",
        affinity_key: affinity_key(query),
        slots: headers.extra("slots"),
        memory: headers.extra("memory"),
    })
}

/// What one line of a worker's answer says.
#[derive(Debug, PartialEq)]
pub enum WorkerUpdate {
    /// The job has started.
    Started,
    /// This part of it is done, from 0 to 1.
    Running(f64),
    /// Served, with this result.
    Done(Bytes, Option<LoadReport>),
    /// The worker reported an error.
    Failed(Option<LoadReport>),
    /// Given back without having been started.
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

/// Parses a worker's line about the request with this wire id; `None` if it is malformed or about another request.
pub fn parse_update(line: &[u8], id: &[u8], names: &Names) -> Option<WorkerUpdate> {
    let line: Line = serde_json::from_slice(line).ok()?;
    if line.id.as_bytes() != id {
        return None;
    }
    let load = line.load.map(|load| report(names, |name| load.get(name).and_then(|v| v.as_f64())));
    Some(match &*line.state {
        "started" => WorkerUpdate::Started,
        "running" => WorkerUpdate::Running(line.share.filter(|s| (0.0..=1.0).contains(s))?),
        "done" => WorkerUpdate::Done(result(line.result?)?, load),
        "failed" => WorkerUpdate::Failed(load),
        "returned" => WorkerUpdate::Returned(load),
        "lost" => WorkerUpdate::Lost(load),
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
            field.set(&mut report, value);
        }
    }
    report
}

/// The load report of an answer's `X-Load` header.
pub fn load_header(headers: &HeaderMap, names: &Names) -> Option<LoadReport> {
    Some(pairs(headers.get("x-load")?.to_str().ok()?, names))
}

/// The load report in a probe's answer: an object as in a worker's lines, or pairs as in the header. `None` where it holds
/// nothing that the settings name.
pub fn load_body(body: &[u8], names: &Names) -> Option<LoadReport> {
    let load = match serde_json::from_slice::<serde_json::Value>(body) {
        Ok(object) => {
            let load = object.get("load").unwrap_or(&object);
            report(names, |name| load.get(name).and_then(|v| v.as_f64()))
        }
        Err(_) => pairs(std::str::from_utf8(body).ok()?, names),
    };
    Some(load).filter(|load| *load != LoadReport::default())
}

/// A load report of `name=value` pairs with commas between them.
fn pairs(text: &str, names: &Names) -> LoadReport {
    let pairs: Vec<(&str, &str)> = text.split(',').filter_map(|p| p.trim().split_once('=')).collect();
    let value = |name: &str| pairs.iter().find(|p| p.0 == name).and_then(|p| p.1.parse().ok());
    report(names, value)
}
