//! Selection of the endpoint of an attempt, and the checks whether the attempt is allowed.

use std::sync::Arc;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::{EndpointId, EndpointKey, ModelId};
use tidetrack_core::placement::probing::is_restricted;
use tidetrack_core::placement::{
    evacuated_error, ring_position_of, EndpointAccess, Locality, PlacementRequest, PlacementTiming,
    PoolEndpoint, PoolView,
};
use tidetrack_core::traffic::admission;
use tidetrack_core::traffic::budget::FurtherAttempt;
use tidetrack_core::traffic::canary::ReleaseTrack;
use tidetrack_core::traffic::latency_estimate::PlannedAttempt;
use tidetrack_core::traffic::view::{PickedEndpoint, ServiceView};
use tidetrack_core::units::{Millis, Tokens};

use crate::attempt_timing::placement_timing;
use crate::forward::{choose_host, choose_host_with_share};
use crate::holders::{choose_sender, SenderChoice};
use crate::job::{AttemptHistory, ChosenEndpoint, Job, PrefixLocation, Traffic};
use crate::load_control;
use crate::pending_work::PendingWork;

/// `Retry-After` in milliseconds of a refusal because no endpoint has capacity.
pub const RETRY_OVERLOADED_MS: u64 = 300;

/// Work in answer tokens that is added to the load of an endpoint in another failure domain, because traffic between
/// domains has a cost.
const CROSS_DOMAIN_WORK: u64 = 500;

/// Minimum work of rereading a prefix, in answer tokens, at which the prefix is fetched from another endpoint instead.
/// Rereading this much takes an engine some tenths of a second, while a transfer takes some milliseconds. Less work
/// does not justify the cost of a transfer.
const MIN_FETCH_WORK: u64 = 1_600;

/// Time within which an attempt normally ends. A session is held on its release track from the start of a
/// request until its session time after the request's end, so this is added to the session time.
const TYPICAL_MAX_ATTEMPT_TIME: Millis = Millis(8_000);

/// Checks, immediately before an attempt, that the request may still be sent, and charges a further attempt to
/// the retry budget. Fails if the request is a barred suspect, the configuration is too old or the budget is
/// exhausted.
///
/// The age of the configuration is only checked before the first attempt. A key that was valid when the
/// request arrived stays valid for all its attempts, so that a stream which breaks while the store is
/// unavailable can be continued.
pub fn check_before_send(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    chosen: &ChosenEndpoint,
) -> Result<()> {
    // The host that chooses the endpoint also checks the attempt.
    if chosen.forwarded_to.is_some() {
        return Ok(());
    }
    check_endpoint_attempt(traffic, job, attempts)
}

fn check_endpoint_attempt(traffic: &Traffic, job: &Job, attempts: &AttemptHistory) -> Result<()> {
    let shared = &traffic.shared;
    let now = shared.now();
    if attempts.is_next_charged {
        return Ok(());
    }
    shared.suspects.check(now, &job.fingerprints)?;
    let revocation_bound = shared.settings.bounds.revocation_bound;
    let needs_config_proof = attempts.sent_count == 0 && job.admitted.holder.is_some();
    if needs_config_proof
        && revocation_bound.is_some_and(|revocation_bound| {
            !shared.freshness.permits_keyed_requests(now, revocation_bound)
        })
    {
        return Err(admission::stale_config_error());
    }
    if attempts.sent_count == 0 {
        if attempts.connect_failures == 0 {
            traffic.with_budget(&job.service, |b| b.record_first(now));
        }
        return Ok(());
    }
    match load_control::try_acquire(traffic, job, FurtherAttempt::Failure) {
        true => Ok(()),
        false => Err(Error::new(Code::RetryBudget, "the retry budget of the service is exhausted")),
    }
}

