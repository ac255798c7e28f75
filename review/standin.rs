//! Stand-ins for the platform's store, engines and requesters, and the driver of the scripts in this
//! folder. It uses the standard library alone.
//!
//! `standin CASE GATEWAY RECORD` starts instances of the gateway as processes of their own, on
//! loopback addresses and free ports, with settings files as the platform writes them, and exits with
//! 0 if the rule of the case held, 1 if it was broken and 2 if the case could not run.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Fault = Box<dyn std::error::Error + Send + Sync>;

/// Time after which a script gives up, in milliseconds.
const WATCHDOG_MS: u64 = 110_000;
/// Processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that was started here.
fn send_signal(name: &str, process: u32) {
    let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {process}")).status();
}

/// Ends the started processes and the script if it takes too long.
fn watch_time() {
    thread::spawn(|| {
        sleep(ms(WATCHDOG_MS));
        for process in STARTED.lock().unwrap().iter() {
            send_signal("KILL", *process);
        }
        println!("the script took too long");
        std::process::exit(2);
    });
}

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

// ---- record ----------------------------------------------------------------------------------

/// What was sent, answered and run, with the time since the start.
struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn note(&self, text: &str) {
        let line = format!("{:>8} ms  {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---- HTTP ------------------------------------------------------------------------------------

struct Head {
    first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head { first: first.trim_end().to_owned(), headers }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or comes in chunks; an early end is an error.
fn read_body<R: BufRead>(reader: &mut R, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|coding| coding.ends_with("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn write_answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let text =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

// ---- store -----------------------------------------------------------------------------------

#[derive(Default)]
struct StoreState {
    history: Vec<(u64, String, Option<String>)>,
    items: BTreeMap<String, (u64, String)>,
    revision: u64,
}

/// The platform's store.
struct Store {
    address: SocketAddr,
    /// Time that an answer takes, in milliseconds.
    answer_ms: u64,
    changed: Condvar,
    state: Mutex<StoreState>,
}

impl Store {
    fn start(answer_ms: u64) -> Result<Arc<Self>, Fault> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            answer_ms,
            changed: Condvar::new(),
            state: Mutex::new(StoreState { revision: 1, ..StoreState::default() }),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(|value| base64(value.as_bytes()));
        match &value {
            Some(value) => drop(state.items.insert(key.to_owned(), (revision, value.clone()))),
            None => drop(state.items.remove(key)),
        }
        state.history.push((revision, key.to_owned(), value));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            let target = head.first.split(' ').nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let number = |name: &str| -> u64 {
                let mut fields = query.split('&').filter_map(|field| field.split_once('='));
                fields.find(|field| field.0 == name).and_then(|f| f.1.parse().ok()).unwrap_or(0)
            };
            let body = match path {
                "/-/kv-range" => self.list(),
                "/-/kv-watch" => self.watch(number("after"), number("wait-ms")),
                _ => {
                    write_answer(&mut stream, "404 Not Found", "", "{}")?;
                    continue;
                }
            };
            sleep(ms(self.answer_ms));
            write_answer(&mut stream, "200 OK", "Content-Type: application/json\r\n", &body)?;
        }
        Ok(())
    }

    fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let items = state.items.iter().map(|(key, (revision, value))| item(key, *revision, value));
        let items: Vec<_> = items.collect();
        format!(
            "{{\"items\":[{}],\"has-more\":false,\"store-revision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + ms(wait_ms);
        let mut state = self.state.lock().unwrap();
        while state.revision <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let events = state.history.iter().filter(|(revision, ..)| *revision > after);
        let events = events.map(|(revision, key, value)| match value {
            Some(value) => item(key, *revision, value),
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
        });
        let events: Vec<_> = events.collect();
        format!("{{\"events\":[{}],\"store-revision\":{}}}", events.join(","), state.revision)
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\
         \"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = (0..3).fold(0, |sum, at| sum << 8 | u32::from(*chunk.get(at).unwrap_or(&0)));
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit <= chunk.len() { DIGITS[index] as char } else { '=' });
        }
    }
    text
}

// ---- engines ---------------------------------------------------------------------------------

/// What an engine did with one request.
#[derive(Clone, Copy, Debug, Default)]
struct Run {
    begun_ms: Option<u64>,
    ended_ms: Option<u64>,
    is_whole: bool,
}

/// The runs of all engines, by request id.
type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

/// A model engine: it runs `slots` requests at once and queues a few more.
struct Engine {
    address: SocketAddr,
    born_ms: u64,
    event_ms: u64,
    events: u64,
    freed: Condvar,
    id: String,
    record: Arc<Record>,
    runs: Runs,
    slots: usize,
    /// Version of its software.
    software: &'static str,
    /// Running and queued requests.
    taken: Mutex<(usize, usize)>,
}

/// Engines that are alike.
#[derive(Clone, Copy)]
struct EngineKind {
    count: usize,
    event_ms: u64,
    events: u64,
    slots: usize,
    software: &'static str,
}

/// Requests that an engine queues beyond its slots.
const QUEUE: usize = 8;

impl Engine {
    fn start(
        id: &str,
        kind: EngineKind,
        record: &Arc<Record>,
        runs: &Runs,
    ) -> Result<Arc<Self>, Fault> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Self {
            address: listener.local_addr()?,
            born_ms: SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64,
            event_ms: kind.event_ms,
            events: kind.events,
            freed: Condvar::new(),
            id: id.to_owned(),
            record: record.clone(),
            runs: runs.clone(),
            slots: kind.slots,
            software: kind.software,
            taken: Mutex::new((0, 0)),
        });
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                thread::spawn(move || drop(engine.serve(stream)));
            }
        });
        Ok(engine)
    }

    /// The entry that the engine writes into the store.
    fn entry(&self, service: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-a\",\
             \"version\":\"{}\",\"slots\":{},\"state\":\"ready\",\"cold-left-ms\":0,\
             \"seq\":{sequence},\"born\":{}}}",
            self.address, self.software, self.slots, self.born_ms
        )
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            read_body(&mut reader, &head)?;
            let id = head.get("x-request-id").unwrap_or_default().to_owned();
            let echo = format!("X-Request-Id: {id}\r\n");
            if head.get("x-expect-instance").is_some_and(|expected| expected != self.id) {
                write_answer(&mut stream, "421 Misdirected Request", &echo, "")?;
                continue;
            }
            if !self.enter() {
                let headers = format!("{echo}X-Not-Executed: 1\r\n");
                write_answer(&mut stream, "503 Service Unavailable", &headers, "")?;
                continue;
            }
            let index = self.note(&id, None, |run| run.begun_ms = Some(self.record.now_ms()));
            let after = head.get("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            let result = self.run(&mut stream, &echo, after);
            self.leave();
            let is_whole = result.is_ok();
            self.note(&id, Some(index), |run| {
                run.ended_ms = Some(self.record.now_ms());
                run.is_whole = is_whole;
            });
            self.record.note(&format!(
                "engine {} {} {id}",
                self.id,
                if is_whole { "ran" } else { "was cut off in" }
            ));
            result?;
        }
        Ok(())
    }

    fn run(&self, stream: &mut TcpStream, echo: &str, after: u64) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Response-Seal: seal\r\nX-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=self.events {
            sleep(ms(self.event_ms));
            let event = format!("id: {number}\ndata: {}-{number}\n\n", self.software);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn note<F: FnOnce(&mut Run)>(&self, id: &str, index: Option<usize>, change: F) -> usize {
        let mut runs = self.runs.lock().unwrap();
        let of_id = runs.entry(id.to_owned()).or_default();
        let index = index.unwrap_or_else(|| {
            of_id.push(Run::default());
            of_id.len() - 1
        });
        change(&mut of_id[index]);
        index
    }

    /// Waits for a slot; returns whether there is room.
    fn enter(&self) -> bool {
        let mut taken = self.taken.lock().unwrap();
        if taken.0 >= self.slots && taken.1 >= QUEUE {
            return false;
        }
        taken.1 += 1;
        while taken.0 >= self.slots {
            taken = self.freed.wait(taken).unwrap();
        }
        taken.1 -= 1;
        taken.0 += 1;
        true
    }

    fn leave(&self) {
        self.taken.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

// ---- instances -------------------------------------------------------------------------------

#[derive(Clone, Copy)]
struct Ports {
    control: u16,
    front: u16,
    metrics: u16,
    peers: u16,
    ready: u16,
}

/// One instance of the gateway in its own process.
struct Instance {
    child: Option<Child>,
    directory: PathBuf,
    gateway: PathBuf,
    ip: Ipv4Addr,
    name: String,
    ports: Ports,
    starts: u32,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.signal("KILL");
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|process| *process != child.id());
        }
    }
}

