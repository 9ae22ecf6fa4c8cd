//! Links of hosts and of the store: what is under way over a link shares its bandwidth, so a large
//! reply takes its time, and the more come at once, the longer each takes. Large replies come in to a
//! host one at a time, as the plane lets them: the others wait, and take nothing of the links.

/// Time that a reply takes on a wide link, in milliseconds.
pub const CATCH_TIME: u64 = 10;

/// Bytes that each reply under way keeps waiting on a link: about the first window of a connection on a
/// path of some milliseconds. What begins later waits behind them.
const WINDOW: f64 = 64_000.0;

/// Longest time until the head of another host's reply comes, in milliseconds; then the question counts
/// as failed, and its connection is closed.
const HEAD_WITHIN: u64 = 350;

/// The same for the store's.
const STORE_HEAD_WITHIN: u64 = 1_200;

/// Bytes from which a reply counts as large, as the plane has it.
const LARGE_REPLY: f64 = 65_536.0;

/// Part of a step in which the shares of a link stay the same, in milliseconds.
const PART: u64 = 10;

/// A way that a link has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A host, by its number.
    Host(usize),
    /// The store.
    Store,
}

/// A reply under way.
#[derive(Clone, Debug)]
pub struct Transfer<T> {
    from: End,
    to: usize,
    /// When its head comes, and its bytes begin to.
    head_at: u64,
    /// When it counts as failed, if its head has not come.
    fails_at: u64,
    bytes: u64,
    left: f64,
    is_large: bool,
    /// What it brings.
    pub load: T,
}

/// How a reply came to its end.
#[derive(Clone, Debug)]
pub enum Ended<T> {
    /// It came whole.
    Whole(T),
    /// Its head did not come in time.
    Late(T),
}

/// All links.
#[derive(Clone, Debug)]
pub struct Links<T> {
    /// Bytes a millisecond to and from each host.
    pub hosts: Vec<f64>,
    /// Bytes a millisecond from the store.
    pub store: f64,
    /// Bytes of large replies that came to each host.
    pub large_bytes: Vec<f64>,
    /// What hosts gave that is not under way any more, and its bytes.
    pub given: Vec<(usize, u64)>,
    under_way: Vec<Transfer<T>>,
    now: u64,
}

impl<T> Links<T> {
    /// Makes links on which nothing waits.
    pub fn wide(hosts: usize) -> Links<T> {
        Links {
            hosts: vec![f64::INFINITY; hosts],
            store: f64::INFINITY,
            large_bytes: vec![0.0; hosts],
            given: Vec::new(),
            under_way: Vec::new(),
            now: 0,
        }
    }

    fn bandwidth(&self, end: End) -> f64 {
        match end {
            End::Host(n) => self.hosts[n],
            End::Store => self.store,
        }
    }

    /// Tells whether nothing waits on a host's link.
    pub fn is_wide(&self, host: usize) -> bool {
        self.hosts[host].is_infinite()
    }

    /// Begins a reply.
    pub fn begin(&mut self, now: u64, from: End, to: usize, bytes: u64, load: T) {
        let up = self.under_way.iter().filter(|t| t.from == from).count();
        let down = self.under_way.iter().filter(|t| t.to == to).count();
        let waits =
            up as f64 * WINDOW / self.bandwidth(from) + down as f64 * WINDOW / self.hosts[to];
        let within = if from == End::Store { STORE_HEAD_WITHIN } else { HEAD_WITHIN };
        let head_at = now + CATCH_TIME + waits.round() as u64;
        let fails_at = now + within;
        let left = bytes as f64;
        let is_large = left >= LARGE_REPLY;
        let reply = Transfer { from, to, head_at, fails_at, bytes, left, is_large, load };
        self.under_way.push(reply);
    }

    /// Tells whether a large reply is coming in to a host.
    pub fn is_large_coming(&self, host: usize) -> bool {
        self.under_way.iter().any(|t| t.to == host && t.is_large && t.head_at <= self.now)
    }

    /// Drops large replies to a host that wait for their turn and are not needed any more.
    pub fn drop_large(&mut self, host: usize, is_needless: impl Fn(&T) -> bool) {
        for transfer in std::mem::take(&mut self.under_way) {
            let waits = transfer.to == host && transfer.is_large && transfer.head_at <= self.now;
            if waits && is_needless(&transfer.load) {
                self.note_given(&transfer);
            } else {
                self.under_way.push(transfer);
            }
        }
    }

    fn note_given(&mut self, transfer: &Transfer<T>) {
        if let End::Host(from) = transfer.from {
            self.given.push((from, transfer.bytes));
        }
    }

    /// Lists what is under way to a host.
    pub fn under_way_to(&self, host: usize) -> impl Iterator<Item = &T> {
        self.under_way.iter().filter(move |t| t.to == host).map(|t| &t.load)
    }

    /// Lets time pass; gets what has come to its end, in the order in which it began.
    pub fn pass(&mut self, until: u64) -> Vec<Ended<T>> {
        while self.now < until {
            let to = (self.now + PART).min(until);
            self.pass_part(to);
            self.now = to;
        }
        let mut ended = Vec::new();
        for transfer in std::mem::take(&mut self.under_way) {
            if transfer.head_at > transfer.fails_at && transfer.fails_at <= until {
                self.note_given(&transfer);
                ended.push(Ended::Late(transfer.load));
            } else if transfer.head_at <= until && transfer.left <= 0.0 {
                self.note_given(&transfer);
                ended.push(Ended::Whole(transfer.load));
            } else {
                self.under_way.push(transfer);
            }
        }
        ended
    }

    fn pass_part(&mut self, to: u64) {
        // The first large one of each host has the turn.
        let mut is_taken = vec![false; self.hosts.len()];
        let has_turn: Vec<bool> = self
            .under_way
            .iter()
            .map(|t| {
                let is_coming = t.head_at <= to && t.left > 0.0;
                is_coming && !(t.is_large && std::mem::replace(&mut is_taken[t.to], true))
            })
            .collect();
        let mut up = vec![0.0; self.hosts.len()];
        let mut down = vec![0.0; self.hosts.len()];
        let mut from_store = 0.0;
        for (transfer, _) in self.under_way.iter().zip(&has_turn).filter(|(_, turn)| **turn) {
            down[transfer.to] += 1.0;
            match transfer.from {
                End::Host(n) => up[n] += 1.0,
                End::Store => from_store += 1.0,
            }
        }
        let time = (to - self.now) as f64;
        for (transfer, _) in self.under_way.iter_mut().zip(&has_turn).filter(|(_, turn)| **turn) {
            let from = match transfer.from {
                End::Host(n) => self.hosts[n] / up[n],
                End::Store => self.store / from_store,
            };
            let bytes =
                (time * from.min(self.hosts[transfer.to] / down[transfer.to])).min(transfer.left);
            transfer.left -= bytes;
            if transfer.is_large {
                self.large_bytes[transfer.to] += bytes;
            }
        }
    }
}
