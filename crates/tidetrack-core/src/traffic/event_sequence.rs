//! The position of an event stream that may continue at another endpoint.
//!
//! A faulty endpoint may send an event with a wrong id. If the stream were resumed after that id, the
//! caller would miss events, or get some twice, and the response would still look complete. So an id
//! becomes the position after which a stream is resumed only if it is the expected one, or once it is
//! confirmed by the event after it or by the end of the response.
//!
//! Services number their events differently, so the numbering is learned: from the stream itself and
//! from earlier streams of its service ([`EventNumbering`]). An event that does not continue the
//! numbering is held back until it is confirmed. In a stream without a regular numbering nothing is held
//! back; its position stays one event behind, and the events that the caller has received beyond it are
//! left out of the response that resumes the stream.

use std::collections::VecDeque;
use std::fmt;

use super::event_numbering::{EventNumbering, NumberingObservation};

/// Maximum number of events that are held back.
const MAX_HELD_EVENTS: usize = 3;

/// Why the response of an endpoint cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceError {
    /// An event does not have a larger id than one before it.
    NotRising {
        /// Id of the event.
        id: u64,
        /// Id of the earlier event.
        after: u64,
    },
    /// The response that resumes the stream begins with another event than the next one; `None` if that
    /// event has no id.
    WrongStart {
        /// Id of the first event.
        id: Option<u64>,
        /// Position after which the stream was resumed.
        after: u64,
    },
    /// The response ended before events that an earlier endpoint sent.
    EndedEarly,
    /// The connection ended after an event whose id was not confirmed.
    Unconfirmed,
}

impl fmt::Display for SequenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SequenceError::NotRising { id, after } => {
                write!(f, "event id {id} was received after id {after}")
            }
            SequenceError::WrongStart { id: Some(id), after } => {
                write!(f, "the stream resumed after event {after} begins with event {id}")
            }
            SequenceError::WrongStart { id: None, after } => {
                write!(f, "the stream resumed after event {after} begins with an event without a valid id")
            }
            SequenceError::EndedEarly => {
                f.write_str("the stream ended before events that another endpoint sent")
            }
            SequenceError::Unconfirmed => {
                f.write_str("the connection ended after an event whose id was not confirmed")
            }
        }
    }
}

/// An event with its id; `None` if it has none or one that is not a number.
#[derive(Debug)]
struct NumberedEvent<T> {
    id: Option<u64>,
    event: T,
}

/// An id that has been released to the caller and is not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedId {
    id: u64,
    /// Number of events that the present endpoint sent after the position, up to this one.
    passed: usize,
}

/// A jump that an endpoint began its resumed response with, or sent last.
#[derive(Debug)]
struct ReportedJump {
    id: u64,
    source: String,
}

/// The events of one stream, in the order in which the caller receives them. `T` is an event.
///
/// Received events are added with [`push`](Self::push), and those that the caller may receive are taken
/// with [`pop`](Self::pop). After an error the stream continues only with [`resume`](Self::resume).
#[derive(Debug)]
pub struct EventSequence<T> {
    numbering: EventNumbering,
    /// Whether events that do not continue the numbering are held back.
    is_checked: bool,
    /// Difference between the ids of consecutive events.
    step: u64,
    /// Whether an event after the first had the expected id.
    has_regular_step: bool,
    /// Whether events without an id are sent between consecutive ids.
    has_unnumbered_events: bool,
    has_numbered_events: bool,
    /// The last trusted id: the point after which the stream can be resumed.
    position: Option<u64>,
    /// Number of events that the present endpoint sent after the position, without the held ones.
    passed: usize,
    /// Number of events after the position that were released to the caller, from any endpoint.
    released: usize,
    /// The last id, in a stream in which nothing is held back.
    unconfirmed: Option<UnconfirmedId>,
    /// Events that wait for their confirmation.
    held: Vec<NumberedEvent<T>>,
    /// Events that the caller may receive.
    ready: VecDeque<T>,
    /// Name of the present endpoint.
    source: String,
    /// Whether the present endpoint resumed the stream.
    is_resumed: bool,
    /// Number of events received from the present endpoint.
    received: usize,
    /// Number of them up to the position.
    confirmed: usize,
    /// Number of events after the point of the last resumption that an earlier endpoint sent.
    expected: usize,
    reported_jump: Option<ReportedJump>,
    /// The ids of the first events, up to three.
    first_ids: Vec<u64>,
    /// Whether the first events of the whole stream, with ids, were received.
    has_stream_start: bool,
    /// Whether the last id is not the expected one, in a stream in which nothing is held back.
    may_have_jumped: bool,
    /// Whether a jump was confirmed.
    has_jumped: bool,
    observations: Vec<NumberingObservation>,
}