/// Chooses the endpoint of the next attempt, or the host that the request is forwarded to. Fails if the request
/// is a barred suspect or no endpoint can be used.
///
/// Without network paths to the service, an endpoint is chosen only if an established connection to it is idle. If
/// this host has used up its shares of the endpoints' limits, another host may have some left.
pub fn choose(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
) -> Result<ChosenEndpoint> {
    if !traffic.paths.is_lost(&job.service) {
        let full = load_control::full_endpoints(traffic, job);
        let chosen = choose_endpoint(traffic, job, attempts, model, &full);
        return chosen.or_else(|e| match e.code == Code::Overloaded {
            true if has_used_up_shares(traffic, job) => {
                choose_host_with_share(traffic, job, attempts).ok_or(e)
            }
            _ => Err(e),
        });
    }
    let unconnected = unconnected_endpoints(traffic, job);
    match choose_endpoint(traffic, job, attempts, model, &unconnected) {
        Ok(chosen) if !unconnected.contains(&chosen.id) => Ok(chosen),
        Err(e) if e.code == Code::CrashesEndpoints || e.code == Code::SuspectRuns => Err(e),
        _ => choose_host(traffic, job, attempts),
    }
}

/// Returns the endpoints of a request's service to which no established connection that has worked is idle, without
/// those that other hosts send to.
fn unconnected_endpoints(traffic: &Traffic, job: &Job) -> Vec<EndpointId> {
    let view = traffic.shared.view.load();
    let Some(service) = view.services.get(&job.service) else { return Vec::new() };
    let pools = [&service.stable_pool, &service.canary_pool];
    let endpoints = pools.into_iter().flat_map(|pool| pool.endpoints());
    let is_sent_to = |e: &&PoolEndpoint| {
        !matches!(e.state.guard().access(), EndpointAccess::Forwarded | EndpointAccess::StandIn(_))
    };
    let unconnected =
        endpoints.filter(|e| is_sent_to(e) && !traffic.pool.has_proven_idle(e.id.as_str()));
    unconnected.map(|e| e.id.clone()).collect()
}

/// Reports whether this host's shares of the endpoints' limits are all that keeps it from sending to a request's
/// service.
fn has_used_up_shares(traffic: &Traffic, job: &Job) -> bool {
    let view = traffic.shared.view.load();
    let service = view.services.get(&job.service);
    service.is_some_and(|s| s.stable_pool.is_held_back_by_shares(traffic.shared.now()))
}

