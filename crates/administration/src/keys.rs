//! Bearer keys of the API: a name and a secret, `NAME.SECRET`. The settings hold the secret's argon2 hash. Verifying a
//! secret takes milliseconds, so verified secrets are cached in memory and failed attempts are rate-limited.

use std::collections::BTreeMap;
use std::time::Instant;

use argon2::Argon2;
use argon2::password_hash::{PasswordHasher, PasswordVerifier, phc::PasswordHash};
use nettleferry_admin::{Caller, Problem, Role};
use nettleferry_admission::{Gcra, RateLimit};
use nettleferry_config::settings::AdminKey;
use rand::RngExt;

/// The rate of failed verifications above which further verifications are rejected.
const FAILURE_LIMIT: RateLimit = RateLimit { per_second: 2.0, burst: 20 };
/// Length of a generated secret in characters; 32 of 62 characters hold 190 bits.
const SECRET_LENGTH: usize = 32;
/// The alphabet of generated secrets.
const SECRET_CHARACTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The keys of an API, with a cache of verified secrets.
pub struct KeyRing {
    keys: BTreeMap<String, AdminKey>,
    /// The secret that was verified last, by key name.
    verified: BTreeMap<String, String>,
    failures: Gcra,
    start: Instant,
}

impl KeyRing {
    /// Creates a key ring from the keys in the settings.
    pub fn new(keys: &[AdminKey]) -> Self {
        Self {
            keys: keys.iter().map(|key| (key.name.clone(), key.clone())).collect(),
            verified: BTreeMap::new(),
            failures: Gcra::new(FAILURE_LIMIT),
            start: Instant::now(),
        }
    }

    /// Verifies the key in an `Authorization` header and returns its caller.
    ///
    /// # Errors
    /// 401: the header is missing or malformed, or the key is wrong; 429: too many recent attempts have failed.
    pub fn authenticate(&mut self, authorization: Option<&str>) -> Result<Caller, Problem> {
        let (name, secret) = credentials(authorization)?;
        if self.verified.get(name).is_none_or(|verified| !equal_in_constant_time(verified, secret)) {
            self.verify(name, secret)?;
        }
        let role = self.keys.get(name).and_then(|key| Role::named(&key.role)).ok_or_else(no_such_key)?;
        Ok(Caller { name: name.to_owned(), role })
    }

    fn verify(&mut self, name: &str, secret: &str) -> Result<(), Problem> {
        let now = self.start.elapsed().as_micros() as u64;
        if let Err(exceeded) = self.failures.check(now) {
            let retry_after = exceeded.retry_after.map(|us| us.div_ceil(MICROS_PER_SECOND));
            let problem = Problem::new(429, "too-many-wrong-keys", "too many keys were wrong; wait a moment");
            return Err(Problem { retry_after, ..problem });
        }
        let matches = |key: &AdminKey| {
            PasswordHash::new(&key.hash)
                .is_ok_and(|hash| Argon2::default().verify_password(secret.as_bytes(), &hash).is_ok())
        };
        if !self.keys.get(name).is_some_and(matches) {
            self.failures.record();
            return Err(no_such_key());
        }
        self.verified.insert(name.to_owned(), secret.to_owned());
        Ok(())
    }
}

/// Splits an `Authorization` header into key name and secret.
fn credentials(authorization: Option<&str>) -> Result<(&str, &str), Problem> {
    let header = authorization.ok_or_else(|| unauthorized("send Authorization: Bearer NAME.SECRET"))?;
    let token = header
        .strip_prefix("Bearer ")
        .ok_or_else(|| unauthorized("Authorization is to be Bearer NAME.SECRET"))?;
    token.rsplit_once('.').ok_or_else(|| unauthorized("a key is NAME.SECRET"))
}

fn unauthorized(detail: &str) -> Problem {
    Problem::new(401, "unauthorized", detail)
}

fn no_such_key() -> Problem {
    unauthorized("there is no such key")
}

/// Compares two secrets. For equal lengths the time does not depend on where they differ, as it could otherwise be used
/// to guess a secret.
fn equal_in_constant_time(a: &str, b: &str) -> bool {
    a.len() == b.len() && a.bytes().zip(b.bytes()).fold(0, |difference, (x, y)| difference | (x ^ y)) == 0
}

/// A generated key, of which the holder keeps the token and the settings get the hash.
#[derive(Clone, Debug)]
pub struct GeneratedKey {
    /// The token that the key's holder sends: `NAME.SECRET`.
    pub token: String,
    /// The secret's argon2 hash, for the settings.
    pub hash: String,
}

/// Generates a key with this name and a random secret.
///
/// # Errors
/// The secret cannot be hashed.
pub fn generate(name: &str) -> Result<GeneratedKey, argon2::password_hash::Error> {
    let mut random = rand::rng();
    let mut character = || char::from(SECRET_CHARACTERS[random.random_range(0..SECRET_CHARACTERS.len())]);
    let secret: String = (0..SECRET_LENGTH).map(|_| character()).collect();
    let hash = Argon2::default().hash_password(secret.as_bytes())?;
    Ok(GeneratedKey { token: format!("{name}.{secret}"), hash: hash.to_string() })
}

#[cfg(test)]
mod tests;
