//! The response of one endpoint to a stream, read event by event.

use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::Incoming;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::{format_error_chain, DisconnectCause};
use tidetrack_core::errors::{Error, Result};

use crate::attempt::EndpointResponse;
use crate::events::{EventSplitter, StreamEvent};
use crate::job::ChosenEndpoint;
use crate::pending_work::PendingWork;
use crate::pool::{disconnect_cause, Lease};

/// An endpoint's response that events are read from.
pub(super) struct Source {
    pub(super) body: Incoming,
    /// Whether the complete response proves that the request was executed from beginning to end.
    pub(super) proves_completion: bool,
    /// Whether the response ends with its connection, and does not mark its end.
    pub(super) ends_with_connection: bool,
    pub(super) lease: Lease,
    pub(super) idle_time: Option<Duration>,
    pub(super) chosen: ChosenEndpoint,
    pub(super) work_share: Option<PendingWork>,
    pub(super) splitter: EventSplitter,
    pub(super) sent_at: Instant,
    pub(super) first_event_at: Option<Instant>,
    pub(super) event_count: u32,
    /// Whether the pace of this response was already reported.
    pub(super) is_pace_reported: bool,
}

/// The next element of a stream.
pub(super) enum StreamItem {
    Event(StreamEvent),
    End,
}

impl Source {
    /// Creates the source of a response that continues after the event with id `resumed_after`; `None` if
    /// it is a whole one.
    pub(super) fn new(
        response: EndpointResponse,
        chosen: ChosenEndpoint,
        work_share: PendingWork,
        sent_at: Instant,
        resumed_after: Option<u64>,
    ) -> (http::response::Parts, Source) {
        // The endpoint may not get as far as to crash if little is left of the response.
        let proves_completion = response.proves_completion() && resumed_after.is_none();
        let ends_with_connection = response.ends_with_connection();
        let EndpointResponse { head, facts, body, lease } = response;
        let source = Source {
            proves_completion,
            ends_with_connection,
            body,
            lease,
            idle_time: facts.idle_time,
            chosen,
            work_share: Some(work_share),
            splitter: EventSplitter::default(),
            sent_at,
            first_event_at: None,
            event_count: 0,
            is_pace_reported: false,
        };
        (head, source)
    }

    /// Closes the connection, which makes the endpoint stop its work.
    pub(super) fn close(&mut self) {
        self.lease.close();
        self.work_share = None;
    }

    pub(super) async fn next(&mut self) -> Result<StreamItem> {
        let make_error =
            |text: String| Error::new(Code::EndpointFailed, text).with_executed(Executed::Yes);
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.event_count += 1;
                self.first_event_at.get_or_insert_with(Instant::now);
                return Ok(StreamItem::Event(event));
            }
            if self.splitter.is_overlong() {
                return Err(make_error("an event of the stream exceeds the maximum size".into()));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Some(Err(e)) => {
                    return Err(make_error(format_error_chain(&e))
                        .with_disconnect_cause(disconnect_cause(&e)))
                }
                None if self.splitter.has_partial_event() => {
                    return Err(make_error("the stream ended in the middle of an event".into())
                        .with_disconnect_cause(DisconnectCause::Closed));
                }
                None => return Ok(StreamItem::End),
            }
        }
    }

    pub(super) fn mean_gap_ms(&self) -> Option<f64> {
        let first_event_at = self.first_event_at?;
        let gap_count = self.event_count.checked_sub(1).filter(|n| *n >= 2)?;
        Some(first_event_at.elapsed().as_secs_f64() * 1_000.0 / f64::from(gap_count))
    }
}
