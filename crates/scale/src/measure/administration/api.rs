//! Client of the administration's HTTP API, with the calls that the measure needs.

use std::net::SocketAddr;
use std::time::Duration;

use nettleferry_net::http1_client::{Answer, Http1Client, Http1Error};
use serde::Deserialize;
use serde_json::json;

use crate::context::Context;
use crate::measure::MeasureError;

/// Timeout of a request. Longer than the administration waits for a change to be in force everywhere.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a waiting request checks the limits of the run.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Initial limit of open calls, which each change lowers by one.
const FIRST_LIMIT: u64 = 1_000_000_000;

/// Client with a key of the role `admin`.
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
    /// Creates a client of the administration at this address, authorized by `token`.
    pub fn new(administration: SocketAddr, token: &str) -> Result<Self, MeasureError> {
        let client = Http1Client::new(administration, 1, REQUEST_TIMEOUT)
            .map_err(MeasureError::system("can't create an HTTP client"))?;
        Ok(Self { client, authorization: format!("Bearer {token}"), limit: FIRST_LIMIT })
    }

    /// Creates a tenant.
    pub fn create(&mut self, name: &str, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let body = json!({ "name": name, "note": "a tenant of a scale run" }).to_string();
        let answer = self.request("POST", "/v1/tenants", "application/json", body.as_bytes(), context)?;
        expect(&answer, &[201, 202])
    }

    /// Lowers a limit of a tenant. Such a change is complete only when no controller acts on the old limit; returns
    /// whether the response reports it in force everywhere.
    pub fn lower_limit(&mut self, name: &str, context: &mut Context<'_>) -> Result<bool, MeasureError> {
        self.limit -= 1;
        let body = json!({ "limits": { "open_calls": self.limit } }).to_string();
        let target = format!("/v1/tenants/{name}");
        let answer =
            self.request("PATCH", &target, "application/merge-patch+json", body.as_bytes(), context)?;
        expect(&answer, &[200, 202])?;
        Ok(answer.header("nettleferry-in-force") == Some("everywhere"))
    }

    /// Number of incarnations that hold a lease.
    pub fn leases(&mut self, context: &mut Context<'_>) -> Result<u64, MeasureError> {
        let answer = self.request("GET", "/v1/fleet", "application/json", b"", context)?;
        expect(&answer, &[200])?;
        let fleet: Fleet = serde_json::from_slice(&answer.body)
            .map_err(|error| MeasureError::Unexpected(format!("/v1/fleet: {error}")))?;
        Ok(fleet.leases)
    }

    /// Sends a request, and retries it once if the connection was broken, as by an idle timeout between two requests.
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
            polled.map_err(MeasureError::system("can't poll the HTTP client"))?;
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
