//! Choice of the endpoint of an attempt, and whether the attempt may be made.

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::{EndpointId, EndpointKey, ModelId};
use tidetrack_core::placement::{
    ring_position_of, Locality, PlacementRequest, PoolEndpoint, PoolView,
};
use tidetrack_core::traffic::admission;
use tidetrack_core::traffic::budget::FurtherAttempt;
use tidetrack_core::traffic::canary::ReleaseTrack;
use tidetrack_core::traffic::latency_estimate::PlannedAttempt;
use tidetrack_core::traffic::prefix_index::PrefixKey;
use tidetrack_core::traffic::view::{PickedEndpoint, ServiceView};
use tidetrack_core::units::{Millis, Tokens};

use crate::job::{Chosen, Job, PrefixAt, Traffic, Tries, WorkShare};

/// When to come back after a refusal for want of room, in milliseconds.
pub const RETRY_FULL_MS: u64 = 300;

/// Work, in answer tokens, that an endpoint of another failure domain counts as having besides: bytes between domains
/// cost.
const CROSSING_WORK: u64 = 500;

/// Work of reading a prefix again, in answer tokens, from which it is fetched instead: some tenths of a second of an
/// engine's time, where a move takes some milliseconds. Moves have a price of their own.
const FETCHED_FROM: u64 = 1_600;

/// How long a run takes at most, as a rule. A session is at work from a request's start until some time
/// after its end.
const RUN_TIME: Millis = Millis(8_000);

/// Checks, right before a send, that the request may still be passed on.
///
/// The proof of the configuration is asked for before the first send only: a key that was held when
/// the request came is held for all of its attempts, and a stream that breaks while the store is away
/// may go on.
pub fn check_before_send(traffic: &Traffic, job: &Job, tries: &Tries) -> Result<()> {
    let shared = &traffic.shared;
    let now = shared.now();
    if tries.is_paid {
        return Ok(());
    }
    shared.suspects.check(now, job.fingerprint)?;
    let bound = shared.settings.bounds.revocation_bound;
    let needs_proof = tries.sent == 0 && job.admitted.holder.is_some();
    if needs_proof
        && bound.is_some_and(|bound| !shared.freshness.permits_keyed_requests(now, bound))
    {
        return Err(admission::stale_config_error());
    }
    if tries.sent == 0 {
        if tries.unreached == 0 {
            traffic.with_budget(&job.service, |b| b.record_first(now));
        }
        return Ok(());
    }
    match traffic.with_budget(&job.service, |b| b.try_acquire(now, FurtherAttempt::Failure)) {
        true => Ok(()),
        false => Err(Error::new(Code::RetryBudget, "the budget of further sends is spent")),
    }
}

