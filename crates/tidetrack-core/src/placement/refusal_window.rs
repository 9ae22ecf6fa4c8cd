//! Bound on the refusals of an endpoint that falls over from refusing requests.
//!
//! Such an endpoint may lose its room at any moment, and a limit that follows the first refusal comes
//! too late for the requests that are under way by then. Requests whose outcome is open therefore
//! count like refusals: as long as both together stay within this host's share of the refusals that
//! the endpoint bears, it stays up even if it refuses everything from now on. A request is settled by
//! its response, or as soon as a refusal would have arrived.
//!
//! Within that bound, the window learns how many requests fit at once. A refusal shows that the
//! requests in flight fill the endpoint. From then on, one request at a time tries whether one more
//! fits. After a trial that was refused, the next one waits longer.

use std::collections::VecDeque;

use crate::units::Millis;

/// Time in which an endpoint counts its refusals.
const REFUSAL_PERIOD: Millis = Millis(1_000);

/// Time after which a refusal would have arrived, many round trips and the pauses of a busy process.
const MAX_REFUSAL_TIME: Millis = Millis(250);

/// Time by which a refusal may be later than the response to a request that was sent after it.
const MAX_REORDERING: Millis = Millis(20);

/// Time for which a request that was given up may still reach the endpoint over a link that was
/// interrupted.
const MAX_DELIVERY_TIME: Millis = Millis(3_000);

/// Pause after the first refused trial.
const MIN_TRIAL_PAUSE: Millis = Millis(200);

/// Longest pause between trials, if a refused one leaves room for others within the share.
const MAX_TRIAL_PAUSE: Millis = Millis(1_000);

/// The same for a share of one refusal, where a refused trial stops all requests for a second.
const MAX_TRIAL_PAUSE_OF_ONE: Millis = Millis(2_000);

/// Fraction by which the number of requests at once grows after an accepted trial, in addition to one.
const GROWTH_DIVISOR: u32 = 8;

/// Weight of the newest sample in the moving average of the time that requests take.
const TIME_WEIGHT: f64 = 0.1;

/// Time that requests are assumed to take before the first one has ended.
const DEFAULT_TIME_MS: f64 = 100.0;

/// Time after a refusal in which a lost connection suggests that the endpoint fell over.
const MAX_FALL_DELAY: Millis = Millis(1_500);

/// Longest time to return that a refused caller is given.
const MAX_RETURN_TIME: Millis = Millis(2_000);

/// A request in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowTicket(u64);

#[derive(Debug)]
struct OpenRequest {
    ticket: WindowTicket,
    /// When the request was written to the endpoint; `None` before that.
    written_at: Option<Millis>,
    is_settled: bool,
    is_trial: bool,
    /// When a request that was given up without a response no longer counts as open; `None` while this
    /// host waits for the response.
    given_up_until: Option<Millis>,
}

/// This host's requests at an endpoint that falls over from refusing requests.
#[derive(Debug)]
pub struct RefusalWindow {
    /// Requests in flight, oldest first.
    requests: VecDeque<OpenRequest>,
    next_ticket: u64,
    /// Refusals within the last period, oldest first.
    refusals: VecDeque<Millis>,
    last_refusal_at: Option<Millis>,
    /// Number of requests that fit at once; `None` before the first refusal.
    max_concurrent: Option<u32>,
    next_trial_at: Millis,
    trial_pause: Millis,
    request_ms: f64,
    /// When the endpoint last accepted or refused a request.
    last_response_at: Option<Millis>,
    /// End of the time for which refused callers have been given a time to return.
    booked_until_ms: f64,
}

impl Default for RefusalWindow {
    fn default() -> RefusalWindow {
        RefusalWindow {
            requests: VecDeque::new(),
            next_ticket: 0,
            refusals: VecDeque::new(),
            last_refusal_at: None,
            max_concurrent: None,
            next_trial_at: Millis(0),
            trial_pause: MIN_TRIAL_PAUSE,
            request_ms: DEFAULT_TIME_MS,
            last_response_at: None,
            booked_until_ms: 0.0,
        }
    }
}

