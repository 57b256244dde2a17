//! Follows another controller's administration: long polls on a thread of its own, the book kept on disk. What is
//! asked and believed is decided by `nettleferry_tenancy::follow`.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nettleferry_net::post::{Answer, Poster};
use nettleferry_tenancy::follow::{Ask, Follower, Heard, News};
use nettleferry_tenancy::{Book, Entry};
use serde::{Deserialize, Serialize};
use tracing::{info, warn};

use super::Told;

/// How long a watch may wait for a change, and how long an answer may take beyond.
const WATCH: Duration = Duration::from_secs(20);
const PATIENCE: Duration = Duration::from_secs(30);

/// A store's name and its book: the snapshot's body, and what is kept.
#[derive(Serialize, Deserialize)]
struct Whole {
    store: String,
    book: Book,
}

#[derive(Deserialize)]
struct Page {
    entries: Vec<Entry>,
}

pub struct Follow<T> {
    poster: Poster,
    key: String,
    number: u32,
    kept: PathBuf,
    follower: Follower,
    tell: T,
    ended: Arc<AtomicBool>,
    start: Instant,
}

impl<T: Fn(Told)> Follow<T> {
    pub fn new(to: SocketAddr, key_file: &Path, kept: &Path, number: u32, tell: T) -> io::Result<Self> {
        let key = std::fs::read_to_string(key_file)?.trim().to_owned();
        let follower = Follower::new(read(kept), rand::random());
        let (revision, tenants) = (follower.book().revision(), follower.book().tenants().len());
        info!(revision, tenants, %to, "tenants as they were kept; following the administration");
        Ok(Self {
            poster: Poster::new(to, 1, PATIENCE)?,
            key: format!("Bearer {key}"),
            number,
            kept: kept.to_owned(),
            follower,
            tell,
            ended: Arc::default(),
            start: Instant::now(),
        })
    }

    pub fn book(&self) -> &Book {
        self.follower.book()
    }

    pub fn ended(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ended)
    }

    pub fn waker(&self) -> Arc<mio::Waker> {
        self.poster.waker()
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Runs until it is ended.
    pub fn run(&mut self) -> io::Result<()> {
        let (mut heard, mut news) = (Vec::new(), Vec::new());
        while !self.ended.load(Ordering::Acquire) {
            let (ask, at) = self.follower.next();
            let wait = at.saturating_sub(self.now());
            if wait > 0 {
                self.poster.turn(Some(Duration::from_millis(wait)), &mut heard)?;
                continue;
            }
            let target = match &ask {
                Ask::Snapshot => "/v1/snapshot".to_owned(),
                Ask::Watch { store, after } => format!(
                    "/v1/watch?store={store}&after={after}&limit=1000&wait_ms={}&controller={}",
                    WATCH.as_millis(),
                    self.number
                ),
            };
            self.poster.send(0, "GET", &target, &[("Authorization", &self.key)], b"");
            while heard.is_empty() && !self.ended.load(Ordering::Acquire) {
                self.poster.turn(Some(PATIENCE), &mut heard)?;
            }
            for (_, answer) in heard.drain(..) {
                let meaning = match &answer {
                    Ok(answer) => meaning(&ask, answer),
                    Err(_) => Heard::Failed,
                };
                let before = self.follower.failures();
                self.follower.heard(self.now(), meaning, &mut news);
                match (before, self.follower.failures()) {
                    (0, 1) => {
                        let why = answer.map_or_else(|e| e.to_string(), |a| format!("status {}", a.status));
                        warn!(why, "the administration can't be followed: tenants stay as they are");
                    }
                    (1.., 0) => info!("the administration is followed again"),
                    _ => {}
                }
            }
            if !news.is_empty() {
                for one in news.drain(..) {
                    (self.tell)(match one {
                        News::Changed(entry) => Told::Changed(entry),
                        News::Began(book) => Told::Began(book),
                    });
                }
                self.keep();
            }
        }
        Ok(())
    }

    fn keep(&self) {
        let whole = Whole { store: self.follower.store().to_owned(), book: self.follower.book().clone() };
        let beside = self.kept.with_extension("new");
        let written = serde_json::to_vec(&whole)
            .map_err(io::Error::from)
            .and_then(|text| std::fs::write(&beside, text))
            .and_then(|()| std::fs::rename(&beside, &self.kept));
        if let Err(error) = written {
            warn!(file = %self.kept.display(), %error, "the tenants can't be kept for the next start");
        }
    }
}

fn read(kept: &Path) -> Option<(String, Book)> {
    let text = std::fs::read(kept).ok()?;
    match serde_json::from_slice::<Whole>(&text) {
        Ok(whole) => Some((whole.store, whole.book)),
        Err(error) => {
            warn!(file = %kept.display(), %error, "the kept tenants are not sound and are not used");
            None
        }
    }
}

fn meaning(ask: &Ask, answer: &Answer) -> Heard {
    match (answer.status, ask) {
        (200, Ask::Snapshot) => serde_json::from_slice::<Whole>(&answer.body)
            .map_or(Heard::Failed, |whole| Heard::Snapshot { store: whole.store, book: whole.book }),
        (200, Ask::Watch { .. }) => serde_json::from_slice::<Page>(&answer.body)
            .map_or(Heard::Failed, |page| Heard::Entries(page.entries)),
        (409 | 410, _) => Heard::Elsewhere,
        _ => Heard::Failed,
    }
}