/// Chooses an endpoint that is not among `excluded`, and records the choice for the prefix index and the exposure
/// bound.
fn choose_endpoint(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
    excluded: &[EndpointId],
) -> Result<ChosenEndpoint> {
    traffic.shared.suspects.check(traffic.shared.now(), &job.fingerprints)?;
    let view = traffic.shared.view.load();
    let service = view.services.get(&job.service).ok_or_else(|| {
        match view.evacuated_services.contains(&job.service) {
            true => evacuated_error(),
            false => overloaded_error("no endpoint of the service is known"),
        }
    })?;
    let session_hash = job.session_hash();
    let now = traffic.shared.now();
    let hold_for = traffic.shared.settings.bounds.session_timeout + TYPICAL_MAX_ATTEMPT_TIME;
    let chosen_track = service.side(now, session_hash, hold_for);
    let prompt = PromptPlacement::new(traffic, job, service, model);
    let mut last_error = overloaded_error("no endpoint of the service is usable");
    for (track, mut avoided) in search_order(service, now, attempts, chosen_track) {
        avoided.extend_from_slice(excluded);
        match pick_endpoint(traffic, job, attempts, &avoided, service, track, &prompt) {
            Ok(chosen) => {
                let is_forwarded = chosen.forwarded_to.is_some();
                if service.canary.is_some() && !is_forwarded {
                    traffic
                        .shared
                        .metrics
                        .record_version_send(job.service.as_str(), track.as_str());
                }
                match track {
                    ReleaseTrack::Stable => service.exposure.hold(now, session_hash, hold_for),
                    // The holder counts a first attempt that is forwarded to it.
                    ReleaseTrack::Canary => {
                        service.exposure.record_canary_attempt(job.has_failed.get() || is_forwarded)
                    }
                }
                return Ok(chosen);
            }
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

/// Charges a further attempt to the retry budget while an earlier one is still in progress. Reports whether an
/// endpoint is available for it and the budget allows it.
pub fn reserve_next_attempt(
    traffic: &Traffic,
    job: &Job,
    attempts: &mut AttemptHistory,
    model: Option<&ModelId>,
) -> bool {
    attempts.is_next_charged = has_candidate(traffic, job, attempts, model)
        && check_endpoint_attempt(traffic, job, attempts).is_ok();
    attempts.is_next_charged
}

/// Reports whether an endpoint can be chosen for one more attempt, without recording anything.
fn has_candidate(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
) -> bool {
    let view = traffic.shared.view.load();
    let Some(service) = view.services.get(&job.service) else { return false };
    let prompt = PromptPlacement::new(traffic, job, service, model);
    let mut search_order =
        search_order(service, traffic.shared.now(), attempts, ReleaseTrack::Stable);
    search_order.any(|(track, avoided)| {
        pick_endpoint(traffic, job, attempts, &avoided, service, track, &prompt).is_ok()
    })
}

/// Returns the order in which an endpoint is searched: pairs of a release track, starting with `first_track`, and
/// the endpoints avoided on it. The canary track is omitted if it is not `first_track` and the service
/// doesn't permit falling back to it.
fn search_order<'a>(
    service: &'a ServiceView,
    now: Millis,
    attempts: &'a AttemptHistory,
    first_track: ReleaseTrack,
) -> impl Iterator<Item = (ReleaseTrack, Vec<EndpointId>)> + 'a {
    let tracks = match first_track {
        ReleaseTrack::Canary => [ReleaseTrack::Canary, ReleaseTrack::Stable].as_slice(),
        ReleaseTrack::Stable if service.can_fall_back(now) => {
            &[ReleaseTrack::Stable, ReleaseTrack::Canary]
        }
        ReleaseTrack::Stable => &[ReleaseTrack::Stable],
    };
    tracks.iter().flat_map(|track| attempts.avoided_endpoints().map(|avoided| (*track, avoided)))
}

/// Builds the error for a request that no endpoint has capacity for.
pub fn overloaded_error(message: &str) -> Error {
    Error::new(Code::Overloaded, message).with_retry_after(RETRY_OVERLOADED_MS)
}

/// Returns the endpoint that an attempt on `model` would use, on the release track of an earlier attempt, with the
/// figures for its latency estimate. Records nothing. Returns `None` if no endpoint is available.
pub fn plan_attempt(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: &ModelId,
    earlier: &ChosenEndpoint,
) -> Option<(ChosenEndpoint, PlannedAttempt)> {
    plan_attempt_for(traffic, job, attempts, Some(model), Some(earlier))
}

/// Does the same for any model and, without an earlier attempt, for the stable versions.
pub fn plan_attempt_for(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
    earlier: Option<&ChosenEndpoint>,
) -> Option<(ChosenEndpoint, PlannedAttempt)> {
    let view = traffic.shared.view.load();
    let service = view.services.get(&job.service)?;
    let track = match earlier.and_then(|e| e.canary_version.as_ref()) {
        Some(_) => ReleaseTrack::Canary,
        None => ReleaseTrack::Stable,
    };
    let prompt = PromptPlacement::new(traffic, job, service, model);
    let chosen =
        pick_endpoint(traffic, job, attempts, &attempts.tried, service, track, &prompt).ok()?;
    let weight = model_weight(traffic, job, model);
    // A forwarded attempt does not carry the state of its endpoint.
    let picked = service.pool(track).endpoints().iter().find(|e| e.id == chosen.id)?;
    let planned_attempt = PlannedAttempt {
        work_ahead: picked.state.load(traffic.shared.now()),
        own_work: job.work(weight, chosen.prefix.is_available()) as f64,
        elapsed: Millis(job.started_at.elapsed().as_millis() as u64),
        objective: job.admitted.route.objective,
    };
    Some((chosen, planned_attempt))
}

/// Properties of a request's prompt that affect the choice of its endpoint.
struct PromptPlacement {
    /// Work of an endpoint that has to reread the shared prefix, in answer tokens.
    reread_work: u64,
    /// Endpoints that are known to hold the shared prefix.
    prefix_holders: Vec<EndpointKey>,
    /// How the endpoints' times count, under load control.
    timing: Option<PlacementTiming>,
}

impl PromptPlacement {
    fn new(
        traffic: &Traffic,
        job: &Job,
        service: &ServiceView,
        model: Option<&ModelId>,
    ) -> PromptPlacement {
        let now = traffic.shared.now();
        let prefix_key = job.prefix_key(model);
        let holders = |prefix_key| service.prefixes.endpoints_with(now, prefix_key);
        let weight = model_weight(traffic, job, model);
        PromptPlacement {
            reread_work: job.reread_work(weight),
            timing: traffic
                .has_load_control(&job.service)
                .then(|| placement_timing(traffic, job, model, weight)),
            prefix_holders: prefix_key.map_or_else(Vec::new, holders),
        }
    }
}

/// Picks an endpoint of a release track that is not in `tried`, and the host that sends to it. Fails if there is none.
fn pick_endpoint(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    tried: &[EndpointId],
    service: &ServiceView,
    track: ReleaseTrack,
    prompt: &PromptPlacement,
) -> Result<ChosenEndpoint> {
    let mut avoided = tried.to_vec();
    loop {
        let picked = pick_untried(traffic, job, &avoided, service, track, prompt)?;
        match choose_sender(traffic, job, attempts, picked.endpoint) {
            SenderChoice::Own => return Ok(picked.chosen),
            SenderChoice::Other(host) => {
                return Ok(ChosenEndpoint {
                    address: host.address.to_string(),
                    state: Arc::default(),
                    forwarded_to: Some(host.host),
                    ..picked.chosen
                })
            }
            SenderChoice::None => avoided.push(picked.chosen.id),
        }
    }
}

/// A picked endpoint, and the attempt that this host would make there itself.
struct PickedAttempt<'a> {
    endpoint: &'a PoolEndpoint,
    chosen: ChosenEndpoint,
}

