//! Merging of new settings into the effective ones: a class or tenant keeps its number, and a missing key is named.

use dispatch_policy::api::{ClassSettings, Idempotency, KeyScope, Settings, TenantSettings};
use molevale::class_rules::ClassRules;
use molevale::names::Names;
use molevale::settings_merge::{first_missing_key, EffectiveSettings};
use quickcheck::{Gen, QuickCheck};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Settings with these classes, each a name and one of three kinds of idempotency.
fn effective_settings(classes: &BTreeMap<u8, u8>, zones: [&str; 2]) -> EffectiveSettings {
    let kinds = [Idempotency::Idempotent, Idempotency::WithKey(KeyScope::Fleet), Idempotency::NotIdempotent];
    let class = |kind: &u8| ClassSettings {
        objective_us: 1,
        objective_per_work: 0.0,
        deadline_us: 1 + u64::from(*kind),
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: kinds[usize::from(*kind)],
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
        inherits_from: vec![None; classes.len()],
        zones: zones.map(String::from).to_vec(),
        ..Names::default()
    };
    let mut effective_settings = EffectiveSettings { settings, names };
    effective_settings.names.class_rules = rules_of(&effective_settings);
    effective_settings
}

fn rules_of(effective_settings: &EffectiveSettings) -> Vec<ClassRules> {
    let EffectiveSettings { settings, names } = effective_settings;
    let named = names.classes.iter().zip(&settings.classes);
    named.map(|(name, class)| ClassRules::new(name, class, &names.kinds)).collect()
}

/// Open requests refer to a class by its number: whatever settings are loaded, a number keeps its settings, and a name
/// is looked up in the newest ones.
#[test]
fn random_settings_never_change_the_class_of_a_number() {
    fn property(steps: Vec<Vec<(u8, u8)>>) -> bool {
        let classes_of = |step: &Vec<(u8, u8)>| -> BTreeMap<u8, u8> {
            step.iter().map(|(name, kind)| (name % 4, kind % 3)).chain([(9, 0)]).collect()
        };
        let mut running = effective_settings(&BTreeMap::from([(9, 0)]), ["a", "b"]);
        for step in &steps {
            let wanted = classes_of(step);
            let new = running.merged_with(&effective_settings(&wanted, ["b", "c"]));
            let (old, now) = (&running.settings.classes, &new.settings.classes);
            assert_eq!(old[..], now[..old.len()], "numbers keep their settings");
            for name in 0..10_u8 {
                let number = new.names.class(&name.to_string());
                let kind = number.map(|n| (now[n].deadline_us - 1) as u8);
                assert_eq!(kind, wanted.get(&name).copied());
                assert!(number.is_none_or(|n| new.names.idempotency(n) == now[n].idempotency));
                assert!(number.is_none_or(|n| new.names.class_rules[n] == rules_of(&new)[n]));
            }
            assert!(now.len() <= 1 + 4 * 3, "a class that returns gets its number again");
            assert_eq!((new.names.inherits_from.len(), new.settings.validate()), (now.len(), Ok(())));
            assert_eq!(new.names.zones[usize::from(new.settings.zone)], "c");
            running = new;
        }
        true
    }
    let generator = Gen::from_size_and_seed(12, 5); // a fixed seed
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<Vec<(u8, u8)>>) -> bool);
}

#[test]
fn tenants_keep_their_numbers_and_a_removed_one_has_no_quota() {
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
fn a_missing_key_is_named_unless_only_some_items_had_it() {
    let running = json!({"a": {"b": 1}, "list": [{"x": 1, "y": 1}, {"x": 2}], "plain": [1, 2]});
    let missing = |newer: Value| first_missing_key(&running, &newer, "c").unwrap_or_default();
    assert_eq!(missing(running.clone()), "");
    assert_eq!(missing(json!({"a": {"b": 2, "n": 1}, "list": [{"x": 5}], "plain": []})), "");
    assert_eq!(missing(json!({"a": {}, "list": [], "plain": []})), "c.a.b");
    assert_eq!(missing(json!({"a": 1, "list": [], "plain": []})), "c.a");
    assert_eq!(missing(json!({"a": {"b": 1}, "list": [{"x": 1}, {"y": 1}], "plain": []})), "c.list.1.x");
    assert_eq!(missing(json!({"a": {"b": 1}, "list": []})), "c.plain");
}

/// Classes of another process keep their rules beside those of the own settings, also over a reload and a further process,
/// and are not offered.
#[test]
fn classes_of_another_process_keep_their_rules_and_are_not_offered() {
    let [unsafe_class, safe_class] = ["unsafe", "safe"].map(|semantics| {
        let mut settings = testbed::wire::settings(true, 1_000_000);
        settings["Profiles"][1]["Semantics"] = semantics.into();
        let (settings, names) = molevale::names::parse_settings(&settings).unwrap();
        EffectiveSettings { settings, names }
    });
    let rules = unsafe_class.names.class_rules[1].clone();
    let second = safe_class.with_retired_classes(&unsafe_class.names.open_class_rules());
    assert_eq!(second.names.classes, ["check", "lodge", "lodge"], "a class with the same rules is not added");
    assert_eq!(second.with_retired_classes(&unsafe_class.names.open_class_rules()), second);
    let reloaded = second.merged_with(&safe_class);
    let third = safe_class.with_retired_classes(&reloaded.names.open_class_rules());
    for process in [&second, &reloaded, &third] {
        let number = process.names.class_with_rules(&rules).expect("a class with these rules");
        assert_eq!(process.settings.classes[number], unsafe_class.settings.classes[1]);
        assert_eq!(process.names.idempotency(number), Idempotency::NotIdempotent);
        assert!(process.names.retired_classes.contains(&number));
        assert!(process.settings.retired_classes.contains(&number));
        assert_eq!(process.names.class("lodge"), Some(1), "the own class is offered");
        assert_eq!(process.settings.validate(), Ok(()));
    }
    // A later configuration offers these rules again.
    let offered_again = second.merged_with(&unsafe_class);
    assert_eq!(offered_again.names.class("lodge"), offered_again.names.class_with_rules(&rules));
}

/// What a process hands on is bounded, and the classes that are offered are always among it.
#[test]
fn the_number_of_retired_classes_that_are_handed_on_is_bounded() {
    let mut running = effective_settings(&BTreeMap::from([(9, 0)]), ["a", "b"]);
    for deadline_us in 10..200 {
        let mut newer = effective_settings(&BTreeMap::from([(9, 0), (1, 1)]), ["a", "b"]);
        newer.settings.classes[0].deadline_us = deadline_us;
        newer.names.class_rules = rules_of(&newer);
        running = running.merged_with(&newer);
    }
    let rules = running.names.open_class_rules();
    assert_eq!(rules.len(), 2 + 64);
    let offered =
        ["9", "1"].map(|name| running.names.class_rules[running.names.class(name).unwrap()].clone());
    assert!(offered.iter().all(|class| rules.contains(class)));
}
