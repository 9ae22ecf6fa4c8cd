//! Which events of a stream are passed on, and after which one it may be resumed.

use tidetrack_core::traffic::event_numbering::EventNumbering;
use tidetrack_core::traffic::event_sequence::{EventSequence, SequenceError};

/// A service whose streams are played one after another.
#[derive(Default)]
struct Service {
    numbering: EventNumbering,
}

/// A stream of which event n is the number n.
struct Stream<'a> {
    service: &'a mut Service,
    sequence: EventSequence<u64>,
    received: Vec<u64>,
    /// Number of events that were not passed on at once.
    held_count: usize,
}

impl Service {
    fn stream(&mut self, after: Option<u64>) -> Stream<'_> {
        let sequence = EventSequence::new(self.numbering.clone(), after, true, "a");
        Stream { service: self, sequence, received: Vec::new(), held_count: 0 }
    }

    /// Plays a whole sound stream and returns the number of events that were not passed on at once.
    fn play(&mut self, ids: &[Option<u64>]) -> usize {
        let mut stream = self.stream(None);
        stream.push_all(1, ids).expect("the stream is sound");
        stream.end().expect("the stream is sound");
        assert_eq!(stream.received, (1..=ids.len() as u64).collect::<Vec<_>>());
        stream.held_count
    }
}

impl Stream<'_> {
    fn push(&mut self, id: Option<u64>, n: u64) -> Result<(), SequenceError> {
        let before = self.received.len();
        self.sequence.push(id, n)?;
        self.take();
        self.held_count += usize::from(self.received.len() == before);
        Ok(())
    }

    fn take(&mut self) {
        while let Some(n) = self.sequence.pop() {
            self.received.push(n);
        }
        let observations = self.sequence.take_observations();
        observations.into_iter().for_each(|o| self.service.numbering.record(o));
    }

    /// Pushes events with these ids, the first of which is event `first`.
    fn push_all(&mut self, first: u64, ids: &[Option<u64>]) -> Result<(), SequenceError> {
        (first..).zip(ids).try_for_each(|(n, id)| self.push(*id, n))
    }

    fn end(&mut self) -> Result<(), SequenceError> {
        self.sequence.end(true)?;
        self.take();
        Ok(())
    }
}

fn ids(from: u64, to: u64) -> Vec<Option<u64>> {
    (from..=to).map(Some).collect()
}

fn every(step: u64) -> Vec<Option<u64>> {
    (1..=9).map(|n| Some(n * step)).collect()
}

#[test]
fn streams_without_a_regular_numbering_are_not_held_back_once_it_is_known() {
    let squares: Vec<_> = (1..=9u64).map(|n| Some(n * n + 2)).collect();
    let jump_once: Vec<_> = (1..=9u64).map(|n| Some(if n < 5 { n } else { n + 7 })).collect();

    for (ids, first_held) in [(every(10), 2), (squares, 2), (jump_once, 1), (vec![None; 9], 0)] {
        let mut service = Service::default();
        let held: Vec<usize> = (0..5).map(|_| service.play(&ids)).collect();

        assert_eq!(held, [first_held, 0, 0, 0, 0], "{ids:?}");
    }
}

#[test]
fn a_service_with_a_regular_numbering_is_checked_again_after_a_stream_that_jumped() {
    let mut service = Service::default();
    let jump_once = [ids(1, 4), ids(9, 12)].concat();

    service.play(&jump_once);
    let held: Vec<usize> =
        (0..10).map(|_| [service.play(&ids(1, 9)), service.stream(None).play_jump()][1]).collect();

    assert_eq!(held.iter().position(|held| *held > 0), Some(7), "{held:?}");
}

impl Stream<'_> {
    /// Returns the number of events that are held back after a jump which nothing confirms.
    fn play_jump(mut self) -> usize {
        self.push_all(1, &[Some(1), Some(2), Some(7)]).expect("the ids rise");
        self.held_count
    }
}

#[test]
fn only_confirmed_ids_are_points_of_resumption() {
    let mut service = Service::default();
    let mut stream = service.stream(None);

    stream.push_all(1, &ids(1, 9)).expect("the ids rise");
    stream.push(Some(15), 10).expect("the ids rise");
    let contradiction = stream.push(Some(11), 11);

    assert_eq!(contradiction, Err(SequenceError::NotRising { id: 11, after: 15 }));
    assert_eq!(stream.sequence.resume_point(), Some(9));
    assert_eq!(stream.received, (1..=9).collect::<Vec<_>>());
}

#[test]
fn two_wrong_ids_in_a_row_do_not_confirm_each_other() {
    for wrong in [[15, 40], [15, 21]] {
        let mut service = Service::default();
        let mut stream = service.stream(None);

        stream.push_all(1, &ids(1, 9)).expect("the ids rise");
        stream.push_all(10, &wrong.map(Some)).expect("the ids rise");
        let contradiction = stream.push(Some(12), 12);

        assert!(contradiction.is_err(), "{wrong:?}");
        assert_eq!(stream.sequence.resume_point(), Some(9), "{wrong:?}");
        assert_eq!(stream.received.len(), 9, "{wrong:?}");
    }
}

