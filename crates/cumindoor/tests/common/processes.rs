//! Routers as child processes, with simulated engines and platform in the test's process.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use standin::{Engine, Platform, PlatformOptions, UpstreamEntry, VmEntry};

use super::nodes::{document, engine};

/// A router process; it is killed when the handle is dropped.
pub struct Process {
    pub name: String,
    pub peers: SocketAddr,
    pub callers: SocketAddr,
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a router. `ports` are those for peers and for callers: 0 for any free port, or the
    /// ports of an earlier process that it replaces.
    fn start(dir: &PathBuf, name: &str, platform: SocketAddr, ports: (u16, u16)) -> Self {
        let mut text = format!("[vm]\nname = {name}\ndata-centre = suape\n");
        text += "request-limit = 1 min\nstop-limit = 2 min\n\n[callers]\n";
        let _ = writeln!(text, "address = 127.0.0.1:{}\n", ports.1);
        let _ = writeln!(text, "[peers]\naddress = 127.0.0.1:{}\n", ports.0);
        let _ = writeln!(text, "[platform]\naddresses = {platform}\n");
        text += "[log]\nlevel = warn\n";
        std::fs::create_dir_all(dir).unwrap();
        let file = dir.join(format!("{name}.ini"));
        std::fs::write(&file, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cumindoor"))
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut addr = |word: &str| {
            let line = lines.next().expect("a line with an address").unwrap();
            let (first, addr) = line.split_once(' ').unwrap();
            assert_eq!(first, word);
            addr.parse().unwrap()
        };
        let (peers, callers) = (addr("peers"), addr("callers"));
        Self {
            name: name.to_owned(),
            peers,
            callers,
            child,
        }
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Returns whether the process exited with success, or `None` if it is still running.
    pub fn exit_success(&mut self) -> Option<bool> {
        let status = self.child.try_wait().unwrap()?;
        Some(status.success())
    }

    /// Returns the answer to `GET /status`, or `None` if there is none within 2 s.
    pub async fn status(&self) -> Option<Value> {
        let limit = Duration::from_secs(2);
        cumindoor::status::fetch(self.peers, limit).await.ok()
    }

    pub fn entry(&self) -> VmEntry {
        VmEntry {
            name: self.name.clone(),
            data_centre: "suape".into(),
            peer: self.peers.to_string(),
            state: "live".into(),
        }
    }
}

/// A fleet of router processes. Dropping it removes their settings files.
pub struct Processes {
    pub vms: BTreeMap<String, Process>,
    pub platform: Platform,
    pub prefills: Vec<Arc<Engine>>,
    pub decodes: Vec<Arc<Engine>>,
    dir: PathBuf,
}

impl Processes {
    /// Starts `vms` routers in front of two prefill and two decode engines.
    ///
    /// The name of the settings directory contains the id of the test process, because concurrent
    /// runs of a test would otherwise start routers with each other's settings.
    pub async fn start(test: &str, vms: usize, slots: u32) -> Self {
        let platform = Platform::spawn(PlatformOptions::default()).await.unwrap();
        platform.put_document("celeste", &document(slots)).unwrap();
        let (mut prefills, mut decodes) = (Vec::new(), Vec::new());
        for number in 0..2 {
            let prefill = engine(standin::Role::Prefill, slots).await;
            put_engine(&platform, &format!("prefill-{number}"), "prefill", &prefill);
            prefills.push(prefill);
            let decode = engine(standin::Role::Decode, slots).await;
            put_engine(&platform, &format!("decode-{number}"), "decode", &decode);
            decodes.push(decode);
        }
        let mut processes = Self {
            vms: BTreeMap::new(),
            platform,
            prefills,
            decodes,
            dir: PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
                .join(format!("{test}-{}", std::process::id())),
        };
        for number in 1..=vms {
            processes.add(&format!("vm-{number}"), (0, 0)).await;
        }
        processes
    }

    /// Starts one router and waits until it serves callers.
    pub async fn add(&mut self, name: &str, ports: (u16, u16)) {
        let (dir, name) = (self.dir.clone(), name.to_owned());
        let platform = self.platform.addr();
        let start = move || Process::start(&dir, &name, platform, ports);
        let process = tokio::task::spawn_blocking(start).await.unwrap();
        self.platform.put_vm(process.entry());
        self.vms.insert(process.name.clone(), process);
    }

    /// Waits until the status of every named router satisfies `condition`.
    pub async fn wait_for_all(
        &self,
        what: &str,
        names: &[&str],
        condition: impl Fn(&Value) -> bool,
    ) {
        let polled = async {
            for name in names {
                while !self.vms[*name]
                    .status()
                    .await
                    .as_ref()
                    .is_some_and(&condition)
                {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        super::with_timeout(what, polled).await;
    }

    pub fn names(&self) -> Vec<&str> {
        self.vms.keys().map(String::as_str).collect()
    }

    pub fn stall_decodes(&self, stalled: bool) {
        let decodes = self.decodes.iter();
        decodes.for_each(|engine| engine.update_faults(|fault| fault.stall_work = stalled));
    }

    pub fn slots_used(&self) -> usize {
        self.decodes.iter().map(|e| e.slots_used() as usize).sum()
    }

    pub async fn wait_until_nothing_held(&self) {
        let engines = || self.prefills.iter().chain(&self.decodes);
        let empty = || engines().all(|engine| engine.held_ids().is_empty());
        super::wait_until("engines hold nothing", empty).await;
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn put_engine(platform: &Platform, name: &str, role: &str, engine: &Engine) {
    platform.put_upstream(UpstreamEntry {
        name: name.into(),
        service: "chat".into(),
        role: role.into(),
        data_centre: "suape".into(),
        address: engine.addr().to_string(),
        state: "live".into(),
    });
}
