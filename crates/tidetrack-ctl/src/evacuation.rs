//! The verbs of `evacuate`: nothing further is sent to the endpoints of a failure domain, until the
//! order is ended.

use std::collections::{BTreeMap, BTreeSet};

use tidetrack_core::codes::Code;
use tidetrack_core::config::{Endpoint, Evacuation, Object, ObjectKey, ObjectKind};
use tidetrack_core::errors::{bad_value, Error, Result};
use tidetrack_core::ids::FailureDomain;
use tidetrack_router::control::Status;
use tidetrack_wire::platform::{config_object_name, PlatformClient};

/// Orders the evacuation of a failure domain, in which some endpoint has to be declared. Returns the
/// object's version in the store; ordering an evacuated domain again changes only the reason.
pub fn start(platform: &PlatformClient, domain: &FailureDomain, reason: &str) -> Result<u64> {
    let declared = declared_domains(platform)?;
    if !declared.contains(domain) {
        let names: Vec<&str> = declared.iter().map(FailureDomain::as_str).collect();
        let expected = format!("a failure domain with endpoints: {}", names.join(", "));
        return Err(bad_value("failure domain", domain.as_str(), &expected));
    }
    let key = ObjectKey::new(ObjectKind::Evacuation, domain);
    let known_version = stored_version(platform, &key)?.unwrap_or(0);
    let body = Object::Evacuation(Evacuation { reason: reason.into() }).to_json();
    Ok(platform.write_confirmed(&config_object_name(&key), known_version, &body)?.version)
}

/// Ends the evacuation of a failure domain. Fails if it is not evacuated.
pub fn end(platform: &PlatformClient, domain: &FailureDomain) -> Result<()> {
    let key = ObjectKey::new(ObjectKind::Evacuation, domain);
    let Some(version) = stored_version(platform, &key)? else {
        return Err(Error::new(Code::ObjectGone, format!("{domain} is not evacuated")));
    };
    platform.delete(&config_object_name(&key), version).map(drop)
}

/// Returns the evacuated failure domains with the reasons.
pub fn list(platform: &PlatformClient) -> Result<BTreeMap<String, String>> {
    let mut evacuated = BTreeMap::new();
    for (key, object) in objects(platform)? {
        if let Object::Evacuation(order) = object {
            evacuated.insert(key.name, order.reason);
        }
    }
    Ok(evacuated)
}

/// Formats the evacuated domains as a table. With the states of hosts, each line shows the work that
/// these still have there.
pub fn render(evacuated: &BTreeMap<String, String>, hosts: &[Status]) -> String {
    let mut out = String::from("domain               in force  work left  reason\n");
    for (domain, reason) in evacuated {
        let works: Vec<u64> = hosts
            .iter()
            .flat_map(|host| &host.evacuated_work)
            .filter(|(evacuated, _)| evacuated.as_str() == domain)
            .map(|(_, work)| *work)
            .collect();
        let in_force = format!("{}/{}", works.len(), hosts.len());
        let left: u64 = works.iter().sum();
        out.push_str(&format!("{domain:<20} {in_force:>8}  {left:>9}  {reason}\n"));
    }
    out
}

/// Returns the stored version of an object, or `None` if it does not exist.
fn stored_version(platform: &PlatformClient, key: &ObjectKey) -> Result<Option<u64>> {
    match platform.fetch(&config_object_name(key)) {
        Ok(stored) => Ok(Some(stored.version)),
        Err(e) if e.code == Code::ObjectGone => Ok(None),
        Err(e) => Err(e),
    }
}

/// Returns the failure domains in which endpoints are declared.
fn declared_domains(platform: &PlatformClient) -> Result<BTreeSet<FailureDomain>> {
    let mut domains = BTreeSet::new();
    for (_, object) in objects(platform)? {
        let endpoints = match object {
            Object::Pool(pool) => pool.endpoints,
            Object::Service(service) => service.endpoints,
            _ => continue,
        };
        domains.extend(endpoints.into_values().map(|e: Endpoint| e.failure_domain));
    }
    Ok(domains)
}

/// Returns the objects of the configuration that can be parsed.
fn objects(platform: &PlatformClient) -> Result<Vec<(ObjectKey, Object)>> {
    let (_, entries) = platform.list_config()?;
    let parse = |e: tidetrack_core::store::Entry| {
        let object = Object::from_json(e.key.kind, e.body.as_deref()?).ok()?;
        Some((e.key, object))
    };
    Ok(entries.into_iter().filter_map(parse).collect())
}
