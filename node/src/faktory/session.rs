//! One Faktory session: greeting, then commands in order, each with its reply.

use super::codec::{hi, password_hash, Command, Fault, Hello, Reply, LINE_MAX};
use super::leases::{Delivery, Pushed, State, SILENCE};
use super::Shared;
use crate::dispatcher::Answer;
use bytes::{Bytes, BytesMut};
use dewlever::api::Outcome;
use futures_util::{SinkExt, StreamExt};
use serde_json::json;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed, LinesCodec, LinesCodecError};

/// For which a client may take to say HELLO.
const HELLO_WAIT: Duration = Duration::from_secs(5);
/// For which a FETCH waits for a job, as Faktory does.
pub const FETCH_WAIT: Duration = Duration::from_secs(2);
/// Between looks at whether a worker has gone silent.
const LOOK: Duration = Duration::from_secs(5);
/// For which a reply may take to be written: a peer that reads nothing holds its session no longer.
const WRITE_WAIT: Duration = Duration::from_secs(10);

/// Lines in, replies out.
struct Wire(LinesCodec);

type Line = Result<String, Fault>;

impl Decoder for Wire {
    type Item = Line;
    type Error = io::Error;

    /// A line that is no line is an item, not the stream's end: the session answers it and goes on.
    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Line>> {
        match self.0.decode(src) {
            Ok(line) => Ok(line.map(Ok)),
            Err(LinesCodecError::MaxLineLengthExceeded) => {
                Ok(Some(Err(Fault::Malformed("a line is too long".to_string()))))
            }
            Err(LinesCodecError::Io(e)) if e.kind() == io::ErrorKind::InvalidData => {
                Ok(Some(Err(Fault::Malformed("a line is not UTF-8".to_string()))))
            }
            Err(LinesCodecError::Io(e)) => Err(e),
        }
    }
}

impl Encoder<Reply> for Wire {
    type Error = io::Error;

    fn encode(&mut self, reply: Reply, dst: &mut BytesMut) -> io::Result<()> {
        dst.extend_from_slice(&reply.encode());
        Ok(())
    }
}

/// Why a session is over.
struct Over;

struct Session<S> {
    shared: Arc<Shared>,
    wire: Framed<S, Wire>,
    wid: Option<String>,
    ahead: Option<io::Result<Line>>, // a line read while a FETCH waited
}

