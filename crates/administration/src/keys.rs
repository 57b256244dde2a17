//! Bearer keys: a name and a secret, `NAME.SECRET`; the settings hold the secret's argon2 hash. A proof costs
//! milliseconds, so that a secret that held is remembered, in memory alone, and those that fail are rationed.

use std::collections::BTreeMap;
use std::time::Instant;

use argon2::Argon2;
use argon2::password_hash::{PasswordHasher, PasswordVerifier, phc::PasswordHash};
use nettleferry_admin::{Caller, Problem, Role};
use nettleferry_admission::{Gcra, RateLimit};
use nettleferry_config::settings::AdminKey;
use rand::RngExt;

/// Proofs that may fail in a second, and at once.
const FAILURES: RateLimit = RateLimit { per_second: 2.0, burst: 20 };
/// Characters of a secret: 190 bits.
const SECRET: usize = 32;

/// All keys.
pub struct Keys {
    keys: BTreeMap<String, AdminKey>,
    /// The secret that proved a key last.
    proven: BTreeMap<String, String>,
    failures: Gcra,
    start: Instant,
}

impl Keys {
    /// Keys of the settings.
    pub fn new(keys: &[AdminKey]) -> Self {
        let keys = keys.iter().map(|k| (k.name.clone(), k.clone())).collect();
        let (proven, failures) = (BTreeMap::new(), Gcra::new(FAILURES));
        Self { keys, proven, failures, start: Instant::now() }
    }

    /// Who sends this Authorization header.
    pub fn prove(&mut self, authorization: Option<&str>) -> Result<Caller, Problem> {
        let wrong = |what: &str| Problem::new(401, "unauthorized", what);
        let Some(told) = authorization else {
            return Err(wrong("send Authorization: Bearer NAME.SECRET"));
        };
        let token =
            told.strip_prefix("Bearer ").ok_or_else(|| wrong("Authorization is to be Bearer NAME.SECRET"))?;
        let (name, secret) = token.rsplit_once('.').ok_or_else(|| wrong("a key is NAME.SECRET"))?;
        let now = self.start.elapsed().as_micros() as u64;
        if self.proven.get(name).is_none_or(|proven| !same(proven, secret)) {
            if let Err(exceeded) = self.failures.check(now) {
                let seconds = exceeded.retry_after.map(|us| us.div_ceil(1_000_000));
                let what = "too many keys were wrong; wait a moment";
                return Err(Problem {
                    retry_after: seconds,
                    ..Problem::new(429, "too-many-wrong-keys", what)
                });
            }
            let sound = self.keys.get(name).is_some_and(|key| {
                PasswordHash::new(&key.hash)
                    .is_ok_and(|hash| Argon2::default().verify_password(secret.as_bytes(), &hash).is_ok())
            });
            if !sound {
                self.failures.record();
                return Err(wrong("there is no such key"));
            }
            self.proven.insert(name.to_owned(), secret.to_owned());
        }
        let role = self.keys.get(name).and_then(|k| Role::named(&k.role));
        let role = role.ok_or_else(|| wrong("there is no such key"))?;
        Ok(Caller { name: name.to_owned(), role })
    }
}

/// Compares without telling by its time where they differ.
fn same(a: &str, b: &str) -> bool {
    a.len() == b.len() && a.bytes().zip(b.bytes()).fold(0, |sum, (x, y)| sum | (x ^ y)) == 0
}

/// A new key: the token for its holder, and the hash for the settings.
pub fn make(name: &str) -> Result<(String, String), String> {
    const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
    let mut random = rand::rng();
    let secret: String =
        (0..SECRET).map(|_| char::from(LETTERS[random.random_range(0..LETTERS.len())])).collect();
    let hash = Argon2::default().hash_password(secret.as_bytes()).map_err(|e| e.to_string())?;
    Ok((format!("{name}.{secret}"), hash.to_string()))
}

#[cfg(test)]
mod tests;
