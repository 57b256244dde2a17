//! Layout of the call series. The first tenants and model groups of the settings have series of their own, as many as
//! the limit on series allows. The remaining ones share the label value `other`. Calls without a tenant have the
//! tenant label `none`.

use crate::labels::CallEnd;

/// Label value shared by the tenants or model groups without series of their own.
pub const OTHER: &str = "other";
/// Tenant label value of calls without a tenant.
pub const NONE: &str = "none";

/// Mapping of calls to series by class, end, tenant and model group.
#[derive(Clone, Debug)]
pub struct SeriesLayout {
    classes: Vec<String>,
    tenants: Vec<String>,
    groups: Vec<String>,
}

impl SeriesLayout {
    /// Creates a layout in which as many tenants and groups have series of their own as fit in `max_series`. Classes are
    /// never merged, so with many classes the layout may exceed `max_series`.
    pub fn new(classes: Vec<String>, tenants: &[String], groups: &[String], max_series: usize) -> Self {
        // A tenant or group named `other` or `none` gets a suffix, to keep it apart from the reserved label value.
        let label_values = |names: &[String]| -> Vec<String> {
            names.iter().map(|n| if n == OTHER || n == NONE { format!("{n}_") } else { n.clone() }).collect()
        };
        let series_per_pair = classes.len().max(1) * CallEnd::COUNT;
        let (mut tenant_count, mut group_count) = (tenants.len(), groups.len());
        while series_per_pair.saturating_mul(tenant_count + 2).saturating_mul(group_count + 1) > max_series
            && tenant_count + group_count > 0
        {
            if group_count >= tenant_count { group_count -= 1 } else { tenant_count -= 1 }
        }
        let mut tenants = label_values(&tenants[..tenant_count]);
        tenants.extend([OTHER.to_owned(), NONE.to_owned()]);
        let mut groups = label_values(&groups[..group_count]);
        groups.push(OTHER.to_owned());
        Self { classes, tenants, groups }
    }

    /// Returns the class names, indexed by class number.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Returns the tenant label values: the tenants with series of their own, then `other` and `none`.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// Returns the model group label values: the groups with series of their own, then `other`.
    pub fn groups(&self) -> &[String] {
        &self.groups
    }

    /// Returns the total number of call series.
    pub fn series_count(&self) -> usize {
        self.classes.len() * CallEnd::COUNT * self.tenants.len() * self.groups.len()
    }

    /// Returns the index of a call's series, or `None` if the class number is out of range. A tenant or group number
    /// beyond those with series of their own maps to `other`.
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
