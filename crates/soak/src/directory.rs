//! A simulated directory: serves one list of workers over DNS, to each controller at an address of its own, and can be
//! unresponsive or slow.

use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nettleferry_platform::directory::LIST_NAME;
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, ResourceRecord};

use crate::audit::{Audit, ListChange};
use crate::kernel_time;

/// A worker's entry in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The address where controllers reach the worker: that of its proxy.
    pub address: SocketAddr,
    /// Whether the worker takes new calls. If not, it is draining.
    pub in_service: bool,
    /// Whether answers contain the entry.
    pub listed: bool,
    /// Start of the worker's process, in Unix milliseconds. 0 if it started long ago.
    pub started_ms: u64,
}

/// The list of workers.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Serial number, incremented by each change.
    pub serial: u32,
    /// Entries, indexed by worker number.
    pub entries: Vec<Entry>,
}

/// The directory: its list and its disturbances.
#[derive(Default)]
pub struct Directory {
    list: Mutex<List>,
    /// While true, the directory answers no queries.
    pub unresponsive: AtomicBool,
    /// Delay of answers in milliseconds.
    pub delay: AtomicU64,
}

impl Directory {
    /// Creates a directory that serves `list`.
    pub fn new(list: List) -> Self {
        Self { list: Mutex::new(list), ..Self::default() }
    }

    /// Returns a copy of the current list.
    pub fn list(&self) -> List {
        self.list.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the entry of a worker and records the change in the audit. Returns the list's new serial number.
    pub fn change(&self, worker: usize, audit: &Audit, change: impl FnOnce(&mut Entry)) -> u32 {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.serial += 1;
        let serial = list.serial;
        if let Some(entry) = list.entries.get_mut(worker) {
            change(entry);
            let in_service = entry.listed && entry.in_service;
            audit.list_changed(ListChange { serial, worker, in_service });
        }
        serial
    }

    /// Binds a new address for a controller and starts a thread that answers queries there until `stop` is set. Returns
    /// the address.
    pub fn open(
        self: &Arc<Self>,
        controller: usize,
        audit: Arc<Audit>,
        stop: Arc<AtomicBool>,
    ) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(Duration::from_millis(200)))?;
        // If the kernel does not support timestamps, the clock readings before and after the send are used.
        let _ = kernel_time::enable_send_timestamps(&socket);
        let address = socket.local_addr()?;
        let directory = Arc::clone(self);
        std::thread::spawn(move || {
            let mut buffer = [0; 2048];
            while !stop.load(Ordering::Acquire) {
                let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
                directory.respond(&socket, from, &buffer[..length], controller, &audit);
            }
        });
        Ok(address)
    }

    fn respond(&self, socket: &UdpSocket, from: SocketAddr, query: &[u8], controller: usize, audit: &Audit) {
        let Ok(query) = Packet::parse(query) else { return };
        if self.unresponsive.load(Ordering::Acquire) {
            return;
        }
        let list = self.list();
        let Some(bytes) = answer(query.id(), &list) else { return };
        std::thread::sleep(Duration::from_millis(self.delay.load(Ordering::Acquire)));
        // The controller may act on the list before this thread is scheduled again after the send.
        let before = audit.now();
        if socket.send_to(&bytes, from).is_ok() {
            audit.list_sent(controller, list.serial, before, kernel_time::last_send(socket));
        }
    }
}

/// Encodes the answer to the query with this id: an SRV, an A and a TXT record for each listed worker. Returns `None`
/// if the encoding fails.
fn answer(id: u16, list: &List) -> Option<Vec<u8>> {
    let mut packet = Packet::new_reply(id);
    let targets: Vec<String> = (0..list.entries.len()).map(|n| format!("s-{n}.east.hosts")).collect();
    let started: Vec<String> = list.entries.iter().map(|e| format!("started={}", e.started_ms)).collect();
    for ((entry, target), started) in list.entries.iter().zip(&targets).zip(&started) {
        let IpAddr::V4(ip) = entry.address.ip() else { continue };
        if !entry.listed {
            continue;
        }
        let name = Name::new(target).ok()?;
        let priority = u16::from(!entry.in_service);
        let srv = SRV { priority, weight: 10, port: entry.address.port(), target: name.clone() };
        let service = Name::new_unchecked(LIST_NAME);
        packet.answers.push(ResourceRecord::new(service, CLASS::IN, 0, RData::SRV(srv)));
        let a = RData::A(A { address: ip.into() });
        packet.additional_records.push(ResourceRecord::new(name.clone(), CLASS::IN, 0, a));
        let attributes = ["kind=std", "cell=1", started.as_str()];
        let text =
            attributes.iter().try_fold(TXT::new(), |text, attribute| text.with_string(attribute)).ok()?;
        packet.additional_records.push(ResourceRecord::new(name, CLASS::IN, 0, RData::TXT(text)));
    }
    let zone = Name::new_unchecked("mesh.local");
    let soa = SOA {
        mname: zone.clone(),
        rname: zone.clone(),
        serial: list.serial,
        refresh: 0,
        retry: 0,
        expire: 0,
        minimum: 0,
    };
    packet.name_servers.push(ResourceRecord::new(zone, CLASS::IN, 0, RData::SOA(soa)));
    packet.build_bytes_vec_compressed().ok()
}