impl Instance {
    fn front(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, self.ports.front))
    }

    fn ready(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, self.ports.ready))
    }

    fn log(&self) -> PathBuf {
        self.directory.join(format!("{}-{}.log", self.name, self.starts))
    }

    /// Starts the process with the command of the deploy file; the metrics port is a free one.
    fn start(&mut self) -> Result<(), Fault> {
        self.starts += 1;
        let child = Command::new(&self.gateway)
            .arg("--metrics-port")
            .arg((self.ports.metrics).to_string())
            .env_clear()
            .env("BERGAMOTSPAN_BOOT", self.directory.join(format!("{}.conf", self.name)))
            .stdin(Stdio::null())
            .stdout(File::create(self.log())?)
            .stderr(Stdio::null())
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            send_signal(name, child.id());
        }
    }

    fn has_ended(&mut self) -> bool {
        let ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        if let Some(child) = self.child.take_if(ended) {
            STARTED.lock().unwrap().retain(|process| *process != child.id());
        }
        self.child.is_none()
    }

    fn is_ready(&self) -> bool {
        is_ready_at(self.ready())
    }

    /// Returns whether its log says last that it coordinates the cell itself.
    fn leads(&self) -> bool {
        let text = fs::read_to_string(self.log()).unwrap_or_default();
        let last = text.lines().rfind(|line| line.contains("Coordinator of the cell changed."));
        last.is_some_and(|line| line.contains("\"decider\":\"Own\""))
    }
}

/// Finds ports that are free on all addresses of the instances.
fn free_ports(ips: &[Ipv4Addr]) -> Result<Ports, Fault> {
    let tcp = || -> Result<u16, Fault> {
        for _ in 0..50 {
            let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
            let is_free = |ip: &Ipv4Addr| TcpListener::bind((*ip, port)).is_ok();
            if ips.iter().all(is_free) {
                return Ok(port);
            }
        }
        Err("no port is free on all addresses".into())
    };
    let peers = UdpSocket::bind("127.0.0.1:0")?.local_addr()?.port();
    Ok(Ports { control: tcp()?, front: tcp()?, metrics: 0, peers, ready: tcp()? })
}

