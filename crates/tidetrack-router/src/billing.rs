//! The thread that runs the [`BillReplicator`], and the handle through which requests store their
//! bills.

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

/// Maximum time between two polls of the replicator's actions when no message arrives.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a caller may retry while bills cannot be stored, in milliseconds.
const STORAGE_RETRY_AFTER_MS: u64 = 1_000;

/// Delay of the segment writer after a failed write.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Messages to the replicator thread.
pub enum BillMsg {
    /// Store a bill in a second place.
    Store {
        /// Bill to store.
        bill: Bill,
        /// Notified once the bill is held by another host or written to the object API.
        replicated: Sender<()>,
    },
    /// Hold bills for another host.
    Hold {
        /// Bills to hold, and those that need not be held any longer.
        call: HoldCall,
        /// Receives whether all of the bills are held.
        reply: Sender<bool>,
    },
    /// A call to the holder returned or failed.
    HoldDone {
        /// Number of the call.
        batch: u64,
        /// Whether the holder holds all bills of the call.
        is_held: bool,
    },
    /// A write of a segment returned or failed.
    WriteDone {
        /// Incarnation that created the bills of the segment.
        origin: Incarnation,
        /// Segment that the object API has under this number; `None` if that is unknown.
        stored: Option<Segment>,
    },
    /// Set the hosts that can hold this host's bills, best first.
    Holders(Vec<Holder>),
    /// Write the bills held for these incarnations, which are gone.
    IncarnationsGone(Vec<Incarnation>),
    /// Write all bills now. The sender receives whether each bill was written or is held by another
    /// host.
    Flush(Sender<bool>),
    /// Stop the thread.
    Stop,
}

/// A handle to the replicator thread.
#[derive(Clone)]
pub struct Billing {
    sender: Sender<BillMsg>,
    state: Arc<BillState>,
    store_timeout: Duration,
}

/// State that the replicator thread publishes after each poll.
#[derive(Default)]
struct BillState {
    /// Number of bills that have not been written to the object API yet.
    pending: AtomicU64,
    /// Whether bills can currently be stored neither at a holder nor in the object API.
    is_storage_unavailable: AtomicBool,
}

impl Billing {
    /// Creates a handle and the receiver for the replicator thread. [`Billing::store`] waits at
    /// most `store_timeout`.
    pub fn new(store_timeout: Duration) -> (Billing, Receiver<BillMsg>) {
        let (sender, receiver) = flume::unbounded();
        (Billing { sender, state: Arc::default(), store_timeout }, receiver)
    }

    /// Returns a sender of messages to the replicator thread.
    pub fn sender(&self) -> Sender<BillMsg> {
        self.sender.clone()
    }

    /// Returns the number of bills that have not been written to the object API yet.
    pub fn pending(&self) -> u64 {
        self.state.pending.load(Ordering::Relaxed)
    }

    /// Returns an error while neither a holder nor the object API accepts bills, so that new
    /// requests are refused.
    pub fn check(&self) -> Result<()> {
        match self.state.is_storage_unavailable.load(Ordering::Acquire) {
            false => Ok(()),
            true => {
                let message = "neither a holder nor the object API accepts bills";
                Err(Error::new(Code::BillUnsafe, message).with_retry_after(STORAGE_RETRY_AFTER_MS))
            }
        }
    }

    /// Waits until a bill is stored in a second place. Fails after `store_timeout`; the replicator
    /// continues to store the bill after that.
    pub fn store(&self, bill: Bill) -> Result<()> {
        let (reply_sender, reply_receiver) = flume::bounded(1);
        let send_result = self.sender.send(BillMsg::Store { bill, replicated: reply_sender });
        let storage_failed = || {
            let message = "the bill could not be stored; the response is incomplete";
            Error::new(Code::BillUnsafe, message).with_executed(Executed::Yes)
        };
        send_result.map_err(|_| storage_failed())?;
        reply_receiver.recv_timeout(self.store_timeout).map_err(|_| storage_failed())
    }

    /// Writes all bills and waits. Returns whether each bill was written or is held by another
    /// host.
    pub fn flush(&self) -> bool {
        let (reply_sender, reply_receiver) = flume::bounded(1);
        self.sender.send(BillMsg::Flush(reply_sender)).is_ok()
            && reply_receiver.recv().unwrap_or(false)
    }
}

/// The thread that passes messages to the replicator and executes its actions.
pub struct ReplicatorThread {
    /// Replicator that decides when bills are sent to a holder or written.
    pub replicator: BillReplicator,
    /// Clock whose time is passed to the replicator.
    pub clock: Clock,
    /// Jobs for the thread that calls other hosts.
    pub jobs: Sender<PeerJob>,
    /// Messages to the control thread.
    pub control: Sender<ControlMsg>,
    /// Segments for the writer thread.
    pub segments: Sender<Segment>,
}

/// Senders through which waiting threads are notified.
#[derive(Default)]
struct Waiters {
    /// Requests that wait until their bill is stored in a second place, by bill number.
    replicated: BTreeMap<u64, Sender<()>>,
    /// Threads that wait for the end of a flush.
    flushes: Vec<Sender<bool>>,
}