impl RefusalWindow {
    /// Reports whether one more request may be sent. `share` is the number of refusals per second
    /// that this host may cause; with 0 there is still one request at a time, as nothing could be
    /// served otherwise.
    pub fn may_send(&mut self, now: Millis, share: u32) -> bool {
        self.settle_by_time(now);
        self.is_within_share(share) && self.is_within_room(now)
    }

    /// Reports whether requests whose outcome is open use up the share, while nothing suggests that the
    /// endpoint is full.
    pub fn is_share_in_use(&mut self, now: Millis, share: u32) -> bool {
        self.settle_by_time(now);
        self.max_concurrent.is_none() && !self.is_within_share(share)
    }

    /// Begins a request. Its fate is open until it is settled.
    pub fn begin(&mut self) -> WindowTicket {
        let ticket = WindowTicket(self.next_ticket);
        self.next_ticket += 1;
        let is_trial = self.max_concurrent.is_some_and(|max| self.in_flight() >= max);
        self.requests.push_back(OpenRequest {
            ticket,
            written_at: None,
            is_settled: false,
            is_trial,
            given_up_until: None,
        });
        ticket
    }

    /// Records that a request is written to the endpoint.
    pub fn record_written(&mut self, now: Millis, ticket: WindowTicket) {
        if let Some(request) = self.requests.iter_mut().find(|r| r.ticket == ticket) {
            request.written_at = Some(now);
        }
    }

    /// Records that the endpoint has accepted a request.
    pub fn record_accepted(&mut self, now: Millis, ticket: WindowTicket) {
        self.last_response_at = Some(now);
        self.settle(|r| r.ticket == ticket);
        self.settle_earlier(now);
    }

    /// Records that the endpoint has refused a request, which stays in flight until its end.
    pub fn record_refused(&mut self, now: Millis, share: u32, ticket: WindowTicket) {
        self.last_response_at = Some(now);
        self.refusals.push_back(now);
        self.last_refusal_at = Some(now);
        let others = self.in_flight().saturating_sub(1).max(1);
        let refused = self.requests.iter_mut().find(|r| r.ticket == ticket);
        let was_trial = refused.is_some_and(|request| {
            // Its refusal is counted instead.
            request.is_settled = true;
            std::mem::take(&mut request.is_trial)
        });
        self.max_concurrent = Some(self.max_concurrent.map_or(others, |max| max.min(others)));
        if was_trial {
            let max_pause = if share > 1 { MAX_TRIAL_PAUSE } else { MAX_TRIAL_PAUSE_OF_ONE };
            self.trial_pause = Millis(self.trial_pause.0 * 2).min(max_pause);
        }
        self.next_trial_at = now + self.trial_pause;
        self.settle_earlier(now);
    }

    /// Records that the connection of a request has ended, or that it was never written, so that the
    /// endpoint cannot refuse it any more.
    pub fn record_closed(&mut self, ticket: WindowTicket) {
        self.requests.retain(|r| r.ticket != ticket);
    }

    /// Records the end of a request. `took` is its time at the endpoint if it was served. A request that
    /// was given up while its outcome was open may still reach the endpoint, and counts for a while.
    pub fn end(&mut self, now: Millis, ticket: WindowTicket, took: Option<Millis>) {
        for request in self.requests.iter_mut().filter(|r| r.ticket == ticket) {
            request.given_up_until = Some(now + MAX_DELIVERY_TIME);
            request.is_trial = false;
        }
        self.requests.retain(|r| r.ticket != ticket || (r.written_at.is_some() && !r.is_settled));
        if let Some(took) = took {
            self.request_ms += (took.0 as f64 - self.request_ms) * TIME_WEIGHT;
        }
    }

