//! New settings laid over the running ones: what has a number keeps it, so that open jobs keep their class and its
//! rules, and what the module learned under a number stays true.

use crate::names::Names;
use dispatch_policy::api::{ClassSettings, Settings, TenantSettings};
use serde_json::Value;

/// The settings and the names that belong to them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EffectiveSettings {
    /// The module's settings.
    pub settings: Settings,
    /// What the wires need beside them.
    pub names: Names,
}

impl EffectiveSettings {
    /// The newer settings, by this one's numbers. A class whose rules are as before keeps its number; any other
    /// gets a number of its own, and one that is no longer named is offered no more.
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
                keyed: old.keyed.clone(),
                continues: old.continues.clone(),
                tenants: old.tenants.clone(),
                retired_tenants: Vec::new(),
                zones: merged(&old.zones, &newer.names.zones),
                kinds: merged(&old.kinds, &newer.names.kinds),
                longest_deadline: old.longest_deadline.max(newer.names.longest_deadline),
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
            let same = |j: &usize| new.names.classes[*j] == *name && new.settings.classes[*j] == class;
            let number = (0..new.settings.classes.len()).find(same).unwrap_or_else(|| {
                // Its jobs run about as long as those of the class that had the name before.
                new.names.continues.push(new.names.classes.iter().rposition(|n| n == name));
                new.names.classes.push(name.clone());
                new.names.keyed.push(newer.names.keyed[i]);
                new.settings.classes.push(class);
                new.settings.classes.len() - 1
            });
            offered.push(number);
        }
        new.settings.retired_classes =
            (0..new.settings.classes.len()).filter(|n| !offered.contains(n)).collect();
        new.names.retired_classes = new.settings.retired_classes.clone();
        let none = TenantSettings { quota_per_s: 0.0, share: 0.0 };
        new.settings.tenants.fill(none);
        for (i, name) in newer.names.tenants.iter().enumerate() {
            let tenant = newer.settings.tenants[i].clone();
            match old.tenants.iter().position(|n| n == name) {
                Some(n) => new.settings.tenants[n] = tenant,
                None => {
                    new.settings.tenants.push(tenant);
                    new.names.tenants.push(name.clone());
                }
            }
        }
        let gone = |n: &usize| !newer.names.tenants.contains(&new.names.tenants[*n]);
        new.names.retired_tenants = (0..new.names.tenants.len()).filter(gone).collect();
        new
    }
}

fn merged(old: &[String], newer: &[String]) -> Vec<String> {
    old.iter().chain(newer.iter().filter(|n| !old.contains(n))).cloned().collect()
}

