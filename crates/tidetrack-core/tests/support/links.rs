//! Simulated links of the hosts and of the store. Concurrent transfers share the bandwidth of a
//! link, so each takes longer the more there are. A host receives one large reply at a time, as in
//! the traffic plane; the other large replies wait and use no bandwidth.

/// Time until the head of a reply arrives over idle links, in milliseconds.
pub const REPLY_LATENCY: u64 = 10;

/// Bytes that each transfer in progress keeps queued on a link: about the initial window of a
/// connection over a path with a round trip of a few milliseconds. The head of a later reply waits
/// behind them.
const QUEUED_BYTES_PER_REPLY: f64 = 64_000.0;

/// Time within which the head of another host's reply has to arrive, in milliseconds. After it, the
/// request fails and its connection is closed.
const HOST_HEAD_TIMEOUT: u64 = 350;

/// Time within which the head of a reply of the store has to arrive, in milliseconds.
const STORE_HEAD_TIMEOUT: u64 = 1_200;

/// Size from which a reply counts as large. The traffic plane uses the same value.
const MIN_LARGE_REPLY_BYTES: f64 = 65_536.0;

/// Length of a time slice in milliseconds. Within a slice, the shares of the links' bandwidths are
/// constant.
const TIME_SLICE: u64 = 10;

/// The sender of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// A host, by its index.
    Host(usize),
    /// The store.
    Store,
}

/// A reply that is being transferred.
#[derive(Clone, Debug)]
pub struct Transfer<T> {
    from: LinkEnd,
    to: usize,
    /// Time at which the head arrives and the transfer of the body starts.
    head_arrives_at: u64,
    /// Time at which the transfer fails if the head has not arrived.
    head_deadline: u64,
    bytes: u64,
    remaining_bytes: f64,
    is_large: bool,
    /// The content of the reply.
    pub payload: T,
}

/// The outcome of a transfer, with its payload.
#[derive(Clone, Debug)]
pub enum TransferOutcome<T> {
    /// The whole reply arrived.
    Complete(T),
    /// The head did not arrive in time.
    TimedOut(T),
}

/// The links of all hosts and of the store, and the transfers over them.
#[derive(Clone, Debug)]
pub struct Links<T> {
    /// Bandwidth of each host's link in either direction, in bytes per millisecond.
    pub host_bandwidths: Vec<f64>,
    /// Bandwidth from the store, in bytes per millisecond.
    pub store_bandwidth: f64,
    /// Bytes of large replies that each host has received.
    pub received_large_bytes: Vec<f64>,
    /// Transfers from hosts that have ended: index of the sender, and size of the whole reply in
    /// bytes. The caller takes these entries to release the sender's reply limit.
    pub finished_sends: Vec<(usize, u64)>,
    in_progress: Vec<Transfer<T>>,
    now: u64,
}

impl<T> Links<T> {
    /// Creates links of unlimited bandwidth.
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

    /// Reports whether a host's link has unlimited bandwidth.
    pub fn is_unlimited(&self, host: usize) -> bool {
        self.host_bandwidths[host].is_infinite()
    }

    /// Starts a transfer. Its head waits for the bytes that earlier transfers have queued on both
    /// links.
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

    /// Reports whether the head of a large reply has arrived at a host and its body has not.
    pub fn is_receiving_large(&self, host: usize) -> bool {
        self.in_progress.iter().any(|t| t.to == host && t.is_large && t.head_arrives_at <= self.now)
    }

    /// Drops the obsolete large replies to a host whose heads have arrived.
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

    /// Returns the payloads of the transfers to a host.
    pub fn payloads_to(&self, host: usize) -> impl Iterator<Item = &T> {
        self.in_progress.iter().filter(move |t| t.to == host).map(|t| &t.payload)
    }

    /// Advances the clock to `until` and returns the transfers that have ended, in the order in
    /// which they were started.
    pub fn advance(&mut self, until: u64) -> Vec<TransferOutcome<T>> {
        while self.now < until {
            let to = (self.now + TIME_SLICE).min(until);
            self.advance_slice(to);
            self.now = to;
        }
        let mut outcomes = Vec::new();
        for transfer in std::mem::take(&mut self.in_progress) {
            if transfer.head_arrives_at > transfer.head_deadline && transfer.head_deadline <= until
            {
                self.record_finished_send(&transfer);
                outcomes.push(TransferOutcome::TimedOut(transfer.payload));
            } else if transfer.head_arrives_at <= until && transfer.remaining_bytes <= 0.0 {
                self.record_finished_send(&transfer);
                outcomes.push(TransferOutcome::Complete(transfer.payload));
            } else {
                self.in_progress.push(transfer);
            }
        }
        outcomes
    }

    fn advance_slice(&mut self, to: u64) {
        // Each host receives only the first of its large replies.
        let mut hosts_receiving_large = vec![false; self.host_bandwidths.len()];
        let is_transferring: Vec<bool> = self
            .in_progress
            .iter()
            .map(|t| {
                let has_bytes_left = t.head_arrives_at <= to && t.remaining_bytes > 0.0;
                has_bytes_left
                    && !(t.is_large && std::mem::replace(&mut hosts_receiving_large[t.to], true))
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
