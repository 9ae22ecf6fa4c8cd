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

use crate::control::Msg;
use crate::logging;
use crate::peers::Job;
use crate::shared::Clock;

/// Pause of the loop when nothing comes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// When to come back while no bill can be kept safe, in milliseconds.
const STORAGE_RETRY_AFTER_MS: u64 = 1_000;

/// Pause of the writer after a failed write.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Messages for the keeper of the bills.
pub enum BillMsg {
    /// Keep a bill safe.
    Store {
        /// The bill.
        bill: Bill,
        /// Told once it is safe.
        replicated: Sender<()>,
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
        is_held: bool,
    },
    /// A write of a segment ended.
    WriteDone {
        /// Whose segment.
        origin: Incarnation,
        /// What stored under its number, if that is known.
        stored: Option<Segment>,
    },
    /// Who may hold this host's bills from now on, best first.
    Holders(Vec<Holder>),
    /// Incarnations that are gone.
    IncarnationsGone(Vec<Incarnation>),
    /// Write everything now and tell when it stored or is held.
    Flush(Sender<bool>),
    /// Ends the thread.
    Stop,
}

/// A handle on the keeper of the bills.
#[derive(Clone)]
pub struct Billing {
    sender: Sender<BillMsg>,
    state: Arc<BillState>,
    store_timeout: Duration,
}

#[derive(Default)]
struct BillState {
    pending: AtomicU64,
    is_storage_unavailable: AtomicBool,
}

impl Billing {
    /// Makes a handle; the thread takes the other end.
    pub fn new(store_timeout: Duration) -> (Billing, Receiver<BillMsg>) {
        let (sender, receiver) = flume::unbounded();
        (Billing { sender, state: Arc::default(), store_timeout }, receiver)
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
        match self.state.is_storage_unavailable.load(Ordering::Acquire) {
            false => Ok(()),
            true => {
                let message = "no place to keep the bill can be reached";
                Err(Error::new(Code::BillUnsafe, message).with_retry_after(STORAGE_RETRY_AFTER_MS))
            }
        }
    }

    /// Keeps a bill safe; gives up waiting after a while, the bill stays due.
    pub fn store(&self, bill: Bill) -> Result<()> {
        let (reply_sender, reply_receiver) = flume::bounded(1);
        let send_result = self.sender.send(BillMsg::Store { bill, replicated: reply_sender });
        let storage_failed = || {
            let message = "the bill could not be made safe; the answer is not finished";
            Error::new(Code::BillUnsafe, message).with_executed(Executed::Yes)
        };
        send_result.map_err(|_| storage_failed())?;
        reply_receiver.recv_timeout(self.store_timeout).map_err(|_| storage_failed())
    }

    /// Writes everything; tells whether it stored or is held by another host.
    pub fn flush(&self) -> bool {
        let (reply_sender, reply_receiver) = flume::bounded(1);
        self.sender.send(BillMsg::Flush(reply_sender)).is_ok()
            && reply_receiver.recv().unwrap_or(false)
    }
}

/// The thread round the keeper.
pub struct ReplicatorThread {
    /// The keeper.
    pub replicator: BillReplicator,
    /// The clock.
    pub clock: Clock,
    /// Calls to other hosts.
    pub jobs: Sender<Job>,
    /// The control thread.
    pub control: Sender<Msg>,
    /// The writer of segments.
    pub segments: Sender<Segment>,
}

#[derive(Default)]
struct Waiters {
    replicated: BTreeMap<u64, Sender<()>>,
    flushes: Vec<Sender<bool>>,
}

impl ReplicatorThread {
    /// Takes messages until told to stop.
    pub fn run(mut self, billing: &Billing, messages: Receiver<BillMsg>) {
        let mut waiters = Waiters::default();
        loop {
            match messages.recv_timeout(POLL_INTERVAL) {
                Ok(BillMsg::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(msg) => self.handle_message(msg, &mut waiters),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // What came meanwhile goes into the same call to the holder.
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

    fn handle_message(&mut self, msg: BillMsg, waiters: &mut Waiters) {
        let now = self.clock.now();
        match msg {
            BillMsg::Store { bill, replicated } => {
                waiters.replicated.insert(bill.number(), replicated);
                self.replicator.add_bill(bill);
            }
            BillMsg::Hold { call, reply } => {
                // A host that no longer waits calls again.
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

    /// Carries out an action. The other threads are gone only when the process ends.
    fn execute(&self, action: ReplicatorAction, waiters: &mut Waiters) {
        match action {
            ReplicatorAction::Hold { holder, batch, call } => {
                let _ = self.jobs.send(Job::Hold { address: holder, batch, call });
            }
            ReplicatorAction::Write(segment) => {
                let _ = self.segments.send(segment);
            }
            ReplicatorAction::ReleaseResponse(number) => {
                if let Some(replicated) = waiters.replicated.remove(&number) {
                    // A request that stopped waiting is told in vain.
                    let _ = replicated.send(());
                }
            }
            ReplicatorAction::CheckGone(of) => {
                let _ = self.control.send(Msg::Gone { of });
            }
            ReplicatorAction::Flushed(is_safe) => {
                for flush in waiters.flushes.drain(..) {
                    let _ = flush.send(is_safe);
                }
            }
        }
    }
}

/// Writes segments until all senders are gone.
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

/// Creates a segment if absent; gets what stored under its number.
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
        Err(err) if err.code == Code::Conflict => {
            let stored = platform.fetch(&name)?;
            let body = stored.body.unwrap_or_default();
            logging::log(logger, Event::SegmentTaken, &name);
            serde_json::from_str(&body).map_err(|err| Error::new(Code::Internal, err.to_string()))
        }
        Err(err) => Err(err),
    }
}

/// Reads all segments of the ledger, by name.
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
