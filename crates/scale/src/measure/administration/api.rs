//! The administration's API, as the measure uses it.

use std::net::SocketAddr;
use std::time::Duration;

use nettleferry_net::http1_client::{Answer, Http1Client, Http1Error};
use serde::Deserialize;
use serde_json::json;

use crate::context::Context;
use crate::measure::MeasureError;

/// An answer has so long: longer than any change waits for its word.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// How often an end of the run is looked for meanwhile.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A limit from which each change takes something away.
const FIRST_LIMIT: u64 = 1_000_000_000;

/// A client with a key that may do all.
pub struct Api {
    client: Http1Client,
    authorization: String,
    limit: u64,
}

#[derive(Deserialize)]
struct Fleet {
    leases: u64,
}

impl Api {
    /// A client of the administration at this address.
    pub fn new(administration: SocketAddr, token: &str) -> Result<Self, MeasureError> {
        let client =
            Http1Client::new(administration, 1, REQUEST_TIMEOUT).map_err(MeasureError::system("a client"))?;
        Ok(Self { client, authorization: format!("Bearer {token}"), limit: FIRST_LIMIT })
    }

    /// Makes a tenant.
    pub fn create(&mut self, name: &str, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let body = json!({ "name": name, "note": "a tenant of a scale run" }).to_string();
        let answer = self.request("POST", "/v1/tenants", "application/json", body.as_bytes(), context)?;
        expect(&answer, &[201, 202])
    }

    /// Lowers a limit of a tenant: a change that counts when nobody acts without it. Was it answered to be in force
    /// everywhere?
    pub fn lower_limit(&mut self, name: &str, context: &mut Context<'_>) -> Result<bool, MeasureError> {
        self.limit -= 1;
        let body = json!({ "limits": { "open_calls": self.limit } }).to_string();
        let target = format!("/v1/tenants/{name}");
        let answer =
            self.request("PATCH", &target, "application/merge-patch+json", body.as_bytes(), context)?;
        expect(&answer, &[200, 202])?;
        Ok(answer.header("nettleferry-in-force") == Some("everywhere"))
    }

    /// How many lives hold a lease.
    pub fn leases(&mut self, context: &mut Context<'_>) -> Result<u64, MeasureError> {
        let answer = self.request("GET", "/v1/fleet", "application/json", b"", context)?;
        expect(&answer, &[200])?;
        let fleet: Fleet = serde_json::from_slice(&answer.body)
            .map_err(|error| MeasureError::Unexpected(format!("/v1/fleet: {error}")))?;
        Ok(fleet.leases)
    }

    /// Asks once more where the connection was closed between two requests.
    fn request(
        &mut self,
        method: &str,
        target: &str,
        kind: &str,
        body: &[u8],
        context: &mut Context<'_>,
    ) -> Result<Answer, MeasureError> {
        let first = self.exchange(method, target, kind, body, context)?;
        let answer = match first {
            Err(Http1Error::Broken(_)) => self.exchange(method, target, kind, body, context)?,
            done => done,
        };
        answer.map_err(|error| MeasureError::Unexpected(format!("{method} {target}: {error}")))
    }

    fn exchange(
        &mut self,
        method: &str,
        target: &str,
        kind: &str,
        body: &[u8],
        context: &mut Context<'_>,
    ) -> Result<Result<Answer, Http1Error>, MeasureError> {
        let headers =
            [("Authorization", self.authorization.as_str()), ("Content-Type", kind), ("If-Match", "*")];
        self.client.send(0, method, target, &headers, body);
        let mut events = Vec::new();
        loop {
            let polled = self.client.poll(Some(POLL_INTERVAL), &mut events);
            polled.map_err(MeasureError::system("a client's poll"))?;
            if let Some((_, answer)) = events.pop() {
                return Ok(answer);
            }
            context.check()?;
        }
    }
}

fn expect(answer: &Answer, statuses: &[u16]) -> Result<(), MeasureError> {
    if statuses.contains(&answer.status) {
        return Ok(());
    }
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Err(MeasureError::Unexpected(format!("the administration answered {}: {body}", answer.status)))
}
