//! Links of hosts and of the store: what is under way over a link shares its bandwidth, so a large
//! reply takes its time, and the more come at once, the longer each takes. Large replies come in to a
//! host one at a time, as the plane lets them: the others wait, and take nothing of the links.

/// Time that a reply takes on a wide link, in milliseconds.
pub const REPLY_LATENCY: u64 = 10;

/// Bytes that each reply under way keeps waiting on a link: about the first window of a connection on a
/// path of some milliseconds. What begins later waits behind them.
const QUEUED_BYTES_PER_REPLY: f64 = 64_000.0;

/// Longest time until the head of another host's reply comes, in milliseconds; then the question counts
/// as failed, and its connection is closed.
const HOST_HEAD_TIMEOUT: u64 = 350;

/// The same for the store's.
const STORE_HEAD_TIMEOUT: u64 = 1_200;

/// Bytes from which a reply counts as large, as the plane has it.
const MIN_LARGE_REPLY_BYTES: f64 = 65_536.0;

/// Part of a step in which the shares of a link stay the same, in milliseconds.
const TIME_SLICE: u64 = 10;

/// A way that a link has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// A host, by its number.
    Host(usize),
    /// The store.
    Store,
}

/// A reply under way.
#[derive(Clone, Debug)]
pub struct Transfer<T> {
    from: LinkEnd,
    to: usize,
    /// When its head comes, and its bytes begin to.
    head_arrives_at: u64,
    /// When it counts as failed, if its head has not come.
    head_deadline: u64,
    bytes: u64,
    remaining_bytes: f64,
    is_large: bool,
    /// What it brings.
    pub payload: T,
}

/// How a reply came to its end.
#[derive(Clone, Debug)]
pub enum TransferOutcome<T> {
    /// It came whole.
    Complete(T),
    /// Its head did not come in time.
    TimedOut(T),
}

/// All links.
#[derive(Clone, Debug)]
pub struct Links<T> {
    /// Bytes a millisecond to and from each host.
    pub host_bandwidths: Vec<f64>,
    /// Bytes a millisecond from the store.
    pub store_bandwidth: f64,
    /// Bytes of large replies that came to each host.
    pub received_large_bytes: Vec<f64>,
    /// What hosts gave that is not under way any more, and its bytes.
    pub finished_sends: Vec<(usize, u64)>,
    in_progress: Vec<Transfer<T>>,
    now: u64,
}

impl<T> Links<T> {
    /// Makes links on which nothing waits.
    pub fn unlimited(hosts: usize) -> Links<T> {
        Links {
            host_bandwidths: vec![f64::INFINITY; hosts],
            store_bandwidth: f64::INFINITY,
            received_large_bytes: vec![0.0; hosts],
            finished_sends: Vec::new(),
            in_progress: Vec::new(),
            now: 0,
        }
    }

    fn bandwidth(&self, end: LinkEnd) -> f64 {
        match end {
            LinkEnd::Host(n) => self.host_bandwidths[n],
            LinkEnd::Store => self.store_bandwidth,
        }
    }

    /// Tells whether nothing waits on a host's link.
    pub fn is_unlimited(&self, host: usize) -> bool {
        self.host_bandwidths[host].is_infinite()
    }

    /// Begins a reply.
    pub fn begin_transfer(&mut self, now: u64, from: LinkEnd, to: usize, bytes: u64, payload: T) {
        let uploads = self.in_progress.iter().filter(|t| t.from == from).count();
        let downloads = self.in_progress.iter().filter(|t| t.to == to).count();
        let queueing_ms = uploads as f64 * QUEUED_BYTES_PER_REPLY / self.bandwidth(from)
            + downloads as f64 * QUEUED_BYTES_PER_REPLY / self.host_bandwidths[to];
        let head_timeout =
            if from == LinkEnd::Store { STORE_HEAD_TIMEOUT } else { HOST_HEAD_TIMEOUT };
        let head_arrives_at = now + REPLY_LATENCY + queueing_ms.round() as u64;
        let head_deadline = now + head_timeout;
        let remaining_bytes = bytes as f64;
        let is_large = remaining_bytes >= MIN_LARGE_REPLY_BYTES;
        let reply = Transfer {
            from,
            to,
            head_arrives_at,
            head_deadline,
            bytes,
            remaining_bytes,
            is_large,
            payload,
        };
        self.in_progress.push(reply);
    }