impl ReplicatorThread {
    /// Handles messages until `Stop` is received or all senders have been dropped.
    pub fn run(mut self, billing: &Billing, messages: Receiver<BillMsg>) {
        let mut waiters = Waiters::default();
        loop {
            match messages.recv_timeout(POLL_INTERVAL) {
                Ok(BillMsg::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(msg) => self.handle_message(msg, &mut waiters),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // Messages that arrived in the meantime are handled first, so that their bills are sent
            // to the holder in the same call.
            while let Ok(msg) = messages.try_recv() {
                match msg {
                    BillMsg::Stop => return,
                    other => self.handle_message(other, &mut waiters),
                }
            }
            let now = self.clock.now();
            for action in self.replicator.poll_actions(now) {
                self.execute(action, &mut waiters);
            }
            billing
                .state
                .is_storage_unavailable
                .store(self.replicator.is_storage_unavailable(now), Ordering::Release);
            billing.state.pending.store(self.replicator.pending() as u64, Ordering::Relaxed);
        }
    }

    /// Passes a message to the replicator and registers who waits for its result.
    fn handle_message(&mut self, msg: BillMsg, waiters: &mut Waiters) {
        let now = self.clock.now();
        match msg {
            BillMsg::Store { bill, replicated } => {
                waiters.replicated.insert(bill.number(), replicated);
                self.replicator.add_bill(bill);
            }
            BillMsg::Hold { call, reply } => {
                // If the calling host no longer waits for the reply, it repeats the call.
                let _ = reply.send(self.replicator.hold_for(call));
            }
            BillMsg::HoldDone { batch, is_held } => self.replicator.hold_done(now, batch, is_held),
            BillMsg::WriteDone { origin, stored } => {
                self.replicator.write_done(now, &origin, stored)
            }
            BillMsg::Holders(holders) => self.replicator.set_holders(holders),
            BillMsg::IncarnationsGone(gone) => self.replicator.take_over(&gone),
            BillMsg::Flush(reply) => {
                waiters.flushes.push(reply);
                self.replicator.flush();
            }
            BillMsg::Stop => {}
        }
    }

    /// Executes an action. Sending to another thread fails only when the process is exiting, so
    /// such errors are ignored.
    fn execute(&self, action: ReplicatorAction, waiters: &mut Waiters) {
        match action {
            ReplicatorAction::Hold { holder, batch, call } => {
                let _ = self.jobs.send(PeerJob::Hold { address: holder, batch, call });
            }
            ReplicatorAction::Write(segment) => {
                let _ = self.segments.send(segment);
            }
            ReplicatorAction::ReleaseResponse(number) => {
                if let Some(replicated) = waiters.replicated.remove(&number) {
                    // The request may have stopped waiting.
                    let _ = replicated.send(());
                }
            }
            ReplicatorAction::CheckGone(incarnations) => {
                let _ = self.control.send(ControlMsg::FindGoneIncarnations { incarnations });
            }
            ReplicatorAction::Flushed(is_safe) => {
                for flush in waiters.flushes.drain(..) {
                    let _ = flush.send(is_safe);
                }
            }
        }
    }
}

/// Writes segments until all senders have been dropped.
pub fn write_loop(
    platform: PlatformClient,
    segments: Receiver<Segment>,
    write_results: Sender<BillMsg>,
    logger: slog::Logger,
) {
    for segment in segments {
        let origin = segment.origin.clone();
        let stored = write_segment(&platform, &segment, &logger);
        if let Err(err) = &stored {
            logging::log(&logger, Event::SegmentFailed, &err.to_string());
            std::thread::sleep(WRITE_RETRY_INTERVAL);
        }
        if write_results.send(BillMsg::WriteDone { origin, stored: stored.ok() }).is_err() {
            return;
        }
    }
}

/// Writes a segment unless its number is taken. Returns the segment that the object API has under
/// this number.
fn write_segment(
    platform: &PlatformClient,
    segment: &Segment,
    logger: &slog::Logger,
) -> Result<Segment> {
    let name = segment.object_name();
    let body = serde_json::to_string(segment).expect("a segment can be serialized");
    match platform.write_confirmed(&name, 0, &body) {
        Ok(_) => {
            let text = format!("{name} with {} bills", segment.bills.len());
            logging::log(logger, Event::SegmentWritten, &text);
            Ok(segment.clone())
        }
        Err(err) if err.code == Code::Conflict => {
            let stored = platform.fetch(&name)?;
            let body = stored.body.unwrap_or_default();
            logging::log(logger, Event::SegmentTaken, &name);
            serde_json::from_str(&body).map_err(|err| Error::new(Code::Internal, err.to_string()))
        }
        Err(err) => Err(err),
    }
}

/// Reads all segments of the ledger. Returns them by object name.
pub fn read_ledger(platform: &PlatformClient) -> Result<BTreeMap<String, Segment>> {
    let list = platform.list(LEDGER_PREFIX)?;
    let mut segments = BTreeMap::new();
    for object in list.objects {
        let body = object.body.unwrap_or_default();
        let segment = serde_json::from_str(&body)
            .map_err(|err| Error::new(Code::Internal, format!("{}: {err}", object.name)))?;
        segments.insert(object.name, segment);
    }
    Ok(segments)
}