/// Writes the settings of instances as the platform does, and returns them, not started.
fn instances(
    count: u8,
    store: SocketAddr,
    gateway: &Path,
    directory: &Path,
) -> Result<Vec<Instance>, Fault> {
    let ips: Vec<_> = (0..count).map(|number| Ipv4Addr::new(127, 0, 0, number + 2)).collect();
    let ports = free_ports(&ips)?;
    let seeds: Vec<_> = ips.iter().take(3).map(|ip| format!("{ip}:{}", ports.control)).collect();
    let mut list = Vec::new();
    for (number, ip) in ips.iter().enumerate() {
        let metrics = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        let name = format!("front-zone-a-{}", number + 1);
        let Ports { control, front, peers, ready, .. } = ports;
        let settings = format!(
            "node={name}\nrole=gateway\nmachine-class=front\nserves=front,control\nip={ip}\n\
             zone=zone-a\nregion=region-a\nzones.zone-a=region-a\nlisten.front={ip}:{front}\n\
             listen.ready={ip}:{ready}\nlisten.control={ip}:{control}\n\
             port-range={peers},{peers}\nseeds={}\nbootstrap=true\nlimits.cpu-share=0.25\n\
             limits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\ndiscovery=platform\n\
             entry=vip\nheartbeat-ms=1200\nbounds.seed-lag-s=3\nbounds.reuse-after-s=2\n\
             bounds.stable-window-ms=3000\nbounds.ack-ms=4000\nbounds.catch-up-s=4\n\
             bounds.drain-ms=2000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\n\
             bounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\n\
             bounds.max-stretch-ms=5000\nbounds.revoke-strict=true\nbounds.revoke-ms=5000\n\
             bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.budget-slack=54\n\
             bounds.quota-window-s=8\nbounds.quota-over=0.25\nbounds.quota-slack=140000\n\
             bounds.recover-s=12\nbounds.pass-ms=120\nprovider.address={store}\n\
             provider.form=read\nprovider.reads-per-s=2000\nprovider.history-s=20\n\
             provider.value-bytes=1048576\n",
            seeds.join(",")
        );
        fs::write(directory.join(format!("{name}.conf")), settings)?;
        list.push(Instance {
            child: None,
            directory: directory.to_owned(),
            gateway: gateway.to_owned(),
            ip: *ip,
            name,
            ports: Ports { metrics, ..ports },
            starts: 0,
        });
    }
    Ok(list)
}

// ---- requesters ------------------------------------------------------------------------------

/// How one attempt of a requester ended.
#[derive(Clone, Debug, Eq, PartialEq)]
enum End {
    /// The channel ended without a complete answer.
    Cut,
    /// The requester gave up.
    GaveUp,
    /// No channel was established.
    NoChannel,
    /// An answer with this status, complete.
    Status(u16),
}

/// One attempt of a requester.
#[derive(Clone, Debug)]
struct Attempt {
    end: End,
    ended_ms: u64,
    id: String,
    instance: usize,
    /// When its last byte was sent.
    sent_ms: u64,
}

/// Sends a request on a new channel, and reads its answer; returns the wait of a refusal as well.
fn attempt(
    record: &Record,
    (instance, front): (usize, SocketAddr),
    id: &str,
    patience_ms: u64,
) -> (Attempt, Option<f64>) {
    let mut sent_ms = record.now_ms();
    let mut wait_s = None;
    let mut send = || -> io::Result<End> {
        let Ok(mut stream) = TcpStream::connect_timeout(&front, ms(1_000)) else {
            return Ok(End::NoChannel);
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ms(patience_ms)))?;
        let body = "a prompt";
        let text = format!(
            "POST /plans/draft HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
             X-Model: m\r\nX-Token-Counts: 100,20\r\nX-Prompt-Prefix: a1:60,{id}:40\r\n\
             X-Deadline-Ms: 15000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes())?;
        sent_ms = record.now_ms();
        let mut reader = BufReader::new(stream);
        let Some(head) = read_head(&mut reader)? else { return Ok(End::Cut) };
        let status = head.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        wait_s = head.get("retry-after").and_then(|text| text.parse().ok());
        read_body(&mut reader, &head)?;
        Ok(End::Status(status))
    };
    let end = match send() {
        Ok(end) => end,
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::GaveUp,
            _ => End::Cut,
        },
    };
    let ended_ms = record.now_ms();
    let id = id.to_owned();
    (Attempt { end, ended_ms, id, instance, sent_ms }, wait_s)
}

/// What the platform's balancer knows of the instances: those in rotation.
struct Rotation {
    fronts: Vec<SocketAddr>,
    is_in: Vec<AtomicBool>,
    stops: AtomicBool,
}

