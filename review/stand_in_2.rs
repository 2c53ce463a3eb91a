//! Stand-ins for the scripts of this review: the platform's store, engines, and the processes of
//! `wisteriapin-edge` between them. Only the standard library is used.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What was sent, answered and run, in the order of time.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, text: impl Into<String>) {
        let at = self.begun.elapsed().as_micros();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Writes the record into the folder of the case, with times in milliseconds.
    pub fn save(&self, folder: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:>7} ms  {line}", at / 1_000);
        }
        std::fs::write(folder.join("record.txt"), text).expect("the record can be written");
    }
}

/// HTTP request or response with lower-case header names.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body has come to its end as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; returns `None` if there is no whole head.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first_line).ok()? == 0 {
        return None;
    }
    message.first_line = message.first_line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    if message.header("transfer-encoding") == "chunked" {
        message.is_whole = read_chunks(reader, &mut message.body).is_some();
        return Some(message);
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    message.is_whole = reader.read_exact(&mut message.body).is_ok();
    Some(message)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut size = String::new();
        reader.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Writes a response with a length; returns whether that succeeded.
pub fn write_response(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} S\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Serves the connections of a listener, each on its own thread. `respond` returns whether the
/// connection stays open.
pub fn serve(
    listener: TcpListener,
    respond: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let respond = Arc::new(respond);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond = Arc::clone(&respond);
            spawn(move || serve_stream(stream, &*respond));
        }
    });
}

pub fn serve_stream(stream: TcpStream, respond: &dyn Fn(&Message, &mut TcpStream) -> bool) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        if !request.is_whole || !respond(&request, &mut writer) {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

type Topic = Vec<(String, Vec<u8>)>;

/// The platform's store with its keyed topics.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<BTreeMap<String, Topic>>>,
}

impl Store {
    /// Appends a record; an empty value drops the key. The call's return is the confirmation.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.as_bytes().to_vec()));
    }

    /// Serves the store for one machine. While the flag is set, each call of it gets 503.
    pub fn serve_machine(&self) -> (SocketAddr, Arc<AtomicBool>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().unwrap();
        let turns_away = Arc::new(AtomicBool::new(false));
        let (store, flag) = (self.clone(), Arc::clone(&turns_away));
        serve(listener, move |request, stream| {
            if flag.load(Ordering::SeqCst) {
                return write_response(stream, 503, &[], b"");
            }
            store.respond(request, stream, &flag)
        });
        (address, turns_away)
    }

    fn respond(&self, request: &Message, stream: &mut TcpStream, turns_away: &AtomicBool) -> bool {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|field| field.0 == name).map_or("", |field| field.1).to_owned()
        };
        let topic = field("topic");
        match path {
            "/-/log-newest" => write_response(stream, 200, &[], self.newest(&topic).as_bytes()),
            "/-/log-read" => {
                let from = field("from").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                while self.end(&topic) <= from && Instant::now() < until {
                    if turns_away.load(Ordering::SeqCst) {
                        return write_response(stream, 503, &[], b"");
                    }
                    sleep(Duration::from_millis(5));
                }
                write_response(stream, 200, &[], &self.read(&topic, from))
            }
            "/-/log-append" => {
                let at: Option<usize> = field("at").parse().ok();
                let mut topics = self.topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let offset = records.len();
                if at.is_some_and(|at| at != offset) {
                    let body = format!("{{\"endOffset\":{offset}}}");
                    drop(topics);
                    return write_response(stream, 412, &[], body.as_bytes());
                }
                let mut rest = &request.body[..];
                while rest.len() > 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    let content = &rest[4..4 + length];
                    let (key, value) = content[1..].split_at(usize::from(content[0]));
                    records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
                    rest = &rest[4 + length..];
                }
                let body = format!("{{\"offset\":{offset},\"endOffset\":{}}}", records.len());
                drop(topics);
                write_response(stream, 200, &[], body.as_bytes())
            }
            _ => write_response(stream, 404, &[], b""),
        }
    }

    fn end(&self, topic: &str) -> usize {
        self.topics.lock().unwrap().get(topic).map_or(0, Vec::len)
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.lock().unwrap();
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items: Vec<_> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        format!("{{\"items\":[{}],\"hasMore\":false,\"endOffset\":{}}}", items.join(","), records.len())
    }

    fn read(&self, topic: &str, from: usize) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        body
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

/// What an engine does after a response.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
    /// The process crashes: all its channels and its listener close.
    Crash,
}

