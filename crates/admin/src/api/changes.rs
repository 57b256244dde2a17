//! Operations that change tenants. All but the creation require an If-Match header; a creation with an idempotency key
//! is executed only once.

use nettleferry_tenancy::{Applied, Change, Condition, IdempotentResponse};
use serde_json::Value;

use crate::message::{Outcome, Request, Response};
use crate::problem::Problem;
use crate::routes::Operation;

use super::Api;
use super::invocation::{Invocation, expect_content_type, json_body};
use super::limits::{DEFAULT_GRACE_MS, MAX_GRACE_MS, MAX_IDEMPOTENCY_KEY_BYTES};
use super::ports::{ChangeStore, Runtime};
use super::responses::{JSON, MERGE_PATCH, check_serving, internal, tenant_response};

impl<S: ChangeStore> Api<S> {
    /// Creates the tenant that the request's body describes.
    pub(super) fn create_tenant(
        &mut self,
        invocation: &Invocation<'_>,
        runtime: &impl Runtime,
    ) -> Result<Outcome, Problem> {
        let (name, spec) = new_tenant(invocation.request)?;
        self.change(invocation, &Change::Create { name, spec }, runtime)
    }

    /// Changes a tenant by merge patch.
    pub(super) fn patch_tenant(
        &mut self,
        invocation: &Invocation<'_>,
        runtime: &impl Runtime,
    ) -> Result<Outcome, Problem> {
        expect_content_type(invocation.request, &[MERGE_PATCH, JSON])?;
        let change =
            Change::Patch { name: invocation.name.to_owned(), patch: json_body(invocation.request.body)? };
        self.change(invocation, &change, runtime)
    }

    /// Removes a tenant after a grace period for its open calls.
    pub(super) fn remove_tenant(
        &mut self,
        invocation: &Invocation<'_>,
        runtime: &impl Runtime,
    ) -> Result<Outcome, Problem> {
        let grace_ms = invocation.query.number("grace_ms", 0, MAX_GRACE_MS, DEFAULT_GRACE_MS)?;
        self.change(invocation, &Change::Remove { name: invocation.name.to_owned(), grace_ms }, runtime)
    }

    /// Rejects new calls of a tenant.
    pub(super) fn suspend_tenant(
        &mut self,
        invocation: &Invocation<'_>,
        runtime: &impl Runtime,
    ) -> Result<Outcome, Problem> {
        self.change(invocation, &Change::Suspend { name: invocation.name.to_owned() }, runtime)
    }

    /// Accepts calls of a suspended tenant again.
    pub(super) fn resume_tenant(
        &mut self,
        invocation: &Invocation<'_>,
        runtime: &impl Runtime,
    ) -> Result<Outcome, Problem> {
        self.change(invocation, &Change::Resume { name: invocation.name.to_owned() }, runtime)
    }

    /// Commits a change and applies it to the snapshot. A dry run commits nothing and responds with status 200 and the
    /// tenant as the change would leave it.
    fn change(
        &mut self,
        invocation: &Invocation<'_>,
        change: &Change,
        runtime: &impl Runtime,
    ) -> Result<Outcome, Problem> {
        check_serving(runtime)
            .map_err(|p| Problem { detail: format!("nothing can be changed: {}", p.detail), ..p })?;
        if let Some(why) = &self.read_only {
            return Err(Problem::new(503, "read-only", format!("nothing can be changed: {why}")));
        }
        let if_match = invocation.request.if_match;
        let condition = if invocation.route.conditional { condition(if_match)? } else { Condition::Any };
        let dry_run = invocation.query.dry_run()?;
        let key = idempotency_key(invocation, dry_run)?;
        let fingerprint = fingerprint(invocation.request.body);
        if let Some(key) = &key
            && let Some(stored) = self.store.stored_response(key).map_err(internal)?
        {
            return repeated_response(stored, fingerprint);
        }
        let Applied { tenant: after, entry } =
            self.snapshot.evaluate(change, condition, &invocation.caller.name, invocation.now)?;
        let after = after.ok_or_else(|| internal("the evaluated change has no resulting tenant"))?;
        let response = tenant_response(invocation.route.status, &after)?;
        if dry_run {
            return Ok(Outcome::Ready(Response { status: 200, ..response }));
        }
        // The tenant is in the requested state already. The response still waits until every controller acts on that
        // state.
        let Some(entry) = entry else {
            return Ok(Outcome::Committed { response, revision: after.revision, restricts: true });
        };
        let keyed_response = key.as_ref().map(|key| {
            let (status, body, revision) = (response.status, response.body.clone(), after.revision);
            (key.as_str(), IdempotentResponse { fingerprint, status, revision, body, at_ms: invocation.now })
        });
        let committed =
            self.store.commit(&entry, keyed_response.as_ref().map(|(key, response)| (*key, response)));
        committed.map_err(|error| {
            Problem::new(
                503,
                "not-kept",
                format!("the change could not be stored and has no effect: {error}"),
            )
        })?;
        self.snapshot.apply(&entry).map_err(internal)?;
        Ok(Outcome::Committed { response, revision: entry.revision, restricts: entry.restricts() })
    }
}

