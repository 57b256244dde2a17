//! Which tenants and model groups have series of their own: the first ones of the settings, while the rest share
//! `other`. Calls that name no tenant are `none`.

use crate::labels::CallEnd;

/// Label value of all that have no series of their own.
pub const OTHER: &str = "other";
/// Label value of calls that name no tenant.
pub const NONE: &str = "none";

/// The layout of the series of calls, by class, end, tenant and model group.
#[derive(Clone, Debug)]
pub struct SeriesLayout {
    classes: Vec<String>,
    tenants: Vec<String>,
    groups: Vec<String>,
}

impl SeriesLayout {
    /// Series for as many tenants and groups as fit in `max_series`; every class has its own.
    pub fn new(classes: Vec<String>, tenants: &[String], groups: &[String], max_series: usize) -> Self {
        // A name that is itself `other` or `none` must not mix with the shared series.
        let own = |names: &[String]| -> Vec<String> {
            names.iter().map(|n| if n == OTHER || n == NONE { format!("{n}_") } else { n.clone() }).collect()
        };
        let base = classes.len().max(1) * CallEnd::COUNT;
        let (mut own_tenants, mut own_groups) = (tenants.len(), groups.len());
        while base.saturating_mul(own_tenants + 2).saturating_mul(own_groups + 1) > max_series
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

    /// Classes, by number.
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

    /// The number of all series of calls.
    pub fn series_count(&self) -> usize {
        self.classes.len() * CallEnd::COUNT * self.tenants.len() * self.groups.len()
    }

    /// The index of a call's series; `None`: there is no such class.
    pub fn index(&self, class: usize, end: CallEnd, tenant: Option<usize>, group: usize) -> Option<usize> {
        if class >= self.classes.len() {
            return None;
        }
        let other = self.tenants.len() - 2;
        let tenant = tenant.map_or(other + 1, |t| t.min(other));
        let group = group.min(self.groups.len() - 1);
        Some(
            ((class * CallEnd::COUNT + end as usize) * self.tenants.len() + tenant) * self.groups.len()
                + group,
        )
    }
}

#[cfg(test)]
mod tests;