    /// Tells whether a large reply is coming in to a host.
    pub fn is_receiving_large(&self, host: usize) -> bool {
        self.in_progress.iter().any(|t| t.to == host && t.is_large && t.head_arrives_at <= self.now)
    }

    /// Drops large replies to a host that wait for their turn and are not needed any more.
    pub fn drop_obsolete_large(&mut self, host: usize, is_obsolete: impl Fn(&T) -> bool) {
        for transfer in std::mem::take(&mut self.in_progress) {
            let is_receivable_large =
                transfer.to == host && transfer.is_large && transfer.head_arrives_at <= self.now;
            if is_receivable_large && is_obsolete(&transfer.payload) {
                self.record_finished_send(&transfer);
            } else {
                self.in_progress.push(transfer);
            }
        }
    }

    fn record_finished_send(&mut self, transfer: &Transfer<T>) {
        if let LinkEnd::Host(from) = transfer.from {
            self.finished_sends.push((from, transfer.bytes));
        }
    }

    /// Lists what is under way to a host.
    pub fn payloads_to(&self, host: usize) -> impl Iterator<Item = &T> {
        self.in_progress.iter().filter(move |t| t.to == host).map(|t| &t.payload)
    }

    /// Lets time pass; gets what has come to its end, in the order in which it began.
    pub fn advance(&mut self, until: u64) -> Vec<TransferOutcome<T>> {
        while self.now < until {
            let to = (self.now + TIME_SLICE).min(until);
            self.advance_slice(to);
            self.now = to;
        }
        let mut ended = Vec::new();
        for transfer in std::mem::take(&mut self.in_progress) {
            if transfer.head_arrives_at > transfer.head_deadline && transfer.head_deadline <= until
            {
                self.record_finished_send(&transfer);
                ended.push(TransferOutcome::TimedOut(transfer.payload));
            } else if transfer.head_arrives_at <= until && transfer.remaining_bytes <= 0.0 {
                self.record_finished_send(&transfer);
                ended.push(TransferOutcome::Complete(transfer.payload));
            } else {
                self.in_progress.push(transfer);
            }
        }
        ended
    }

    fn advance_slice(&mut self, to: u64) {
        // The first large one of each host has the turn.
        let mut is_receiving_large = vec![false; self.host_bandwidths.len()];
        let is_transferring: Vec<bool> = self
            .in_progress
            .iter()
            .map(|t| {
                let has_bytes_left = t.head_arrives_at <= to && t.remaining_bytes > 0.0;
                has_bytes_left
                    && !(t.is_large && std::mem::replace(&mut is_receiving_large[t.to], true))
            })
            .collect();
        let mut uploads = vec![0.0; self.host_bandwidths.len()];
        let mut downloads = vec![0.0; self.host_bandwidths.len()];
        let mut store_transfers = 0.0;
        for (transfer, _) in
            self.in_progress.iter().zip(&is_transferring).filter(|(_, is_active)| **is_active)
        {
            downloads[transfer.to] += 1.0;
            match transfer.from {
                LinkEnd::Host(n) => uploads[n] += 1.0,
                LinkEnd::Store => store_transfers += 1.0,
            }
        }
        let slice_ms = (to - self.now) as f64;
        for (transfer, _) in
            self.in_progress.iter_mut().zip(&is_transferring).filter(|(_, is_active)| **is_active)
        {
            let source_rate = match transfer.from {
                LinkEnd::Host(n) => self.host_bandwidths[n] / uploads[n],
                LinkEnd::Store => self.store_bandwidth / store_transfers,
            };
            let bytes = (slice_ms
                * source_rate.min(self.host_bandwidths[transfer.to] / downloads[transfer.to]))
            .min(transfer.remaining_bytes);
            transfer.remaining_bytes -= bytes;
            if transfer.is_large {
                self.received_large_bytes[transfer.to] += bytes;
            }
        }
    }
}
