//! A small fleet: stand-ins in this process, routers as processes, a proxy on every link.

use std::path::{Path, PathBuf};

use anyhow::{anyhow, Result};

use tidetrack_core::declare::{read_folder, DeclaredObjects};
use tidetrack_core::message_auth::{digest, Key, KeyRing};
use tidetrack_core::node::NodeOptions;
use tidetrack_core::traffic::suspects::SuspectOptions;
use tidetrack_ctl::{apply, status};
use tidetrack_router::control::Status;
use tidetrack_router::settings::{ProcessLimits, Times};
use tidetrack_router::Settings;
use tidetrack_standin::engine::{Engine, EngineOptions};
use tidetrack_standin::http::Running;
use tidetrack_standin::objects::Platform;
use tidetrack_standin::rater::Rater;
use tidetrack_standin::service::Service;
use tidetrack_wire::platform::{ListedHost, ListedState, PlatformClient};

use crate::caller::Caller;
use crate::process::RouterProcess;
use crate::proxy::Proxy;
use crate::wait_for;

/// The workspace's key.
pub const KEY: &str = "caller-key";
/// The operators' key.
pub const OPERATOR_KEY: &str = "operator-key";

/// How a fleet is made.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Routers.
    pub hosts: usize,
    /// Failure domains that they stand in, in turn.
    pub domains: usize,
    /// The old version's engine; its version is set by the fleet.
    pub engine: EngineOptions,
    /// Quality of the new version.
    pub new_quality: f64,
    /// Times of the routers.
    pub times: Times,
    /// Times of the routers' control state.
    pub control: NodeOptions,
    /// Threads of each router.
    pub threads: usize,
    /// Requests a second of the workspace.
    pub rate: f64,
    /// Whether hosts talk past the proxies, as measurements of bytes need.
    pub direct: bool,
    /// Further declarations.
    pub more: String,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            hosts: 3,
            domains: 2,
            engine: EngineOptions { token_us: 500, ..EngineOptions::default() },
            new_quality: 0.9,
            times: Times { flush_interval_ms: 500, stop_grace_ms: 100, ..Times::default() },
            control: NodeOptions::default(),
            threads: 32,
            rate: 10_000.0,
            direct: false,
            more: String::new(),
        }
    }
}

/// One host of a fleet with its proxies.
pub struct Host {
    /// The process; absent while it is down.
    pub process: Option<RouterProcess>,
    /// Between this host and the object API.
    pub to_platform: Proxy,
    /// Between other hosts and this one.
    pub to_peer: Proxy,
    /// Between other hosts' passed-on calls and this one.
    pub to_caller: Proxy,
    settings: Settings,
}

impl Host {
    /// Gets the process.
    pub fn process(&self) -> &RouterProcess {
        self.process.as_ref().expect("the host is up")
    }

    /// Gets a caller before this host.
    pub fn caller(&self) -> Caller {
        Caller { host: self.process().caller.clone(), key: KEY.into() }
    }

    /// Gets what the host shows of itself.
    pub fn status(&self) -> Option<Status> {
        status::fetch_status(&self.process().caller, OPERATOR_KEY).ok()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }
}

/// A fleet with its stand-ins.
pub struct Fleet {
    /// The platform.
    pub objects: Platform,
    /// A client of the platform, past all proxies.
    pub platform: PlatformClient,
    /// The engine of `model@1`.
    pub old: Engine,
    /// Its address, past all proxies.
    pub old_address: String,
    /// The engine of `model@2`.
    pub new: Engine,
    /// The plain service.
    pub service: Service,
    /// Between the routers and the engine of `model@1`.
    pub to_old: Proxy,
    /// Between the routers and the plain service.
    pub to_service: Proxy,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// What is declared.
    pub declared: DeclaredObjects,
    platform_address: String,
    rater_address: String,
    binary: PathBuf,
    dir: PathBuf,
    options: FleetOptions,
    _running: Vec<Running>,
}

fn key_ring() -> KeyRing {
    let key = Key { id: "k1".into(), secret: "a secret for tests only".into() };
    KeyRing { current: key, previous: None }
}

fn declarations(old: &str, new: &str, service: &str, options: &FleetOptions) -> String {
    let (rate, more) = (options.rate, &options.more);
    let digest = digest(KEY.as_bytes());
    format!(
        r#"
[pool.old-pool]
endpoints = {{ old = {{ address = "{old}", failure_domain = "d0" }} }}
[pool.new-pool]
endpoints = {{ new = {{ address = "{new}", failure_domain = "d1" }} }}
[version."model@1"]
pool = "old-pool"
price_in = 1000
price_out = 1000
[version."model@2"]
pool = "new-pool"
price_in = 1000
price_out = 1000
[model.model]
serving = "model@1"
[workspace.caller]
key_digests = ["{digest}"]
allow = ["model@1", "model@2"]
requests_per_second = {rate:.1}
[service.vault]
once = ["POST /grant"]
workspaces = ["caller"]
endpoints = {{ vault = {{ address = "{service}", failure_domain = "d0" }} }}
[policy.chat]
program = '"model"'
fallback = ["model"]
[rollout.to-2]
from = "model@1"
to = "model@2"
stale_ms = 5000
[[rollout.to-2.stages]]
share = 0.5
cap = 12
judged = 1000
[keyring.fleet.current]
id = "k1"
secret = "a secret for tests only"
{more}
"#
    )
}