impl<T> EventSequence<T> {
    /// Creates the sequence of a stream that begins after the event with id `after`, or with the first event.
    /// `source` is the name of the endpoint. Events are held back only if the stream can be resumed.
    pub fn new(
        numbering: EventNumbering,
        after: Option<u64>,
        is_resumable: bool,
        source: impl Into<String>,
    ) -> EventSequence<T> {
        EventSequence {
            is_checked: is_resumable && numbering.is_reliable(),
            step: numbering.step(),
            has_regular_step: false,
            has_unnumbered_events: false,
            has_numbered_events: false,
            position: after,
            passed: 0,
            released: 0,
            unconfirmed: None,
            held: Vec::new(),
            ready: VecDeque::new(),
            source: source.into(),
            is_resumed: false,
            received: 0,
            confirmed: 0,
            expected: 0,
            reported_jump: None,
            first_ids: Vec::new(),
            has_stream_start: after.is_none(),
            may_have_jumped: false,
            has_jumped: false,
            observations: Vec::new(),
            numbering,
        }
    }

    /// Returns the id of the event after which the stream can be resumed; `None` if it can only be started
    /// again.
    pub fn resume_point(&self) -> Option<u64> {
        self.position
    }

    /// Removes and returns the next event that the caller may receive.
    pub fn pop(&mut self) -> Option<T> {
        self.ready.pop_front()
    }

    /// Removes and returns what the stream has shown of its service's numbering since the last call.
    pub fn take_observations(&mut self) -> Vec<NumberingObservation> {
        std::mem::take(&mut self.observations)
    }

    /// Adds an event of the present endpoint. `id` is `None` if the event has none that is a number.
    pub fn push(&mut self, id: Option<u64>, event: T) -> Result<(), SequenceError> {
        self.received += 1;
        self.observe_start(id);
        let event = NumberedEvent { id, event };
        if !self.is_checked {
            return self.push_unchecked(event);
        }
        if self.held.is_empty() {
            return self.push_checked(event);
        }
        self.check_rising(event.id)?;
        self.held.push(event);
        self.confirm_held()
    }

    /// Ends the response of the present endpoint. `is_proven` says whether the endpoint marked the end, so
    /// that it was not just the connection that ended.
    pub fn end(&mut self, is_proven: bool) -> Result<(), SequenceError> {
        if !self.held.is_empty() && !is_proven {
            return Err(SequenceError::Unconfirmed);
        }
        if self.received < self.expected {
            return Err(SequenceError::EndedEarly);
        }
        if self.is_resumed
            && self.received == 1
            && self.held.first().is_some_and(|h| h.id.is_none())
        {
            return Err(self.wrong_start(None));
        }
        self.release_held();
        if !self.has_jumped && self.has_numbered_events {
            self.observations.push(NumberingObservation::End);
        }
        Ok(())
    }

    /// Continues with the response of another endpoint, which resumes the stream after
    /// [`resume_point`](Self::resume_point).
    pub fn resume(&mut self, source: impl Into<String>) {
        let sent = self.passed + self.held.len();
        self.expected = self.expected.saturating_sub(self.confirmed).max(sent).max(self.released);
        if let Some(id) = self.held.first().and_then(|h| h.id).filter(|_| self.passed == 0) {
            self.reported_jump = Some(ReportedJump { id, source: self.source.clone() });
        }
        self.held.clear();
        self.source = source.into();
        self.is_resumed = true;
        (self.received, self.confirmed, self.passed) = (0, 0, 0);
        (self.unconfirmed, self.may_have_jumped) = (None, false);
    }

