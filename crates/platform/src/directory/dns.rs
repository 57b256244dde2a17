//! The list of invokers over DNS (RFC 1035). SRV records (RFC 2782) name the invokers, and each invoker has an A and a
//! TXT record.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use simple_dns::rdata::{RData, SRV};
use simple_dns::{CLASS, Name, Packet, PacketFlag, Question, RCODE, TYPE};

use super::{Invoker, List, ListError, State};

/// The DNS name whose SRV records form the list.
pub const LIST_NAME: &str = "_rpc._tcp.mesh.local";
/// Maximum size of a response in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8_000;
/// Factor between weights in SRV records, which are integers, and the invokers' weights.
const WEIGHT_SCALE: f64 = 10.0;

/// Builds a query for the list.
///
/// # Errors
/// Fails if the message can't be built.
pub fn build_query(id: u16) -> Result<Vec<u8>, ListError> {
    let failed = |error: simple_dns::SimpleDnsError| ListError::Dns(error.to_string());
    let mut packet = Packet::new_query(id);
    packet.set_flags(PacketFlag::RECURSION_DESIRED);
    let name = Name::new(LIST_NAME).map_err(failed)?;
    packet.questions.push(Question::new(name, TYPE::SRV.into(), CLASS::IN.into(), false));
    packet.build_bytes_vec().map_err(failed)
}

/// Parses the response to the query with this id. Returns a complete list, never a part of one.
///
/// # Errors
/// Fails if the message is not the query's response, or if the list is incomplete or malformed.
pub fn parse_response(id: u16, bytes: &[u8]) -> Result<List, ListError> {
    let packet = Packet::parse(bytes).map_err(|error| ListError::Dns(error.to_string()))?;
    check_response(&packet, id)?;
    let serial = serial(&packet)?;
    let hosts = HostRecords::collect(&packet);
    let mut invokers = BTreeMap::new();
    for record in &packet.answers {
        let RData::SRV(srv) = &record.rdata else { continue };
        if !is_list_name(&record.name) {
            return Err(ListError::Record(format!("{}: SRV record of another service", record.name)));
        }
        let invoker = hosts.invoker(srv)?;
        invokers.insert(invoker.id.clone(), invoker);
    }
    Ok(List { serial, invokers: invokers.into_values().collect() })
}

/// Returns whether this is [`LIST_NAME`]. DNS names are case-insensitive.
fn is_list_name(name: &Name) -> bool {
    name.to_string().eq_ignore_ascii_case(LIST_NAME)
}

/// Checks that a message is a complete and successful response to the query.
fn check_response(packet: &Packet, id: u16) -> Result<(), ListError> {
    if packet.id() != id || !packet.has_flags(PacketFlag::RESPONSE) {
        return Err(ListError::Unexpected);
    }
    if packet.questions.iter().any(|question| !is_list_name(&question.qname)) {
        return Err(ListError::Unexpected);
    }
    if packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(ListError::Truncated);
    }
    if packet.rcode() != RCODE::NoError {
        return Err(ListError::Failure(format!("{:?}", packet.rcode())));
    }
    Ok(())
}

/// Returns the serial of the SOA record, which is the number of the directory's last event.
fn serial(packet: &Packet) -> Result<u32, ListError> {
    let mut records = packet.name_servers.iter().chain(&packet.answers).chain(&packet.additional_records);
    let serial = records.find_map(|record| match &record.rdata {
        RData::SOA(soa) => Some(soa.serial),
        _ => None,
    });
    serial.ok_or_else(|| ListError::Record("response has no SOA record".to_owned()))
}

/// The A and TXT records of a response, by host name.
struct HostRecords {
    addresses: BTreeMap<String, Ipv4Addr>,
    /// Attributes in the TXT records of each host.
    attributes: BTreeMap<String, BTreeMap<String, String>>,
}

impl HostRecords {
    fn collect(packet: &Packet) -> Self {
        let mut hosts = Self { addresses: BTreeMap::new(), attributes: BTreeMap::new() };
        for record in packet.answers.iter().chain(&packet.additional_records) {
            let host = record.name.to_string();
            match &record.rdata {
                RData::A(a) => {
                    hosts.addresses.insert(host, Ipv4Addr::from(a.address));
                }
                RData::TXT(txt) => {
                    let attributes = hosts.attributes.entry(host).or_default();
                    for (name, value) in txt.attributes() {
                        attributes.insert(name, value.unwrap_or_default());
                    }
                }
                _ => {}
            }
        }
        hosts
    }

    /// Builds the invoker that an SRV record names from its A and TXT records.
    fn invoker(&self, srv: &SRV) -> Result<Invoker, ListError> {
        let target = srv.target.to_string();
        let error = |reason: &str| ListError::Record(format!("{target}: {reason}"));
        let mut labels = target.split('.');
        let (id, zone) = labels.next().zip(labels.next()).ok_or_else(|| error("host name has no zone"))?;
        let address = self.addresses.get(&target).ok_or_else(|| error("host has no A record"))?;
        let attributes = self.attributes.get(&target).ok_or_else(|| error("host has no TXT record"))?;
        let attribute = |name: &str| attributes.get(name).cloned().unwrap_or_default();
        Ok(Invoker {
            id: id.to_owned(),
            address: Some(SocketAddr::new(IpAddr::V4(*address), srv.port)),
            zone: zone.to_owned(),
            kind: attribute("kind"),
            cell: attribute("cell"),
            weight: f64::from(srv.weight) / WEIGHT_SCALE,
            state: if srv.priority == 0 { State::Up } else { State::Draining },
            started_ms: attribute("started").parse().unwrap_or(0),
        })
    }
}