/// Returns the release track that an endpoint was chosen on.
fn track_of(chosen: &ChosenEndpoint) -> ReleaseTrack {
    match chosen.canary_version {
        Some(_) => ReleaseTrack::Canary,
        None => ReleaseTrack::Stable,
    }
}

/// Returns the endpoint that an attempt would use if the chosen one did not exist, on the same release
/// track. Records nothing. Returns `None` if there is none that this host sends to itself.
pub fn plan_alternative(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
    chosen: &ChosenEndpoint,
) -> Option<ChosenEndpoint> {
    let view = traffic.shared.view.load();
    let service = view.services.get(&job.service)?;
    let prompt = PromptPlacement::new(traffic, job, service, model);
    let [tried, ..] = attempts.avoided_endpoints();
    let full = load_control::full_endpoints(traffic, job);
    let avoided = [tried.as_slice(), &full, std::slice::from_ref(&chosen.id)].concat();
    let track = track_of(chosen);
    let planned = pick_endpoint(traffic, job, attempts, &avoided, service, track, &prompt);
    planned.ok().filter(|e| e.forwarded_to.is_none() && !is_restricted(&e.state))
}

/// Returns the better one of a chosen endpoint and an alternative by what is known now.
pub fn recheck(
    traffic: &Traffic,
    job: &Job,
    model: Option<&ModelId>,
    chosen: &ChosenEndpoint,
    alternative: ChosenEndpoint,
) -> ChosenEndpoint {
    let now = traffic.shared.now();
    let view = traffic.shared.view.load();
    let Some(service) = view.services.get(&job.service) else { return chosen.clone() };
    let prompt = PromptPlacement::new(traffic, job, service, model);
    let request = placement_request(traffic, job, &[], &prompt);
    let pool = service.pool(track_of(chosen));
    // An endpoint that cannot be used any more is not found.
    let first = pool.find_usable(now, &request, &chosen.id);
    let second = pool.find_usable(now, &request, &alternative.id);
    let is_alternative_better = match (first, second) {
        (Some(first), Some(second)) => {
            let extra = |e: &ChosenEndpoint| match e.prefix.is_available() {
                true => 0.0,
                false => prompt.reread_work as f64,
            };
            let (first, second) = ((first, extra(chosen)), (second, extra(&alternative)));
            pool.is_second_cheaper(now, &request, first, second)
        }
        (None, Some(_)) => true,
        _ => false,
    };
    if !is_alternative_better {
        return chosen.clone();
    }
    alternative
}

/// Records that the endpoint of an attempt will hold the request's shared prefix.
pub fn record_prefix_use(
    traffic: &Traffic,
    job: &Job,
    model: Option<&ModelId>,
    chosen: &ChosenEndpoint,
) {
    let Some(prefix_key) = job.prefix_key(model) else { return };
    if let Some(service) = traffic.shared.view.load().services.get(&job.service) {
        let now = traffic.shared.now();
        service.prefixes.record_use(now, prefix_key, EndpointKey::from(&chosen.id));
    }
}