/// The first key that the running configuration has and a newer one lacks. Items of a list need what all of them
/// had. Guards against files that are incomplete and read all the same, for the reader has defaults.
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
            let mut common = items.next()?.clone();
            items.for_each(|item| common.retain(|key, _| item.contains_key(key)));
            let common = Value::Object(common);
            new.iter()
                .enumerate()
                .find_map(|(i, item)| first_missing_key(&common, item, &format!("{path}.{i}")))
        }
        (Value::Object(_) | Value::Array(_), _) => Some(path.to_string()),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dispatch_policy::api::{Idempotency, KeyScope};
    use quickcheck::{Gen, QuickCheck};
    use serde_json::json;
    use std::collections::BTreeMap;

    /// Settings that offer these classes: a name and which of three effects.
    fn effective_settings(classes: &BTreeMap<u8, u8>, zones: [&str; 2]) -> EffectiveSettings {
        let effects =
            [Idempotency::Idempotent, Idempotency::WithKey(KeyScope::Fleet), Idempotency::NotIdempotent];
        let class = |effect: &u8| ClassSettings {
            objective_us: 1,
            objective_per_work: 0.0,
            deadline_us: 1 + u64::from(*effect),
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: effects[usize::from(*effect)],
            deduplication_window_us: 0,
            required_kind: None,
        };
        let settings = Settings {
            classes: classes.values().map(class).collect(),
            max_attempts: 3,
            zone: 1,
            ..Settings::default()
        };
        let names = Names {
            classes: classes.keys().map(u8::to_string).collect(),
            keyed: classes.values().map(|e| *e == 1).collect(),
            continues: vec![None; classes.len()],
            zones: zones.map(String::from).to_vec(),
            ..Names::default()
        };
        EffectiveSettings { settings, names }
    }

    /// Guards jobs that are open: whatever settings come, a number keeps its rules, and a name is looked up under
    /// the newest ones.
    #[test]
    fn random_settings_never_change_what_a_number_means() {
        fn property(steps: Vec<Vec<(u8, u8)>>) -> bool {
            let model = |step: &Vec<(u8, u8)>| -> BTreeMap<u8, u8> {
                step.iter().map(|(n, e)| (n % 4, e % 3)).chain([(9, 0)]).collect()
            };
            let mut running = effective_settings(&BTreeMap::from([(9, 0)]), ["a", "b"]);
            for step in &steps {
                let wanted = model(step);
                let new = running.merged_with(&effective_settings(&wanted, ["b", "c"]));
                let (old, now) = (&running.settings.classes, &new.settings.classes);
                assert_eq!(old[..], now[..old.len()], "numbers keep their rules");
                for name in 0..10_u8 {
                    let number = new.names.class(&name.to_string());
                    let effect = number.map(|n| (now[n].deadline_us - 1) as u8);
                    assert_eq!(effect, wanted.get(&name).copied());
                    assert!(number.is_none_or(|n| new.names.keyed[n] == (wanted[&name] == 1)));
                }
                assert!(now.len() <= 1 + 4 * 3, "a class that comes back has its number again");
                assert_eq!((new.names.continues.len(), new.settings.validate()), (now.len(), Ok(())));
                assert_eq!(new.names.zones[usize::from(new.settings.zone)], "c");
                running = new;
            }
            true
        }
        let generator = Gen::from_size_and_seed(12, 5); // the same in every run
        QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<Vec<(u8, u8)>>) -> bool);
    }

    #[test]
    fn tenants_keep_their_numbers_and_one_that_goes_has_no_share() {
        let with = |names: &[&str]| {
            let mut effective_settings = effective_settings(&BTreeMap::from([(9, 0)]), ["a", "b"]);
            effective_settings.names.tenants = names.iter().map(ToString::to_string).collect();
            let tenant = |i| TenantSettings { quota_per_s: f64::from(i), share: 0.5 };
            effective_settings.settings.tenants = (1..=names.len() as u32).map(tenant).collect();
            effective_settings
        };
        let new = with(&["sava", "drava"]).merged_with(&with(&["drava", "mura"]));
        let quota = |n: usize| new.settings.tenants[n].quota_per_s;
        assert_eq!(
            (new.names.tenant("sava"), new.names.tenant("drava"), new.names.tenant("mura")),
            (None, Some(1), Some(2))
        );
        assert_eq!((quota(0), quota(1), quota(2)), (0.0, 1.0, 2.0));
    }

    #[test]
    fn a_key_that_is_missing_is_named_and_one_that_only_some_items_had_is_not() {
        let running = json!({"a": {"b": 1}, "list": [{"x": 1, "y": 1}, {"x": 2}], "plain": [1, 2]});
        let lacking = |newer: Value| first_missing_key(&running, &newer, "c").unwrap_or_default();
        assert_eq!(lacking(running.clone()), "");
        assert_eq!(lacking(json!({"a": {"b": 2, "n": 1}, "list": [{"x": 5}], "plain": []})), "");
        assert_eq!(lacking(json!({"a": {}, "list": [], "plain": []})), "c.a.b");
        assert_eq!(lacking(json!({"a": 1, "list": [], "plain": []})), "c.a");
        assert_eq!(lacking(json!({"a": {"b": 1}, "list": [{"x": 1}, {"y": 1}], "plain": []})), "c.list.1.x");
        assert_eq!(lacking(json!({"a": {"b": 1}, "list": []})), "c.plain");
    }
}