/// Requesters that send one request after the other.
fn requesters(
    count: u64,
    patience_ms: u64,
    record: &Arc<Record>,
    rotation: &Arc<Rotation>,
    attempts: &Arc<Mutex<Vec<Attempt>>>,
) -> Vec<thread::JoinHandle<()>> {
    let next = Arc::new(AtomicU64::new(1));
    let start = |requester: u64| {
        let (record, rotation) = (record.clone(), rotation.clone());
        let (attempts, next) = (attempts.clone(), next.clone());
        thread::spawn(move || {
            let mut turn = requester;
            while !rotation.stops.load(Ordering::Relaxed) {
                let all = 0..rotation.fronts.len();
                let mut open: Vec<_> =
                    all.clone().filter(|at| rotation.is_in[*at].load(Ordering::Relaxed)).collect();
                if open.is_empty() {
                    open = all.collect();
                }
                turn += 1;
                let instance = open[turn as usize % open.len()];
                let id = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed));
                let to = (instance, rotation.fronts[instance]);
                let (done, wait_s) = attempt(&record, to, &id, patience_ms);
                record.note(&format!(
                    "requester {requester} request {id} to instance {instance}: sent at {} ms, {:?}",
                    done.sent_ms, done.end
                ));
                attempts.lock().unwrap().push(done);
                let wait_ms = wait_s.map_or(20, |seconds| (seconds * 1_000.0) as u64);
                sleep(ms(wait_ms.clamp(20, 5_000)));
            }
        })
    };
    (1..=count).map(start).collect()
}

/// Asks for readiness once a second, as the balancer does: two misses in a row take an instance out.
fn balance(list: &[SocketAddr], rotation: &Arc<Rotation>) -> thread::JoinHandle<()> {
    let (list, rotation) = (list.to_vec(), rotation.clone());
    thread::spawn(move || {
        let mut misses = vec![0; list.len()];
        while !rotation.stops.load(Ordering::Relaxed) {
            for (at, ready) in list.iter().enumerate() {
                misses[at] = if is_ready_at(*ready) { 0 } else { misses[at] + 1 };
                rotation.is_in[at].store(misses[at] < 2, Ordering::Relaxed);
            }
            sleep(ms(1_000));
        }
    })
}

fn is_ready_at(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, ms(300))?;
        stream.set_read_timeout(Some(ms(300)))?;
        stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.contains(" 200 "))
    };
    ask().unwrap_or(false)
}

// ---- the deployment of the cases -------------------------------------------------------------

const GAP_MS: u64 = 300;
const GRACE_MS: u64 = 8_000;
const LOSS_SLACK_MS: u64 = 200;
/// Engines that have fewer slots than the requesters send requests.
const FEW_SLOTS: EngineKind =
    EngineKind { count: 2, event_ms: 40, events: 10, slots: 3, software: "v1" };

/// What the operator says of the one route.
#[derive(Clone, Copy)]
struct RouteTimes {
    goal_ms: u64,
    /// Whether its streams may be taken up.
    is_resumable: bool,
    timeout_ms: u64,
}

impl RouteTimes {
    /// Requesters abandon a stream, also before its first event, after two seconds, four times the
    /// objective or eight times the pause, whichever is longest.
    fn patience_ms(&self) -> u64 {
        2_000.max(4 * self.goal_ms).max(8 * GAP_MS)
    }

    fn config(&self, slots: usize) -> String {
        let Self { goal_ms, is_resumable, timeout_ms } = self;
        let attempts = if *is_resumable { 2 } else { 1 };
        format!(
            "{{\"version\":1,\"routes\":[{{\"name\":\"r-plans\",\"host\":\"desk.example\",\
             \"prefix\":\"/plans/\",\"kind\":\"stream\",\"timeout-ms\":{timeout_ms},\
             \"goal-ms\":{goal_ms},\"priority\":0,\"service\":\"plan-model\",\"attempts\":{attempts},\
             \"allow-anonymous\":false,\"sticky-sessions\":true,\"stream-resume\":{is_resumable},\
             \"gap-target-ms\":{GAP_MS}}}],\"services\":[{{\"name\":\"plan-model\",\
             \"health-path\":\"/healthz\",\"max-conns\":360,\"protocol\":\"h1\",\"tls\":false,\
             \"engine\":{{\"slots\":{slots},\"kv-capacity-tokens\":557016,\"stride\":1,\
             \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max-header-bytes\":16384,\
             \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
        )
    }
}