/// Serves one connection to its end. Whatever its worker had is given back then.
pub async fn serve<S: AsyncRead + AsyncWrite + Unpin>(shared: Arc<Shared>, socket: S) {
    let wire = Framed::new(socket, Wire(LinesCodec::new_with_max_length(LINE_MAX)));
    let mut session = Session { shared: shared.clone(), wire, wid: None, ahead: None };
    let Over = session.run().await;
    if let Some(wid) = session.wid {
        shared.leases().leave(&wid);
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Session<S> {
    async fn run(&mut self) -> Over {
        if let Err(over) = self.greet().await {
            return over;
        }
        loop {
            let line = match self.line().await {
                Ok(line) => line,
                Err(over) => return over,
            };
            let reply = match line.and_then(|line| Command::parse(&line)) {
                Ok(Command::End) => return Over,
                Ok(command) => self.command(command).await,
                Err(fault) => Ok(Some(fault.into())),
            };
            match reply {
                Ok(Some(reply)) => {
                    if self.say(reply).await.is_err() {
                        return Over;
                    }
                }
                Ok(None) => {}
                Err(over) => return over,
            }
        }
    }

    /// The next line, or what is wrong with it. Ends with the connection, or where a worker is silent.
    async fn line(&mut self) -> Result<Line, Over> {
        let next = match self.ahead.take() {
            Some(line) => Some(line),
            None => loop {
                tokio::select! {
                    biased;
                    line = self.wire.next() => break line,
                    () = sleep(LOOK) => {
                        let silent = |wid: &String| self.shared.leases().is_silent(wid);
                        if self.wid.as_ref().is_some_and(silent) {
                            log::warn!("a worker has said nothing for {} s", SILENCE.as_secs());
                            return Err(Over);
                        }
                    }
                }
            },
        };
        match next {
            Some(Ok(line)) => Ok(line),
            Some(Err(_)) | None => Err(Over),
        }
    }

    async fn say(&mut self, reply: Reply) -> Result<(), Over> {
        match timeout(WRITE_WAIT, self.wire.send(reply)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Over),
        }
    }

    async fn greet(&mut self) -> Result<(), Over> {
        let shared = self.shared.clone();
        let challenge = shared.challenge();
        self.say(hi(challenge.as_ref().map(|(salt, rounds)| (salt.as_str(), *rounds)))).await?;
        let line = timeout(HELLO_WAIT, self.line()).await.unwrap_or(Err(Over))?;
        let refused = match line.and_then(|line| Command::parse(&line)) {
            Ok(Command::Hello(hello)) => match self.admit(hello, challenge) {
                Ok(()) => return self.say(Reply::Ok).await,
                Err(why) => Reply::Error("ERR", why),
            },
            Ok(_) => Reply::Error("ERR", "HELLO comes first".to_string()),
            Err(fault) => fault.into(),
        };
        self.say(refused).await?;
        Err(Over)
    }

    fn admit(&mut self, hello: Hello, challenge: Option<(String, u32)>) -> Result<(), String> {
        if hello.v != 2 {
            return Err("this server speaks version 2".to_string());
        }
        if let (Some((salt, rounds)), Some(password)) = (challenge, &self.shared.password) {
            let right = password_hash(password, &salt, rounds);
            let given = hello.pwdhash.unwrap_or_default();
            // Compared to the end, so that the time tells nothing.
            let differ = right.bytes().zip(given.bytes()).fold(0, |d, (a, b)| d | (a ^ b));
            if differ != 0 || right.len() != given.len() {
                return Err("invalid password".to_string());
            }
        }
        if let Some(wid) = hello.wid {
            if !(1..=256).contains(&wid.len()) {
                return Err("a wid has 1 to 256 characters".to_string());
            }
            self.shared.leases().enter(&wid);
            self.wid = Some(wid);
        }
        Ok(())
    }

    /// Carries one command out; a FETCH has said its reply itself.
    async fn command(&mut self, command: Command) -> Result<Option<Reply>, Over> {
        let error = |why: String| Reply::Error("ERR", why);
        let done = |r: Result<(), String>| r.map_or_else(error, |()| Reply::Ok);
        let shared = self.shared.clone();
        Ok(Some(match command {
            Command::Push(..) if shared.phase.borrow().sends_away() => {
                Reply::Error("SHUTDOWN", "the server takes no new jobs".to_string())
            }
            Command::Push(push, payload) => {
                let pushed = shared.leases().push(push, payload);
                match pushed {
                    Err(why) => {
                        shared.counters.turned_away.add();
                        error(why)
                    }
                    Ok(pushed) => match pushed.await {
                        Ok(Pushed::Taken) => Reply::Ok,
                        Ok(Pushed::Refused(wait)) => {
                            error(format!("refused: try again in {:.3} s", wait.as_secs_f64()))
                        }
                        // A core that has ended answers nothing more.
                        Err(_) => return Err(Over),
                    },
                }
            }
            Command::TrackGet(jid) => match shared.leases().state(&jid) {
                Some(state) => Reply::Bulk(Bytes::from(told(&jid, &state))),
                None => error("this job is unknown".to_string()),
            },
            Command::Info => Reply::Bulk(Bytes::from(shared.info())),
            Command::Hello(_) => error("HELLO comes once".to_string()),
            Command::End => return Err(Over),
            Command::Fetch(_) | Command::Ack(_) | Command::Fail(_) | Command::Beat(_)
                if self.wid.is_none() =>
            {
                error("only a worker, whose HELLO names its wid, may say this".to_string())
            }
            Command::Fetch(queues) => return self.fetch(&queues).await.map(|()| None),
            Command::Ack(jid) => done(shared.leases().finish(self.worker(), &jid, Outcome::Ok)),
            Command::Fail(jid) => done(shared.leases().finish(self.worker(), &jid, Outcome::Error)),
            Command::Beat(beat) if beat.wid != self.worker() => {
                error("this is another worker's wid".to_string())
            }
            Command::Beat(beat) => {
                let stopping = matches!(beat.current_state.as_deref(), Some("quiet" | "terminate"));
                match shared.leases().beat(&beat.wid, stopping) {
                    Ok(true) => Reply::Bulk(Bytes::from_static(b"{\"state\":\"quiet\"}")),
                    Ok(false) => Reply::Ok,
                    Err(why) => error(why),
                }
            }
        }))
    }

    fn worker(&self) -> &str {
        self.wid.as_deref().unwrap_or_default()
    }

    /// Waits for a job. A connection that ends meanwhile takes no job with it.
    async fn fetch(&mut self, queues: &[String]) -> Result<(), Over> {
        let wid = self.worker().to_string();
        let (fetch, mut receiver) = self.shared.leases().fetch(&wid, queues);
        let delivery = tokio::select! {
            biased;
            delivery = &mut receiver => delivery.ok(),
            () = sleep(FETCH_WAIT) => None,
            line = self.wire.next(), if self.ahead.is_none() => {
                match line {
                    // A command that came early waits for its turn; a reply to this FETCH comes first.
                    Some(line) => {
                        self.ahead = Some(line);
                        timeout(FETCH_WAIT, &mut receiver).await.ok().and_then(Result::ok)
                    }
                    None => {
                        self.settle(&wid, fetch, &mut receiver, true);
                        return Err(Over);
                    }
                }
            }
        };
        let delivery = delivery.or_else(|| self.settle(&wid, fetch, &mut receiver, false));
        let Some(delivery) = delivery else { return self.say(Reply::Nil).await };
        let said = self.say(Reply::Bulk(delivery.payload.clone())).await;
        if said.is_err() {
            // Some of it may have gone out: the worker may run it.
            self.shared.leases().undelivered(&delivery, false);
        }
        said
    }

    /// Takes a FETCH back; a job that was handed over in this moment is returned, or given back unsent.
    fn settle(
        &self,
        wid: &str,
        fetch: u64,
        receiver: &mut oneshot::Receiver<Delivery>,
        gone: bool,
    ) -> Option<Delivery> {
        let mut leases = self.shared.leases();
        leases.unfetch(wid, fetch);
        let delivery = receiver.try_recv().ok()?;
        if gone {
            leases.undelivered(&delivery, true);
            return None;
        }
        Some(delivery)
    }
}

fn told(jid: &str, state: &State) -> String {
    let body = match state {
        State::Enqueued => json!({"jid": jid, "state": "enqueued"}),
        State::Working => json!({"jid": jid, "state": "working"}),
        State::Ended(Answer::Served(_)) => json!({"jid": jid, "state": "success", "answer": "served"}),
        State::Ended(Answer::Failed) => json!({"jid": jid, "state": "failed", "answer": "failed"}),
        State::Ended(Answer::Refused(wait)) => {
            json!({"jid": jid, "state": "failed", "answer": "refused", "retry_after": wait.as_secs_f64()})
        }
    };
    body.to_string()
}
