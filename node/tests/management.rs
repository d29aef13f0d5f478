//! Where operators call, and the phases that their calls and signals go through.

mod common;

use common::{checker, holds, stop, stopping};
use molevale::management::{Management, CALLERS};
use molevale::phase::{Phase, Phases};
use quickcheck::{Arbitrary, Gen};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{advance, timeout};

async fn management() -> (SocketAddr, Phases, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let (phases, (ready, follow)) = (Phases::default(), watch::channel(false));
    tokio::spawn(Management { phases: phases.clone(), ready: follow }.serve(listener));
    (at, phases, ready)
}

/// One call on a connection of its own: the status; the connection has to end with the answer.
async fn call(at: SocketAddr, method: &str, path: &str) -> u16 {
    let mut socket = TcpStream::connect(at).await.unwrap();
    let text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut got = String::new();
    socket.read_to_string(&mut got).await.unwrap();
    got.split(' ').nth(1).expect(&got).parse().unwrap()
}

#[tokio::test(start_paused = true)]
async fn calls_say_and_turn_the_phase_and_unknown_ones_are_refused() {
    let _time = common::still();
    let (at, phases, ready) = management().await;
    assert_eq!(call(at, "GET", "/healthcheck").await, 503, "it can't serve yet");
    ready.send_replace(true);
    assert_eq!(call(at, "GET", "/healthcheck").await, 200);
    let phase = phases.follow();
    for (path, want) in [("fail", Phase::Draining), ("fail", Phase::Draining), ("ok", Phase::Serving)] {
        assert_eq!(call(at, "POST", &format!("/healthcheck/{path}")).await, 200);
        assert_eq!(*phase.borrow(), want);
    }
    for (method, path, status) in [
        ("GET", "/", 404),
        ("GET", "/healthcheck/", 404),
        ("POST", "/check", 404),
        ("POST", "/healthcheck", 405),
        ("GET", "/healthcheck/fail", 405),
        ("DELETE", "/healthcheck/ok", 405),
    ] {
        assert_eq!(call(at, method, path).await, status, "{method} {path}");
    }
    assert_eq!(*phase.borrow(), Phase::Serving);
    call(at, "POST", "/healthcheck/fail").await;
    stop(&phases).await;
    assert_eq!(call(at, "POST", "/healthcheck/fail").await, 200);
    assert_eq!(call(at, "POST", "/healthcheck/ok").await, 503, "it does not come back");
    assert_eq!(*phase.borrow(), Phase::Closing);
}

/// Guards calls against callers that connect and finish none: they neither hold up others nor stay.
#[tokio::test(start_paused = true)]
async fn silent_callers_hold_nobody_up_and_are_closed() {
    let _time = common::still();
    let (at, _phases, ready) = management().await;
    ready.send_replace(true);
    let mut silent = Vec::new();
    for n in 0..2 * CALLERS {
        let mut socket = TcpStream::connect(at).await.unwrap();
        let part = &b"GET /healthcheck HTTP/1.1\r\nHost"[..n % 20];
        socket.write_all(part).await.unwrap();
        silent.push(socket);
    }
    assert_eq!(call(at, "GET", "/healthcheck").await, 200, "no time has passed");
    for (n, mut socket) in silent.into_iter().enumerate() {
        if n == CALLERS {
            advance(Duration::from_secs(2)).await; // the first ones made way, these have had their time
        }
        let _ = socket.read_to_end(&mut Vec::new()).await; // a reset is an end too
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Drain,
    Resume,
    Stop,
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 8 {
            0..=2 => Step::Drain,
            3..=4 => Step::Resume,
            5 => Step::Stop,
            _ => Step::Wait(u8::arbitrary(g)),
        }
    }
}

async fn walk(steps: Vec<Step>) {
    let phases = Phases::default();
    let (mut draining, mut stopped): (bool, Option<tokio::time::Instant>) = (false, None);
    for step in steps {
        match step {
            Step::Drain => {
                assert!(phases.drain());
                draining = true;
            }
            Step::Resume => {
                assert_eq!(phases.resume(), stopped.is_none());
                draining = false;
            }
            Step::Stop => {
                stopping(&phases).await;
                stopped = stopped.or(Some(tokio::time::Instant::now()));
            }
            Step::Wait(n) => {
                let _ = timeout(Duration::from_millis(u64::from(n) * 4), std::future::pending::<()>()).await;
            }
        }
        let phase = *phases.follow().borrow();
        let late = stopped.map(|at| at.elapsed().as_millis());
        assert_eq!(phase.up(), !draining && late.is_none());
        assert!(phase.accepts() || late >= Some(720), "what comes in 0.7 s after SIGTERM is taken");
        assert!(phase == Phase::Closing || late < Some(722), "a timer may be a little late");
        assert_eq!(phase.sends_away(), phase == Phase::Closing || late.is_none() && draining);
    }
}

#[test]
fn random_calls_and_signals_leave_no_way_back_from_the_end() {
    fn property(steps: Vec<Step>) -> bool {
        holds(walk(steps))
    }
    checker(100, 30).quickcheck(property as fn(Vec<Step>) -> bool);
}