/// Three instances before engines of one service.
struct Deployment {
    attempts: Arc<Mutex<Vec<Attempt>>>,
    directory: PathBuf,
    list: Vec<Instance>,
    record: Arc<Record>,
    rotation: Arc<Rotation>,
    runs: Runs,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Deployment {
    /// Starts all of it; traffic starts 10 s after the instances do.
    fn start(
        gateway: &Path,
        record: &Arc<Record>,
        times: RouteTimes,
        kind: EngineKind,
    ) -> Result<Self, Fault> {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let store = Store::start(0)?;
        let runs = Runs::default();
        let engines: Vec<_> = (1..=kind.count)
            .map(|number| Engine::start(&format!("i-{number}"), kind, record, &runs))
            .collect::<Result<_, _>>()?;
        store.write("op/config", Some(&times.config(kind.slots)));
        let mut list = instances(3, store.address, gateway, &directory)?;
        let rotation = Arc::new(Rotation {
            fronts: list.iter().map(Instance::front).collect(),
            is_in: list.iter().map(|_| AtomicBool::new(true)).collect(),
            stops: AtomicBool::new(false),
        });
        // Engines write their entries every 1.2 s.
        let stops = rotation.clone();
        let beat = thread::spawn(move || {
            let mut sequence = 0;
            while !stops.stops.load(Ordering::Relaxed) {
                sequence += 1;
                for engine in &engines {
                    let entry = engine.entry("plan-model", sequence);
                    store.write(&format!("servers/{}", engine.id), Some(&entry));
                }
                sleep(ms(1_200));
            }
        });
        for instance in &mut list {
            instance.start()?;
        }
        sleep(ms(10_000));
        if !list.iter().all(Instance::is_ready) {
            return Err("the instances did not become ready".into());
        }
        record.note("traffic starts");
        let ready: Vec<_> = list.iter().map(Instance::ready).collect();
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let threads = vec![balance(&ready, &rotation), beat];
        let record = record.clone();
        Ok(Self { attempts, directory, list, record, rotation, runs, threads })
    }

    /// Starts requesters that send one request after the other.
    fn send(&mut self, count: u64, patience_ms: u64) {
        let Self { attempts, record, rotation, .. } = self;
        self.threads.extend(requesters(count, patience_ms, record, rotation, attempts));
    }

    /// Ends all of it, and returns what the requesters saw and what the engines ran.
    fn finish(self) -> Result<(Vec<Attempt>, HashMap<String, Vec<Run>>), Fault> {
        let Self { attempts, directory, list, record, rotation, runs, threads } = self;
        rotation.stops.store(true, Ordering::Relaxed);
        for started in threads {
            let _ = started.join();
        }
        drop(list);
        let _ = fs::remove_dir_all(&directory);
        let attempts = attempts.lock().unwrap().clone();
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for known in &attempts {
            *ends.entry(format!("{:?}", known.end)).or_default() += 1;
        }
        record.note(&format!("{} attempts: {ends:?}", attempts.len()));
        let served = attempts.iter().filter(|known| known.end == End::Status(200)).count();
        if !attempts.is_empty() && served < 100 {
            return Err("fewer than 100 requests were served".into());
        }
        let runs = runs.lock().unwrap().clone();
        Ok((attempts, runs))
    }
}

// ---- case 1: instances are stopped and started in turn ---------------------------------------

fn planned_stop(gateway: &Path, record: Arc<Record>, has_trouble: bool) -> Result<bool, Fault> {
    let times = RouteTimes { goal_ms: 2_500, is_resumable: false, timeout_ms: 15_000 };
    let mut deployment = Deployment::start(gateway, &record, times, FEW_SLOTS)?;
    deployment.send(36, times.patience_ms());
    let list = &mut deployment.list;
    sleep(ms(8_000));
    let mut stops = Vec::new();
    for at in 0..list.len() {
        if !has_trouble {
            sleep(ms(14_000));
            continue;
        }
        let leads = list[at].leads();
        let stopped_ms = record.now_ms();
        record.note(&format!("SIGTERM to instance {at} (its log says that it leads: {leads})"));
        stops.push((at, stopped_ms));
        list[at].signal("TERM");
        let until = Instant::now() + ms(GRACE_MS);
        while !list[at].has_ended() && Instant::now() < until {
            sleep(ms(20));
        }
        if !list[at].has_ended() {
            record.note(&format!("SIGKILL to instance {at}, the grace is over"));
            list[at].signal("KILL");
            while !list[at].has_ended() {
                sleep(ms(20));
            }
        }
        record.note(&format!("instance {at} has ended, {} ms later", record.now_ms() - stopped_ms));
        sleep(ms(500));
        list[at].start()?;
        sleep(ms(5_000));
    }
    sleep(ms(4_000));
    let (attempts, runs) = deployment.finish()?;
    let lost = lost_around(&attempts, &stops, &runs, &record);
    record.note(&format!("lost around the planned stops: {}", lost.len()));
    Ok(lost.is_empty())
}

/// Returns the requests that count as lost by the rule: the instance that got them was stopped by
/// SIGTERM, had read them whole, and their channel ended without a complete answer.
fn lost_around<'a>(
    attempts: &'a [Attempt],
    stops: &[(usize, u64)],
    runs: &HashMap<String, Vec<Run>>,
    record: &Record,
) -> Vec<&'a Attempt> {
    let mut lost = Vec::new();
    for known in attempts.iter().filter(|known| known.end == End::Cut) {
        let stop = stops.iter().find(|(at, stopped_ms)| {
            *at == known.instance
                && known.ended_ms >= *stopped_ms
                && known.sent_ms < stopped_ms + GRACE_MS + 1_000
                && known.ended_ms <= stopped_ms + GRACE_MS + 1_000
        });
        let Some((_, stopped_ms)) = stop else { continue };
        let of_id = runs.get(&known.id).cloned().unwrap_or_default();
        let last_sixth_ms = stopped_ms + GRACE_MS - GRACE_MS / 6;
        let was_at_work =
            of_id.iter().any(|run| run.ended_ms.is_none_or(|ended| ended >= last_sixth_ms));
        let is_excused = was_at_work && known.sent_ms <= stopped_ms + 3_000;
        let was_passed_on = !of_id.is_empty();
        let is_late = known.ended_ms > known.sent_ms + LOSS_SLACK_MS;
        let counts = !is_excused && (was_passed_on || is_late);
        record.note(&format!(
            "request {} to instance {}: sent {} ms after SIGTERM, channel ended without an answer \
             {} ms after SIGTERM, runs {of_id:?}, {}",
            known.id,
            known.instance,
            known.sent_ms as i64 - *stopped_ms as i64,
            known.ended_ms - stopped_ms,
            if counts { "LOST" } else { "does not count" }
        ));
        if counts {
            lost.push(known);
        }
    }
    lost
}

// ---- case 4: the leader freezes and wakes again ----------------------------------------------

