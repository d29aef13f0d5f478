//! Words of other subsystems, which may be longer than a datagram: put together from their pieces, in bounded memory.

use crate::packet::{PIECE, WORD_MAX};
use std::collections::HashMap;
use std::time::Duration;

/// Words that are in pieces at once; the oldest makes way.
const OPEN: usize = 32;
/// A word that is not whole by then is lost.
const LIFE: Duration = Duration::from_secs(2);

struct Open {
    pieces: Vec<Option<Vec<u8>>>,
    missing: usize,
    at: Duration,
}

/// The words that have come in part.
#[derive(Default)]
pub(crate) struct Words(HashMap<(u64, u64), Open>);

impl Words {
    /// Takes a piece in; the word, once it is whole. `None` also where the piece can't be one.
    pub fn piece(
        &mut self,
        now: Duration,
        boot: u64,
        word: u64,
        index: u16,
        of: u16,
        bytes: Vec<u8>,
    ) -> Option<Vec<u8>> {
        let (index, of) = (usize::from(index), usize::from(of));
        if index >= of || of > WORD_MAX.div_ceil(PIECE) || bytes.len() > PIECE {
            return None;
        }
        if of == 1 {
            return Some(bytes);
        }
        if self.0.len() >= OPEN && !self.0.contains_key(&(boot, word)) {
            self.0.retain(|_, o| now.saturating_sub(o.at) < LIFE);
            if self.0.len() >= OPEN {
                let oldest = self.0.iter().min_by_key(|(key, o)| (o.at, **key)).map(|(key, _)| *key);
                oldest.and_then(|key| self.0.remove(&key));
            }
        }
        let new = || Open { pieces: vec![None; of], missing: of, at: now };
        let open = self.0.entry((boot, word)).or_insert_with(new);
        let place = open.pieces.get_mut(index).filter(|p| p.is_none())?;
        *place = Some(bytes);
        open.missing -= 1;
        if open.missing > 0 {
            return None;
        }
        let open = self.0.remove(&(boot, word))?;
        Some(open.pieces.into_iter().flatten().flatten().collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_word_is_whole_once_all_pieces_have_come_in_whatever_order() {
        let (mut words, s) = (Words::default(), Duration::from_secs(1));
        assert_eq!(words.piece(s, 1, 1, 0, 1, vec![9]), Some(vec![9]));
        assert_eq!(words.piece(s, 1, 2, 2, 3, vec![3]), None);
        assert_eq!(words.piece(s, 1, 2, 0, 3, vec![1]), None);
        assert_eq!(words.piece(s, 1, 2, 0, 3, vec![7]), None, "twice");
        assert_eq!(words.piece(s, 2, 2, 1, 3, vec![8]), None, "of another process");
        assert_eq!(words.piece(s, 1, 2, 1, 3, vec![2]), Some(vec![1, 2, 3]));
    }

    #[test]
    fn pieces_that_never_make_a_word_are_bounded() {
        let mut words = Words::default();
        for i in 0..1000 {
            let now = Duration::from_millis(i);
            assert_eq!(words.piece(now, i, i, 0, 2, vec![0; PIECE]), None);
            assert_eq!(words.piece(now, i, i, 3, 2, vec![0]), None, "no such piece");
            assert_eq!(words.piece(now, i, i, 0, 999, vec![0]), None, "too many");
        }
        assert!(words.0.len() <= OPEN);
    }
}
