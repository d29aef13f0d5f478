//! Says what is wrong with a history of acts under tokens. It knows nothing of how duties are granted.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// One act on a resource that lets only one holder act at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Act {
    /// When its holder made sure that it may act, on the one true clock.
    pub begun: Duration,
    /// When the resource took it, or refused it.
    pub came: Duration,
    /// Which process acted.
    pub who: String,
    /// Under which token.
    pub token: u64,
    /// Whether the resource took it.
    pub taken: bool,
}

/// What is wrong with a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An act was taken under a token lower than one taken before.
    WentBack(u64, u64),
    /// Two processes acted under one token.
    Shared(u64, String, String),
    /// A process began an act under a token after another had begun one under a later token.
    Overlap(u64, u64),
    /// An act was refused though no later token had come.
    Refused(u64),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::WentBack(old, new) => write!(f, "an act under {old} was taken after one under {new}"),
            Violation::Shared(token, a, b) => write!(f, "{a} and {b} acted under {token}"),
            Violation::Overlap(old, new) => write!(f, "{old} was acted under after {new} had been begun"),
            Violation::Refused(token) => write!(f, "an act under {token} was refused without cause"),
        }
    }
}

/// All that is wrong with the acts on one resource; empty where nothing is. The acts are in the order in which they came.
pub fn violations(acts: &[Act]) -> Vec<Violation> {
    let mut wrong = Vec::new();
    let (mut highest, mut seen) = (0, 0);
    let mut owners: BTreeMap<u64, &str> = BTreeMap::new();
    for act in acts {
        match act.taken {
            true if act.token < highest => wrong.push(Violation::WentBack(act.token, highest)),
            true => highest = act.token,
            false if act.token >= seen => wrong.push(Violation::Refused(act.token)),
            false => {}
        }
        seen = seen.max(act.token);
        let owner = *owners.entry(act.token).or_insert(&act.who);
        if owner != act.who {
            wrong.push(Violation::Shared(act.token, owner.to_string(), act.who.clone()));
        }
    }
    // What counts between holders is when each was sure of its right, however long the act was on its way.
    let mut begun: Vec<&Act> = acts.iter().collect();
    begun.sort_by_key(|a| a.begun);
    let mut latest = 0;
    for act in begun {
        if act.token < latest {
            wrong.push(Violation::Overlap(act.token, latest));
        }
        latest = latest.max(act.token);
    }
    wrong
}

#[cfg(test)]
mod tests {
    use super::*;

    fn act(begun: u64, came: u64, who: &str, token: u64, taken: bool) -> Act {
        let ms = Duration::from_millis;
        Act { begun: ms(begun), came: ms(came), who: who.into(), token, taken }
    }

    /// Each planted violation is told, and nothing else is.
    #[test]
    fn planted_violations_are_told() {
        // One that stood still in the middle of its second act, and is refused.
        let good = [act(1, 2, "a", 1, true), act(9, 10, "b", 2, true), act(3, 12, "a", 1, false)];
        assert_eq!(violations(&good), []);
        let with = |change: &dyn Fn(&mut Vec<Act>)| {
            let mut acts = good.to_vec();
            change(&mut acts);
            violations(&acts)
        };
        assert_eq!(with(&|a| a[2].taken = true), [Violation::WentBack(1, 2)]);
        assert_eq!(with(&|a| a[2].begun = Duration::from_millis(11)), [Violation::Overlap(1, 2)]);
        assert_eq!(with(&|a| a[2].who = "c".into()), [Violation::Shared(1, "a".into(), "c".into())]);
        assert_eq!(with(&|a| a[1].taken = false), [Violation::Refused(2)]);
    }
}
