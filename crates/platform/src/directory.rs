//! The list of invokers: as events in the configuration, and as answers to a DNS query (RFC 1035, RFC 2782).

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::Deserialize;
use simple_dns::rdata::RData;
use simple_dns::{CLASS, Name, Packet, PacketFlag, Question, RCODE, TYPE};

/// The name whose SRV records are the list.
pub const LIST_NAME: &str = "_rpc._tcp.mesh.local";
/// Bytes of an answer.
pub const MOST_ANSWER: usize = 8_000;
/// Weights in SRV records are whole numbers: ten times the weight.
const WEIGHT_SCALE: f64 = 10.0;

/// State of an invoker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Up,
    /// Finishes its work.
    Draining,
    /// Gone; appears among changes only.
    Removed,
}

/// An invoker of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Invoker {
    /// Its id.
    pub id: String,
    /// Where it listens; not told of one that is gone.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: String,
    /// Its weight.
    pub weight: f64,
    /// Its state.
    pub state: State,
    /// Unix millisecond of a late start; 0: long ago.
    pub started_ms: u64,
}

/// Why an answer of the directory, or an event, can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// It is no DNS message.
    #[error("no DNS message: {0}")]
    Dns(String),
    /// It is another query's answer, or none.
    #[error("not the answer to this query")]
    Other,
    /// It was cut short.
    #[error("cut short")]
    Cut,
    /// The directory reports a failure.
    #[error("the directory reports {0}")]
    Failure(String),
    /// A record is missing or can't be read.
    #[error("{0}")]
    Record(String),
}

/// The list as it stands after some event.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Number of the last event.
    pub serial: u32,
    /// Its invokers, by id.
    pub invokers: Vec<Invoker>,
}

/// A query for the list.
pub fn query(id: u16) -> Result<Vec<u8>, ListError> {
    let bad = |e: simple_dns::SimpleDnsError| ListError::Dns(e.to_string());
    let mut packet = Packet::new_query(id);
    packet.set_flags(PacketFlag::RECURSION_DESIRED);
    let name = Name::new(LIST_NAME).map_err(bad)?;
    packet.questions.push(Question::new(name, TYPE::SRV.into(), CLASS::IN.into(), false));
    packet.build_bytes_vec().map_err(bad)
}

/// Is it the name of our list? Names are alike in either case of letters.
fn is_list_name(name: &Name) -> bool {
    name.to_string().eq_ignore_ascii_case(LIST_NAME)
}

/// Reads the answer to the query with this id: a whole list or none.
pub fn answer(id: u16, bytes: &[u8]) -> Result<List, ListError> {
    let packet = Packet::parse(bytes).map_err(|e| ListError::Dns(e.to_string()))?;
    if packet.id() != id || !packet.has_flags(PacketFlag::RESPONSE) {
        return Err(ListError::Other);
    }
    if packet.questions.iter().any(|q| !is_list_name(&q.qname)) {
        return Err(ListError::Other);
    }
    if packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(ListError::Cut);
    }
    if packet.rcode() != RCODE::NoError {
        return Err(ListError::Failure(format!("{:?}", packet.rcode())));
    }
    let authority = packet.name_servers.iter().chain(&packet.answers).chain(&packet.additional_records);
    let serial = authority
        .filter_map(|r| match &r.rdata {
            RData::SOA(soa) => Some(soa.serial),
            _ => None,
        })
        .next()
        .ok_or_else(|| ListError::Record("no SOA record".to_owned()))?;
    let mut addresses: BTreeMap<String, Ipv4Addr> = BTreeMap::new();
    let mut texts: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    for record in packet.answers.iter().chain(&packet.additional_records) {
        let owner = record.name.to_string();
        match &record.rdata {
            RData::A(a) => {
                addresses.insert(owner, Ipv4Addr::from(a.address));
            }
            RData::TXT(txt) => {
                let held = texts.entry(owner).or_default();
                for (name, value) in txt.attributes() {
                    held.insert(name, value.unwrap_or_default());
                }
            }
            _ => {}
        }
    }
    let mut invokers = BTreeMap::new();
    for record in &packet.answers {
        let RData::SRV(srv) = &record.rdata else { continue };
        if !is_list_name(&record.name) {
            return Err(ListError::Record(format!("{}: the list of another service", record.name)));
        }
        let target = srv.target.to_string();
        let missing = |what: &str| ListError::Record(format!("{target}: {what}"));
        let mut labels = target.split('.');
        let (id, zone) = labels.next().zip(labels.next()).ok_or_else(|| missing("no zone in its name"))?;
        let address = addresses.get(&target).ok_or_else(|| missing("no A record"))?;
        let text = texts.get(&target).ok_or_else(|| missing("no TXT record"))?;
        let value = |name: &str| text.get(name).cloned().unwrap_or_default();
        let invoker = Invoker {
            id: id.to_owned(),
            address: Some(SocketAddr::new(IpAddr::V4(*address), srv.port)),
            zone: zone.to_owned(),
            kind: value("kind"),
            cell: value("cell"),
            weight: f64::from(srv.weight) / WEIGHT_SCALE,
            state: if srv.priority == 0 { State::Up } else { State::Draining },
            started_ms: value("started").parse().unwrap_or(0),
        };
        invokers.insert(id.to_owned(), invoker);
    }
    Ok(List { serial, invokers: invokers.into_values().collect() })
}

/// The events that the configuration holds.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Known {
    /// Number of the last event.
    #[serde(default)]
    pub pos: u32,
    /// The events, in order.
    #[serde(default)]
    pub entries: Vec<Entry>,
}

/// One event.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    /// Its number.
    pub pos: u32,
    /// What changed.
    pub hosts: Hosts,
}

/// What an event tells.
#[derive(Clone, Debug, Deserialize)]
pub struct Hosts {
    /// All that was known before is void.
    #[serde(default)]
    pub reset: bool,
    /// Invokers, all or those that changed.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// An invoker in an event.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    instance_id: String,
    #[serde(default)]
    host_port: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: serde_json::Value,
    lifecycle: State,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_at_ms: Option<f64>,
}

fn one() -> f64 {
    1.0
}

impl Known {
    /// The list after all its events.
    pub fn list(&self) -> Result<List, ListError> {
        let mut invokers = BTreeMap::new();
        for entry in &self.entries {
            if entry.hosts.reset {
                invokers.clear();
            }
            for instance in &entry.hosts.instances {
                let invoker = instance.invoker()?;
                if invoker.state == State::Removed {
                    invokers.remove(&invoker.id);
                } else {
                    invokers.insert(invoker.id.clone(), invoker);
                }
            }
        }
        Ok(List { serial: self.pos, invokers: invokers.into_values().collect() })
    }
}

impl Instance {
    fn invoker(&self) -> Result<Invoker, ListError> {
        let address = match &self.host_port {
            Some(text) => Some(text.parse().map_err(|_| {
                ListError::Record(format!("{}: {text:?} is no address and port", self.instance_id))
            })?),
            None => None,
        };
        Ok(Invoker {
            id: self.instance_id.clone(),
            address,
            zone: self.zone.clone(),
            kind: self.machine_type.clone(),
            cell: match &self.cell {
                serde_json::Value::String(text) => text.clone(),
                other => other.to_string(),
            },
            weight: if self.weight.is_finite() { self.weight } else { 1.0 },
            state: self.lifecycle,
            started_ms: self.started_at_ms.filter(|ms| *ms >= 1.0).map_or(0, |ms| ms as u64),
        })
    }
}
