//! The thread round the keeper of the bills, and the handle that requests keep theirs with.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};

use tidetrack_core::bill_replicator::{BillReplicator, HoldCall, Holder, ReplicatorAction};
use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::Incarnation;
use tidetrack_core::ledger::{Bill, Segment};
use tidetrack_wire::platform::{PlatformClient, LEDGER_PREFIX};

use crate::control::ControlMsg;
use crate::logging;
use crate::peers::PeerJob;
use crate::shared::Clock;

/// Pause of the loop when nothing comes.
const IDLE: Duration = Duration::from_millis(200);

/// When to come back while no bill can be kept safe, in milliseconds.
const RETRY_UNSAFE_MS: u64 = 1_000;

/// Pause of the writer after a failed write.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Messages for the keeper of the bills.
pub enum BillMsg {
    /// Keep a bill safe.
    Keep {
        /// The bill.
        bill: Bill,
        /// Told once it is safe.
        safe: Sender<()>,
    },
    /// Hold bills for another host.
    Hold {
        /// The bills.
        call: HoldCall,
        /// Told whether they are held.
        reply: Sender<bool>,
    },
    /// A call to the holder ended.
    HoldDone {
        /// Which call.
        batch: u64,
        /// Whether all its bills are held.
        held: bool,
    },
    /// A write of a segment ended.
    WriteDone {
        /// Whose segment.
        origin: Incarnation,
        /// What stands under its number, if that is known.
        stands: Option<Segment>,
    },
    /// Who may hold this host's bills from now on, best first.
    Holders(Vec<Holder>),
    /// Incarnations that are gone.
    Gone(Vec<Incarnation>),
    /// Write everything now and tell when it stands or is held.
    Flush(Sender<bool>),
    /// Ends the thread.
    Stop,
}

/// A handle on the keeper of the bills.
#[derive(Clone)]
pub struct Billing {
    sender: Sender<BillMsg>,
    state: Arc<BillState>,
    patience: Duration,
}

#[derive(Default)]
struct BillState {
    pending: AtomicU64,
    unsafe_now: AtomicBool,
}

impl Billing {
    /// Makes a handle; the thread takes the other end.
    pub fn new(patience: Duration) -> (Billing, Receiver<BillMsg>) {
        let (sender, receiver) = flume::unbounded();
        (Billing { sender, state: Arc::default(), patience }, receiver)
    }

    /// Gets the sender of messages.
    pub fn sender(&self) -> Sender<BillMsg> {
        self.sender.clone()
    }

    /// Gets the number of bills that are not in the object API yet.
    pub fn pending(&self) -> u64 {
        self.state.pending.load(Ordering::Relaxed)
    }

    /// Refuses new work while no place for a bill can be reached.
    pub fn check(&self) -> Result<()> {
        match self.state.unsafe_now.load(Ordering::Acquire) {
            false => Ok(()),
            true => {
                let message = "no place to keep the bill can be reached";
                Err(Error::new(Code::BillUnsafe, message).with_retry_after(RETRY_UNSAFE_MS))
            }
        }
    }

    /// Keeps a bill safe; gives up waiting after a while, the bill stays due.
    pub fn keep(&self, bill: Bill) -> Result<()> {
        let (tx, rx) = flume::bounded(1);
        let sent = self.sender.send(BillMsg::Keep { bill, safe: tx });
        let lost = || {
            let message = "the bill could not be made safe; the answer is not finished";
            Error::new(Code::BillUnsafe, message).with_executed(Executed::Yes)
        };
        sent.map_err(|_| lost())?;
        rx.recv_timeout(self.patience).map_err(|_| lost())
    }

    /// Writes everything; tells whether it stands or is held by another host.
    pub fn flush(&self) -> bool {
        let (tx, rx) = flume::bounded(1);
        self.sender.send(BillMsg::Flush(tx)).is_ok() && rx.recv().unwrap_or(false)
    }
}

/// The thread round the keeper.
pub struct KeeperThread {
    /// The keeper.
    pub keeper: BillReplicator,
    /// The clock.
    pub clock: Clock,
    /// Calls to other hosts.
    pub jobs: Sender<PeerJob>,
    /// The control thread.
    pub control: Sender<ControlMsg>,
    /// The writer of segments.
    pub segments: Sender<Segment>,
}

#[derive(Default)]
struct Waiters {
    safe: BTreeMap<u64, Sender<()>>,
    flushes: Vec<Sender<bool>>,
}

