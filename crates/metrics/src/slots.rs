//! Which tenants and model groups have series of their own. The first ones of the settings have; the rest
//! share `other`. Calls that name no tenant are `none`.

use crate::ENDS;

/// Label value of all that have no series of their own.
pub const OTHER: &str = "other";
/// Label value of calls that name no tenant.
pub const NONE: &str = "none";

/// Places of series.
#[derive(Clone, Debug)]
pub struct Slots {
    classes: Vec<String>,
    tenants: Vec<String>,
    groups: Vec<String>,
}

impl Slots {
    /// As many tenants and groups as keep the product within `most` series; every class has its own.
    pub fn new(classes: Vec<String>, tenants: &[String], groups: &[String], most: usize) -> Self {
        // A tenant or group that is itself called so must not split the shared series in two.
        let own = |names: &[String]| -> Vec<String> {
            names.iter().map(|n| if n == OTHER || n == NONE { format!("{n}_") } else { n.clone() }).collect()
        };
        let base = classes.len().max(1) * ENDS.len();
        let (mut own_tenants, mut own_groups) = (tenants.len(), groups.len());
        while base.saturating_mul(own_tenants + 2).saturating_mul(own_groups + 1) > most
            && own_tenants + own_groups > 0
        {
            if own_groups >= own_tenants { own_groups -= 1 } else { own_tenants -= 1 }
        }
        let mut tenants = own(&tenants[..own_tenants]);
        tenants.extend([OTHER.to_owned(), NONE.to_owned()]);
        let mut groups = own(&groups[..own_groups]);
        groups.push(OTHER.to_owned());
        Self { classes, tenants, groups }
    }

    /// Classes, by place.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Tenants with series of their own, then `other` and `none`.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// Model groups with series of their own, then `other`.
    pub fn groups(&self) -> &[String] {
        &self.groups
    }

    /// Series of calls in all.
    pub fn series(&self) -> usize {
        self.classes.len() * ENDS.len() * self.tenants.len() * self.groups.len()
    }

    /// The place of a call's series.
    pub fn place(&self, class: usize, end: usize, tenant: Option<usize>, group: usize) -> Option<usize> {
        if class >= self.classes.len() || end >= ENDS.len() {
            return None;
        }
        let other = self.tenants.len() - 2;
        let tenant = tenant.map_or(other + 1, |t| t.min(other));
        let group = group.min(self.groups.len() - 1);
        Some(((class * ENDS.len() + end) * self.tenants.len() + tenant) * self.groups.len() + group)
    }
}

#[cfg(test)]
mod tests;