#[test]
fn events_that_the_caller_has_beyond_the_position_are_left_out_of_the_resumed_response() {
    for spoiled in [vec![None], vec![None, None]] {
        let mut service = Service::default();
        let mut stream = service.stream(None);

        stream.push_all(1, &ids(1, 9)).expect("the ids rise");
        stream.push_all(10, &spoiled).expect("nothing is contradicted");
        assert_eq!(stream.sequence.resume_point(), Some(9));
        stream.sequence.resume("b");
        stream.push_all(10, &ids(10, 14)).expect("the ids rise");
        stream.end().expect("the stream is whole");

        assert_eq!(stream.received, (1..=14).collect::<Vec<_>>(), "{spoiled:?}");
    }
}

#[test]
fn an_interrupted_stream_of_irregular_ids_is_resumed_one_event_behind() {
    let squares = |from: u64| (from..=12).map(|n| Some(n * n)).collect::<Vec<_>>();
    let mut service = Service::default();
    service.play(&squares(1));
    let mut stream = service.stream(None);

    stream.push_all(1, &squares(1)[..7]).expect("the ids rise");
    assert_eq!(stream.sequence.resume_point(), Some(36));
    stream.sequence.resume("b");
    stream.push_all(7, &squares(7)).expect("the ids rise");
    stream.end().expect("the stream is whole");

    assert_eq!(stream.received, (1..=12).collect::<Vec<_>>());
    assert_eq!(stream.held_count, 1, "only the event that the caller had is left out");
}

#[test]
fn a_resumed_response_has_to_begin_with_the_next_event() {
    let starts = [Some(12), Some(50)];
    for start in starts {
        let mut service = Service::default();
        let mut stream = service.stream(None);
        stream.push_all(1, &ids(1, 9)).expect("the ids rise");

        stream.sequence.resume("b");
        let wrong = stream.push(start, 10);
        stream.sequence.resume("b");
        let same_endpoint = stream.push(start, 10);
        stream.sequence.resume("c");
        let other_endpoint = stream.push(start, 10);

        assert_eq!(wrong, Err(SequenceError::WrongStart { id: start, after: 9 }));
        assert_eq!(same_endpoint, wrong);
        assert_eq!(other_endpoint, Ok(()), "two endpoints agree on the next event");
        assert_eq!(stream.received.len(), 9, "the next event is not confirmed");
    }
}

#[test]
fn a_resumed_response_without_an_id_at_its_start_is_confirmed_by_the_next_event() {
    for (second, is_right) in [(11, true), (2, false), (13, false)] {
        let mut service = Service::default();
        let mut stream = service.stream(None);
        stream.push_all(1, &ids(1, 9)).expect("the ids rise");

        stream.sequence.resume("b");
        stream.push(None, 10).expect("nothing is contradicted");
        let pushed = stream.push(Some(second), 11);

        assert_eq!(pushed.is_ok(), is_right, "{second}");
        assert_eq!(stream.received.len(), if is_right { 11 } else { 9 }, "{second}");
    }
}

#[test]
fn a_resumed_response_without_ids_is_not_the_continuation() {
    let mut service = Service::default();
    let mut stream = service.stream(None);
    stream.push_all(1, &ids(1, 9)).expect("the ids rise");

    stream.sequence.resume("b");
    let restarted = stream.push_all(1, &[None, None]);

    assert_eq!(restarted, Err(SequenceError::WrongStart { id: None, after: 9 }));
    assert_eq!(stream.received.len(), 9);
}

#[test]
fn a_resumed_response_that_ends_before_known_events_is_not_the_end() {
    let mut service = Service::default();
    let mut stream = service.stream(None);
    stream.push_all(1, &ids(1, 9)).expect("the ids rise");
    stream.push(Some(15), 10).expect("the ids rise");

    stream.sequence.resume("b");
    let empty = stream.end();
    stream.sequence.resume("c");
    stream.push_all(10, &ids(10, 11)).expect("the ids rise");

    assert_eq!(empty, Err(SequenceError::EndedEarly));
    assert_eq!(stream.end(), Ok(()));
    assert_eq!(stream.received, (1..=11).collect::<Vec<_>>());
}

#[test]
fn an_unconfirmed_id_is_released_by_a_marked_end_only() {
    for is_marked in [true, false] {
        let mut service = Service::default();
        let mut stream = service.stream(None);
        stream.push_all(1, &ids(1, 9)).expect("the ids rise");
        stream.push(Some(50), 10).expect("the ids rise");

        let ended = stream.sequence.end(is_marked);
        stream.take();

        assert_eq!(ended.is_ok(), is_marked);
        assert_eq!(stream.received.len(), if is_marked { 10 } else { 9 });
    }
}

#[test]
fn the_numbering_after_the_callers_last_event_is_learned() {
    let mut service = Service::default();
    let mut stream = service.stream(Some(30));

    stream.push_all(4, &[Some(40), Some(50), Some(60)]).expect("the ids rise");

    assert_eq!(stream.received, [4, 5, 6]);
    assert_eq!(stream.sequence.resume_point(), Some(60));
}

#[test]
fn ids_at_the_end_of_the_number_range_do_not_overflow() {
    let mut service = Service::default();
    let mut stream = service.stream(Some(u64::MAX - 1));

    stream.push(Some(u64::MAX), 1).expect("the ids rise");
    let repeated = stream.push(Some(u64::MAX), 2);

    assert!(repeated.is_err());
    assert_eq!(stream.received, [1]);
}