type Behaviour = dyn Fn(&Engine, &Message, &mut TcpStream) -> Next + Send + Sync;

/// One engine. It registers itself, says so again every 1.2 s, and is back `down_for` after a crash
/// under a new id. A request for another instance gets 421.
pub struct Engine {
    pub name: String,
    service: String,
    slots: u32,
    store: Store,
    address: SocketAddr,
    down_for: Duration,
    life: AtomicU32,
    is_up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    behaviour: Box<Behaviour>,
}

impl Engine {
    pub fn start(
        store: &Store,
        name: &str,
        service: &str,
        slots: u32,
        down_for: Duration,
        behaviour: impl Fn(&Engine, &Message, &mut TcpStream) -> Next + Send + Sync + 'static,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            slots,
            store: store.clone(),
            address: free_engine_address(),
            down_for,
            life: AtomicU32::new(0),
            is_up: AtomicBool::new(false),
            streams: Mutex::default(),
            behaviour: Box::new(behaviour),
        });
        engine.begin_life();
        let beating = Arc::clone(&engine);
        spawn(move || {
            for sequence in 2.. {
                sleep(Duration::from_millis(1_200));
                if beating.is_up.load(Ordering::SeqCst) {
                    beating.register(sequence);
                }
            }
        });
        engine
    }

    pub fn id(&self) -> String {
        format!("i-{}-{}", self.name, self.life.load(Ordering::SeqCst))
    }

    /// Opens the listener, which is closed while the process is down, and registers.
    fn begin_life(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the engine's address is free");
        listener.set_nonblocking(true).expect("the listener can poll");
        let life = self.life.fetch_add(1, Ordering::SeqCst) + 1;
        self.is_up.store(true, Ordering::SeqCst);
        let engine = Arc::clone(self);
        spawn(move || {
            while engine.is_up.load(Ordering::SeqCst) && engine.life.load(Ordering::SeqCst) == life {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_micros(500));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(handle) = stream.try_clone() {
                    engine.streams.lock().unwrap().push(handle);
                }
                let engine = Arc::clone(&engine);
                spawn(move || engine.serve_stream(stream));
            }
        });
        self.register(1);
    }

    fn register(&self, sequence: u64) {
        let life = self.life.load(Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.slots,
            1_790_000_000_000 + u64::from(life)
        );
        self.store.put("keyed.servers", &self.id(), &entry);
    }

    fn serve_stream(self: &Arc<Self>, stream: TcpStream) {
        let engine = Arc::clone(self);
        let id = self.id();
        serve_stream(stream, &move |request, stream| {
            if request.header("wisteriapin-expected-instance") != id {
                return write_response(stream, 421, &[("wisteriapin-instance-id", &id)], b"");
            }
            match (engine.behaviour)(&engine, request, stream) {
                Next::Keep => true,
                Next::Close => false,
                Next::Crash => {
                    engine.crash();
                    false
                }
            }
        });
    }

    fn crash(self: &Arc<Self>) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let engine = Arc::clone(self);
        let old_id = self.id();
        spawn(move || {
            sleep(engine.down_for);
            engine.begin_life();
            // Its entry lapses after three heartbeats of silence.
            sleep(Duration::from_millis(3_600).saturating_sub(engine.down_for));
            engine.store.put("keyed.servers", &old_id, "");
        });
    }
}

/// Writes a signed answer, as an engine does.
pub fn answer(request: &Message, stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let id = request.header("wisteriapin-request-id");
    let mut all = vec![("wisteriapin-server-signature", "3e1b.07"), ("wisteriapin-request-id", id)];
    all.extend(headers);
    write_response(stream, status, &all, body)
}