/// The key under which the response to a creation is stored; `None` for a dry run, another operation, or no key.
fn idempotency_key(invocation: &Invocation<'_>, dry_run: bool) -> Result<Option<String>, Problem> {
    let creates = invocation.route.operation == Operation::CreateTenant;
    match invocation.request.idempotency_key.filter(|_| creates && !dry_run) {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => Err(Problem::field(
            "Idempotency-Key",
            format!("must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes, but has {}", key.len()),
        )),
        // The caller's name is part of the key, so that callers can't use each other's keys.
        Some(key) => Ok(Some(format!("{}/{key}", invocation.caller.name))),
        None => Ok(None),
    }
}

/// A body's CRC-32 (upper 32 bits) and length (lower 32 bits), which identify the request of an idempotency key.
fn fingerprint(body: &[u8]) -> u64 {
    u64::from(crc32fast::hash(body)) << 32 | body.len() as u64
}

/// The stored response to an earlier request with the same idempotency key. Fails if that request had another body.
fn repeated_response(stored: IdempotentResponse, fingerprint: u64) -> Result<Outcome, Problem> {
    if stored.fingerprint != fingerprint {
        let detail = "this Idempotency-Key was used before with another body";
        return Err(Problem {
            field: Some("Idempotency-Key".to_owned()),
            ..Problem::new(422, "key-reused", detail)
        });
    }
    let headers =
        vec![("ETag", format!("\"{}\"", stored.revision)), ("Idempotency-Replayed", "true".to_owned())];
    let response = Response { status: stored.status, content_type: JSON, headers, body: stored.body };
    Ok(Outcome::Committed { response, revision: stored.revision, restricts: true })
}

/// The condition in an If-Match header, which is required.
fn condition(if_match: Option<&str>) -> Result<Condition, Problem> {
    let Some(tag) = if_match else {
        let detail = "the If-Match header is missing: send the tenant's ETag, or * to change any revision";
        return Err(Problem::new(428, "condition-wanted", detail));
    };
    if tag.trim() == "*" {
        return Ok(Condition::Any);
    }
    let number = tag.trim().strip_prefix('"').and_then(|t| t.strip_suffix('"')).and_then(|t| t.parse().ok());
    let invalid_tag = || Problem {
        status: 400,
        ..Problem::field("If-Match", "must be one ETag in quotes, such as \"17\", or *")
    };
    number.map(Condition::AtRevision).ok_or_else(invalid_tag)
}

/// The name and the settings of a new tenant, from the body of the request.
fn new_tenant(request: &Request<'_>) -> Result<(String, Value), Problem> {
    expect_content_type(request, &[JSON])?;
    let Value::Object(mut body) = json_body(request.body)? else {
        return Err(Problem::field("the body", "must be a JSON object with the tenant's name"));
    };
    match body.remove("name") {
        Some(Value::String(name)) => Ok((name, Value::Object(body))),
        Some(_) => Err(Problem::field("name", "must be a string")),
        None => Err(Problem::field("name", "is missing")),
    }
}
