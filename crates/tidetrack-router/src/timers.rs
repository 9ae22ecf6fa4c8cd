//! Timer service: one thread that runs closures when they are due.
//!
//! Other modules subscribe with a period or schedule a single call after a delay. All closures
//! share the thread, so they must be short: a closure sends a message to another thread for work
//! that takes longer.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError, Sender};

type Job = Box<dyn FnMut() -> Reschedule + Send>;

/// Whether and when a job runs again.
enum Reschedule {
    After(Duration),
    Never,
}

enum Command {
    Add(u64, Instant, Job),
    Cancel(u64),
}

/// Identifies a scheduled call, so that it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(u64);

/// Handle of the timer service. The service ends when the last handle is dropped.
#[derive(Clone)]
pub struct Timers {
    commands: Sender<Command>,
    next_id: Arc<AtomicU64>,
}

impl Timers {
    /// Starts the timer thread. Returns an error if the thread cannot be started.
    pub fn start() -> std::io::Result<Timers> {
        let (tx, rx) = flume::unbounded();
        let thread = std::thread::Builder::new().name("timers".into()).stack_size(64 * 1024);
        thread.spawn(move || run(rx))?;
        Ok(Timers { commands: tx, next_id: Arc::default() })
    }

    /// Calls `f` every `period` for as long as it returns `true`.
    pub fn subscribe(&self, period: Duration, mut f: impl FnMut() -> bool + Send + 'static) {
        let job = move || if f() { Reschedule::After(period) } else { Reschedule::Never };
        self.schedule(Instant::now() + period, Box::new(job));
    }

    /// Calls `f` once after `delay`. The returned ID cancels the call.
    pub fn run_after(&self, delay: Duration, f: impl FnOnce() + Send + 'static) -> TimerId {
        let mut f = Some(f);
        let job = move || {
            if let Some(f) = f.take() {
                f();
            }
            Reschedule::Never
        };
        self.schedule(Instant::now() + delay, Box::new(job))
    }

    /// Cancels a call that has not been made yet.
    pub fn cancel(&self, id: TimerId) {
        // If the service has ended, it makes no more calls.
        let _ = self.commands.send(Command::Cancel(id.0));
    }

    fn schedule(&self, due_at: Instant, job: Job) -> TimerId {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let _ = self.commands.send(Command::Add(id, due_at, job));
        TimerId(id)
    }
}

struct ScheduledJob {
    due_at: Instant,
    id: u64,
    job: Job,
}

impl PartialEq for ScheduledJob {
    fn eq(&self, other: &Self) -> bool {
        (self.due_at, self.id) == (other.due_at, other.id)
    }
}

impl Eq for ScheduledJob {}

impl PartialOrd for ScheduledJob {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledJob {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due_at, self.id).cmp(&(other.due_at, other.id))
    }
}

fn run(commands: Receiver<Command>) {
    let mut queue: BinaryHeap<Reverse<ScheduledJob>> = BinaryHeap::new();
    let mut pending: HashSet<u64> = HashSet::new();
    loop {
        let command = match queue.peek() {
            Some(Reverse(earliest)) => commands.recv_deadline(earliest.due_at),
            None => commands.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match command {
            Ok(Command::Add(id, due_at, job)) => {
                pending.insert(id);
                queue.push(Reverse(ScheduledJob { due_at, id, job }));
            }
            Ok(Command::Cancel(id)) => {
                pending.remove(&id);
            }
            Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => run_earliest(&mut queue, &mut pending),
        }
    }
}

fn run_earliest(queue: &mut BinaryHeap<Reverse<ScheduledJob>>, pending: &mut HashSet<u64>) {
    let Some(Reverse(mut scheduled)) = queue.pop() else { return };
    if !pending.contains(&scheduled.id) {
        return;
    }
    match (scheduled.job)() {
        // The period starts now, so that periods missed during a pause of the process are skipped.
        Reschedule::After(period) => {
            queue.push(Reverse(ScheduledJob { due_at: Instant::now() + period, ..scheduled }))
        }
        Reschedule::Never => {
            pending.remove(&scheduled.id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_run_in_order_of_due_time_and_cancelled_calls_do_not_run() {
        let timers = Timers::start().expect("the timer thread starts");
        let (tx, rx) = flume::unbounded();
        let send = |n: u32| {
            let tx = tx.clone();
            move || tx.send(n).expect("the receiver is alive")
        };
        timers.run_after(Duration::from_millis(40), send(2));
        let cancelled = timers.run_after(Duration::from_millis(20), send(9));
        timers.run_after(Duration::from_millis(1), send(1));
        timers.cancel(cancelled);
        assert_eq!((rx.recv(), rx.recv()), (Ok(1), Ok(2)));
    }

    #[test]
    fn subscription_ends_when_closure_returns_false() {
        let timers = Timers::start().expect("the timer thread starts");
        let (tx, rx) = flume::unbounded();
        let mut remaining = 3;
        timers.subscribe(Duration::from_millis(1), move || {
            remaining -= 1;
            tx.send(remaining).expect("the receiver is alive");
            remaining > 0
        });
        assert_eq!(rx.iter().collect::<Vec<_>>(), [2, 1, 0]);
    }
}
