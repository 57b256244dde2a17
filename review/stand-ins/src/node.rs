//! Stand-ins for the platform of `nettleferry node`: the directory, invokers and the frames of clients.

use std::collections::{BinaryHeap, HashMap};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, ResourceRecord};

use crate::Record;

/// Starts a directory that always answers with this list, whose last event has number 1. Returns its address.
pub fn directory(invokers: Vec<SocketAddr>) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("bound");
    std::thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((length, from)) = socket.recv_from(&mut buffer) {
            let Ok(query) = Packet::parse(&buffer[..length]) else { continue };
            let _ = socket.send_to(&list_answer(query.id(), &invokers), from);
        }
    });
    address
}

fn list_answer(id: u16, invokers: &[SocketAddr]) -> Vec<u8> {
    let mut packet = Packet::new_reply(id);
    let targets: Vec<String> = (0..invokers.len()).map(|n| format!("s-{n}.hall-a.hosts")).collect();
    for (address, target) in invokers.iter().zip(&targets) {
        let name = Name::new(target).expect("a name");
        let srv = SRV { priority: 0, weight: 10, port: address.port(), target: name.clone() };
        let service = Name::new_unchecked("_rpc._tcp.mesh.local");
        packet.answers.push(ResourceRecord::new(service, CLASS::IN, 0, RData::SRV(srv)));
        let IpAddr::V4(ip) = address.ip() else { continue };
        packet.additional_records.push(ResourceRecord::new(
            name.clone(),
            CLASS::IN,
            0,
            RData::A(A { address: ip.into() }),
        ));
        let text = ["kind=fast-3c", "cell=1", "started=0"]
            .iter()
            .fold(TXT::new(), |text, word| text.with_string(word).expect("an attribute"));
        packet.additional_records.push(ResourceRecord::new(name, CLASS::IN, 0, RData::TXT(text)));
    }
    let zone = Name::new_unchecked("mesh.local");
    let soa = SOA {
        mname: zone.clone(),
        rname: zone.clone(),
        serial: 1,
        refresh: 0,
        retry: 0,
        expire: 0,
        minimum: 0,
    };
    packet.name_servers.push(ResourceRecord::new(zone, CLASS::IN, 0, RData::SOA(soa)));
    packet.build_bytes_vec_compressed().expect("a message")
}

/// The `known` part of a configuration, for these invokers.
pub fn known(invokers: &[SocketAddr]) -> serde_json::Value {
    let instances: Vec<_> = invokers
        .iter()
        .enumerate()
        .map(|(n, address)| {
            serde_json::json!({"instanceId": format!("s-{n}"), "hostPort": address.to_string(), "zone": "hall-a",
                "machineType": "fast-3c", "cell": 1, "lifecycle": "up", "weight": 1, "startedAtMs": 0})
        })
        .collect();
    serde_json::json!({"pos": 1, "entries": [{"pos": 1, "hosts": {"generation": 1, "reset": true, "instances": instances}}]})
}

type Job = Box<dyn FnOnce() + Send>;

struct Entry {
    at: Instant,
    number: u64,
    job: Job,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Runs jobs at their times, on one thread.
#[derive(Clone)]
pub struct Scheduler(Arc<Shared>);

/// The jobs that wait with the number of the last one, and the signal that they have changed.
type Shared = (Mutex<(BinaryHeap<Entry>, u64)>, Condvar);

impl Default for Scheduler {
    fn default() -> Self {
        let shared = Arc::new((Mutex::new((BinaryHeap::new(), 0)), Condvar::new()));
        let own = Self(Arc::clone(&shared));
        std::thread::spawn(move || {
            loop {
                let (lock, changed) = &*shared;
                let mut queue = lock.lock().expect("not poisoned");
                let now = Instant::now();
                match queue.0.peek().map(|entry| entry.at) {
                    Some(at) if at <= now => {
                        let entry = queue.0.pop().expect("just seen");
                        drop(queue);
                        (entry.job)();
                    }
                    Some(at) => drop(changed.wait_timeout(queue, at - now)),
                    None => drop(changed.wait(queue)),
                }
            }
        });
        own
    }
}

impl Scheduler {
    pub fn after(&self, span: Duration, job: impl FnOnce() + Send + 'static) {
        let (lock, changed) = &*self.0;
        let mut queue = lock.lock().expect("not poisoned");
        queue.1 += 1;
        let number = queue.1;
        queue.0.push(Entry { at: Instant::now() + span, number, job: Box::new(job) });
        changed.notify_one();
    }
}

/// How an invoker stand-in behaves.
#[derive(Clone)]
pub struct InvokerSpec {
    /// Work of a call.
    pub work: Duration,
    /// Time of a load that is ordered at this time.
    pub load_time: Arc<dyn Fn() -> Duration + Send + Sync>,
}

/// Copies loaded at an invoker by function, and orders that wait for one.
type Copies = Arc<Mutex<HashMap<String, Copy>>>;

#[derive(Default)]
struct Copy {
    loaded: bool,
    /// Orders and calls that wait for the load.
    waiting: Vec<Job>,
}

/// Starts an invoker that keeps to the protocol: `not_here` for a function that is not loaded or being loaded, and
/// orders that are answered when their load is over.
pub fn invoker(record: &Record, name: &str, scheduler: &Scheduler, spec: InvokerSpec) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (record, name, scheduler) = (record.clone(), name.to_owned(), scheduler.clone());
    std::thread::spawn(move || {
        let copies = Copies::default();
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.set_nodelay(true);
            let (record, name, scheduler) = (record.clone(), name.clone(), scheduler.clone());
            let (spec, copies) = (spec.clone(), Arc::clone(&copies));
            std::thread::spawn(move || serve(stream, &record, &name, &scheduler, &spec, &copies));
        }
    });
    address
}

