// Stand-ins for the platform's store, for engines and for requesters, and processes of the real
// `wisteriapin-edge` between them. Only the standard library is used. Each case includes this file.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Processes of the project that run now.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Time after which a case is given up.
const MAX_TIME: Duration = Duration::from_secs(115);

/// Ends the case if it takes too long, with all processes that it started.
fn watch_time() {
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        for id in CHILDREN.lock().unwrap().drain(..) {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        eprintln!("the case took too long");
        std::process::exit(NOT_RUN);
    });
}

/// Writes `record.txt` of a case, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::io::BufWriter<std::fs::File>>>,
    pub started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        watch_time();
        let path = Path::new(folder).join("record.txt");
        let file = std::fs::File::create(&path).unwrap_or_else(|error| {
            eprintln!("cannot write {}: {error}", path.display());
            std::process::exit(NOT_RUN);
        });
        Self {
            file: Arc::new(Mutex::new(std::io::BufWriter::new(file))),
            started: Instant::now(),
        }
    }

    /// Adds one line.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} {text}");
    }

    /// Adds one line and shows it.
    pub fn note(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message; `None` if the peer closed the channel or the message is incomplete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first_line).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        message
            .headers
            .insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    if message.header("transfer-encoding") == "chunked" {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes a whole response; returns whether it could be written.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Serves each channel of a listener on its own thread until `stopped`.
pub fn serve(
    listener: TcpListener,
    stopped: Arc<AtomicBool>,
    respond: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for stream in listener.incoming() {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let respond = Arc::clone(&respond);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_message(&mut reader) {
                    if !respond(&request, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0_u8; 3];
        padded[..group.len()].copy_from_slice(group);
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            if index <= group.len() {
                let digit = (number >> (18 - 6 * index)) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

type Topic = Vec<(String, Vec<u8>)>;

/// The platform's store: keyed topics of one partition, as `PROTOCOL.md` describes them.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<BTreeMap<String, Topic>>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Writes a record as the operator or an engine does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn value(&self, topic: &str, key: &str) -> String {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let newest = records.iter().rev().find(|(other, _)| other == key);
        newest.map_or(String::new(), |(_, value)| {
            String::from_utf8_lossy(value).into_owned()
        })
    }

    /// Serves the store at an address.
    pub fn start(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        serve(listener, Arc::default(), move |request, stream| {
            store.respond(request, stream)
        });
        Ok(())
    }

    fn respond(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|field| field.0 == name).map_or("", |field| field.1)
        };
        let topic = field("topic");
        match path {
            "/-/log-newest" => write_response(stream, 200, &[], &self.newest(topic, field("after"))),
            "/-/log-read" => {
                let from = field("from").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                write_response(stream, 200, &[], &self.read(topic, from, wait))
            }
            "/-/log-append" => self.append(stream, topic, field("at").parse().ok(), &request.body),
            _ => write_response(stream, 404, &[], b""),
        }
    }

    fn append(&self, stream: &mut TcpStream, topic: &str, at: Option<usize>, body: &[u8]) -> bool {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return write_response(stream, 403, &[], b"{}");
        }
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if at.is_some_and(|at| at != offset) {
            let body = format!("{{\"endOffset\":{offset}}}");
            return write_response(stream, 412, &[], body.as_bytes());
        }
        let mut rest = body;
        while rest.len() >= 5 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let content = &rest[4..4 + length];
            let key_length = usize::from(content[0]);
            let key = String::from_utf8_lossy(&content[1..=key_length]).into_owned();
            records.push((key, content[1 + key_length..].to_vec()));
            rest = &rest[4 + length..];
        }
        let body = format!("{{\"offset\":{offset},\"endOffset\":{}}}", records.len());
        self.changed.notify_all();
        write_response(stream, 200, &[], body.as_bytes())
    }

    fn newest(&self, topic: &str, after: &str) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items = newest.iter().filter(|(key, _)| key.as_str() > after);
        let items: Vec<_> = items
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = records.len();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"hasMore\":false,\"endOffset\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let deadline = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend(length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return body;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

/// Loopback addresses of one run: 127.A.B.N, with A and B from the id of this process.
pub struct Addresses {
    prefix: String,
    pub folder: PathBuf,
}

impl Addresses {
    pub fn new() -> Self {
        let id = std::process::id();
        let prefix = format!("127.{}.{}", 1 + (id >> 8) % 250, id % 256);
        let folder = std::env::temp_dir().join(format!("wisteriapin-review-{id}"));
        if let Err(error) = std::fs::create_dir_all(&folder) {
            eprintln!("no temporary folder: {error}");
            std::process::exit(NOT_RUN);
        }
        Self { prefix, folder }
    }

    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.prefix)
    }

    pub fn at(&self, number: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(number)).parse().unwrap()
    }
}

