//! Where operators call: a small HTTP front of its own, so that they are heard however full the clients' door
//! is. One call a connection; it reads and turns the phase and decides nothing else.

use crate::acceptor::Acceptor;
use crate::phase::Phases;
use crate::platform::socket::Socket;
use crate::{coordination, membership};
use ::coordination::{Operation, Outcome, VoterMember, NAME_MAX};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Callers at once. The platform's front keeps descriptors back for them.
pub const MAX_CALLERS: usize = 8;
/// For which one call may take, from its connection on.
const CALL_WAIT: Duration = Duration::from_secs(2);
/// A call's head; more is refused.
const BUFFER: usize = 8 * 1024;

/// What operators may ask and change.
#[derive(Clone)]
pub struct Management {
    /// The phase of the process.
    pub phases: Phases,
    /// Whether the process can serve.
    pub ready: watch::Receiver<bool>,
    /// The talk between nodes, where it is on.
    pub fleet: Option<membership::Handle>,
    /// The duties, where they are on.
    pub duties: Option<coordination::Handle>,
}

impl Management {
    /// Answers calls for as long as the process lives.
    pub async fn serve(self, listener: TcpListener) {
        let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
        let mut acceptor = Acceptor::default();
        loop {
            let socket = acceptor.accept(&listener).await.socket;
            callers.retain(|c| !c.is_finished());
            // Guards calls against callers that hold all places and say nothing: the first one goes.
            while callers.len() >= MAX_CALLERS {
                let Some(first) = callers.pop_front() else { break };
                first.abort();
                let _ = first.await; // ends with an error by design; its descriptor is free now
            }
            let own = self.clone();
            callers.push_back(tokio::spawn(async move { own.call(socket).await }));
        }
    }

    async fn call(&self, socket: TcpStream) {
        let service = service_fn(|request| async move { Ok::<_, Infallible>(self.answer(&request).await) });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).header_read_timeout(None).max_buf_size(BUFFER);
        let connection = builder.serve_connection(TokioIo::new(Socket::new(socket)), service);
        match timeout(CALL_WAIT, connection).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::debug!("management: {e}"),
            Err(_) => log::debug!("management: a call did not come in {CALL_WAIT:?}"),
        }
    }

    async fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let (method, path) = (request.method(), request.uri().path());
        let allowed = match path {
            "/healthcheck" | "/fleet" | "/fleet/duties" => Method::GET,
            "/healthcheck/fail"
            | "/healthcheck/ok"
            | "/fleet/voter/add"
            | "/fleet/voter/remove"
            | "/fleet/roll"
            | "/fleet/roll/stop" => Method::POST,
            _ => return say(StatusCode::NOT_FOUND, "there is no such call"),
        };
        if *method != allowed {
            let mut reply = say(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted");
            reply.headers_mut().insert(ALLOW, HeaderValue::from_str(allowed.as_str()).expect("a method"));
            return reply;
        }
        match path {
            "/fleet" => return self.view().await,
            "/fleet/duties" => return self.duties().await,
            "/fleet/voter/add" | "/fleet/voter/remove" => {
                return self.seat(path, request.uri().query().unwrap_or("")).await;
            }
            "/fleet/roll" | "/fleet/roll/stop" => {
                return self.roll(path, request.uri().query().unwrap_or("")).await;
            }
            _ => {}
        }
        let (yes, text) = match path {
            "/healthcheck" if *self.ready.borrow() => (true, "ready"),
            "/healthcheck" => (false, "starting"),
            "/healthcheck/fail" => (self.phases.drain(), "draining"),
            _ if self.phases.resume() => (true, "serving"),
            _ => (false, "on its way to its end"),
        };
        if allowed == Method::POST {
            log::info!("management: {path}: {text}");
        }
        say(if yes { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, text)
    }

    async fn view(&self) -> Response<Full<Bytes>> {
        let Some(fleet) = &self.fleet else {
            return say(StatusCode::NOT_FOUND, "this node talks to no other: it was started without --fleet");
        };
        match fleet.status().await.map(|status| serde_json::to_string(&status)) {
            Some(Ok(text)) => json(&text),
            _ => say(StatusCode::SERVICE_UNAVAILABLE, "the talk between nodes has ended"),
        }
    }

    async fn duties(&self) -> Response<Full<Bytes>> {
        let Some(duties) = &self.duties else { return say(StatusCode::NOT_FOUND, NO_DUTIES) };
        match duties.status().await.map(|shown| serde_json::to_string(&shown)) {
            Some(Ok(text)) => json(&text),
            _ => say(StatusCode::SERVICE_UNAVAILABLE, "the duties have ended"),
        }
    }

    /// An operator's word on a roll, `away=...`.
    async fn roll(&self, path: &str, query: &str) -> Response<Full<Bytes>> {
        let Some(duties) = &self.duties else { return say(StatusCode::NOT_FOUND, NO_DUTIES) };
        let away = query.strip_prefix("away=").map_or(Ok(1), str::parse);
        let wanted = match (path, away) {
            ("/fleet/roll/stop", _) => coordination::RestartRequest::Stop,
            (_, Ok(away @ 1..=4)) => {
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                coordination::RestartRequest::Begin { id: unix.as_millis() as u64, away }
            }
            _ => return say(StatusCode::BAD_REQUEST, "away is from 1 to 4"),
        };
        log::info!("management: {path}?{query}");
        match duties.request_restart(wanted).await {
            Ok(holder) => {
                say(StatusCode::OK, &format!("{holder} was told; 'fleet duties' shows how it goes"))
            }
            Err(error) => say(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    /// An operator's word on the voters, `name=...` and for a new one `at=...`.
    async fn seat(&self, path: &str, query: &str) -> Response<Full<Bytes>> {
        let Some(duties) = &self.duties else { return say(StatusCode::NOT_FOUND, NO_DUTIES) };
        let value = |key: &str| query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
        let name = value("name").filter(|n| !n.is_empty() && n.len() <= NAME_MAX).map(String::from);
        let wish = match (path, name, value("at").map(str::parse)) {
            ("/fleet/voter/add", Some(name), Some(Ok(address))) => {
                Operation::AddVoter(VoterMember { name, address })
            }
            ("/fleet/voter/remove", Some(name), None) => Operation::RemoveVoter(name),
            _ => return say(StatusCode::BAD_REQUEST, "a name is wanted, and to add one an address"),
        };
        log::info!("management: {path}?{query}");
        match duties.request(wish).await {
            Some(Outcome::Done) => say(StatusCode::OK, "done"),
            Some(Outcome::Rejected(why)) => say(StatusCode::CONFLICT, &why),
            _ => say(StatusCode::SERVICE_UNAVAILABLE, "no voter that leads answers"),
        }
    }
}

const NO_DUTIES: &str = "this node knows no duties: its fleet file has no such section";

fn json(text: &str) -> Response<Full<Bytes>> {
    let mut reply = say(StatusCode::OK, text);
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn say(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *reply.status_mut() = status;
    reply
}