impl Fleet {
    /// Starts a fleet of `binary` processes and waits until every host is ready and knows all.
    pub fn start(binary: &Path, options: FleetOptions) -> Result<Fleet> {
        let objects = Platform::default();
        let platform = objects.serve("127.0.0.1:0")?;
        let engine = |version: &str, quality: f64| {
            let version = version.to_string();
            Engine::new(EngineOptions { version, quality, ..options.engine.clone() })
        };
        let old = engine("model@1", options.engine.quality);
        let new = engine("model@2", options.new_quality);
        let service = Service::default();
        let running = [
            old.serve("127.0.0.1:0")?,
            new.serve("127.0.0.1:0")?,
            service.serve("127.0.0.1:0")?,
            Rater::default().serve("127.0.0.1:0")?,
        ];
        let to_old = Proxy::before(&running[0].address())?;
        let to_service = Proxy::before(&running[2].address())?;
        let text =
            declarations(&to_old.address(), &running[1].address(), &to_service.address(), &options);
        let declared =
            read_folder(&[("fleet.toml".to_string(), text)]).map_err(|f| anyhow!("{f:?}"))?;
        let mut fleet = Fleet {
            platform: PlatformClient::new(&platform.address()),
            platform_address: platform.address(),
            rater_address: running[3].address(),
            objects,
            old_address: running[0].address(),
            old,
            new,
            service,
            to_old,
            to_service,
            hosts: Vec::new(),
            declared,
            binary: binary.to_path_buf(),
            dir: std::env::temp_dir().join(format!("tidetrack-{:016x}", rand::random::<u64>())),
            options,
            _running: running.into_iter().chain([platform]).collect(),
        };
        fleet.apply()?;
        for n in 0..fleet.options.hosts {
            fleet.add_host(n)?;
        }
        fleet.list_hosts();
        fleet.wait_whole();
        Ok(fleet)
    }

    /// Applies what is declared.
    pub fn apply(&self) -> Result<()> {
        let lines = apply::diff(&self.platform, &self.declared, false)?;
        match apply::apply(&self.platform, &lines, &mut |_, _| {}).first_failure() {
            Some(e) => Err(e.into()),
            None => Ok(()),
        }
    }

    fn add_host(&mut self, n: usize) -> Result<()> {
        let to_platform = Proxy::before(&self.platform_address)?;
        let (to_peer, to_caller) = (Proxy::start()?, Proxy::start()?);
        let proxied = !self.options.direct;
        let settings = Settings {
            host: format!("host-{n}").parse()?,
            failure_domain: format!("d{}", n % self.options.domains).parse()?,
            caller_address: "127.0.0.1:0".into(),
            peer_address: "127.0.0.1:0".into(),
            advertised_caller_address: proxied.then(|| to_caller.address()),
            advertised_peer_address: proxied.then(|| to_peer.address()),
            platform_address: match proxied {
                true => to_platform.address(),
                false => self.platform_address.clone(),
            },
            rating_address: Some(self.rater_address.clone()),
            peer_keys: key_ring(),
            operator_key_digest: digest(OPERATOR_KEY.as_bytes()),
            limits: ProcessLimits { threads: self.options.threads, ..ProcessLimits::default() },
            times: self.options.times.clone(),
            control: self.options.control.clone(),
            suspects: SuspectOptions::default(),
            log_level: "info".into(),
        };
        self.hosts.push(Host { process: None, to_platform, to_peer, to_caller, settings });
        self.start_host(n)
    }

    /// Starts a host's process, again if it was down.
    pub fn start_host(&mut self, n: usize) -> Result<()> {
        let host = &mut self.hosts[n];
        let process = RouterProcess::start(&self.binary, &host.settings, &self.dir)?;
        host.to_peer.set_target(&process.peer);
        host.to_caller.set_target(&process.caller);
        host.process = Some(process);
        Ok(())
    }

    /// Puts all hosts on the platform's list.
    pub fn list_hosts(&self) {
        let listed = |h: &Host| ListedHost {
            name: h.settings.host.to_string(),
            role: "router".into(),
            address: match self.options.direct {
                true => h.process().peer.clone(),
                false => h.to_peer.address(),
            },
            state: ListedState::Live,
        };
        self.objects.set_hosts(self.hosts.iter().map(listed).collect());
    }

    /// Waits until every running host is ready, knows all the others, and has the newest.
    pub fn wait_whole(&self) {
        let up: Vec<&Host> = self.hosts.iter().filter(|h| h.process.is_some()).collect();
        wait_for("a whole fleet", || {
            let all: Vec<Status> = up.iter().map(|h| h.status()).collect::<Option<_>>()?;
            let newest = all.iter().map(|s| s.applied_revision).max()?;
            let whole = |s: &Status| {
                let live = s.members.iter().filter(|m| m.is_live()).count();
                s.applied_revision == newest && newest > 0 && live == up.len()
            };
            all.iter().all(whole).then_some(())
        });
    }

    /// Waits until every running host satisfies `is_so`.
    pub fn wait_all(&self, what: &str, is_so: impl Fn(&Status) -> bool) {
        for host in self.hosts.iter().filter(|h| h.process.is_some()) {
            wait_for(what, || host.status().filter(|s| is_so(s)).map(|_| ()));
        }
    }

    /// Gets the folder of settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        if std::thread::panicking() {
            eprintln!("the routers' logs are in {}", self.dir.display());
        } else {
            // A folder that cannot be removed is one of the system's temporary ones.
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
