//! One of each message between voters, clients and the list broadcast, all fields set to fixed values.

use duties::{
    Answer, Ask, Change, Counts, End, Figures, Gossip, Held, Hello, Holder, Line, Progress, Reply, Seat,
    Standing, Table, Told, What, Wish, Word, You,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A message with its encoding.
pub struct Sample {
    pub name: String,
    pub encoded: Vec<u8>,
    /// Whether these bytes decode to the message.
    pub decodes_to_the_same: Box<dyn Fn(&[u8]) -> bool>,
}

fn sample<M>(name: &str, message: M) -> Sample
where
    M: Serialize + DeserializeOwned + PartialEq + 'static,
{
    Sample {
        name: name.to_string(),
        encoded: postcard::to_stdvec(&message).unwrap(),
        decodes_to_the_same: Box::new(move |bytes| postcard::from_bytes::<M>(bytes).unwrap() == message),
    }
}

fn v4() -> SocketAddr {
    "127.0.0.1:7946".parse().unwrap()
}

fn v6() -> SocketAddr {
    "[2001:db8::7]:65535".parse().unwrap()
}

fn holder() -> Holder {
    Holder { name: "node-1".into(), boot: 0x0102_0304_0506_0708 }
}

fn table() -> Table {
    let held =
        |holder, token, left: &[u8]| Held { holder, token, since_ms: 1_700_000_000_123, left: left.to_vec() };
    let change = |what, token| Change {
        duty: "lists/z".into(),
        what,
        name: "node-1".into(),
        token,
        at_ms: 1_700_000_000_456,
    };
    Table {
        last_token: 1_700_000_000_009,
        held: BTreeMap::from([
            ("errand/a".to_string(), held(Some(holder()), 1_700_000_000_009, &[1, 2, 255])),
            ("lists/z".to_string(), held(None, 300, &[])),
        ]),
        seats: BTreeMap::from([
            (17, Seat { name: "v0".into(), address: v4() }),
            (u64::MAX, Seat { name: "v1".into(), address: v6() }),
        ]),
        history: VecDeque::from([change(What::Granted, 300), change(What::Freed, 300)]),
    }
}

fn told() -> Told {
    Told { table: table(), founded: 99, term: 12, left_ms: vec![("errand/a".into(), 8_500)] }
}

fn hello(you: Option<(u64, u64, You)>) -> Word {
    Word::Hello(Hello {
        name: "v0".into(),
        disk: 17,
        starts: 3,
        boot: 0xffff_0000_1111_2222,
        founded: you.map(|_| 99),
        founders: 0x8000_0000_0000_0001,
        you,
    })
}

fn ask(wish: Wish) -> Word {
    Word::Ask(Ask { number: 130, who: holder(), heard_ms: 1_500, wish })
}

fn answer(reply: Reply) -> Word {
    Word::Answer(Answer { number: 131, boot: 0x0102_0304_0506_0708, name: "v2".into(), reply })
}

fn voter_messages() -> Vec<Sample> {
    let raft = Word::Raft { founded: 99, from: 17, to: 23, bytes: vec![8, 1, 16, 200] };
    vec![
        sample("raft", raft),
        sample("hello/question", hello(None)),
        sample("hello/fine", hello(Some((4, 5, You::Fine)))),
        sample("hello/unseated", hello(Some((4, 5, You::Unseated)))),
        sample("hello/older", hello(Some((u64::MAX, 5, You::Older)))),
    ]
}

fn client_messages() -> Vec<Sample> {
    let duty = || "lists/z".to_string();
    let seat = Seat { name: "v3".into(), address: v6() };
    vec![
        sample("ask/have", ask(Wish::Have { duty: duty(), token: 300 })),
        sample("ask/give", ask(Wish::Give { duty: duty(), token: 301 })),
        sample("ask/leave", ask(Wish::Leave { duty: duty(), token: 302, left: vec![9, 0, 128] })),
        sample("ask/show", ask(Wish::Show)),
        sample("ask/add", ask(Wish::Add(seat))),
        sample("ask/remove", ask(Wish::Remove("v3".into()))),
        sample("answer/granted", answer(Reply::Granted { duty: duty(), token: 303, left: vec![5] })),
        sample("answer/busy", answer(Reply::Busy { duty: duty(), holder: "node-2".into(), token: 304 })),
        sample("answer/gone", answer(Reply::Gone { duty: duty(), token: 305 })),
        sample("answer/done", answer(Reply::Done)),
        sample("answer/listen", answer(Reply::Listen)),
        sample("answer/elsewhere", answer(Reply::Elsewhere(Some(v4())))),
        sample("answer/elsewhere/unknown", answer(Reply::Elsewhere(None))),
        sample("answer/no", answer(Reply::No("it is the last voter".into()))),
        sample("answer/shown", answer(Reply::Shown(Box::new(told())))),
    ]
}

fn list_messages() -> Vec<Sample> {
    let line = |key: &str, gone| Line { key: key.into(), gone, bytes: b"{\"id\":1}".to_vec() };
    let beat = Gossip::Beat { token: 300, holder: "node-1".into(), number: 4, source: 7, version: 1 << 40 };
    let part = Gossip::Part {
        token: 300,
        source: 7,
        since: 41,
        version: 42,
        index: 1,
        of: 256,
        lines: vec![line("w1", false), line("w2", true)],
    };
    vec![
        sample("lists/beat", beat),
        sample("lists/want", Gossip::Want { source: 7, version: 41 }),
        sample("lists/part", part),
    ]
}

fn roll_progress(end: Option<End>) -> Progress {
    Progress {
        id: 1_700_000_000_789,
        away: 2,
        cursor: "node-4".into(),
        under_way: vec![("node-3".into(), 33), ("node-4".into(), u64::MAX)],
        total: 60,
        done: 2,
        end,
    }
}

fn left_by_a_roll() -> Vec<Sample> {
    vec![
        sample("roll/progress", roll_progress(None)),
        sample("roll/done", roll_progress(Some(End::Done))),
        sample("roll/asked", roll_progress(Some(End::Asked))),
        sample("roll/not back", roll_progress(Some(End::NotBack("node-3".into())))),
        sample("roll/missing", roll_progress(Some(End::Missing(300)))),
        sample("roll/jobs fail", roll_progress(Some(End::JobsFail(2, 30)))),
    ]
    .into_iter()
    .map(|s| Sample { name: s.name.replace(' ', "-"), ..s })
    .collect()
}

/// All messages.
pub fn samples() -> Vec<Sample> {
    let mut all = voter_messages();
    all.extend(client_messages());
    all.extend(list_messages());
    all.extend(left_by_a_roll());
    all.push(sample("table", table()));
    all
}

/// What a node's status has of this crate's types, as JSON.
pub fn status_json() -> Vec<(String, String)> {
    let figures = Figures { sent: 1, writes: 2, grants: 3, renewals: 4, elections: 5, refused: 6 };
    let counts = Counts { sent: 1, fed: 2, silences: 3, refused: 4 };
    let standings = vec![
        Standing::Waiting,
        Standing::Returning,
        Standing::Voting,
        Standing::Leading,
        Standing::Unseated,
        Standing::Older,
        Standing::Broken("the disk refuses: full".into()),
    ];
    fn json<T: Serialize + DeserializeOwned + PartialEq>(name: &str, value: &T) -> (String, String) {
        let text = serde_json::to_string(value).unwrap();
        assert!(serde_json::from_str::<T>(&text).unwrap() == *value, "{name}");
        (name.to_string(), text)
    }
    vec![
        json("told", &told()),
        json("figures", &figures),
        json("counts", &counts),
        json("standings", &standings),
        json("progress", &roll_progress(Some(End::JobsFail(2, 30)))),
    ]
}
