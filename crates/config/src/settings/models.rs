//! The models that are served. A model in the settings matches a name, or all names with a prefix.

use std::collections::HashMap;

use nettleferry::{ClassId, Micros};

use crate::form::{Bytes, Form, TimeSpan, suggestion};

/// The maximum number of models in a file.
pub const MAX_MODELS: usize = 100_000;

/// A tensor in the response to ModelMetadata.
#[derive(Clone, Debug, PartialEq)]
pub struct Tensor {
    /// The name of the tensor.
    pub name: String,
    /// The datatype in the protocol's spelling, such as `FP32`.
    pub datatype: String,
    /// The size of each dimension; -1 means any size.
    pub shape: Vec<i64>,
}

/// The settings of a model, or of all models whose names have a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The index of this model in the settings, under which metrics group its calls.
    pub group: u32,
    /// The class of its calls.
    pub class: ClassId,
    /// The number of calls that a replica runs concurrently, at least 1.
    pub lanes: u32,
    /// The memory of a replica, bytes, if known.
    pub memory: Option<u64>,
    /// The typical duration of a load, microseconds, if known.
    pub load_time: Option<Micros>,
    /// The typical service time of a call, microseconds, if known.
    pub service_time: Option<Micros>,
    /// The versions that are served; empty for any version.
    pub versions: Vec<String>,
    /// The platform in the response to ModelMetadata.
    pub platform: String,
    /// The inputs in the response to ModelMetadata.
    pub inputs: Vec<Tensor>,
    /// The outputs in the response to ModelMetadata.
    pub outputs: Vec<Tensor>,
}

/// The models in the settings, looked up by exact name or by the longest matching prefix.
#[derive(Clone, Debug, Default)]
pub struct Models {
    exact: HashMap<String, Model>,
    prefixes: HashMap<String, Model>,
    /// The length of the longest prefix, bytes.
    longest_prefix: usize,
    groups: Vec<String>,
}

impl Models {
    /// The names of the models as written in the settings, indexed by [`Model::group`].
    pub fn groups(&self) -> &[String] {
        &self.groups
    }

    /// Finds the settings of a model. `None` if the model or the version is not served; an empty version matches any.
    pub fn served(&self, name: &str, version: &str) -> Option<&Model> {
        let serves_version = |model: &&Model| {
            version.is_empty()
                || model.versions.is_empty()
                || model.versions.iter().any(|served| served == version)
        };
        self.find(name).filter(serves_version)
    }

    /// Finds the settings of a model, for any version. `None` if no name or prefix matches.
    pub fn find(&self, name: &str) -> Option<&Model> {
        if let Some(model) = self.exact.get(name) {
            return Some(model);
        }
        // The longest prefix first. Starting at the longest one in the settings bounds the loop for long names.
        let longest = name.len().min(self.longest_prefix);
        (0..=longest)
            .rev()
            .filter_map(|length| name.get(..length))
            .find_map(|prefix| self.prefixes.get(prefix))
    }
}

/// Reads all `(model NAME ...)`. `classes` are the names of the defined classes.
pub(super) fn models(top: &mut Form, classes: &[String]) -> Models {
    let mut models = Models::default();
    let mut count: u32 = 0;
    for mut form in top.lists("model") {
        count += 1;
        let name: String =
            form.required_item("its name, or a prefix of names followed by *").unwrap_or_default();
        let class = class_of(&mut form, &name, classes);
        let versions = versions(&mut form);
        models.groups.push(name.clone());
        let model = Model {
            group: count - 1,
            class,
            lanes: form.value_or("lanes", 1u32).max(1),
            memory: form.optional::<Bytes>("memory").map(|bytes| bytes.0),
            load_time: form.optional::<TimeSpan>("load-time").map(|span| span.0),
            service_time: form.optional::<TimeSpan>("work").map(|span| span.0),
            versions,
            platform: form.value_or("platform", "nettleferry".to_owned()),
            inputs: tensors(&mut form, "input"),
            outputs: tensors(&mut form, "output"),
        };
        let duplicate = match name.strip_suffix('*') {
            Some(prefix) => {
                models.longest_prefix = models.longest_prefix.max(prefix.len());
                models.prefixes.insert(prefix.to_owned(), model)
            }
            None => models.exact.insert(name.clone(), model),
        };
        if duplicate.is_some() {
            form.error(format!("model {name} is defined more than once: keep one"));
        }
        form.finish();
    }
    if count == 0 {
        top.error("the settings name no (model ...): every call would be NOT_FOUND; write (model \"*\" (class ...))");
    } else if count as usize > MAX_MODELS {
        top.error(format!("{count} models: must be at most {MAX_MODELS}"));
    }
    models
}

/// Reads all tensors with a key, `input` or `output`.
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

/// Reads the class of a model. Reports an error and returns the first class if there is no such class.
fn class_of(form: &mut Form, model: &str, classes: &[String]) -> ClassId {
    let class: Option<String> = form.required("class");
    let found = class.as_ref().and_then(|class| classes.iter().position(|known| known == class));
    if let (Some(class), None) = (&class, found) {
        let hint = suggestion(class, classes.iter().map(String::as_str));
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
