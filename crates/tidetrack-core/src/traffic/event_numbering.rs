//! How the streams of a service number their events, learned from the streams.

/// Number of streams of a service in which no event is held back, after one that was not numbered as usual.
const UNCHECKED_STREAMS: u32 = 8;

/// Difference between the ids of consecutive events if nothing else is known.
const DEFAULT_STEP: u64 = 1;

/// Ids of the first event of a stream if nothing else is known.
const DEFAULT_FIRST_IDS: [u64; 2] = [0, 1];

/// How the streams of a service number their events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventNumbering {
    /// Id of the first event of a stream.
    first: Option<u64>,
    /// Difference between the ids of consecutive events.
    step: Option<u64>,
    /// Number of streams that are still not held to the numbering.
    unchecked_streams: u32,
}

/// What a stream shows of the numbering of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NumberingObservation {
    /// The ids of the first three events rise.
    Start {
        /// Id of the first event.
        first: u64,
        /// Difference between the ids of consecutive events, if it is the same for all three.
        step: Option<u64>,
    },
    /// The ids continued after a jump, or rise without a regular step.
    Jump,
    /// The stream ended without a jump.
    End,
}

impl EventNumbering {
    /// Records what a stream showed.
    pub fn record(&mut self, observation: NumberingObservation) {
        match observation {
            NumberingObservation::Start { first, step } => {
                let is_unusual = self.first.is_some_and(|usual| usual != first)
                    || step.is_some() && self.step.is_some_and(|usual| Some(usual) != step);
                if is_unusual {
                    self.unchecked_streams = UNCHECKED_STREAMS;
                }
                self.first = Some(first);
                self.step = step.or(self.step);
            }
            NumberingObservation::Jump => self.unchecked_streams = UNCHECKED_STREAMS,
            NumberingObservation::End => {
                self.unchecked_streams = self.unchecked_streams.saturating_sub(1);
            }
        }
    }

    /// Reports whether a stream may begin with the event with this id.
    pub fn is_first(&self, id: u64) -> bool {
        self.first.map_or(DEFAULT_FIRST_IDS.contains(&id), |first| id == first)
    }

    /// Returns the difference between the ids of consecutive events, as far as is known.
    pub fn step(&self) -> u64 {
        self.step.unwrap_or(DEFAULT_STEP)
    }

    /// Reports whether a stream has shown the step.
    pub fn has_known_step(&self) -> bool {
        self.step.is_some()
    }

    /// Reports whether the ids of streams can be checked. Those of a service whose streams jump can't.
    pub fn is_reliable(&self) -> bool {
        self.unchecked_streams == 0
    }
}
