//! The description of a test worker. Its text format:
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

/// The description of a test worker.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Number of CPU cores, which running calls share. It may be fractional.
    pub cores: f64,
    /// Memory for replicas, in bytes.
    pub memory: u64,
    /// Maximum number of waiting calls. Further calls are rejected.
    pub queue: usize,
    /// Maximum number of concurrent loads. Further loads are queued.
    pub loads_at_once: usize,
    /// Time without calls or orders after which the replicas of a model are unloaded.
    pub keep_alive: Micros,
    /// Whether a call of a model without replicas starts a load. If false, the call is rejected.
    pub load_when_absent: bool,
    /// Whether the worker loads another replica without an order while calls wait for a lane of a loaded model.
    pub load_extra_replicas: bool,
    /// Time in which a cold worker warms up to full capacity. 0 disables the warm-up.
    pub warm_up: Micros,
    /// Capacity at the start of the warm-up, as a share of full capacity. It grows linearly from there.
    pub start_capacity: f64,
    /// Overload limit during the warm-up, as a multiple of the current capacity. A worker that is sent more work than
    /// this within [`Spec::overload_window`] stops and stays down.
    pub overload_factor: f64,
    /// Time window over which the work for the overload limit is summed.
    pub overload_window: Micros,
    /// Resources of models by name prefix. The entry with the longest matching prefix applies.
    pub models: Vec<ModelSpec>,
}

/// The resources that a model needs at a worker.
#[derive(Clone, Debug)]
pub struct ModelSpec {
    /// Prefix of the names of the models to which the entry applies. An empty prefix matches any name.
    pub prefix: String,
    /// Number of calls that one replica runs concurrently.
    pub lanes: u32,
    /// Memory of one replica, in bytes.
    pub memory: u64,
    /// Duration of a load while the model store is not slowed by concurrent fetches.
    pub load_time: Micros,
    /// Share of the load time that is spent on the fetch from the model store, 0 to 1.
    pub fetch_share: f64,
    /// CPU time of a call on one core.
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
    /// Returns the default resources, for models of any name.
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
    /// Returns the resources of a model: the entry with the longest matching prefix, or the default.
    pub fn model(&self, name: &str) -> ModelSpec {
        let longest_match =
            self.models.iter().filter(|m| name.starts_with(&m.prefix)).max_by_key(|m| m.prefix.len());
        longest_match.cloned().unwrap_or_else(ModelSpec::any)
    }

    /// Reads a description from a form. Missing keys take their defaults, and errors are recorded in the form.
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
            spec.warm_up = cold.required_item::<TimeSpan>("the warm-up time").map_or(0, |s| s.0);
            spec.start_capacity = cold.value_or("start-capacity", 0.2).clamp(0.01, 1.0);
            spec.overload_factor = cold.value_or("overload-factor", 2.0);
            spec.overload_window = cold.micros_or("fall", spec.overload_window);
            cold.finish();
        }
        let models = form.lists("model");
        if !models.is_empty() {
            spec.models = models.into_iter().map(read_model).collect();
        }
        spec
    }
}

fn read_model(mut form: Form) -> ModelSpec {
    let base = ModelSpec::any();
    let name: String = form.required_item("a prefix of model names followed by *").unwrap_or_default();
    let fetch_share = form.value_or("fetch-share", base.fetch_share);
    if fetch_share > 1.0 {
        form.error("(fetch-share ...) must be from 0 to 1");
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

/// Parses the file of one worker: its listening address and its description. Errors quote `file` as the name of the
/// file.
///
/// # Errors
/// If the text is malformed or does not describe a worker.
pub fn read_file(file: &str, text: &str) -> Result<(SocketAddr, Spec), Errors> {
    let (source, mut top) = Form::parse(file, text);
    let listen = top.required("listen");
    let spec = Spec::read(&mut top);
    top.finish();
    source.into_result(listen.map(|listen| (listen, spec)))
}

#[cfg(test)]
mod tests;