/// Chooses the endpoint of the next attempt.
pub fn choose(
    traffic: &Traffic,
    job: &Job,
    tries: &Tries,
    model: Option<&ModelId>,
) -> Result<Chosen> {
    traffic.shared.suspects.check(traffic.shared.now(), job.fingerprint)?;
    let view = traffic.shared.view.load();
    let service = view.services.get(&job.service).ok_or_else(|| full("no endpoint is listed"))?;
    let who = job.version_draw();
    let now = traffic.shared.now();
    let hold_for = traffic.shared.settings.bounds.session_timeout + RUN_TIME;
    let drawn = service.side(now, who, hold_for);
    let prompt = Prompt::new(traffic, job, service, model);
    let mut last = full("no endpoint can be used");
    for (side, avoided) in searches(service, now, tries, drawn) {
        match pick(traffic, job, &avoided, service, side, &prompt) {
            Ok(chosen) => {
                if let Some(part) = prompt.part {
                    service.prefixes.record_use(now, part, EndpointKey::from(&chosen.id));
                }
                if service.canary.is_some() {
                    traffic.shared.metrics.record_version_send(job.service.as_str(), side.as_str());
                }
                match side {
                    ReleaseTrack::Stable => service.exposure.hold(now, who, hold_for),
                    ReleaseTrack::Canary => {
                        service.exposure.record_canary_attempt(job.has_failed.get())
                    }
                }
                return Ok(chosen);
            }
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Takes a further send in place of an attempt that is still waited for; tells whether there is an
/// endpoint for it and the budget allows it.
pub fn take_next_send(
    traffic: &Traffic,
    job: &Job,
    tries: &mut Tries,
    model: Option<&ModelId>,
) -> bool {
    tries.is_paid =
        has_another(traffic, job, tries, model) && check_before_send(traffic, job, tries).is_ok();
    tries.is_paid
}

/// Tells whether an endpoint can be chosen for one more attempt. Nothing is counted for it.
fn has_another(traffic: &Traffic, job: &Job, tries: &Tries, model: Option<&ModelId>) -> bool {
    let view = traffic.shared.view.load();
    let Some(service) = view.services.get(&job.service) else { return false };
    let prompt = Prompt::new(traffic, job, service, model);
    let mut searches = searches(service, traffic.shared.now(), tries, ReleaseTrack::Stable);
    searches.any(|(side, avoided)| pick(traffic, job, &avoided, service, side, &prompt).is_ok())
}

/// Lists where an endpoint is looked for, in order: a side of a roll-out, `first` or else the other one,
/// and the endpoints that are avoided on it. The new version's side is left out where the request may not
/// fall back on it.
fn searches<'a>(
    service: &'a ServiceView,
    now: Millis,
    tries: &'a Tries,
    first: ReleaseTrack,
) -> impl Iterator<Item = (ReleaseTrack, Vec<EndpointId>)> + 'a {
    let sides = match first {
        ReleaseTrack::Canary => [ReleaseTrack::Canary, ReleaseTrack::Stable].as_slice(),
        ReleaseTrack::Stable if service.can_fall_back(now) => {
            &[ReleaseTrack::Stable, ReleaseTrack::Canary]
        }
        ReleaseTrack::Stable => &[ReleaseTrack::Stable],
    };
    sides.iter().flat_map(|side| tries.avoided().map(|avoided| (*side, avoided)))
}

/// Makes the refusal for want of an endpoint with room.
pub fn full(text: &str) -> Error {
    Error::new(Code::Overloaded, text).with_retry_after(RETRY_FULL_MS)
}

/// Finds where a run on a model would go on the side of an earlier attempt, and how it would stand
/// there. Nothing is counted for it.
pub fn plan(
    traffic: &Traffic,
    job: &Job,
    tries: &Tries,
    model: &ModelId,
    earlier: &Chosen,
) -> Option<(Chosen, PlannedAttempt)> {
    let view = traffic.shared.view.load();
    let service = view.services.get(&job.service)?;
    let side =
        if earlier.new_version.is_some() { ReleaseTrack::Canary } else { ReleaseTrack::Stable };
    let prompt = Prompt::new(traffic, job, service, Some(model));
    let chosen = pick(traffic, job, &tries.tried, service, side, &prompt).ok()?;
    let weight = weight_of(traffic, job, Some(model));
    let planned = PlannedAttempt {
        work_ahead: chosen.live.load(traffic.shared.now()),
        own_work: job.work(weight, chosen.prefix.is_at_hand()) as f64,
        elapsed: Millis(job.began.elapsed().as_millis() as u64),
        objective: job.admitted.route.objective,
    };
    Some((chosen, planned))
}

/// What a request's prompt means for the choice.
struct Prompt {
    /// Its shared part, as read for the model.
    part: Option<PrefixKey>,
    /// Work of reading its shared part where it is not kept.
    reread: u64,
    /// Endpoints that are known to keep that part.
    kept_at: Vec<EndpointKey>,
}

impl Prompt {
    fn new(traffic: &Traffic, job: &Job, service: &ServiceView, model: Option<&ModelId>) -> Prompt {
        let now = traffic.shared.now();
        let part = job.part(model);
        let readers = |part| service.prefixes.endpoints_with(now, part);
        Prompt {
            part,
            reread: job.reread(weight_of(traffic, job, model)),
            kept_at: part.map_or_else(Vec::new, readers),
        }
    }
}

fn pick(
    traffic: &Traffic,
    job: &Job,
    tried: &[EndpointId],
    service: &ServiceView,
    side: ReleaseTrack,
    prompt: &Prompt,
) -> Result<Chosen> {
    let place = job.facts.shared_prefix.as_deref().unwrap_or(&job.id);
    let ask = PlacementRequest {
        ring_position: ring_position_of(place.as_bytes()),
        salt: ring_position_of(job.id.as_bytes()).wrapping_add(tried.len() as u64),
        required_tokens: Tokens(0),
        tried,
        priority: 0,
        reread_work: prompt.reread,
        prefix_holders: &prompt.kept_at,
        locality: Some(Locality {
            failure_domain: &traffic.shared.settings.failure_domain,
            crossing_work: CROSSING_WORK,
        }),
    };
    let now = traffic.shared.now();
    let pool = service.pool(side);
    let PickedEndpoint { endpoint: picked, is_loaded } =
        service.pick(now, side, job.version_draw(), &ask)?;
    let prefix = match job.facts.shared_prefix {
        Some(_) => prefix_at(now, pool, picked, &ask),
        None => PrefixAt::None,
    };
    let new_version = match side {
        ReleaseTrack::Stable => None,
        ReleaseTrack::Canary => service.canary.as_ref().map(|t| t.version.clone()),
    };
    Ok(Chosen {
        id: picked.id.clone(),
        address: picked.address.clone(),
        failure_domain: picked.failure_domain.clone(),
        live: picked.state.clone(),
        prefix,
        new_version,
        is_loaded,
    })
}

/// Tells where the request's shared part is for a picked endpoint.
fn prefix_at(
    now: Millis,
    pool: &PoolView,
    picked: &PoolEndpoint,
    ask: &PlacementRequest<'_>,
) -> PrefixAt {
    if ask.prefix_holders.contains(&EndpointKey::from(&picked.id)) {
        return PrefixAt::Kept;
    }
    match pool.prefix_source(now, ask, picked) {
        None => PrefixAt::Unknown,
        Some(keeper) if ask.reread_work >= FETCHED_FROM => {
            PrefixAt::Fetched(keeper.address.clone())
        }
        Some(keeper) if keeper.failure_domain == picked.failure_domain => PrefixAt::Moved,
        Some(_) => PrefixAt::Far,
    }
}

/// Gets a model's weight in the work of an endpoint, by its price beside the largest model's.
pub fn weight_of(traffic: &Traffic, job: &Job, model: Option<&ModelId>) -> f64 {
    let view = traffic.shared.view.load();
    let service = view.catalog.as_ref().and_then(|c| c.services.get(&job.service));
    match (service, model) {
        (Some(service), Some(model)) => service.model_weight(model),
        _ => 1.0,
    }
}

/// Chooses an endpoint on which a broken stream goes on.
pub fn choose_again(
    traffic: &Traffic,
    job: &Job,
    tries: &Tries,
    model: Option<&ModelId>,
) -> Result<(Chosen, WorkShare)> {
    let route = &job.admitted.route;
    if tries.sent >= route.max_attempts {
        return Err(Error::new(Code::EndpointFailed, "no attempt is left"));
    }
    let chosen = choose(traffic, job, tries, model)?;
    check_before_send(traffic, job, tries)?;
    let share = WorkShare::new(&chosen, job, weight_of(traffic, job, model));
    Ok((chosen, share))
}
