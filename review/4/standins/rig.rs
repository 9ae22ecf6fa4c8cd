//! Processes, addresses, clients and the record of a case.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{read_head, Message};

/// API key of all clients.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Milliseconds of the machine's time, which all processes of a case share.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// A small generator of pseudorandom numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The record of a case: `record.txt`, with the time in seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start_ms: u64,
}

impl Record {
    pub fn create(dir: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(dir.join("record.txt"))?));
        Ok(Record { file, start_ms: now_ms() })
    }

    pub fn write(&self, text: &str) {
        self.write_at(now_ms(), text);
    }

    pub fn write_at(&self, at_ms: u64, text: &str) {
        let seconds = at_ms.saturating_sub(self.start_ms) as f64 / 1_000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}

/// One line that a replica wrote: when, and its words.
#[derive(Clone, Debug)]
pub struct ReplicaEvent {
    pub at_ms: u64,
    pub replica: String,
    pub words: Vec<String>,
}

pub type ReplicaEvents = Arc<Mutex<Vec<ReplicaEvent>>>;

/// A process of the case, which is killed when this is dropped.
pub struct Process(pub Child);

impl Process {
    /// Sends a signal by its name, such as STOP.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.0.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address of this case that no other process uses: 127.x.y.N, from the process id.
pub fn case_ip(n: u32) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{n}", 10 + (pid >> 8) % 200, pid % 250)
}

/// Returns an address with a free port for TCP and UDP.
pub fn free_address(ip: &str) -> String {
    loop {
        let Ok(listener) = TcpListener::bind((ip, 0)) else { continue };
        let Ok(address) = listener.local_addr() else { continue };
        if UdpSocket::bind(address).is_ok() {
            return address.to_string();
        }
    }
}

/// A host with the addresses that it was given.
pub struct Host {
    pub process: Process,
    pub frontend: String,
    readiness: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
}

impl Host {
    fn spawn(program: &Path, settings: &Path, log: &Path) -> std::io::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .env_clear()
            .env("TIDETRACK_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Process(child))
    }

    /// Starts the program again after its process has ended, as the platform does.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.process = Host::spawn(&self.program, &self.settings, &self.log)?;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.readiness) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: readiness\r\n\r\n");
        read_head(&mut BufReader::new(stream)).is_some_and(|m| m.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the memory in use in MB.
    pub fn memory_mb(&self) -> f64 {
        let status = format!("/proc/{}/status", self.process.0.id());
        let text = std::fs::read_to_string(status).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
        let kb: f64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
        kb / 1_024.0
    }
}

/// Starts hosts with the settings of a small deployment. `work_dir` takes settings and logs.
pub fn start_hosts(
    program: &Path,
    work_dir: &Path,
    store_address: &str,
    count: u32,
) -> std::io::Result<Vec<Host>> {
    let ips: Vec<String> = (1..=count).map(case_ip).collect();
    let control: Vec<String> = ips.iter().map(|ip| free_address(ip)).collect();
    let seeds = control.iter().take(3).cloned().collect::<Vec<_>>().join(",");
    let mut hosts = Vec::new();
    for (i, ip) in ips.iter().enumerate() {
        let (frontend, readiness) = (free_address(ip), free_address(ip));
        let n = i + 1;
        let text = format!(
            "node-name=edge-hall-{n}\nrole=host\nmachine-class=edge\nserves=edge,control_plane\n\
             ip={ip}\nzone=hall\nregion=region\nzones.hall=region\n\
             listen.frontend={frontend}\nlisten.readiness={readiness}\nlisten.control-plane={}\n\
             internal-ports=7340,7355\nseed-nodes={seeds}\nbootstrap=true\nin-tolerance=false\n\
             limits.cpu-quota=0.25\nlimits.cpu-cores=1\nlimits.memory-mb=110\nlimits.max-fds=4100\n\
             limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat-ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout\n\
             bounds.contact-ms=3000\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.config-apply-ms=2000\nbounds.strict-revocation=true\nbounds.revoke-ms=5000\n\
             bounds.retry-ratio=0.9\nbounds.retry-window-s=10\nbounds.retry-allowance=58\n\
             bounds.exposure-share=0.15\nbounds.exposure-allowance=30\nbounds.rollback-ms=5000\n\
             bounds.recovery-s=12\nbounds.session-s=5\nplatform.address={store_address}\n\
             platform.form=objects\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n\
             platform.history-s=20\nplatform.value-bytes=1048576\n",
            control[i]
        );
        let settings = work_dir.join(format!("host-{n}.conf"));
        let log = work_dir.join(format!("host-{n}.log"));
        std::fs::write(&settings, text)?;
        let process = Host::spawn(program, &settings, &log)?;
        let program = program.to_path_buf();
        hosts.push(Host { process, frontend, readiness, program, settings, log });
    }
    Ok(hosts)
}

/// Starts a replica (`replica` or `engine`) as a process of its own and collects what it writes.
pub fn start_replica(
    role: &str,
    id: &str,
    address: &str,
    options: &[String],
    events: &ReplicaEvents,
    record: &Record,
) -> std::io::Result<Process> {
    let mut child = Command::new(std::env::current_exe()?)
        .args([role, id, address])
        .args(options)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let stdout = child.stdout.take().ok_or(std::io::ErrorKind::Other)?;
    let (events, record, replica) = (events.clone(), record.clone(), id.to_string());
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let mut words = line.split(' ').map(str::to_string);
            let at_ms = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
            let words: Vec<String> = words.collect();
            record.write_at(at_ms, &format!("replica {replica}: {}", words.join(" ")));
            events.lock().unwrap().push(ReplicaEvent { at_ms, replica: replica.clone(), words });
        }
    });
    Ok(Process(child))
}

/// Sends one request on a connection and returns the whole answer; `None` if the connection ends first.
pub fn ask(stream: &mut TcpStream, request: &[u8]) -> Option<Message> {
    stream.write_all(request).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut message = read_head(&mut reader)?;
    let length: usize = message.header("content-length").and_then(|v| v.parse().ok())?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Makes a directory for settings and logs of this run, outside of the repository.
pub fn work_dir() -> std::io::Result<PathBuf> {
    let dir = std::env::temp_dir().join(format!("tidetrack-review-2-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}