    /// Adds an event to a stream in which nothing is held back.
    fn push_unchecked(&mut self, event: NumberedEvent<T>) -> Result<(), SequenceError> {
        self.check_rising(event.id)?;
        if let Some(id) = event.id {
            let previous = self.unconfirmed.take();
            if let Some(previous) = previous {
                self.position = Some(previous.id);
                self.passed -= previous.passed;
                self.released -= previous.passed;
                self.confirmed = self.received - 1 - self.passed;
            }
            if self.may_have_jumped {
                self.record_jump();
            }
            self.has_numbered_events = true;
            if self.is_next(id, self.passed) {
                self.release(event);
                self.trust(id);
                return Ok(());
            }
            self.may_have_jumped = self.position.is_some();
            self.unconfirmed = Some(UnconfirmedId { id, passed: self.passed + 1 });
        }
        self.release(event);
        Ok(())
    }

    /// Adds an event while none is held.
    fn push_checked(&mut self, event: NumberedEvent<T>) -> Result<(), SequenceError> {
        self.check_rising(event.id)?;
        let is_resumed_start = self.is_resumed && self.received == 1;
        let Some(id) = event.id else {
            // It may be the first event of the whole stream.
            if is_resumed_start && self.has_numbered_events {
                self.held.push(event);
            } else if self.has_unnumbered_events {
                self.ready.push_back(event.event);
            } else {
                self.release(event);
            }
            return Ok(());
        };
        let is_first = !self.has_numbered_events && self.position.is_none();
        self.has_numbered_events = true;
        if self.is_next(id, self.passed) {
            self.has_regular_step |= !is_first;
            self.release(event);
            self.trust(id);
            return Ok(());
        }
        if self.is_next(id, 0) {
            // The events without an id since the position are not counted in the numbering.
            self.has_unnumbered_events = true;
            self.released = self.released.saturating_sub(self.passed);
            self.passed = 0;
            self.release(event);
            self.trust(id);
            return Ok(());
        }
        let is_known_jump = self
            .reported_jump
            .as_ref()
            .is_some_and(|jump| jump.id == id && jump.source != self.source);
        if is_resumed_start && self.has_regular_step && !is_known_jump {
            self.reported_jump = Some(ReportedJump { id, source: self.source.clone() });
            return Err(self.wrong_start(Some(id)));
        }
        self.held.push(event);
        Ok(())
    }

    /// Releases the held events if the last one confirms them.
    fn confirm_held(&mut self) -> Result<(), SequenceError> {
        let (last, earlier) = match self.held.split_last() {
            Some((last, earlier)) => (last, earlier),
            None => return Ok(()),
        };
        let Some(id) = last.id else {
            let is_numbered = earlier.iter().any(|h| h.id.is_some());
            return match is_numbered || self.has_unnumbered_events {
                true => self.limit_held(),
                false => Err(self.wrong_start(None)),
            };
        };
        self.has_numbered_events = true;
        let numbered: Vec<(usize, u64)> =
            earlier.iter().enumerate().filter_map(|(i, h)| Some((i, h.id?))).collect();
        let Some((at, previous)) = numbered.last().copied() else {
            return self.confirm_unnumbered_start(id);
        };
        let count = (earlier.len() - at) as u64;
        let before = numbered.len().checked_sub(2).map(|i| numbered[i].1).or(self.position);
        let is_new_step = !self.has_regular_step
            && before.is_some_and(|before| id - previous == previous - before);
        let continues = follows(previous, self.step, count, id);
        if !continues && !is_new_step {
            return self.limit_held();
        }
        if !continues {
            self.step = id - previous;
        }
        // A stream whose numbering was not known yet shows no jump.
        if (continues && self.position.is_some()) || self.numbering.has_known_step() {
            self.record_jump();
        }
        self.release_held();
        self.trust(id);
        Ok(())
    }

