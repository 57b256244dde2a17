//! A test worker's description. As text:
//!
//! ```text
//! (listen "127.0.0.1:9001")
//! (cores 2) (memory 8GiB) (queue 64) (loads-at-once 4) (keep-alive 8s)
//! (when-absent load) (own-copies yes)
//! (cold 5s (start-capacity 0.2) (overload-factor 2) (fall 1s))
//! (model echo-* (lanes 2) (memory 1GiB) (load-time 300ms) (fetch-share 0.6) (work 20ms))
//! ```

use std::net::SocketAddr;

use nettleferry_config::form::{Bytes, Errors, Form, TimeSpan};

use crate::store::Micros;

/// What a worker is.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its cores.
    pub cores: f64,
    /// Bytes of memory for replicas.
    pub memory: u64,
    /// Calls that may wait.
    pub queue: usize,
    /// Loads at once.
    pub loads_at_once: usize,
    /// An idle replica is unloaded after this time.
    pub keep_alive: Micros,
    /// A call of a model without a replica starts a load; else it is rejected.
    pub load_when_absent: bool,
    /// It loads a further replica by itself when all lanes of a model are taken.
    pub load_extra_replicas: bool,
    /// How long it warms up; 0: not at all.
    pub warm_up: Micros,
    /// Share of its capacity at its start.
    pub start_capacity: f64,
    /// While it warms up, it falls over and stays down when it is sent more than this multiple of its capacity.
    pub overload_factor: f64,
    /// The time over which that is counted.
    pub overload_window: Micros,
    /// Models by the beginning of their names; the longest wins.
    pub models: Vec<ModelSpec>,
}

/// What a model needs there.
#[derive(Clone, Debug)]
pub struct ModelSpec {
    /// The beginning of its name.
    pub prefix: String,
    /// Calls that one replica runs at once.
    pub lanes: u32,
    /// Bytes of a replica.
    pub memory: u64,
    /// How long a load takes while the store is not crowded.
    pub load_time: Micros,
    /// Share of it that is the fetch from the store.
    pub fetch_share: f64,
    /// Core time of a call.
    pub core_time: Micros,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            cores: 4.0,
            memory: 8 << 30,
            queue: 256,
            loads_at_once: 4,
            keep_alive: 8_000_000,
            load_when_absent: true,
            load_extra_replicas: true,
            warm_up: 0,
            start_capacity: 1.0,
            overload_factor: 2.0,
            overload_window: 1_000_000,
            models: vec![ModelSpec::any()],
        }
    }
}

impl ModelSpec {
    /// Any model.
    pub fn any() -> Self {
        Self {
            prefix: String::new(),
            lanes: 2,
            memory: 512 << 20,
            load_time: 200_000,
            fetch_share: 0.6,
            core_time: 5_000,
        }
    }
}

impl Spec {
    /// What it says of a model.
    pub fn model(&self, name: &str) -> ModelSpec {
        let best = self.models.iter().filter(|m| name.starts_with(&m.prefix)).max_by_key(|m| m.prefix.len());
        best.cloned().unwrap_or_else(ModelSpec::any)
    }

    /// Reads the keys of a worker from a form; keys it lacks keep their defaults.
    pub fn read(form: &mut Form) -> Self {
        let base = Self::default();
        let mut spec = Self {
            cores: form.value_or("cores", base.cores).max(0.01),
            memory: form.value_or("memory", Bytes(base.memory)).0,
            queue: form.value_or("queue", base.queue as u64) as usize,
            loads_at_once: (form.value_or("loads-at-once", base.loads_at_once as u64) as usize).max(1),
            keep_alive: form.micros_or("keep-alive", base.keep_alive),
            load_when_absent: form.keyword_or("when-absent", &[("load", true), ("miss", false)], true),
            load_extra_replicas: form.value_or("own-copies", true),
            ..base
        };
        if let Some(mut cold) = form.optional_list("cold") {
            spec.warm_up = cold.required_item::<TimeSpan>("how long it is cold").map_or(0, |s| s.0);
            spec.start_capacity = cold.value_or("start-capacity", 0.2).clamp(0.01, 1.0);
            spec.overload_factor = cold.value_or("overload-factor", 2.0);
            spec.overload_window = cold.micros_or("fall", spec.overload_window);
            cold.finish();
        }
        let models = form.lists("model");
        if !models.is_empty() {
            spec.models = models.into_iter().map(model).collect();
        }
        spec
    }
}

fn model(mut form: Form) -> ModelSpec {
    let base = ModelSpec::any();
    let name: String = form.required_item("the beginning of its names and a *").unwrap_or_default();
    let fetch_share = form.value_or("fetch-share", base.fetch_share);
    if fetch_share > 1.0 {
        form.error("(fetch-share ...) is a share, from 0 to 1");
    }
    let spec = ModelSpec {
        prefix: name.trim_end_matches('*').to_owned(),
        lanes: form.value_or("lanes", base.lanes).max(1),
        memory: form.value_or("memory", Bytes(base.memory)).0,
        load_time: form.micros_or("load-time", base.load_time),
        fetch_share: fetch_share.min(1.0),
        core_time: form.micros_or("work", base.core_time),
    };
    form.finish();
    spec
}

/// Reads a file for one worker: where it listens, and what it is.
pub fn read_file(file: &str, text: &str) -> Result<(SocketAddr, Spec), Errors> {
    let (source, mut top) = Form::parse(file, text);
    let listen = top.required("listen");
    let spec = Spec::read(&mut top);
    top.finish();
    source.into_result(listen.map(|listen| (listen, spec)))
}

#[cfg(test)]
mod tests;
