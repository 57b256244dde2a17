//! The directory: one list, told to each controller at addresses of its own, with disturbances.

use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nettleferry_platform::directory::LIST_NAME;
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, ResourceRecord};

use crate::audit::{Audit, ListEvent};
use crate::kernel_time;

/// A worker in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Where controllers reach it.
    pub address: SocketAddr,
    /// It takes new calls; else it drains.
    pub in_service: bool,
    /// It is listed at all.
    pub listed: bool,
    /// Unix millisecond of its start, 0: long ago.
    pub started_ms: u64,
}

/// The list as it stands, by worker.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Number of the last event.
    pub serial: u32,
    /// Workers by their numbers.
    pub entries: Vec<Entry>,
}

/// The directory's state.
#[derive(Default)]
pub struct Directory {
    list: Mutex<List>,
    /// No answers come.
    pub unresponsive: AtomicBool,
    /// Answers are late by so many milliseconds.
    pub delay: AtomicU64,
}

impl Directory {
    /// One with this list.
    pub fn new(list: List) -> Self {
        Self { list: Mutex::new(list), ..Self::default() }
    }

    /// The list as it stands.
    pub fn list(&self) -> List {
        self.list.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes one worker: the next event, whose number it returns.
    pub fn change(&self, worker: usize, audit: &Audit, change: impl FnOnce(&mut Entry)) -> u32 {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.serial += 1;
        let serial = list.serial;
        if let Some(entry) = list.entries.get_mut(worker) {
            change(entry);
            let in_service = entry.listed && entry.in_service;
            audit.list_changed(ListEvent { serial, worker, in_service });
        }
        serial
    }

    /// Opens an address of its own for a controller, which answers until `stop` is set.
    pub fn open(
        self: &Arc<Self>,
        controller: usize,
        audit: Arc<Audit>,
        stop: Arc<AtomicBool>,
    ) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(Duration::from_millis(200)))?;
        // Where the kernel has no timestamps, the interval of the send stands.
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
        // The controller may act on it before this thread has the core again.
        let before = audit.now();
        if socket.send_to(&bytes, from).is_ok() {
            audit.list_sent(controller, list.serial, before, kernel_time::last_send(socket));
        }
    }
}

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
        let words = ["kind=std", "cell=1", started.as_str()];
        let text = words.iter().try_fold(TXT::new(), |text, word| text.with_string(word)).ok()?;
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
