//! Merges new settings into the running ones. Existing numbers are kept, so that open requests keep their class and
//! its rules, and what the decision module has learned under a number stays valid.

use crate::class_rules::ClassRules;
use crate::names::Names;
use dispatch_policy::api::{ClassSettings, Settings, TenantSettings};
use serde_json::Value;

/// Settings in effect, and the names that belong to them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EffectiveSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// What the frontends need in addition.
    pub names: Names,
}

impl EffectiveSettings {
    /// The newer settings with the numbers of these. A class whose rules are unchanged keeps its number, any other
    /// gets a new number, and one that is no longer in the settings is no longer offered.
    pub fn merged_with(&self, newer: &EffectiveSettings) -> EffectiveSettings {
        let old = &self.names;
        let mut new = EffectiveSettings {
            settings: Settings {
                classes: self.settings.classes.clone(),
                tenants: self.settings.tenants.clone(),
                retired_classes: Vec::new(),
                ..newer.settings.clone()
            },
            names: Names {
                classes: old.classes.clone(),
                class_rules: old.class_rules.clone(),
                inherits_from: old.inherits_from.clone(),
                tenants: old.tenants.clone(),
                retired_tenants: Vec::new(),
                zones: union(&old.zones, &newer.names.zones),
                kinds: union(&old.kinds, &newer.names.kinds),
                ..newer.names.clone()
            },
        };
        let renumbered = |n: u8, from: &[String], to: &[String]| {
            let name = from.get(usize::from(n));
            name.and_then(|name| to.iter().position(|t| t == name)).map_or(n, |i| i as u8)
        };
        let zone = newer.settings.zone;
        new.settings.zone = renumbered(zone, &newer.names.zones, &new.names.zones);
        let mut offered = Vec::new();
        for (i, class) in newer.settings.classes.iter().enumerate() {
            let name = &newer.names.classes[i];
            let required_kind =
                class.required_kind.map(|k| renumbered(k, &newer.names.kinds, &new.names.kinds));
            let class = ClassSettings { required_kind, ..class.clone() };
            let is_unchanged =
                |j: &usize| new.names.classes[*j] == *name && new.settings.classes[*j] == class;
            let unchanged = (0..new.settings.classes.len()).find(is_unchanged);
            offered.push(unchanged.unwrap_or_else(|| new.push_class(name, class)));
        }
        new.settings.retired_classes =
            (0..new.settings.classes.len()).filter(|n| !offered.contains(n)).collect();
        new.names.retired_classes = new.settings.retired_classes.clone();
        new.merge_tenants(newer);
        let is_retired = |n: &usize| !newer.names.tenants.contains(&new.names.tenants[*n]);
        new.names.retired_tenants = (0..new.names.tenants.len()).filter(is_retired).collect();
        new
    }

    /// These settings with further classes that are not offered, for requests that another process has accepted under
    /// these rules. A class that requires an unknown type of machine, or that the decision module rejects, is left out.
    pub fn with_retired_classes(&self, classes: &[ClassRules]) -> EffectiveSettings {
        let mut new = self.clone();
        for rules in classes {
            if new.names.class_with_rules(rules).is_some() {
                continue;
            }
            let Some(class) = rules.to_settings(&new.names.kinds) else { continue };
            let mut extended = new.clone();
            let number = extended.push_class(rules.name(), class);
            extended.settings.retired_classes.push(number);
            extended.names.retired_classes.push(number);
            if extended.settings.validate().is_ok() {
                new = extended;
            }
        }
        new
    }

    /// Adds a class and returns its number.
    fn push_class(&mut self, name: &str, class: ClassSettings) -> usize {
        let names = &mut self.names;
        // Its requests are expected to run about as long as those of the class that had the name before.
        names.inherits_from.push(names.classes.iter().rposition(|other| other == name));
        names.classes.push(name.to_string());
        names.class_rules.push(ClassRules::new(name, &class, &names.kinds));
        self.settings.classes.push(class);
        self.settings.classes.len() - 1
    }

    /// Assigns numbers to the tenants of the newer settings; one that is no longer in them has no quota and no share.
    fn merge_tenants(&mut self, newer: &EffectiveSettings) {
        let retired = TenantSettings { quota_per_s: 0.0, share: 0.0 };
        self.settings.tenants.fill(retired);
        for (i, name) in newer.names.tenants.iter().enumerate() {
            let tenant = newer.settings.tenants[i].clone();
            match self.names.tenants.iter().position(|n| n == name) {
                Some(n) => self.settings.tenants[n] = tenant,
                None => {
                    self.settings.tenants.push(tenant);
                    self.names.tenants.push(name.clone());
                }
            }
        }
    }
}

fn union(old: &[String], newer: &[String]) -> Vec<String> {
    old.iter().chain(newer.iter().filter(|n| !old.contains(n))).cloned().collect()
}

/// The first key that the running configuration has and a newer one lacks. Items of a list need the keys that all
/// items had before. Guards against truncated or incomplete files, which the parser would accept because keys have
/// defaults.
pub fn first_missing_key(running: &Value, newer: &Value, path: &str) -> Option<String> {
    match (running, newer) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, value)| {
            let path = format!("{path}.{key}");
            match new.get(key) {
                Some(newer) => first_missing_key(value, newer, &path),
                None => Some(path),
            }
        }),
        (Value::Array(old), Value::Array(new)) => {
            let mut items = old.iter().filter_map(Value::as_object);
            let mut common_keys = items.next()?.clone();
            items.for_each(|item| common_keys.retain(|key, _| item.contains_key(key)));
            let common_keys = Value::Object(common_keys);
            new.iter()
                .enumerate()
                .find_map(|(i, item)| first_missing_key(&common_keys, item, &format!("{path}.{i}")))
        }
        (Value::Object(_) | Value::Array(_), _) => Some(path.to_string()),
        _ => None,
    }
}