/// Time for which an instance must be undisturbed to be in touch, in milliseconds.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Time after the route's timeout at which the answer is due, in milliseconds.
const ANSWER_SLACK_MS: u64 = 500;
/// Time for which the leader is frozen, in milliseconds.
const FREEZE_MS: u64 = 3_500;

fn freeze(gateway: &Path, record: Arc<Record>, has_trouble: bool) -> Result<bool, Fault> {
    let times = RouteTimes { goal_ms: 1_500, is_resumable: false, timeout_ms: 4_000 };
    let mut deployment = Deployment::start(gateway, &record, times, FEW_SLOTS)?;
    deployment.send(48, times.patience_ms());
    let list = &mut deployment.list;
    sleep(ms(8_000));
    let mut disturbed = Vec::new();
    for _ in 0..3 {
        let Some(at) = list.iter().position(Instance::leads) else {
            return Err("no log says that its instance leads".into());
        };
        let begun_ms = record.now_ms();
        if has_trouble {
            record.note(&format!("SIGSTOP to instance {at}, which leads by its log"));
            list[at].signal("STOP");
        }
        sleep(ms(FREEZE_MS));
        if has_trouble {
            list[at].signal("CONT");
            record.note(&format!("SIGCONT to instance {at}"));
            disturbed.push((at, begun_ms, record.now_ms() + STABLE_WINDOW_MS));
        }
        sleep(ms(9_000));
    }
    let (attempts, _) = deployment.finish()?;
    Ok(answered_in_time(&attempts, &disturbed, times, &record))
}

/// Returns whether the rule holds: of the requests without an answer at the route's timeout, at
/// instances in touch, at most half have none half a second later.
fn answered_in_time(
    attempts: &[Attempt],
    disturbed: &[(usize, u64, u64)],
    times: RouteTimes,
    record: &Record,
) -> bool {
    let (mut open, mut late) = (0, 0);
    for known in attempts {
        let timeout_ms = known.sent_ms + times.timeout_ms;
        let due_ms = timeout_ms + ANSWER_SLACK_MS;
        let is_in_touch = disturbed.iter().all(|(at, begun_ms, ended_ms)| {
            *at != known.instance || due_ms < *begun_ms || known.sent_ms > *ended_ms
        });
        if known.ended_ms < timeout_ms || !is_in_touch {
            continue;
        }
        open += 1;
        let is_late = known.ended_ms > due_ms;
        late += usize::from(is_late);
        record.note(&format!(
            "request {} to instance {} (in touch): sent at {} ms, {:?} {} ms later{}",
            known.id,
            known.instance,
            known.sent_ms,
            known.end,
            known.ended_ms - known.sent_ms,
            if is_late { ", LATE" } else { "" }
        ));
    }
    record.note(&format!(
        "at instances in touch {open} requests had no answer at the timeout, {late} of them none half a \
         second later"
    ));
    2 * late <= open
}

// ---- case 3: all instances are killed, and requesters take their streams up ------------------

/// Engines with room for all streams, of 8 s each.
const LONG_STREAMS: EngineKind =
    EngineKind { count: 4, event_ms: 200, events: 40, slots: 13, software: "v1" };
/// Time limit of a requester, in milliseconds.
const LIMIT_MS: u64 = 15_000;
/// Times for which a requester waits before its retries, in milliseconds.
const RETRY_MS: [u64; 3] = [1_000, 2_000, 4_000];
/// Fewest streams that are taken up for the rule to say anything.
const FEWEST_TAKE_UPS: usize = 12;

/// One attempt at a stream.
#[derive(Clone, Debug)]
struct StreamAttempt {
    end: End,
    events: u64,
    is_take_up: bool,
    sent_ms: u64,
}

/// A stream over all attempts of its requester.
#[derive(Default)]
struct Stream {
    /// Id of the attempt that brought the first event.
    first_id: Option<String>,
    last_event: u64,
    /// Versions of the engines that wrote its events.
    versions: BTreeSet<String>,
}

/// Sends one attempt at a stream and reads its events; returns the wait of a refusal as well.
fn stream_attempt(
    record: &Record,
    front: SocketAddr,
    id: &str,
    stream: &mut Stream,
    (left_ms, patience_ms): (u64, u64),
) -> (StreamAttempt, u64) {
    let sent_ms = record.now_ms();
    let is_take_up = stream.first_id.is_some();
    let take_up = match &stream.first_id {
        Some(first) => format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", stream.last_event),
        None => String::new(),
    };
    let mut events = 0;
    let mut wait_ms = 0;
    let mut send = || -> io::Result<End> {
        let Ok(mut channel) = TcpStream::connect_timeout(&front, ms(1_000)) else {
            return Ok(End::NoChannel);
        };
        channel.set_nodelay(true)?;
        channel.set_read_timeout(Some(ms(patience_ms)))?;
        let text = format!(
            "POST /plans/draft HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
             X-Model: m\r\nX-Token-Counts: 100,40\r\nX-Prompt-Prefix: a1:60,{id}:40\r\n\
             X-Deadline-Ms: {left_ms}\r\n{take_up}Content-Length: 8\r\n\r\na prompt"
        );
        channel.write_all(text.as_bytes())?;
        let mut reader = BufReader::new(channel);
        let Some(head) = read_head(&mut reader)? else { return Ok(End::Cut) };
        let status = head.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait_s: Option<f64> = head.get("retry-after").and_then(|text| text.parse().ok());
        wait_ms = wait_s.map_or(0, |seconds| (seconds * 1_000.0) as u64);
        if status != 200 {
            read_body(&mut reader, &head)?;
            return Ok(End::Status(status));
        }
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(End::Cut);
            }
            if line == "0\r\n" {
                return Ok(End::Status(status));
            }
            if let Some(number) =
                line.strip_prefix("id: ").and_then(|text| text.trim().parse().ok())
            {
                events += 1;
                stream.last_event = number;
                stream.first_id.get_or_insert_with(|| id.to_owned());
            }
            if let Some((version, _)) =
                line.strip_prefix("data: ").and_then(|text| text.split_once('-'))
            {
                stream.versions.insert(version.to_owned());
            }
        }
    };
    let end = match send() {
        Ok(end) => end,
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::GaveUp,
            _ => End::Cut,
        },
    };
    (StreamAttempt { end, events, is_take_up, sent_ms }, wait_ms)
}

