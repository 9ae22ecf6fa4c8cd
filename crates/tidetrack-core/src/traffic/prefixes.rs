//! Which endpoints have read the shared part of a prompt.
//!
//! Reading a long shared part takes a large model a second; an endpoint that has read it for a model
//! keeps it for a while. Each host remembers where it had what read, and hosts tell each other what
//! is new, so that a part goes where some host's request has brought it already. What is told and
//! remembered is bounded, forgets by itself, and only guides placement: a false memory costs one
//! more read.

use std::collections::HashMap;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{EndpointKey, ModelId};
use crate::units::Millis;

/// How long an endpoint is taken to keep a part that no request used there.
const KEPT_FOR: Millis = Millis(20_000);

/// Parts that are remembered: some hundred KB.
const MOST_PARTS: usize = 8_192;

/// Endpoints remembered for one part, those that used it last.
const MOST_READERS: usize = 8;

/// Reads that one message tells at most, the newest: 160 bytes. A host sends 32 messages a second whatever
/// the fleet's size, and control may take 8 KB a second of it.
const MOST_TOLD: usize = 16;

/// A use is told again when that many milliseconds have passed since it was told.
const TELL_AGAIN: Millis = Millis(5_000);

/// Names a shared part read for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartKey(u32);

impl PartKey {
    /// Names the part `prefix`, which stands for all before it, as read for `model`.
    pub fn new(prefix: &str, model: Option<&ModelId>) -> PartKey {
        let seed = model.map_or(0, |m| xxh3_64(m.as_str().as_bytes()));
        // A collision misplaces a request now and then; nothing else depends on it.
        PartKey(xxh3_64_with_seed(prefix.as_bytes(), seed) as u32)
    }
}

/// An endpoint that has read a part, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldRead {
    /// The part.
    pub part: PartKey,
    /// The endpoint.
    pub endpoint: EndpointKey,
}

/// One endpoint's use of a part.
#[derive(Clone, Copy, Debug)]
struct Reader {
    endpoint: EndpointKey,
    used_at: Millis,
    /// Since when this host tells of the use; `None` if it only heard of it.
    told_from: Option<Millis>,
    /// Until when further uses are no news to the others.
    known_until: Millis,
}

/// The memory of one service at one host.
#[derive(Debug, Default)]
pub struct Prefixes {
    parts: Mutex<HashMap<PartKey, Vec<Reader>>>,
}

impl Prefixes {
    /// Lists the endpoints that keep a part as far as is known.
    pub fn readers(&self, now: Millis, part: PartKey) -> Vec<EndpointKey> {
        let parts = self.parts.lock().expect("no holder of the lock panics");
        let Some(readers) = parts.get(&part) else { return Vec::new() };
        readers.iter().filter(|r| now < r.used_at + KEPT_FOR).map(|r| r.endpoint).collect()
    }

    /// Takes note that a request of this host has an endpoint use a part.
    pub fn used(&self, now: Millis, part: PartKey, endpoint: EndpointKey) {
        self.note(now, part, endpoint, |reader| {
            if now >= reader.known_until {
                reader.told_from = Some(now);
                reader.known_until = now + TELL_AGAIN;
            }
        });
    }

    /// Takes what another host tells.
    pub fn hear(&self, now: Millis, told: &[ToldRead]) {
        for read in told {
            let known_until = now + TELL_AGAIN;
            self.note(now, read.part, read.endpoint, |reader| reader.known_until = known_until);
        }
    }

    /// Lists what is to be told in messages until all hosts were told, which takes `turn`; forgets
    /// what is old.
    pub fn told(&self, now: Millis, turn: Millis) -> Vec<ToldRead> {
        let mut parts = self.parts.lock().expect("no holder of the lock panics");
        parts.retain(|_, readers| {
            readers.retain(|r| now < r.used_at + KEPT_FOR);
            !readers.is_empty()
        });
        let mut told = Vec::new();
        for (part, readers) in parts.iter() {
            for reader in readers {
                if let Some(from) = reader.told_from.filter(|from| now < *from + turn) {
                    told.push((from, ToldRead { part: *part, endpoint: reader.endpoint }));
                }
            }
        }
        told.sort_by_key(|(from, _)| std::cmp::Reverse(*from));
        told.truncate(MOST_TOLD);
        told.into_iter().map(|(_, read)| read).collect()
    }

    fn note(
        &self,
        now: Millis,
        part: PartKey,
        endpoint: EndpointKey,
        and: impl FnOnce(&mut Reader),
    ) {
        let mut parts = self.parts.lock().expect("no holder of the lock panics");
        if parts.len() >= MOST_PARTS && !parts.contains_key(&part) {
            return;
        }
        let readers = parts.entry(part).or_default();
        let known = readers.iter().position(|r| r.endpoint == endpoint);
        let at = known.unwrap_or_else(|| {
            if readers.len() >= MOST_READERS {
                let oldest = readers.iter().enumerate().min_by_key(|(_, r)| r.used_at);
                if let Some((at, _)) = oldest {
                    readers.swap_remove(at);
                }
            }
            readers.push(Reader { endpoint, used_at: now, told_from: None, known_until: now });
            readers.len() - 1
        });
        readers[at].used_at = now;
        and(&mut readers[at]);
    }
}