fn serve(
    mut stream: TcpStream,
    record: &Record,
    name: &str,
    scheduler: &Scheduler,
    spec: &InvokerSpec,
    copies: &Copies,
) {
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a socket")));
    let reply = move |writer: &Arc<Mutex<TcpStream>>, parts: [&[u8]; 4]| {
        let mut out = Vec::new();
        nettleferry_platform::resp::command(&mut out, &parts);
        let _ = writer.lock().expect("not poisoned").write_all(&out);
    };
    let (mut buffer, mut chunk) = (Vec::new(), [0; 32 << 10]);
    loop {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
        while let Some((parts, used)) = command(&buffer) {
            buffer.drain(..used);
            let text =
                |n: usize| String::from_utf8_lossy(parts.get(n).map_or(&[][..], Vec::as_slice)).into_owned();
            let (word, tag) = (text(0), text(1));
            let writer = Arc::clone(&writer);
            match word.as_str() {
                "PING" | "STATS" => reply(&writer, [tag.as_bytes(), b"green", b"-", b""]),
                "LOAD" => {
                    let (function, wanted) = (field(&text(2), "asset"), field(&text(2), "instances"));
                    record.line(&format!("{name}: LOAD {tag} {function} instances={wanted}"));
                    let done = move || reply(&writer, [tag.as_bytes(), b"served", b"instances=1", b""]);
                    let mut all = copies.lock().expect("not poisoned");
                    let is_new = !all.contains_key(&function);
                    let copy = all.entry(function.clone()).or_default();
                    if copy.loaded {
                        scheduler.after(Duration::ZERO, done);
                        continue;
                    }
                    copy.waiting.push(Box::new(done));
                    if is_new {
                        let (copies, record, name) = (Arc::clone(copies), record.clone(), name.to_owned());
                        scheduler.after((spec.load_time)(), move || {
                            record.line(&format!("{name}: {function} is loaded"));
                            let mut all = copies.lock().expect("not poisoned");
                            let copy = all.entry(function).or_default();
                            copy.loaded = true;
                            let waiting = std::mem::take(&mut copy.waiting);
                            drop(all);
                            waiting.into_iter().for_each(|job| job());
                        });
                    }
                }
                "CALL" => {
                    let function = field(&text(2), "asset");
                    record.line(&format!("{name}: CALL {tag} {}", text(2)));
                    let body = parts.get(3).cloned().unwrap_or_default();
                    let mut all = copies.lock().expect("not poisoned");
                    let Some(copy) = all.get_mut(&function) else {
                        reply(&writer, [tag.as_bytes(), b"not_here", b"-", b""]);
                        continue;
                    };
                    let note: &[u8] = if copy.loaded { b"n=w" } else { b"n=j" };
                    let (scheduler, work, record, name) =
                        (scheduler.clone(), spec.work, record.clone(), name.to_owned());
                    let later = scheduler.clone();
                    let run: Job = Box::new(move || {
                        later.after(work, move || {
                            record.line(&format!("{name}: ran {tag}"));
                            reply(&writer, [tag.as_bytes(), b"served", note, &body]);
                        });
                    });
                    if copy.loaded { run() } else { copy.waiting.push(run) }
                }
                "CANCEL" => record.line(&format!("{name}: CANCEL {tag}")),
                _ => {}
            }
        }
    }
}

/// The first whole RESP command of a buffer, and the bytes that it takes.
fn command(buffer: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let (count, mut at) = length(buffer, 0, b'*')?;
    let mut parts = Vec::with_capacity(count);
    for _ in 0..count {
        let (size, from) = length(buffer, at, b'$')?;
        parts.push(buffer.get(from..from + size)?.to_vec());
        buffer.get(from + size..from + size + 2)?;
        at = from + size + 2;
    }
    Some((parts, at))
}

fn length(buffer: &[u8], from: usize, kind: u8) -> Option<(usize, usize)> {
    let rest = buffer.get(from..)?;
    let end = rest.windows(2).position(|two| two == b"\r\n")?;
    let digits = rest.get(..end)?.strip_prefix(&[kind])?;
    Some((std::str::from_utf8(digits).ok()?.parse().ok()?, from + end + 2))
}

fn field(fields: &str, name: &str) -> String {
    let value = fields.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or("").to_owned()
}

/// A frame from a controller.
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

/// Removes the first whole frame of a buffer.
pub fn next_frame(buffer: &mut Vec<u8>) -> Option<Frame> {
    let head: [u8; 9] = buffer.get(..9)?.try_into().ok()?;
    let end = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize + 4;
    let payload = buffer.get(9..end)?.to_vec();
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
    buffer.drain(..end);
    Some(Frame { kind: head[4], stream, payload })
}

/// Waits until the controller at this address says that it is ready.
pub fn wait_ready(address: SocketAddr, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_ready(address).unwrap_or(false) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    let mut out = Vec::new();
    out.extend_from_slice(&6u32.to_be_bytes());
    out.extend_from_slice(&[1, 0, 0, 0, 0, 0]);
    stream.write_all(&out)?;
    let (mut buffer, mut chunk) = (Vec::new(), [0; 256]);
    loop {
        if let Some(frame) = next_frame(&mut buffer) {
            return Ok(frame.kind == 2 && frame.payload.first() == Some(&79));
        }
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(false);
        }
        buffer.extend_from_slice(&chunk[..n]);
    }
}
