// A version under roll-out becomes several times slower after two thirds of its time.

include!("../stand_in.rs");

const FOLDER: &str = "review/5";
const HOSTS: usize = 3;
/// Engines of each version.
const ENGINES: usize = 3;
const SLOTS: usize = 6;
/// Time that an engine works on a request, and that one of the bad version does once it is slow.
const WORK: Duration = Duration::from_millis(30);
const SLOW_WORK: Duration = Duration::from_millis(150);
/// Requests a second. The engines of one version alone could serve 120 slow ones.
const PER_S: usize = 90;
/// Each requester sends two requests a second at most.
const REQUESTER_PERIOD: Duration = Duration::from_millis(500);
/// `durationS` of the order.
const ORDER_TIME: Duration = Duration::from_secs(30);
/// Time after the order at which the version becomes slow.
const SLOW_AFTER: Duration = Duration::from_secs(20);
/// `exposureShare` and `exposureTolerance`.
const SHARE: f64 = 0.1;
const TOLERANCE: f64 = 50.0;
const SERVICE: &str = "desk";

/// One request that reached an engine.
struct Arrival {
    at: Instant,
    version: usize,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

fn count(arrivals: &Arrivals, matches: impl Fn(&Arrival) -> bool) -> usize {
    arrivals.lock().unwrap().iter().filter(|run| matches(run)).count()
}

/// Starts the engines of a version and registers them. Those of version 2 are slow once `slow` is set.
fn start_version(
    version: usize,
    addresses: &Addresses,
    store: &Store,
    arrivals: &Arrivals,
    slow: &Arc<AtomicBool>,
    record: &Record,
) {
    for number in 0..ENGINES {
        let address = addresses.at(50 + 10 * version + number, 8080);
        let Ok(listener) = TcpListener::bind(address) else {
            std::process::exit(NOT_RUN);
        };
        let (arrivals, slow) = (Arc::clone(arrivals), Arc::clone(slow));
        let record = record.clone();
        let slots = Arc::new((Mutex::new(0_usize), Condvar::new()));
        serve(listener, Arc::default(), move |request, stream| {
            let at = Instant::now();
            let id = request.header("wisteriapin-request-id").to_owned();
            arrivals.lock().unwrap().push(Arrival { at, version });
            record.line(&format!("engine {number} of v{version} runs {id}"));
            // The engine queues requests beyond its slots.
            let (active, freed) = &*slots;
            let mut taken = active.lock().unwrap();
            while *taken >= SLOTS {
                taken = freed.wait(taken).unwrap();
            }
            *taken += 1;
            drop(taken);
            let is_slow = version == 2 && slow.load(Ordering::SeqCst);
            thread::sleep(if is_slow { SLOW_WORK } else { WORK });
            *active.lock().unwrap() -= 1;
            freed.notify_one();
            let headers = [("Wisteriapin-Server-Signature", "s"), ("Wisteriapin-Request-Id", id.as_str())];
            write_response(stream, 200, &headers, b"answer")
        });
        register(version, number, addresses, store, "ready", 1);
    }
}

fn register(version: usize, number: usize, addresses: &Addresses, store: &Store, state: &str, sequence: u32) {
    let address = addresses.at(50 + 10 * version + number, 8080);
    let zone = ["colombo-a", "colombo-b", "gampaha"][number % 3];
    store.put(
        "keyed.servers",
        &format!("i-{version}-{number}"),
        &format!(r#"{{"service":"{SERVICE}","address":"{address}","zone":"{zone}","version":"v{version}","slots":{SLOTS},"state":"{state}","coldRemainingMs":0,"sequence":{sequence}}}"#),
    );
}

fn order(version: usize, store: &Store, record: &Record) -> Instant {
    let seconds = ORDER_TIME.as_secs();
    store.put(
        "keyed.op",
        &format!("rollout/{SERVICE}"),
        &format!(r#"{{"service":"{SERVICE}","target":"v{version}","durationS":{seconds}}}"#),
    );
    record.note(&format!("the operator orders v{version} within {seconds} s"));
    Instant::now()
}

fn main() {
    let record = Record::create(FOLDER);
    let addresses = Addresses::new();
    let store = Store::default();
    let store_address = addresses.at(100, 8225);
    store.start(store_address).unwrap_or_else(|_| std::process::exit(NOT_RUN));
    store.put(
        "keyed.op",
        "config",
        r#"{"version":7,"routes":[{"name":"orders","host":"h.example","pathPrefix":"/orders/","routeType":"unsafe","timeoutMs":2500,"latencyGoalMs":400,"priority":1,"service":"desk","attempts":1,"public":false}],
"services":[{"name":"desk","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"firm","apiKeys":["key"]}]}"#,
    );
    let arrivals: Arrivals = Arc::default();
    let slow: Arc<AtomicBool> = Arc::default();
    start_version(1, &addresses, &store, &arrivals, &slow, &record);
    let hosts = start_hosts(&addresses, HOSTS, store_address);
    thread::sleep(Duration::from_secs(1));

    let stopped: Arc<AtomicBool> = Arc::default();
    let answers: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let requesters = (PER_S as f64 * REQUESTER_PERIOD.as_secs_f64()) as usize;
    for number in 0..requesters {
        let stopped = Arc::clone(&stopped);
        let (answers, record) = (Arc::clone(&answers), record.clone());
        let address = hosts[number % HOSTS].callers;
        thread::spawn(move || {
            thread::sleep(REQUESTER_PERIOD.mul_f64(number as f64 / requesters as f64));
            let mut channel: Option<TcpStream> = None;
            let mut sent = 0;
            let mut next = Instant::now();
            while !stopped.load(Ordering::SeqCst) {
                sent += 1;
                let id = format!("r{number}-{sent}");
                let status = send(&mut channel, address, &id);
                record.line(&format!("requester gets {status} for {id}"));
                *answers.lock().unwrap().entry(status).or_insert(0) += 1;
                next += REQUESTER_PERIOD;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
    }
    thread::sleep(Duration::from_secs(5));

    start_version(2, &addresses, &store, &arrivals, &slow, &record);
    let ordered_at = order(2, &store, &record);
    let key = format!("rollout/{SERVICE}");
    let mut outcome = String::from("in_progress");
    while ordered_at.elapsed() < ORDER_TIME {
        if has_trouble() && ordered_at.elapsed() >= SLOW_AFTER && !slow.swap(true, Ordering::SeqCst) {
            record.note(&format!(
                "v2 becomes slow {:.1} s after the order; {} of {} requests reached it so far",
                ordered_at.elapsed().as_secs_f64(),
                count(&arrivals, |run| run.version == 2),
                count(&arrivals, |run| run.at >= ordered_at)
            ));
        }
        let status = store.value("keyed.status", &key);
        for state in ["completed", "rolled_back"] {
            if outcome != state && status.contains(&format!("\"{state}\"")) {
                outcome = state.to_owned();
                record.note(&format!("the status of v2 is {state} {:.1} s after its order", ordered_at.elapsed().as_secs_f64()));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let ended = Instant::now();
    stopped.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    drop(hosts);

    let arrivals = arrivals.lock().unwrap();
    let within: Vec<_> = arrivals.iter().filter(|run| run.at >= ordered_at && run.at <= ended).collect();
    let of_bad: Vec<_> = within.iter().filter(|run| run.version == 2).collect();
    let allowed = SHARE * within.len() as f64 + TOLERANCE;
    record.note(&format!("answers: {:?}", answers.lock().unwrap()));
    record.note(&format!(
        "between the order and its time limit {} requests reached the service, {} of them v2, which ended as {outcome}; a bad version may get {allowed:.0}",
        within.len(),
        of_bad.len()
    ));
    // Without the trouble v2 is a good version, which may get all requests.
    let broken = has_trouble() && of_bad.len() as f64 > allowed;
    finish(&record, &addresses, broken, if broken { "broken: EXPOSURE" } else { "held: EXPOSURE" });
}

/// Sends one request, on the kept channel if there is one; returns the status, or 0 without an answer.
fn send(channel: &mut Option<TcpStream>, address: SocketAddr, id: &str) -> u16 {
    let stream = channel.take().or_else(|| TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok());
    let Some(mut stream) = stream else { return 0 };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let request = format!(
        "POST /orders/new HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\nWisteriapin-Request-Id: {id}\r\n\
         Wisteriapin-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nbody"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let Ok(copy) = stream.try_clone() else { return 0 };
    let Some(answer) = read_message(&mut BufReader::new(copy)) else {
        return 0;
    };
    if answer.header("connection") != "close" {
        *channel = Some(stream);
    }
    answer.status()
}
