//! Fields of the platform's protocol: parses requests, updates from workers, and load reports.

use super::job_handover::RequestNumbers;
use crate::dispatcher::stable_hash;
use crate::names::Names;
use bytes::Bytes;
use dispatch_policy::api::{Idempotency, LoadReport, Request};
use hyper::header::HeaderMap;
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// Maximum length of `X-Request-Id`, in bytes.
const REQUEST_ID_MAX: usize = 256;
/// Maximum value of `X-Deadline`, in seconds: one day.
const DEADLINE_MAX_S: f64 = 86_400.0;

/// Class named by a path: its first segment, percent-decoded.
pub fn class_in_path(path: &str) -> Cow<'_, str> {
    let part = path.trim_start_matches('/').split('/').next().unwrap_or("");
    percent_decode_str(part).decode_utf8().unwrap_or(Cow::Borrowed(part))
}

/// Invalid field of a request. Its text is the body of the answer, which has status 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// There is not exactly one `X-Request-Id`, or it is empty or too long.
    #[error("X-Request-Id is missing or malformed")]
    RequestId,
    /// The path does not name a class of the settings.
    #[error("the class is unknown")]
    UnknownClass,
    /// `X-Class` names a different class than the path.
    #[error("X-Class is unknown or differs from the path")]
    ClassMismatch,
    /// The settings list tenants, and this one is not among them.
    #[error("the tenant is unknown")]
    UnknownTenant,
    /// The class requires an idempotency key.
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    /// The deadline is not a positive number of seconds of at most one day.
    #[error("X-Deadline is missing or malformed")]
    Deadline,
}

/// Headers of a request as text. Names in the settings may contain non-ASCII characters, so values are read
/// as UTF-8.
struct Headers<'a>(&'a HeaderMap);

impl<'a> Headers<'a> {
    /// Value of a header, trimmed; empty if the header is missing or not UTF-8.
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
        let class = names.class(&class_in_path(path)).ok_or(FieldError::UnknownClass)?;
        let header_class = self.text("x-class");
        if !header_class.is_empty() && header_class != names.classes[class] {
            return Err(FieldError::ClassMismatch);
        }
        Ok(class)
    }

    /// Numbers of the class and the tenant, if the request has what its class requires.
    fn numbers(&self, path: &str, names: &Names) -> Result<RequestNumbers, FieldError> {
        let class = self.class(path, names)?;
        let tenant = names.request_tenant(self.text("x-tenant")).ok_or(FieldError::UnknownTenant)?;
        self.check_idempotency_key(names.idempotency(class))?;
        Ok(RequestNumbers { class, tenant })
    }

    fn check_idempotency_key(&self, idempotency: Idempotency) -> Result<(), FieldError> {
        match idempotency {
            Idempotency::WithKey(_) if self.text("idempotency-key").is_empty() => {
                Err(FieldError::MissingIdempotencyKey)
            }
            Idempotency::WithKey(_) | Idempotency::Idempotent | Idempotency::NotIdempotent => Ok(()),
        }
    }

    /// Deadline of the client, in microseconds from now.
    fn time_left_us(&self) -> Result<u64, FieldError> {
        let seconds = self.text("x-deadline").parse::<f64>().ok();
        let seconds = seconds.filter(|s| *s > 0.0 && *s <= DEADLINE_MAX_S).ok_or(FieldError::Deadline)?;
        Ok((seconds * 1e6).round() as u64)
    }

    /// Resource demand of this name in the `X-Extras` header; 0 if missing.
    fn resource_demand(&self, name: &str) -> f64 {
        let value = |pair: &str| {
            let (_, value) = pair.split_once('=').filter(|(key, _)| key.trim() == name)?;
            parse_non_negative(value.trim())
        };
        self.text("x-extras").split(',').find_map(value).unwrap_or(0.0)
    }
}

fn parse_non_negative(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0)
}

/// Affinity key in a query; 0 if there is none.
fn affinity_key(query: &str) -> u64 {
    match query.split('&').find_map(|part| part.strip_prefix("user=")).unwrap_or("") {
        "" => 0,
        user => u64::from_str_radix(user, 16).unwrap_or_else(|_| stable_hash(user)),
    }
}

