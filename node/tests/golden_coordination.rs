//! Bytes between nodes about coordination, and the status that operators see, compared with those recorded from version
//! 6e5c6e9. `GOLDEN_RECORD=1` writes the file anew and fails.

use duties::{
    Answer, Counts, Figures, Gossip, Held, Holder, Progress, Reply, Seat, Standing, Table, Told, What, Word,
};
use molevale::duties::{show, ListsShown, RollWord, Shown, Talk, Wanted};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Far in the future: what it is ago is cut to zero, whenever the test runs.
const NEVER_MS: u64 = 1 << 53;

fn compare(file: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    if std::env::var_os("GOLDEN_RECORD").is_some() {
        std::fs::write(&path, text).unwrap();
        panic!("{} was recorded anew: nothing was compared", path.display());
    }
    assert_eq!(text, std::fs::read_to_string(&path).unwrap(), "{file}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn messages_between_nodes_encode_to_recorded_bytes_and_decode_to_the_same_kind() {
    let answer = Answer { number: 7, boot: 300, name: "v0".into(), reply: Reply::Done };
    let messages = [
        ("duties", Talk::Duties(Word::Answer(answer))),
        ("lists", Talk::Lists(Gossip::Want { source: 300, version: 41 })),
        ("roll/begin", Talk::Roll(RollWord::Wanted(Wanted::Begin { id: 1_700_000_000_789, away: 2 }))),
        ("roll/stop", Talk::Roll(RollWord::Wanted(Wanted::Stop))),
        ("roll/go", Talk::Roll(RollWord::Go { token: 300, boot: u64::MAX })),
        ("roll/look", Talk::Roll(RollWord::Look { token: 301 })),
        ("roll/health", Talk::Roll(RollWord::Health { boot: 302, failed: 3, ended: 400 })),
    ];
    let mut text = String::new();
    for (name, message) in messages {
        let bytes = postcard::to_stdvec(&message).unwrap();
        let again: Talk = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(postcard::to_stdvec(&again).unwrap(), bytes, "{name}");
        text += &format!("{name} {}\n", hex(&bytes));
    }
    compare("coordination-messages.txt", &text);
}

fn told(roll: Option<Progress>) -> Told {
    let holder = |name: &str| Some(Holder { name: name.into(), boot: 9 });
    let held = |holder, token, left| Held { holder, token, since_ms: NEVER_MS, left };
    let left = roll.map(|progress| postcard::to_stdvec(&progress).unwrap()).unwrap_or_default();
    let change = |what, token| duties::Change {
        duty: "lists/z".into(),
        what,
        name: "node-1".into(),
        token,
        at_ms: NEVER_MS,
    };
    let table = Table {
        last_token: 302,
        held: BTreeMap::from([
            ("errand/a".to_string(), held(holder("node-1"), 300, vec![1])),
            ("lists/z".to_string(), held(None, 301, vec![])),
            ("roll".to_string(), held(holder("node-2"), 302, left)),
        ]),
        seats: BTreeMap::from([
            (1, Seat { name: "v0".into(), address: SocketAddr::from(([127, 0, 0, 1], 7000)) }),
            (2, Seat { name: "v1".into(), address: SocketAddr::from(([127, 0, 0, 1], 7001)) }),
        ]),
        history: VecDeque::from([change(What::Granted, 301), change(What::Freed, 301)]),
    };
    Told { table, founded: 99, term: 12, left_ms: vec![("errand/a".into(), 8_540), ("roll".into(), 0)] }
}

fn progress(end: Option<duties::End>) -> Progress {
    let under_way = vec![("node-3".into(), 33), ("node-4".into(), 44)];
    Progress { id: 5, away: 2, cursor: "node-4".into(), under_way, total: 60, done: 2, end }
}

fn statuses() -> Vec<Shown> {
    let status = |voter, here, lists, told| Shown {
        node: "node-1".into(),
        voter,
        figures: Figures { sent: 1, writes: 2, grants: 3, renewals: 4, elections: 5, refused: 6 },
        here,
        lists,
        refused: 7,
        told,
    };
    let counts = Counts { sent: 1, fed: 2, silences: 3, refused: 4 };
    let lists = Some(ListsShown { asks: true, version: 41, counts });
    let here = vec![("errand/a".to_string(), 300, 8_000), ("roll".to_string(), 302, 1)];
    let broken = Standing::Broken("the disk refuses: full".into());
    let other_standings = [Standing::Waiting, Standing::Voting, Standing::Unseated, Standing::Older];
    let ends = [
        duties::End::Done,
        duties::End::Asked,
        duties::End::NotBack("node-3".into()),
        duties::End::JobsFail(2, 30),
    ];
    let mut all = vec![
        status(Some(Standing::Leading), here.clone(), lists, Some(told(Some(progress(None))))),
        status(Some(broken), here, None, Some(told(Some(progress(Some(duties::End::Missing(3))))))),
        status(Some(Standing::Returning), Vec::new(), None, Some(told(None))),
        status(None, Vec::new(), None, None),
    ];
    all.extend(other_standings.into_iter().map(|standing| status(Some(standing), Vec::new(), None, None)));
    let ended = |end| status(None, Vec::new(), None, Some(told(Some(progress(Some(end))))));
    all.extend(ends.into_iter().map(ended));
    all
}

/// What the command `fleet duties` prints of this JSON.
async fn printed(body: &str, json: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
    let serve = async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut head = [0; 4096];
        let length = socket.read(&mut head).await.unwrap();
        socket.write_all(answer.as_bytes()).await.unwrap();
        String::from_utf8_lossy(&head[..length]).lines().next().unwrap_or_default().to_string()
    };
    let (asked, printed) = tokio::join!(serve, show(address, json));
    assert_eq!(asked, "GET /fleet/duties HTTP/1.1");
    printed.unwrap()
}

#[tokio::test]
async fn status_json_and_its_text_are_as_recorded() {
    let mut text = String::new();
    for status in statuses() {
        let json = serde_json::to_string(&status).unwrap();
        let again: Shown = serde_json::from_str(&json).unwrap();
        assert_eq!(serde_json::to_string(&again).unwrap(), json);
        assert_eq!(printed(&json, true).await, json);
        text += &format!("{json}\n{}\n", printed(&json, false).await);
    }
    compare("coordination-status.txt", &text);
}