/// Requesters that ask for one stream after the other, and take up those that break off.
fn stream_requesters(
    count: u64,
    patience_ms: u64,
    record: &Arc<Record>,
    rotation: &Arc<Rotation>,
    streams: &Arc<Mutex<Vec<StreamAttempt>>>,
) -> Vec<thread::JoinHandle<()>> {
    let next = Arc::new(AtomicU64::new(1));
    let start = |requester: u64| {
        let (record, rotation) = (record.clone(), rotation.clone());
        let (streams, next) = (streams.clone(), next.clone());
        thread::spawn(move || {
            let mut turn = requester as usize;
            sleep(ms(requester * 97 % 8_000));
            while !rotation.stops.load(Ordering::Relaxed) {
                let begun_ms = record.now_ms();
                let mut stream = Stream::default();
                for retry in 0..=RETRY_MS.len() {
                    let left_ms = (begun_ms + LIMIT_MS).saturating_sub(record.now_ms());
                    if left_ms < 500 {
                        break;
                    }
                    turn += 1;
                    let instance = turn % rotation.fronts.len();
                    let id = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed));
                    let front = rotation.fronts[instance];
                    let limits = (left_ms, patience_ms);
                    let (done, wait_ms) = stream_attempt(&record, front, &id, &mut stream, limits);
                    record.note(&format!(
                        "requester {requester} request {id} to instance {instance}, {}: sent at {} \
                         ms, {} events, {:?}",
                        if done.is_take_up { "taking its stream up" } else { "a new stream" },
                        done.sent_ms,
                        done.events,
                        done.end
                    ));
                    let is_done = done.end == End::Status(200);
                    streams.lock().unwrap().push(done);
                    if is_done || retry == RETRY_MS.len() {
                        break;
                    }
                    sleep(ms(RETRY_MS[retry].max(wait_ms.min(left_ms / 3))));
                }
                sleep(ms(100));
            }
        })
    };
    (1..=count).map(start).collect()
}

fn take_up(gateway: &Path, record: Arc<Record>, has_trouble: bool) -> Result<bool, Fault> {
    let times = RouteTimes { goal_ms: 1_500, is_resumable: true, timeout_ms: LIMIT_MS };
    let mut deployment = Deployment::start(gateway, &record, times, LONG_STREAMS)?;
    let streams = Arc::new(Mutex::new(Vec::new()));
    let Deployment { rotation, .. } = &deployment;
    let started = stream_requesters(40, times.patience_ms(), &record, rotation, &streams);
    deployment.threads.extend(started);
    sleep(ms(12_000));
    let mut kills = Vec::new();
    for _ in 0..2 {
        if has_trouble {
            let killed_ms = record.now_ms();
            record.note("SIGKILL to all instances");
            for instance in &deployment.list {
                instance.signal("KILL");
            }
            for instance in &mut deployment.list {
                while !instance.has_ended() {
                    sleep(ms(5));
                }
            }
            sleep(ms(1_000));
            for instance in &mut deployment.list {
                instance.start()?;
            }
            kills.push((killed_ms, record.now_ms()));
            record.note("all instances are started again");
        }
        sleep(ms(18_000));
    }
    deployment.finish()?;
    let streams = streams.lock().unwrap().clone();
    if streams.iter().filter(|known| known.end == End::Status(200)).count() < 50 {
        return Err("fewer than 50 streams were served".into());
    }
    Ok(go_on(&streams, &kills, &record))
}

/// Returns whether the rule holds: of the streams that are taken up at instances in touch, the share
/// that goes on is at least half of the share of new streams that begin there in that time.
fn go_on(streams: &[StreamAttempt], kills: &[(u64, u64)], record: &Record) -> bool {
    let is_judged = |known: &&StreamAttempt| {
        kills.iter().any(|(killed_ms, started_ms)| {
            known.sent_ms >= started_ms + STABLE_WINDOW_MS && known.sent_ms < killed_ms + 18_000
        })
    };
    let share = |is_take_up: bool| {
        let of_kind =
            streams.iter().filter(is_judged).filter(|known| known.is_take_up == is_take_up);
        let all = of_kind.clone().count();
        let gone_on =
            of_kind.filter(|known| known.events > 0 || known.end == End::Status(200)).count();
        (gone_on, all)
    };
    let ((gone_on, taken_up), (begun, new)) = (share(true), share(false));
    record.note(&format!(
        "at instances in touch {gone_on} of {taken_up} streams that were taken up went on, and {begun} of \
         {new} new ones began"
    ));
    taken_up < FEWEST_TAKE_UPS || new == 0 || 2 * gone_on * new >= begun * taken_up
}

