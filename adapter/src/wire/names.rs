//! Names of the wire, as the small numbers that the library uses.

use std::collections::BTreeMap;

use nettleferry::{ClassId, KindId, Settings, TenantId, ZoneId};
use serde_json::Value;

use super::error::EventError;

/// The names that one controller's settings and events use.
#[derive(Default)]
pub(crate) struct Names {
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
    zones: BTreeMap<String, u32>,
    kinds: BTreeMap<String, u32>,
    /// Unknown classes are let through: there is no controller to use them.
    lenient: bool,
}

impl Names {
    /// Names that let unknown classes through.
    pub(crate) fn lenient() -> Self {
        Self { lenient: true, ..Self::default() }
    }

    /// Reads a controller's settings; its zone is numbered among the list's.
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

    /// A class by its name.
    pub(super) fn class(&self, name: &str) -> Option<ClassId> {
        let index = self.classes.get(name).copied().or(if self.lenient { Some(0) } else { None });
        index.map(ClassId)
    }

    /// A tenant by its name.
    pub(super) fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied().map(TenantId)
    }

    /// A zone's number; a new name gets the next.
    pub(super) fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(number(&mut self.zones, name))
    }

    /// A machine kind's number; a new name gets the next.
    pub(super) fn kind(&mut self, name: &str) -> KindId {
        KindId(number(&mut self.kinds, name))
    }
}

fn number(map: &mut BTreeMap<String, u32>, name: &str) -> u32 {
    let next = map.len() as u32;
    *map.entry(name.to_string()).or_insert(next)
}
