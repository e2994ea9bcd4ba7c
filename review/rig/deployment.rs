//! A small deployment: the store, workers and gateways, and their ends.

use std::fs;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Reader;
use crate::store::Store;

/// The longest time that a case may take; the processes are ended then.
const LIMIT: Duration = Duration::from_secs(110);

/// The interval of the workers' writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// All processes that were started.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// The temporary folder with the settings and the logs.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    path: PathBuf,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = fs::File::create(path).expect("the record");
        Self { path: path.to_owned(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn write(&self, text: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        self.raw(&format!("{now} {text}"));
    }

    /// Returns the lines so far that contain `text`.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let all = fs::read_to_string(&self.path).unwrap_or_default();
        all.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    fn raw(&self, line: &str) {
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{line}");
    }
}

/// Ends all processes and this one, and removes the temporary folder.
pub fn finish(record: &Record, code: i32, verdict: &str) -> ! {
    record.write(&format!("verdict: {verdict} (exit {code})"));
    println!("{verdict}");
    let mut started = STARTED.lock().unwrap_or_else(|error| error.into_inner());
    for child in started.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.lock().unwrap_or_else(|error| error.into_inner()).take() {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Makes a process end together with this one, however this one ends.
fn tie(command: &mut Command) {
    use std::os::unix::process::CommandExt as _;
    const SET_PARENT_DEATH_SIGNAL: i32 = 1;
    const KILL: u64 = 9;
    // SAFETY: the call only sets an attribute of the new process.
    unsafe {
        command.pre_exec(|| {
            prctl(SET_PARENT_DEATH_SIGNAL, KILL);
            Ok(())
        });
    }
}

fn keep(child: Child) -> usize {
    let mut started = STARTED.lock().unwrap_or_else(|error| error.into_inner());
    started.push(child);
    started.len() - 1
}

/// Kills a process with SIGKILL.
pub fn kill(process: usize) {
    let mut started = STARTED.lock().unwrap_or_else(|error| error.into_inner());
    let _ = started[process].kill();
    let _ = started[process].wait();
}

/// Returns the number of a process.
pub fn pid(process: usize) -> u32 {
    STARTED.lock().unwrap_or_else(|error| error.into_inner())[process].id()
}

pub struct Worker {
    pub id: String,
    pub process: usize,
    input: ChildStdin,
    is_alive: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
}

impl Worker {
    pub fn command(&mut self, text: &str) {
        let _ = writeln!(self.input, "{text}");
        let _ = self.input.flush();
    }

    /// Reports that the worker leaves; it serves on for a while and then ends.
    pub fn drain(self) {
        self.is_draining.store(true, Ordering::Relaxed);
        let (process, is_alive, mut input) = (self.process, self.is_alive, self.input);
        thread::spawn(move || {
            let _ = writeln!(input, "leave");
            thread::sleep(Duration::from_millis(3_500));
            is_alive.store(false, Ordering::Relaxed);
            kill(process);
        });
    }
}

/// What a worker is started with.
#[derive(Clone, Copy)]
pub struct WorkerPlan {
    pub service: &'static str,
    pub version: &'static str,
    pub slots: u32,
    pub framing: &'static str,
    pub conduct: &'static str,
}

pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub process: usize,
    number: usize,
}

pub struct Deployment {
    pub store: Store,
    pub record: Record,
    folder: PathBuf,
    root: PathBuf,
    /// The first three numbers of the gateways' loopback addresses.
    net: String,
    memory_mb: u32,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Deployment {
    pub fn start(record: &Record, memory_mb: u32) -> Self {
        let limit = record.clone();
        thread::spawn(move || {
            thread::sleep(LIMIT);
            finish(&limit, 2, "the case took too long")
        });
        let root = std::env::current_dir().expect("the repository");
        let own = std::process::id();
        let folder = std::env::temp_dir().join(format!("trefoildyke-review-{own}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        *FOLDER.lock().unwrap_or_else(|error| error.into_inner()) = Some(folder.clone());
        let net = format!("127.{}.{}", 20 + own / 250 % 200, 1 + own % 250);
        Self { store: Store::start(), record: record.clone(), folder, root, net, memory_mb }
    }

    /// Starts a worker and writes its entry until it is crashed.
    pub fn worker(&self, number: usize, plan: WorkerPlan) -> Worker {
        let address = format!("127.0.0.1:{}", free_port("127.0.0.1"));
        let id = format!("i-{number:04x}");
        let rig = std::env::current_exe().expect("this program");
        let slots = plan.slots.to_string();
        let options = ["worker", &address, &id, plan.version, &slots, plan.framing, plan.conduct];
        let mut command = Command::new(rig);
        command.args(options).stdin(Stdio::piped()).stdout(Stdio::piped());
        tie(&mut command);
        let mut child = command.spawn().expect("a worker");
        let (input, output) =
            (child.stdin.take().expect("input"), child.stdout.take().expect("output"));
        let (said, name) = (self.record.clone(), id.clone());
        let (opened, is_open) = std::sync::mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let (at, text) = line.split_once(' ').unwrap_or(("", ""));
                if text == "open" {
                    let _ = opened.send(());
                }
                said.raw(&format!("{at} worker {name} {text}"));
            }
        });
        is_open.recv_timeout(Duration::from_secs(5)).expect("a worker that listens");
        let is_alive = Arc::new(AtomicBool::new(true));
        let is_draining = Arc::new(AtomicBool::new(false));
        let leaves = Arc::clone(&is_draining);
        let (store, alive, key) =
            (self.store.clone(), Arc::clone(&is_alive), format!("servers/{id}"));
        thread::spawn(move || {
            let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            let mut seq = 0;
            while alive.load(Ordering::Relaxed) {
                seq += 1;
                let WorkerPlan { service, version, slots, .. } = plan;
                let state = if leaves.load(Ordering::Relaxed) { "draining" } else { "ready" };
                store.put(&key, &format!("{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"salem\",\"version\":\"{version}\",\"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0,\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq},\"born\":{born}}}"));
                thread::sleep(HEARTBEAT);
            }
            if !leaves.load(Ordering::Relaxed) {
                // The entry goes after three intervals of silence.
                thread::sleep(HEARTBEAT * 2);
            }
            store.remove(&key);
        });
        self.record.write(&format!(
            "started worker {id} service={} version={} slots={}",
            plan.service, plan.version, plan.slots
        ));
        Worker { id, process: keep(child), input, is_alive, is_draining }
    }

    /// Starts a gateway at a loopback address of its own.
    pub fn gateway(&self, number: usize) -> Gateway {
        self.gateway_at(number, &format!("{}.{}", self.net, number + 1))
    }

    /// Starts a gateway at a loopback address.
    pub fn gateway_at(&self, number: usize, ip: &str) -> Gateway {
        let (front, ready, control) = (free_port(ip), free_port(ip), free_port(ip));
        let peers = loop {
            let port = free_port(ip);
            if UdpSocket::bind((ip, port)).is_ok() && port < 65_000 {
                break port;
            }
        };
        let (store, memory_mb, last) = (self.store.address, self.memory_mb, peers + 15);
        let settings = format!(
            "node: \"front-salem-{number}\"\nrole: \"gateway\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n\
             ip: \"{ip}\"\nzone: \"salem\"\nregion: \"pnw\"\nzones:\n  salem: \"pnw\"\n\
             listen:\n  front: \"{ip}:{front}\"\n  ready: \"{ip}:{ready}\"\n  control: \"{ip}:{control}\"\n\
             port_range:\n  - {peers}\n  - {last}\nseeds:\n  - \"{ip}:{control}\"\n\
             bootstrap: true\nin_fault_budget: false\n\
             limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: {memory_mb}\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n\
             data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n\
             bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  downgrade_ms: 250\n  max_stretch_ms: 5000\n  strict_revoke: true\n  revoke_ms: 5000\n  retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 54\n  quota_window_s: 8\n  quota_overshoot: 0.1\n  quota_slack: 72000\n  recovery_s: 12\n  pass_ms: 120\n  retry_after_s: 6.1\n\
             platform:\n  addr: \"{store}\"\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  max_value_bytes: 1048576\n  min_ttl_ms: 1000\n"
        );
        let path = self.folder.join(format!("gateway-{number}.yaml"));
        fs::write(&path, settings).expect("the settings");
        let address = |port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        let mut gateway =
            Gateway { front: address(front), ready: address(ready), process: 0, number };
        self.spawn(&mut gateway);
        gateway
    }

    /// Starts the process of a gateway, with the settings that it has, by the command of the deploy file.
    pub fn spawn(&self, gateway: &mut Gateway) {
        let deploy =
            fs::read_to_string(self.root.join("deploy/system.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a command");
        let mut words = run.trim_end_matches('"').split_whitespace().map(str::to_owned);
        let program = self.root.join(words.next().expect("a program"));
        let number = gateway.number;
        let log = |name: &str| {
            let path = self.folder.join(format!("gateway-{number}.{name}"));
            fs::OpenOptions::new().create(true).append(true).open(path).expect("a log")
        };
        let mut command = Command::new(program);
        command.args(words).env_clear().current_dir(&self.root).stdin(Stdio::null());
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        tie(&mut command);
        let child = command
            .env("TREFOILDYKE_CONFIG", self.folder.join(format!("gateway-{number}.yaml")))
            .stdout(log("out"))
            .stderr(log("err"))
            .spawn();
        let Ok(child) = child else {
            finish(&self.record, 2, "a gateway cannot be started; run the build of the deploy file")
        };
        gateway.process = keep(child);
        self.record.write(&format!(
            "started gateway {number} at {} with {}",
            gateway.front,
            run.trim_end_matches('"')
        ));
    }

    /// Waits until the gateways say that they are ready.
    pub fn await_ready(&self, gateways: &[&Gateway]) {
        let end = Instant::now() + Duration::from_secs(20);
        for gateway in gateways {
            while !is_ready(gateway.ready) {
                if Instant::now() > end {
                    finish(&self.record, 2, "a gateway is not ready after 20 s");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // Until all know one another and the workers.
        thread::sleep(Duration::from_secs(4));
        self.record.write("all gateways are ready");
    }

    /// Copies the end of the gateways' logs into the record.
    pub fn record_logs(&self, words: &[&str]) {
        let Ok(folder) = fs::read_dir(&self.folder) else { return };
        let mut paths: Vec<_> = folder.flatten().map(|entry| entry.path()).collect();
        paths.sort();
        for path in paths {
            let text = fs::read_to_string(&path).unwrap_or_default();
            for line in text.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
                let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
                self.record.raw(&format!("log {name}: {line}"));
            }
        }
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut reader = Reader::new(stream);
    if reader.stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n").is_err() {
        return false;
    }
    matches!(reader.head(), Ok(Some(head)) if head.status() == 200)
}
