//! Router processes that can be started, paused, resumed, terminated and killed.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use anyhow::{Context, Result};
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};

use tidetrack_router::Settings;

/// Hard limit on open files, up to which a lowered limit can be raised again.
const HARD_FILE_LIMIT: u64 = 4_096;

/// A router process, which is killed when this value is dropped.
pub struct RouterProcess {
    child: Child,
    /// Address that serves callers, as `ip:port`.
    pub caller_address: String,
    /// Address that serves other hosts, as `ip:port`.
    pub peer_address: String,
    /// Path of the log file.
    pub log_path: PathBuf,
}

impl RouterProcess {
    /// Starts `binary` with a settings file and a log file in `dir`, and waits until the process prints
    /// its addresses.
    pub fn start(binary: &Path, settings: &Settings, dir: &Path) -> Result<RouterProcess> {
        std::fs::create_dir_all(dir)?;
        let unique = format!("{}-{:08x}", settings.host, rand::random::<u32>());
        let settings_path = dir.join(format!("{unique}.toml"));
        std::fs::write(&settings_path, toml::to_string(settings)?)?;
        let log_path = dir.join(format!("{unique}.log"));
        let mut child = Command::new(binary)
            .arg("--settings")
            .arg(&settings_path)
            .stdout(Stdio::piped())
            .stderr(std::fs::File::create(&log_path)?)
            .spawn()
            .with_context(|| binary.display().to_string())?;
        let stdout =
            child.stdout.take().context("the standard output of the router is not piped")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let fields: Vec<&str> = line.split_whitespace().collect();
        let ["callers", caller_address, "hosts", peer_address] = fields[..] else {
            anyhow::bail!(
                "unexpected first line of the router's output {line:?}; its log is {}",
                log_path.display()
            );
        };
        Ok(RouterProcess {
            caller_address: caller_address.into(),
            peer_address: peer_address.into(),
            child,
            log_path,
        })
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process ID is above 0");
        kill_process(pid, signal).expect("the process is a child that was not waited for yet");
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("the process is a child of this one");
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process is a child of this one")
    }

    /// Reports whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the process is a child of this one").is_some()
    }

    /// Sets the soft limit on open files of the process.
    pub fn set_file_limit(&self, max_files: u64) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process ID is above 0");
        let limit = Rlimit { current: Some(max_files), maximum: Some(HARD_FILE_LIMIT) };
        prlimit(Some(pid), Resource::Nofile, limit).expect("the process is a child of this one");
    }

    /// Returns the number of file descriptors that the process has open.
    pub fn count_open_files(&self) -> Result<u64> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.id()))?.count() as u64)
    }

    /// Returns the user and system CPU time used so far, in ticks of 10 ms.
    pub fn cpu_ticks(&self) -> Result<u64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        // utime and stime are fields 14 and 15 of the line. The process ID and the name, fields 1
        // and 2, are cut off here.
        Ok(fields[11].parse::<u64>()? + fields[12].parse::<u64>()?)
    }

    /// Returns the resident memory, in KiB.
    pub fn resident_kib(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = status
            .lines()
            .find(|l| l.starts_with("VmRSS:"))
            .context("no VmRSS line in the process status")?;
        Ok(line.split_whitespace().nth(1).context("no value in the VmRSS line")?.parse()?)
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.signal(Signal::KILL);
            let _ = self.child.wait();
        }
    }
}
