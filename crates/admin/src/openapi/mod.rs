//! The OpenAPI document, which is generated from the table of routes. A test checks that `docs/openapi.json` is equal
//! to the generated document.
//!
//! The schemas are grouped by subject: [`tenants`], [`fleet`], [`reports`]. [`builders`] has functions that they share.

mod builders;
mod fleet;
mod reports;
mod tenants;

use serde_json::{Map, Value, json};

use self::builders::{integer, reference, text};
use crate::routes::{QueryParameter, ROUTES, Route};

/// All named schemas, by name.
fn schemas() -> Value {
    let subjects = [
        tenants::schemas(),
        fleet::member_schemas(),
        fleet::state_schemas(),
        reports::schemas(),
        common_schemas(),
    ];
    let mut all = Map::new();
    for subject in subjects {
        if let Value::Object(schemas) = subject {
            all.extend(schemas);
        }
    }
    Value::Object(all)
}

/// The schemas of the document itself and of problems.
fn common_schemas() -> Value {
    json!({
        "Document": { "type": "object" },
        "Problem": { "type": "object", "required": ["type", "title", "status", "detail"], "properties": {
            "type": text("/problems/ followed by the kind of the problem"), "title": text("kind of the problem, for people"), "status": integer("HTTP status code"),
            "detail": text("what happened, and how the request can be corrected"), "field": text("invalid field, header or parameter"),
        } },
    })
}

/// The operation object of a route.
fn operation(route: &Route) -> Value {
    let mut parameters: Vec<Value> = Vec::new();
    if route.path.contains("{name}") {
        parameters
            .push(json!({ "name": "name", "in": "path", "required": true, "schema": { "type": "string" } }));
    }
    for QueryParameter { name, description } in route.query {
        parameters.push(
            json!({ "name": name, "in": "query", "description": description, "schema": { "type": "string" } }),
        );
    }
    if route.conditional {
        let description =
            "the tenant's ETag, or *; 412 if the tenant was changed since, 428 if the header is missing";
        parameters.push(json!({ "name": "If-Match", "in": "header", "required": true, "description": description, "schema": { "type": "string" } }));
    }
    if route.operation_id == "createTenant" {
        let description =
            "a request that is repeated with the same key is not executed again and gets the same response";
        parameters.push(json!({ "name": "Idempotency-Key", "in": "header", "description": description, "schema": { "type": "string", "maxLength": 128 } }));
    }
    let content = json!({ "application/json": { "schema": reference(route.response) } });
    let problem = json!({ "description": "problem details", "content": { "application/problem+json": { "schema": reference("Problem") } } });
    let mut responses = Map::new();
    responses.insert(route.status.to_string(), json!({ "description": route.summary, "content": content }));
    responses.insert("default".to_owned(), problem);
    let mut object = json!({
        "operationId": route.operation_id, "summary": route.summary, "description": format!("Role: {}", json!(route.role).as_str().unwrap_or("")),
        "parameters": parameters, "responses": responses,
    });
    if let (Some(body), Value::Object(fields)) = (route.body, &mut object) {
        let kind = if route.method == "PATCH" { "application/merge-patch+json" } else { "application/json" };
        fields.insert(
            "requestBody".to_owned(),
            json!({ "required": true, "content": { kind: { "schema": reference(body) } } }),
        );
    }
    object
}

/// Generates the OpenAPI document from [`ROUTES`].
pub fn document() -> Value {
    let mut paths: Map<String, Value> = Map::new();
    for route in ROUTES {
        let path = paths.entry(route.path).or_insert_with(|| json!({}));
        if let Value::Object(path) = path {
            path.insert(route.method.to_ascii_lowercase(), operation(route));
        }
    }
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "nettleferry administration", "version": "1",
            "description": "Tenants, their limits, the audit trail and workers of a running controller. Errors are problem details (RFC 9457).",
        },
        "paths": paths,
        "components": {
            "schemas": schemas(),
            "securitySchemes": { "bearer": { "type": "http", "scheme": "bearer" } },
        },
        "security": [{ "bearer": [] }],
    })
}