    /// Records that a connection to the endpoint was lost or could not be established. After a
    /// refusal, the endpoint has probably fallen over; it returns with one request at a time.
    pub fn record_failure(&mut self, now: Millis, is_unreachable: bool) {
        let is_after_refusal = self.last_refusal_at.is_some_and(|at| now < at + MAX_FALL_DELAY);
        if is_after_refusal || is_unreachable {
            self.max_concurrent = Some(1);
            self.trial_pause = MIN_TRIAL_PAUSE;
            self.next_trial_at = now;
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        let in_flight = self.requests.iter().filter(|r| r.given_up_until.is_none()).count();
        u32::try_from(in_flight).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that fit at once; `None` if it is not known.
    pub fn max_concurrent(&self) -> Option<u32> {
        self.max_concurrent
    }

    /// Returns the number of refusals in the last period.
    pub fn recent_refusals(&mut self, now: Millis) -> usize {
        self.settle_by_time(now);
        self.refusals.len()
    }

    /// Estimates when the next request may be sent; `now` if at once.
    pub fn next_send_at(&mut self, now: Millis, share: u32) -> Millis {
        if self.may_send(now, share) {
            return now;
        }
        let free_at = now + Millis(self.interval_ms().ceil() as u64);
        match self.refusals.front() {
            Some(first) if self.refusals.len() >= share.max(1) as usize => {
                free_at.max(*first + REFUSAL_PERIOD)
            }
            _ => free_at,
        }
    }

    /// Returns how many requests are likely to end within a time.
    pub fn ends_within(&self, time: Millis) -> usize {
        (f64::from(self.in_flight()) * time.0 as f64 / self.request_ms.max(1.0)) as usize
    }

    /// Books a request that was turned away into the next place, from `earliest` on, that no other one
    /// was given, and returns the time until then.
    pub fn book_return(&mut self, now: Millis, earliest: Millis, share: u32) -> Millis {
        let earliest = self.next_send_at(now, share).max(earliest).0 as f64;
        let latest = (now + MAX_RETURN_TIME).0 as f64;
        self.booked_until_ms =
            (self.booked_until_ms.max(earliest) + self.interval_ms()).min(latest);
        Millis(self.booked_until_ms.ceil() as u64) - now
    }

    /// Returns the mean time between the ends of two requests while the endpoint is full.
    fn interval_ms(&self) -> f64 {
        let concurrent = self.max_concurrent.unwrap_or_else(|| self.in_flight()).max(1);
        (self.request_ms / f64::from(concurrent)).max(1.0)
    }

    fn is_within_share(&self, share: u32) -> bool {
        let open = self.requests.iter().filter(|r| !r.is_settled).count();
        open + self.refusals.len() < share.max(1) as usize
    }

    fn is_within_room(&self, now: Millis) -> bool {
        let Some(max) = self.max_concurrent else { return true };
        let has_trial = self.requests.iter().any(|r| r.is_trial);
        let in_flight = self.in_flight();
        in_flight < max || in_flight == max && !has_trial && now >= self.next_trial_at
    }

    /// Forgets refusals that no longer count, and settles requests whose refusal would have arrived.
    fn settle_by_time(&mut self, now: Millis) {
        while self.refusals.front().is_some_and(|at| now >= *at + REFUSAL_PERIOD) {
            self.refusals.pop_front();
        }
        self.requests.retain(|r| r.given_up_until.is_none_or(|until| now < until));
        // Requests on a link that is silent may all arrive when it works again.
        let heard_at = self.last_response_at.unwrap_or(now);
        self.settle(|r| {
            r.written_at
                .is_some_and(|at| now >= at + MAX_REFUSAL_TIME && heard_at + MAX_REFUSAL_TIME >= at)
        });
        self.remove_settled();
    }

    /// Settles the requests that were sent well before a response that has just arrived.
    fn settle_earlier(&mut self, now: Millis) {
        self.settle(|r| r.written_at.is_some_and(|at| now >= at + MAX_REORDERING));
        self.remove_settled();
    }

    /// Forgets requests that were given up and are settled since.
    fn remove_settled(&mut self) {
        self.requests.retain(|r| !r.is_settled || r.given_up_until.is_none());
    }

    /// Settles the requests that fulfil a condition. An accepted trial shows that there is more room.
    fn settle(&mut self, is_due: impl Fn(&OpenRequest) -> bool) {
        let mut has_accepted_trial = false;
        for request in self.requests.iter_mut().filter(|r| !r.is_settled && is_due(r)) {
            request.is_settled = true;
            has_accepted_trial |= std::mem::take(&mut request.is_trial);
        }
        if has_accepted_trial {
            let grown = |max: u32| max.saturating_add(1 + max / GROWTH_DIVISOR);
            self.max_concurrent = self.max_concurrent.map(grown);
            self.trial_pause = MIN_TRIAL_PAUSE;
        }
    }
}