/// Builds the request that a pool picks an endpoint for.
fn placement_request<'a>(
    traffic: &'a Traffic,
    job: &Job,
    avoided: &'a [EndpointId],
    prompt: &'a PromptPlacement,
) -> PlacementRequest<'a> {
    let placement_key = job.facts.shared_prefix.as_deref().unwrap_or(&job.id);
    PlacementRequest {
        ring_position: ring_position_of(placement_key.as_bytes()),
        salt: ring_position_of(job.id.as_bytes()).wrapping_add(avoided.len() as u64),
        required_tokens: Tokens(0),
        tried: avoided,
        priority: 0,
        reread_work: prompt.reread_work,
        prefix_holders: &prompt.prefix_holders,
        locality: Some(Locality {
            failure_domain: &traffic.shared.settings.failure_domain,
            crossing_work: CROSS_DOMAIN_WORK,
        }),
        is_forwarded: job.is_forwarded,
        timing: prompt.timing,
    }
}

fn pick_untried<'a>(
    traffic: &Traffic,
    job: &Job,
    avoided: &[EndpointId],
    service: &'a ServiceView,
    track: ReleaseTrack,
    prompt: &PromptPlacement,
) -> Result<PickedAttempt<'a>> {
    let request = placement_request(traffic, job, avoided, prompt);
    let now = traffic.shared.now();
    let pool = service.pool(track);
    let asked = job.asked_endpoint.as_ref().and_then(|id| pool.find_usable(now, &request, id));
    let PickedEndpoint { endpoint, is_loaded } = match asked {
        Some(endpoint) => PickedEndpoint { endpoint, is_loaded: false },
        None => service.pick(now, track, job.session_hash(), &request)?,
    };
    let prefix = match job.facts.shared_prefix {
        Some(_) => prefix_location(now, pool, endpoint, &request),
        None => PrefixLocation::None,
    };
    let canary_version = match track {
        ReleaseTrack::Stable => None,
        ReleaseTrack::Canary => service.canary.as_ref().map(|t| t.version.clone()),
    };
    let chosen = ChosenEndpoint {
        forwarded_to: None,
        id: endpoint.id.clone(),
        address: endpoint.address.clone(),
        failure_domain: endpoint.failure_domain.clone(),
        state: endpoint.state.clone(),
        prefix,
        canary_version,
        is_loaded,
    };
    Ok(PickedAttempt { endpoint, chosen })
}

/// Returns where the request's shared prefix is held, relative to a picked endpoint.
fn prefix_location(
    now: Millis,
    pool: &PoolView,
    picked: &PoolEndpoint,
    request: &PlacementRequest<'_>,
) -> PrefixLocation {
    if request.prefix_holders.contains(&EndpointKey::from(&picked.id)) {
        return PrefixLocation::Cached;
    }
    match pool.prefix_source(now, request, picked) {
        None => PrefixLocation::Unknown,
        Some(holder) if request.reread_work >= MIN_FETCH_WORK => {
            PrefixLocation::Fetched(holder.address.clone())
        }
        Some(holder) if holder.failure_domain == picked.failure_domain => {
            PrefixLocation::OnBusyEndpoint
        }
        Some(_) => PrefixLocation::InOtherDomain,
    }
}

/// Returns the weight of a model in the work of an endpoint: its price relative to the most expensive model's, or 1 if
/// the service or model is unknown.
pub fn model_weight(traffic: &Traffic, job: &Job, model: Option<&ModelId>) -> f64 {
    let view = traffic.shared.view.load();
    let service = view.catalog.as_ref().and_then(|c| c.services.get(&job.service));
    match (service, model) {
        (Some(service), Some(model)) => service.model_weight(model),
        _ => 1.0,
    }
}

/// Chooses an endpoint on which a broken stream continues. Fails if no attempt is left or allowed.
pub fn choose_resume_endpoint(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
) -> Result<(ChosenEndpoint, PendingWork)> {
    let route = &job.admitted.route;
    if attempts.sent_count >= route.max_attempts {
        return Err(Error::new(
            Code::EndpointFailed,
            "the maximum number of attempts of the route is reached",
        ));
    }
    let chosen = choose(traffic, job, attempts, model)?;
    record_prefix_use(traffic, job, model, &chosen);
    check_before_send(traffic, job, attempts, &chosen)?;
    let pending_work = PendingWork::new(traffic, &chosen, job, model_weight(traffic, job, model));
    Ok((chosen, pending_work))
}