/// One process of `wisteriapin-edge` with the settings of a machine of the site `lrmc`.
pub struct Host {
    pub number: usize,
    child: Child,
    settings: PathBuf,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

pub const MEMORY_MB: u64 = 110;

impl Host {
    pub fn start(addresses: &Addresses, number: usize, store: SocketAddr) -> Self {
        let ip = addresses.ip(number);
        let zone = ["colombo-a", "colombo-b", "gampaha"][number % 3];
        let seeds: Vec<String> = (1..=3)
            .map(|seed| format!("\"{}:8229\"", addresses.ip(seed)))
            .collect();
        let text = format!(
            r#"{{"nodeName":"edge-{number}","role":"edge","machineClass":"edge","serves":["edge","registry","control"],
"ip":"{ip}","zone":"{zone}","region":"lk-west","zones":{{"colombo-a":"lk-west","colombo-b":"lk-west","gampaha":"lk-west"}},
"listen":{{"frontend":"{ip}:8221","readiness":"{ip}:8224","directoryAddr":"{ip}:8220","controlPlane":"{ip}:8229"}},
"internalPorts":[7600,7615],"seeds":[{}],"bootstrap":true,"faultCounted":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":{MEMORY_MB},"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"registry","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","rollout","places","platform"],
"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,
"configApplyMs":2000,"revertSlackMs":250,"skewMaxMs":5000,"strictRevocation":false,"revokeMs":5000,"retryBudgetRatio":0.2,
"budgetWindowS":10,"retryBudgetSlack":58,"quotaWindowS":8,"quotaOvershoot":0.1,"quotaTolerance":140000,"exposureShare":0.1,
"exposureTolerance":50,"rollbackMs":5000,"coldOvershoot":1.5,"coldTolerance":5,"evacuationMs":5000,"recoveryS":12,
"iterationMs":120,"retryAfterS":9.2,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"log","writesPerS":400,"readsPerS":2000,"parts":12,"appendMs":2.0,"partitionMbS":20.0,
"readMbS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,"partMb":200,"ttlMinMs":1000}}}}"#,
            seeds.join(",")
        );
        let settings = addresses.folder.join(format!("host-{number}.json"));
        std::fs::write(&settings, text).expect("the temporary folder is writable");
        Self {
            number,
            child: spawn(&settings),
            settings,
            callers: addresses.at(number, 8221),
            readiness: addresses.at(number, 8224),
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
        call(self.readiness, request.as_bytes(), Duration::from_secs(1))
            .is_some_and(|answer| answer.status() == 200)
    }

    /// Returns the memory that the process uses, in MB.
    pub fn memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }

    pub fn kill(&mut self) {
        let id = self.id();
        CHILDREN.lock().unwrap().retain(|child| *child != id);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.child = spawn(&self.settings);
    }

    /// Sends a signal by its name, such as TERM.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), id.as_str()]).status();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path) -> Child {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("the temporary folder is writable");
    let errors = log.try_clone().expect("the file can be shared");
    let child = Command::new("target/release/wisteriapin-edge")
        .env("WISTERIAPIN_CONFIG", settings)
        .env("WISTERIAPIN_METRICS_PORT", "9464")
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .unwrap_or_else(|error| {
            eprintln!("cannot start target/release/wisteriapin-edge: {error}");
            std::process::exit(NOT_RUN);
        });
    CHILDREN.lock().unwrap().push(child.id());
    child
}

/// Starts `count` hosts and waits until all are ready.
pub fn start_hosts(addresses: &Addresses, count: usize, store: SocketAddr) -> Vec<Host> {
    let hosts: Vec<Host> = (1..=count)
        .map(|number| Host::start(addresses, number, store))
        .collect();
    let deadline = Instant::now() + Duration::from_secs(10);
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > deadline {
            eprintln!("the hosts are not ready");
            drop(hosts);
            std::process::exit(NOT_RUN);
        }
        thread::sleep(Duration::from_millis(50));
    }
    hosts
}

/// Sends bytes on a new channel and reads one response.
pub fn call(address: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(bytes).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Removes the temporary folder and ends the case.
pub fn finish(record: &Record, addresses: &Addresses, broken: bool, verdict: &str) -> ! {
    record.note(verdict);
    record.flush();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&addresses.folder);
    }
    std::process::exit(if broken { BROKEN } else { HELD });
}
