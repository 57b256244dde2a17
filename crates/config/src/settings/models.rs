//! The models that are served, by name or by a prefix of their names.

use std::collections::HashMap;

use nettleferry::{ClassId, Micros};

use crate::form::{Bytes, Form, TimeSpan, nearest};

/// Most models of a file.
pub const MAX_MODELS: usize = 100_000;

/// A tensor, for ModelMetadata.
#[derive(Clone, Debug, PartialEq)]
pub struct Tensor {
    /// Its name.
    pub name: String,
    /// Its datatype, as the protocol writes it.
    pub datatype: String,
    /// Its shape; -1 is any size.
    pub shape: Vec<i64>,
}

/// A model, or all models whose names have a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its number among the settings' models, for metrics.
    pub group: u32,
    /// Its class.
    pub class: ClassId,
    /// Calls that one replica runs at once.
    pub lanes: u32,
    /// Memory of a replica, bytes.
    pub memory: Option<u64>,
    /// Typical time of a load.
    pub load_time: Option<Micros>,
    /// Typical service time of a call.
    pub service_time: Option<Micros>,
    /// Versions served; empty: any.
    pub versions: Vec<String>,
    /// Its platform, for ModelMetadata.
    pub platform: String,
    /// Its inputs.
    pub inputs: Vec<Tensor>,
    /// Its outputs.
    pub outputs: Vec<Tensor>,
}

/// Models by name or by its longest prefix.
#[derive(Clone, Debug, Default)]
pub struct Models {
    exact: HashMap<String, Model>,
    prefixes: HashMap<String, Model>,
    longest_prefix: usize,
    groups: Vec<String>,
}

impl Models {
    /// Names of the models as the settings write them, by [`Model::group`].
    pub fn groups(&self) -> &[String] {
        &self.groups
    }

    /// What the settings say of a model in a version; empty: any. `None`: it is not served.
    pub fn served(&self, name: &str, version: &str) -> Option<&Model> {
        let any = |m: &&Model| {
            version.is_empty() || m.versions.is_empty() || m.versions.iter().any(|v| v == version)
        };
        self.find(name).filter(any)
    }

    /// What the settings say of a model; `None`: nothing matches.
    pub fn find(&self, name: &str) -> Option<&Model> {
        if let Some(model) = self.exact.get(name) {
            return Some(model);
        }
        // Longest first, and no longer than the longest in the settings, which bounds the loop.
        let longest = name.len().min(self.longest_prefix);
        (0..=longest).rev().filter_map(|n| name.get(..n)).find_map(|prefix| self.prefixes.get(prefix))
    }
}

/// Reads all `(model NAME ...)`; `classes` are the names that they may refer to.
pub(super) fn models(top: &mut Form, classes: &[String]) -> Models {
    let mut models = Models::default();
    let mut count: u32 = 0;
    for mut form in top.lists("model") {
        count += 1;
        let name: String =
            form.required_item("its name, or the beginning of names and a *").unwrap_or_default();
        let class = class_of(&mut form, &name, classes);
        let versions = versions(&mut form);
        models.groups.push(name.clone());
        let model = Model {
            group: count - 1,
            class,
            lanes: form.value_or("lanes", 1u32).max(1),
            memory: form.optional::<Bytes>("memory").map(|b| b.0),
            load_time: form.optional::<TimeSpan>("load-time").map(|s| s.0),
            service_time: form.optional::<TimeSpan>("work").map(|s| s.0),
            versions,
            platform: form.value_or("platform", "nettleferry".to_owned()),
            inputs: tensors(&mut form, "input"),
            outputs: tensors(&mut form, "output"),
        };
        let old = match name.strip_suffix('*') {
            Some(prefix) => {
                models.longest_prefix = models.longest_prefix.max(prefix.len());
                models.prefixes.insert(prefix.to_owned(), model)
            }
            None => models.exact.insert(name.clone(), model),
        };
        if old.is_some() {
            form.error(format!("model {name} stands twice: keep one"));
        }
        form.finish();
    }
    if count == 0 {
        top.error("the settings name no (model ...): every call would be NOT_FOUND; write (model \"*\" (class ...))");
    } else if count as usize > MAX_MODELS {
        top.error(format!("{count} models; at most {MAX_MODELS} are taken"));
    }
    models
}

/// Reads all tensors under a key.
fn tensors(form: &mut Form, key: &'static str) -> Vec<Tensor> {
    let mut all = Vec::new();
    for mut tensor in form.lists(key) {
        let name = tensor.required_item("its name");
        let datatype = tensor.required_item("its datatype, such as FP32");
        let mut shape = Vec::new();
        while let Some(size) = tensor.next_item() {
            shape.push(size);
        }
        tensor.finish();
        if let (Some(name), Some(datatype)) = (name, datatype) {
            all.push(Tensor { name, datatype, shape });
        }
    }
    all
}

/// Reads the class of a model; the first one where what is written is no class, which is a fault.
fn class_of(form: &mut Form, model: &str, classes: &[String]) -> ClassId {
    let class: Option<String> = form.required("class");
    let found = class.as_ref().and_then(|class| classes.iter().position(|known| known == class));
    if let (Some(class), None) = (&class, found) {
        let hint = nearest(class, classes.iter().map(String::as_str));
        form.error(format!("model {model}: there is no class {class}{hint}"));
    }
    ClassId(found.unwrap_or(0))
}

/// Reads `(versions ...)`.
fn versions(form: &mut Form) -> Vec<String> {
    let mut versions = Vec::new();
    if let Some(mut list) = form.optional_list("versions") {
        while let Some(version) = list.next_item() {
            versions.push(version);
        }
        list.finish();
    }
    versions
}
