//! The control thread: owns the beliefs, publishes views, and talks with the store.

use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use tidetrack_core::codes::Code;
use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::{Action, Beliefs, Input};
use tidetrack_core::traffic::trial::ProgressWrite;

use crate::shared::SharedRef;
use crate::store::Store;
use crate::watch::Watches;

/// How often the beliefs are told that time has passed.
const TICK: Duration = Duration::from_millis(100);

/// Runs the control thread until the process ends.
pub fn run(shared: SharedRef, inputs: Receiver<Input>) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_io().enable_time().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let store = Rc::new(Store::new(shared.clone()));
        Watches::start(shared.clone(), store.clone());
        let mut beliefs = Beliefs::new(shared.settings.host.clone());
        loop {
            let input = match tokio::time::timeout(TICK, inputs.recv_async()).await {
                Ok(Ok(input)) => input,
                Ok(Err(_)) => return,
                Err(_) => Input::Tick,
            };
            for action in beliefs.take(shared.now(), input) {
                carry_out(&shared, &store, action);
            }
        }
    });
    Ok(())
}

fn carry_out(shared: &SharedRef, store: &Rc<Store>, action: Action) {
    match action {
        Action::Publish(view) => shared.view.store(view),
        Action::Note(event, text) => shared.journal.line(event, &[("detail", &text)]),
        Action::Write(write) => {
            tokio::task::spawn_local(write_progress(shared.clone(), store.clone(), write));
        }
    }
}

/// Writes a roll-out's progress. The watch tells what came of it; another host may have been first.
async fn write_progress(shared: SharedRef, store: Rc<Store>, write: ProgressWrite) {
    let call = (shared.dialect.store.write_progress)(&write);
    let result = store.call(&call, Duration::ZERO).await;
    let state = format!("{:?}", write.progress.state);
    let fields: [(&'static str, &dyn std::fmt::Display); 4] = [
        ("service", &write.service),
        ("version", &write.progress.version),
        ("state", &state),
        ("revision", &write.revision),
    ];
    match result {
        Ok(_) => shared.journal.line(Event::ProgressWritten, &fields),
        Err(e) if e.code == Code::Conflict => {
            shared.journal.routine(Event::ProgressLost, &fields);
        }
        Err(e) => {
            let [service, version, state, revision] = fields;
            let why = ("why", &e as &dyn std::fmt::Display);
            shared
                .journal
                .line(Event::ProgressLost, &[service, version, state, revision, why]);
        }
    }
}