/// Writes the head of an event stream in chunks, as an engine does.
pub fn begin_stream(request: &Message, stream: &mut TcpStream) -> bool {
    let id = request.header("wisteriapin-request-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n\
         wisteriapin-server-signature: 3e1b.07\r\nwisteriapin-request-id: {id}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).is_ok()
}

pub fn write_event(stream: &mut TcpStream, number: u32) -> bool {
    let event = format!("id: {number}\ndata: token\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok()
}

pub fn end_stream(stream: &mut TcpStream) -> bool {
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// The machines of a small deployment; each is a loopback address of its own.
pub struct Fleet {
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

pub struct Host {
    pub ip: Ipv4Addr,
    pub turns_away: Arc<AtomicBool>,
    settings: PathBuf,
    child: Option<Arc<Mutex<Child>>>,
}

/// All processes that were started, so that an aborted case ends them too.
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends the case because it could not run: kills all processes that it started.
pub fn abort(text: &str) -> ! {
    println!("{text}");
    for child in CHILDREN.lock().unwrap().iter() {
        let mut child = child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
    std::process::exit(2);
}

/// Aborts the case before the time that a script may take is over.
fn watch_time() {
    spawn(|| {
        sleep(Duration::from_secs(117));
        abort("the case takes too long");
    });
}

const FRONTEND: u16 = 8221;
const READINESS: u16 = 8224;

impl Fleet {
    /// Starts `count` machines with a store address of their own each.
    pub fn start(store: &Store, count: u8) -> Self {
        watch_time();
        let folder = std::env::temp_dir().join(format!("wisteriapin-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let ips = free_addresses(count);
        let mut fleet = Self { hosts: Vec::new(), folder };
        for ip in &ips {
            let (address, turns_away) = store.serve_machine();
            let settings = fleet.folder.join(format!("{ip}.json"));
            std::fs::write(&settings, settings_text(*ip, &ips, address, true)).expect("settings are written");
            let mut host = Host { ip: *ip, turns_away, settings, child: None };
            host.spawn();
            fleet.hosts.push(host);
        }
        for host in &fleet.hosts {
            host.wait_until_ready();
        }
        // Hosts discover each other.
        sleep(Duration::from_secs(3));
        // Only the first start of the whole system is one with `bootstrap`.
        for host in &fleet.hosts {
            let text = std::fs::read_to_string(&host.settings).expect("settings are readable");
            let text = text.replace("\"bootstrap\":true", "\"bootstrap\":false");
            std::fs::write(&host.settings, text).expect("settings are written");
        }
        fleet
    }

    /// Kills all machines at once and starts them again after `down_for`.
    pub fn kill_all(&mut self, down_for: Duration) {
        for host in &mut self.hosts {
            host.kill();
        }
        sleep(down_for);
        for host in &mut self.hosts {
            host.spawn();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Host {
    pub fn frontend(&self) -> SocketAddr {
        (self.ip, FRONTEND).into()
    }

    /// Starts the program with the command of the deploy file.
    pub fn spawn(&mut self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("the log can be written");
        let errors = log.try_clone().expect("the handle can be cloned");
        let child = Command::new("target/release/wisteriapin-edge")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("WISTERIAPIN_CONFIG", &self.settings)
            .env("WISTERIAPIN_METRICS_PORT", "9464")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        let child = Arc::new(Mutex::new(child));
        CHILDREN.lock().unwrap().push(Arc::clone(&child));
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            let mut child = child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /-/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        call((self.ip, READINESS).into(), text).is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if Instant::now() > until {
                abort("a machine does not become ready");
            }
            sleep(Duration::from_millis(20));
        }
    }
}

/// Returns an address of its own for an engine, so that its port stays free while it is down.
fn free_engine_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let [.., second, third] = process.to_be_bytes();
        let last = 128 + (number % 120) as u8;
        let address = SocketAddr::from((Ipv4Addr::new(127, 1 + second % 250, third, last), 8308));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
        if number > 1_000 {
            abort("no free address for an engine");
        }
    }
}

fn free_addresses(count: u8) -> Vec<Ipv4Addr> {
    let process = std::process::id();
    for attempt in 0..200 {
        let [.., second, third] = (process + attempt * 7_919).to_be_bytes();
        let ips: Vec<_> = (1..=count).map(|last| Ipv4Addr::new(127, 1 + second % 250, third, last)).collect();
        let is_free = |ip: &Ipv4Addr| {
            [8220, FRONTEND, READINESS, 8229, 9464].iter().all(|port| TcpListener::bind((*ip, *port)).is_ok())
                && std::net::UdpSocket::bind((*ip, 7600)).is_ok()
        };
        if ips.iter().all(is_free) {
            return ips;
        }
    }
    abort("no free addresses");
}

/// Renders what the template `deploy/edge-settings.json` gives on a small deployment.
fn settings_text(ip: Ipv4Addr, ips: &[Ipv4Addr], store: SocketAddr, bootstrap: bool) -> String {
    let seeds: Vec<_> = ips.iter().take(3).map(|seed| format!("\"{seed}:8229\"")).collect();
    format!(
        "{{\"nodeName\":\"edge-{ip}\",\"role\":\"edge\",\"machineClass\":\"edge\",\"serves\":[\"edge\",\"registry\",\"control\"],\
        \"ip\":\"{ip}\",\"zone\":\"a\",\"region\":\"r\",\"zones\":{{\"a\":\"r\"}},\
        \"listen\":{{\"frontend\":\"{ip}:8221\",\"readiness\":\"{ip}:8224\",\"directoryAddr\":\"{ip}:8220\",\"controlPlane\":\"{ip}:8229\"}},\
        \"internalPorts\":[7600,7615],\"seeds\":[{}],\"bootstrap\":{bootstrap},\"faultCounted\":false,\
        \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,\"maxFds\":4200,\"linkMbps\":1000.0,\"diskMb\":0}},\
        \"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"registry\",\"heartbeatMs\":1200,\
        \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"quota\",\"rollout\",\"places\",\"platform\"],\
        \"faultTolerance\":{{\"machines\":2,\"zones\":1,\"regions\":0}},\
        \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\
        \"lossSlackMs\":200,\"configApplyMs\":2000,\"revertSlackMs\":250,\"skewMaxMs\":5000,\"strictRevocation\":false,\"revokeMs\":5000,\
        \"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"retryBudgetSlack\":52,\"quotaWindowS\":8,\"quotaOvershoot\":0.1,\"quotaTolerance\":140000,\
        \"exposureShare\":0.1,\"exposureTolerance\":50,\"rollbackMs\":5000,\"coldOvershoot\":1.5,\"coldTolerance\":5,\"evacuationMs\":5000,\
        \"recoveryS\":12,\"iterationMs\":120,\"retryAfterS\":10,\"ttl_max_s\":5}},\
        \"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000,\"parts\":12,\"appendMs\":2.0,\
        \"partitionMbS\":20.0,\"readMbS\":80.0,\"recordBytes\":262144,\"callBytes\":2097152,\"keep_s\":300,\"partMb\":200,\"ttlMinMs\":1000}}}}",
        seeds.join(",")
    )
}

/// Renders a configuration. `routes` and `services` hold JSON, `keys` those of the one tenant.
pub fn config(version: u64, routes: &[String], services: &[&str], keys: &[&str]) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}")
        })
        .collect();
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
        \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
        \"tenants\":[{{\"name\":\"tenant\",\"apiKeys\":[{}]}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}

/// Renders a route.
pub fn route(name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u32) -> String {
    let (kind, more) = match kind {
        "resumable" => ("streaming", ",\"sticky\":true,\"resumable\":true,\"gapAimMs\":400"),
        "streaming" => ("streaming", ",\"sticky\":true,\"resumable\":false,\"gapAimMs\":400"),
        kind => (kind, ""),
    };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"h.example\",\"pathPrefix\":\"/{name}/\",\"routeType\":\"{kind}\",\"timeoutMs\":{timeout_ms},\
        \"latencyGoalMs\":400,\"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts},\"public\":false{more}}}"
    )
}

/// Sends a request on a new channel and reads the answer.
pub fn call(address: SocketAddr, text: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(14))).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Renders the text of a requester's request on a channel of its own.
pub fn request_text(method: &str, path: &str, id: &str, key: &str, time_limit_ms: u32, headers: &str, body: &str) -> String {
    let length = if body.is_empty() { String::new() } else { format!("content-length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: h.example\r\nwisteriapin-request-id: {id}\r\nwisteriapin-deadline-ms: {time_limit_ms}\r\n\
         x-api-key: {key}\r\n{headers}{length}connection: close\r\n\r\n{body}"
    )
}

/// Returns whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Returns the folder of the case, the first argument.
pub fn case_folder() -> PathBuf {
    std::env::args().nth(1).map_or_else(|| ".".into(), PathBuf::from)
}

/// Small generator of random numbers, so that no library is needed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let mut random = Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
        for _ in 0..20 {
            random.below(2);
        }
        random
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}

/// Ends the case: saves the record and returns the exit status of the script.
pub fn verdict(record: &Record, broken: Option<String>) -> ExitCode {
    match &broken {
        Some(text) => record.add(format!("BROKEN {text}")),
        None => record.add("HELD"),
    }
    println!("{}", broken.as_deref().unwrap_or("the rule held"));
    record.save(&case_folder());
    if broken.is_some() { ExitCode::from(1) } else { ExitCode::SUCCESS }
}
