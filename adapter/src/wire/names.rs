//! Maps the names of the wire format to the numeric ids of the library.

use std::collections::BTreeMap;

use nettleferry::{ClassId, KindId, Settings, TenantId, ZoneId};
use serde_json::Value;

use super::error::EventError;

/// The names used by the settings and events of one controller.
#[derive(Default)]
pub(crate) struct Names {
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
    zones: BTreeMap<String, u32>,
    kinds: BTreeMap<String, u32>,
    /// Whether every class name is accepted; set where no controller handles the event.
    lenient: bool,
}

impl Names {
    /// Creates an empty table that accepts every class name, as class 0.
    pub(crate) fn lenient() -> Self {
        Self { lenient: true, ..Self::default() }
    }

    /// Parses the settings of a controller. Its zone shares the numbering of the zones in the worker list.
    pub(crate) fn settings(&mut self, info: &Value) -> Result<Settings, EventError> {
        let platform = nettleferry_platform_settings::read(info)?;
        let indexed = |names: Vec<String>| {
            let numbered = names.into_iter().enumerate();
            numbered.map(|(index, name)| (name, index)).collect()
        };
        (self.classes, self.tenants) = (indexed(platform.classes), indexed(platform.tenants));
        let zone = platform.zone.map(|zone| self.zone(&zone));
        Ok(Settings { zone, ..platform.settings })
    }

    /// Returns the id of a class, or `None` if it is unknown.
    pub(super) fn class(&self, name: &str) -> Option<ClassId> {
        let index = self.classes.get(name).copied().or(if self.lenient { Some(0) } else { None });
        index.map(ClassId)
    }

    /// Returns the id of a tenant, or `None` if it is unknown.
    pub(super) fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied().map(TenantId)
    }

    /// Returns the id of a zone; a new name gets the next free id.
    pub(super) fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(id_of(&mut self.zones, name))
    }

    /// Returns the id of a machine kind; a new name gets the next free id.
    pub(super) fn kind(&mut self, name: &str) -> KindId {
        KindId(id_of(&mut self.kinds, name))
    }
}

fn id_of(map: &mut BTreeMap<String, u32>, name: &str) -> u32 {
    let next = map.len() as u32;
    *map.entry(name.to_string()).or_insert(next)
}