impl KeeperThread {
    /// Takes messages until told to stop.
    pub fn run(mut self, billing: &Billing, messages: Receiver<BillMsg>) {
        let mut waiters = Waiters::default();
        loop {
            match messages.recv_timeout(IDLE) {
                Ok(BillMsg::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(msg) => self.take(msg, &mut waiters),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // What came meanwhile goes into the same call to the holder.
            while let Ok(msg) = messages.try_recv() {
                match msg {
                    BillMsg::Stop => return,
                    other => self.take(other, &mut waiters),
                }
            }
            let now = self.clock.now();
            for action in self.keeper.poll_actions(now) {
                self.act(action, &mut waiters);
            }
            billing
                .state
                .unsafe_now
                .store(self.keeper.is_storage_unavailable(now), Ordering::Release);
            billing.state.pending.store(self.keeper.pending() as u64, Ordering::Relaxed);
        }
    }

    fn take(&mut self, msg: BillMsg, waiters: &mut Waiters) {
        let now = self.clock.now();
        match msg {
            BillMsg::Keep { bill, safe } => {
                waiters.safe.insert(bill.number(), safe);
                self.keeper.add_bill(bill);
            }
            BillMsg::Hold { call, reply } => {
                // A host that no longer waits calls again.
                let _ = reply.send(self.keeper.hold_for(call));
            }
            BillMsg::HoldDone { batch, held } => self.keeper.hold_done(now, batch, held),
            BillMsg::WriteDone { origin, stands } => self.keeper.write_done(now, &origin, stands),
            BillMsg::Holders(holders) => self.keeper.set_holders(holders),
            BillMsg::Gone(gone) => self.keeper.take_over(&gone),
            BillMsg::Flush(reply) => {
                waiters.flushes.push(reply);
                self.keeper.flush();
            }
            BillMsg::Stop => {}
        }
    }

    /// Carries out an action. The other threads are gone only when the process ends.
    fn act(&self, action: ReplicatorAction, waiters: &mut Waiters) {
        match action {
            ReplicatorAction::Hold { holder, batch, call } => {
                let _ = self.jobs.send(PeerJob::Hold { address: holder, batch, call });
            }
            ReplicatorAction::Write(segment) => {
                let _ = self.segments.send(segment);
            }
            ReplicatorAction::ReleaseResponse(number) => {
                if let Some(safe) = waiters.safe.remove(&number) {
                    // A request that stopped waiting is told in vain.
                    let _ = safe.send(());
                }
            }
            ReplicatorAction::CheckGone(incarnations) => {
                let _ = self.control.send(ControlMsg::FindGoneIncarnations { incarnations });
            }
            ReplicatorAction::Flushed(safe) => {
                for flush in waiters.flushes.drain(..) {
                    let _ = flush.send(safe);
                }
            }
        }
    }
}

/// Writes segments until all senders are gone.
pub fn write_loop(
    platform: PlatformClient,
    segments: Receiver<Segment>,
    done: Sender<BillMsg>,
    logger: slog::Logger,
) {
    for segment in segments {
        let origin = segment.origin.clone();
        let stands = write_segment(&platform, &segment, &logger);
        if let Err(e) = &stands {
            logging::log(&logger, Event::SegmentFailed, &e.to_string());
            std::thread::sleep(WRITE_RETRY_INTERVAL);
        }
        if done.send(BillMsg::WriteDone { origin, stands: stands.ok() }).is_err() {
            return;
        }
    }
}

/// Creates a segment if absent; gets what stands under its number.
fn write_segment(
    platform: &PlatformClient,
    segment: &Segment,
    logger: &slog::Logger,
) -> Result<Segment> {
    let name = segment.object_name();
    let body = serde_json::to_string(segment).expect("a segment is a plain list");
    match platform.write_confirmed(&name, 0, &body) {
        Ok(_) => {
            let text = format!("{name} with {} bills", segment.bills.len());
            logging::log(logger, Event::SegmentWritten, &text);
            Ok(segment.clone())
        }
        Err(e) if e.code == Code::Conflict => {
            let stands = platform.fetch(&name)?;
            let body = stands.body.unwrap_or_default();
            logging::log(logger, Event::SegmentTaken, &name);
            serde_json::from_str(&body).map_err(|e| Error::new(Code::Internal, e.to_string()))
        }
        Err(e) => Err(e),
    }
}

/// Reads all segments of the ledger, by name.
pub fn read_ledger(platform: &PlatformClient) -> Result<BTreeMap<String, Segment>> {
    let list = platform.list(LEDGER_PREFIX)?;
    let mut segments = BTreeMap::new();
    for object in list.objects {
        let body = object.body.unwrap_or_default();
        let segment = serde_json::from_str(&body)
            .map_err(|e| Error::new(Code::Internal, format!("{}: {e}", object.name)))?;
        segments.insert(object.name, segment);
    }
    Ok(segments)
}