/// Parses the fields of a request that the decision module needs. The dispatcher assigns the `id` later. A request of
/// another process keeps the class and the tenant under which that one accepted it.
///
/// # Errors
/// [`FieldError`]: the first invalid field.
pub fn parse_request(
    headers: &HeaderMap,
    path: &str,
    query: &str,
    names: &Names,
    adopted: Option<RequestNumbers>,
) -> Result<Request, FieldError> {
    let headers = Headers(headers);
    headers.check_request_id()?;
    let RequestNumbers { class, tenant } = match adopted {
        Some(numbers) => numbers,
        None => headers.numbers(path, names)?,
    };
    Ok(Request {
        id: 0,
        class,
        tenant,
        time_left_us: headers.time_left_us()?,
        work_hint_us: parse_non_negative(headers.text("x-cost-hint")).filter(|h| *h > 0.0).map(|h| h as u64),
        is_retry: headers.text("x-retry") == "1",
        affinity_key: affinity_key(query),
        slots: headers.resource_demand("slots"),
        memory: headers.resource_demand("memory"),
    })
}

/// Update from a worker: one line of its response.
#[derive(Debug, PartialEq)]
pub enum WorkerUpdate {
    /// The execution has started.
    Started,
    /// Progress of the execution, from 0 to 1.
    Running(f64),
    /// The request succeeded, with this result.
    Done(Bytes, Option<LoadReport>),
    /// The worker reported an error.
    Failed(Option<LoadReport>),
    /// The worker returned the request without starting it.
    Returned(Option<LoadReport>),
    /// The execution was killed.
    Lost(Option<LoadReport>),
}

#[derive(Deserialize)]
struct UpdateLine<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    share: Option<f64>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    load: Option<serde_json::Map<String, serde_json::Value>>,
}

/// Parses a line of a worker's response to the request with this wire id; `None` if it is malformed or has
/// another id.
pub fn parse_update(line: &[u8], id: &[u8], names: &Names) -> Option<WorkerUpdate> {
    let line: UpdateLine = serde_json::from_slice(line).ok()?;
    if line.id.as_bytes() != id {
        return None;
    }
    let load = line.load.map(|load| load_report(names, |name| load.get(name).and_then(|v| v.as_f64())));
    Some(match &*line.state {
        "started" => WorkerUpdate::Started,
        "running" => WorkerUpdate::Running(line.share.filter(|s| (0.0..=1.0).contains(s))?),
        "done" => WorkerUpdate::Done(parse_result(line.result?)?, load),
        "failed" => WorkerUpdate::Failed(load),
        "returned" => WorkerUpdate::Returned(load),
        "lost" => WorkerUpdate::Lost(load),
        _ => return None,
    })
}

/// Decodes a result: the text of a JSON string; any other JSON value is kept as its raw bytes.
fn parse_result(raw: &RawValue) -> Option<Bytes> {
    let text = raw.get();
    if !text.starts_with('"') {
        return Some(Bytes::copy_from_slice(text.as_bytes()));
    }
    serde_json::from_str::<String>(text).ok().map(Bytes::from)
}

fn load_report(names: &Names, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, field) in &names.report {
        if let Some(value) = value(name) {
            field.set(&mut report, value);
        }
    }
    report
}

/// Parses the load report in the `X-Load` header of a response.
pub fn parse_load_header(headers: &HeaderMap, names: &Names) -> Option<LoadReport> {
    Some(parse_load_pairs(headers.get("x-load")?.to_str().ok()?, names))
}

/// Parses the load report in a probe's response: a JSON object as in a worker's updates, or pairs as in the
/// header. `None` if it has none of the fields that the settings name.
pub fn parse_load_body(body: &[u8], names: &Names) -> Option<LoadReport> {
    let load = match serde_json::from_slice::<serde_json::Value>(body) {
        Ok(object) => {
            let load = object.get("load").unwrap_or(&object);
            load_report(names, |name| load.get(name).and_then(|v| v.as_f64()))
        }
        Err(_) => parse_load_pairs(std::str::from_utf8(body).ok()?, names),
    };
    Some(load).filter(|load| *load != LoadReport::default())
}

/// Parses a load report of comma-separated `name=value` pairs.
fn parse_load_pairs(text: &str, names: &Names) -> LoadReport {
    let pairs: Vec<(&str, &str)> = text.split(',').filter_map(|p| p.trim().split_once('=')).collect();
    let value = |name: &str| pairs.iter().find(|p| p.0 == name).and_then(|p| p.1.parse().ok());
    load_report(names, value)
}