    /// Releases the held events, which have no ids and begin a resumed response, if the next id, of the last
    /// one, confirms that the response begins at the right place.
    fn confirm_unnumbered_start(&mut self, id: u64) -> Result<(), SequenceError> {
        if self.is_next(id, self.held.len() - 1) {
            self.release_held();
        } else if self.is_next(id, 0) {
            // Events without an id are not counted in the numbering.
            self.has_unnumbered_events = true;
            let last = self.held.pop();
            self.ready.extend(self.held.drain(..).map(|h| h.event));
            last.into_iter().for_each(|last| self.release(last));
        } else {
            return Err(self.wrong_start(Some(id)));
        }
        self.trust(id);
        Ok(())
    }

    /// Stops to hold events back if there are too many.
    fn limit_held(&mut self) -> Result<(), SequenceError> {
        if self.held.len() < MAX_HELD_EVENTS {
            return Ok(());
        }
        self.record_jump();
        self.is_checked = false;
        let held = std::mem::take(&mut self.held);
        self.received -= held.len();
        for event in held {
            self.received += 1;
            self.push_unchecked(event)?;
        }
        Ok(())
    }

    /// Fails if an id is not larger than the last one.
    fn check_rising(&self, id: Option<u64>) -> Result<(), SequenceError> {
        let held = self.held.iter().rev().find_map(|h| h.id);
        let last = held.or(self.unconfirmed.map(|u| u.id)).or(self.position);
        match (id, last) {
            (Some(id), Some(after)) if id <= after => Err(SequenceError::NotRising { id, after }),
            _ => Ok(()),
        }
    }

    /// Reports whether an id is the expected one of the event that comes after `passed` others since the
    /// position.
    fn is_next(&self, id: u64, passed: usize) -> bool {
        match self.position {
            Some(position) => follows(position, self.step, passed as u64 + 1, id),
            None => {
                let skipped = (passed as u64).checked_mul(self.step);
                skipped
                    .and_then(|n| id.checked_sub(n))
                    .is_some_and(|id| self.numbering.is_first(id))
            }
        }
    }

    /// Makes the last received event, which was released, the position.
    fn trust(&mut self, id: u64) {
        self.position = Some(id);
        self.released = self.released.saturating_sub(self.passed);
        self.passed = 0;
        self.confirmed = self.received;
    }

    fn release_held(&mut self) {
        for event in std::mem::take(&mut self.held) {
            self.release(event);
        }
    }

    /// Releases an event, unless the caller has received it from an earlier endpoint.
    fn release(&mut self, event: NumberedEvent<T>) {
        self.passed += 1;
        if self.passed > self.released {
            self.released = self.passed;
            self.ready.push_back(event.event);
        }
    }

    fn wrong_start(&self, id: Option<u64>) -> SequenceError {
        SequenceError::WrongStart { id, after: self.position.unwrap_or_default() }
    }

    /// Records the ids of the first events, as far as they are those of the whole stream.
    fn observe_start(&mut self, id: Option<u64>) {
        if !self.has_stream_start || self.is_resumed || self.first_ids.len() >= 3 {
            return;
        }
        match id {
            Some(id) => self.first_ids.push(id),
            None => self.has_stream_start = false,
        }
        if let [first, second, third] = self.first_ids[..] {
            if first < second && second < third {
                let step = (second - first == third - second).then_some(second - first);
                self.observations.push(NumberingObservation::Start { first, step });
            }
        }
    }

    fn record_jump(&mut self) {
        self.has_jumped = true;
        self.may_have_jumped = false;
        self.observations.push(NumberingObservation::Jump);
    }
}

/// Reports whether `id` is `count` steps after `from`.
fn follows(from: u64, step: u64, count: u64, id: u64) -> bool {
    step.checked_mul(count).and_then(|distance| from.checked_add(distance)) == Some(id)
}