// ---- case 2: a release beside instances that start and one that freezes ----------------------

/// Engines before a release, with streams of 4 s.
const OLD_ENGINES: EngineKind =
    EngineKind { count: 2, event_ms: 100, events: 40, slots: 13, software: "v1" };
/// The first engine of the release.
const NEW_ENGINES: EngineKind = EngineKind { count: 1, software: "v2", ..OLD_ENGINES };
/// Most streams with events of two versions.
const MOST_MIXED: usize = 2;

fn versions(gateway: &Path, record: Arc<Record>, has_trouble: bool) -> Result<bool, Fault> {
    let times = RouteTimes { goal_ms: 1_000, is_resumable: true, timeout_ms: 6_000 };
    let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&directory)?;
    let store = Store::start(4)?;
    let runs = Runs::default();
    let start_engines = |kind: EngineKind, first: usize| -> Result<Vec<_>, Fault> {
        let numbers = first..first + kind.count;
        numbers.map(|number| Engine::start(&format!("i-{number}"), kind, &record, &runs)).collect()
    };
    let publish = |engines: &[Arc<Engine>]| {
        for engine in engines {
            store.write(&format!("servers/{}", engine.id), Some(&engine.entry("plan-model", 1)));
        }
    };
    publish(&start_engines(OLD_ENGINES, 1)?);
    store.write("op/config", Some(&times.config(OLD_ENGINES.slots)));
    let mut list = instances(3, store.address, gateway, &directory)?;
    for instance in &mut list {
        instance.start()?;
    }
    sleep(ms(12_000));
    if has_trouble {
        kill_first_two(&mut list, &record);
        sleep(ms(500));
        list[2].signal("STOP");
        record.note("SIGSTOP to instance 2");
    }
    publish(&start_engines(NEW_ENGINES, 10)?);
    record.note("the first engine of v2 is published");
    if has_trouble {
        list[0].start()?;
        list[1].start()?;
        record.note("instances 0 and 1 are started again");
    }
    sleep(ms(250));
    let fronts: Vec<_> = list.iter().map(Instance::front).collect();
    let ask = |requester: usize| {
        let (record, fronts) = (record.clone(), fronts.clone());
        thread::spawn(move || ask_for_stream(requester, &fronts, &record))
    };
    let requesters: Vec<_> = (0..24).map(ask).collect();
    sleep(ms(450));
    if has_trouble {
        kill_first_two(&mut list, &record);
        sleep(ms(150));
        list[2].signal("CONT");
        record.note("SIGCONT to instance 2");
    }
    let (mut mixed, mut served) = (0, 0);
    for requester in requesters {
        let (versions, is_whole) = requester.join().map_err(|_| "a requester failed")?;
        mixed += usize::from(versions > 1);
        served += usize::from(is_whole);
    }
    drop(list);
    let _ = fs::remove_dir_all(&directory);
    record.note(&format!(
        "{served} streams were served to the end, {mixed} have events of two versions"
    ));
    if served < 12 {
        return Err("fewer than 12 streams were served".into());
    }
    Ok(mixed <= MOST_MIXED)
}

fn kill_first_two(list: &mut [Instance], record: &Record) {
    for instance in &list[..2] {
        instance.signal("KILL");
    }
    for instance in &mut list[..2] {
        while !instance.has_ended() {
            sleep(ms(5));
        }
    }
    record.note("SIGKILL to instances 0 and 1");
}

/// Asks instance 0 or 1 for a stream, and takes it up at instance 2 if it breaks off; returns the number
/// of versions in it and whether it came to its end.
fn ask_for_stream(requester: usize, fronts: &[SocketAddr], record: &Record) -> (usize, bool) {
    let mut stream = Stream::default();
    let id = format!("{:016x}", 0x100 + requester);
    let front = fronts[requester % 2];
    let (mut last, _) = stream_attempt(record, front, &id, &mut stream, (6_000, 4_000));
    record.note(&format!("request {id}: {last:?}, {:?}", stream.versions));
    if last.end == End::Cut && last.events > 0 {
        sleep(ms(20));
        let id = format!("{:016x}", 0x200 + requester);
        last = stream_attempt(record, fronts[2], &id, &mut stream, (5_000, 4_000)).0;
        record.note(&format!("request {id}: {last:?}, {:?}", stream.versions));
    }
    (stream.versions.len(), last.end == End::Status(200))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, gateway, record] = &arguments[..] else {
        eprintln!("usage: standin CASE GATEWAY RECORD");
        std::process::exit(2);
    };
    watch_time();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let result = File::create(record).map_err(Fault::from).and_then(|file| {
        let record = Arc::new(Record { file: Mutex::new(file), start: Instant::now() });
        record.note(&format!("case {case}, trouble: {has_trouble}"));
        match case.as_str() {
            "planned-stop" => planned_stop(Path::new(gateway), record, has_trouble),
            "freeze" => freeze(Path::new(gateway), record, has_trouble),
            "take-up" => take_up(Path::new(gateway), record, has_trouble),
            "versions" => versions(Path::new(gateway), record, has_trouble),
            _ => Err("no such case".into()),
        }
    });
    match &result {
        Ok(true) => println!("{case}: the rule held"),
        Ok(false) => println!("{case}: the rule was broken"),
        Err(error) => println!("{case}: could not run: {error}"),
    }
    std::process::exit(match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    });
}
