//! Parsing of settings.

use dispatch_policy::api::*;
use dispatch_policy::settings::*;

const ONE_CLASS: &str = "Profiles.count=1\nProfiles.0.DeadlineUs=5000\nProfiles.0.Semantics=keyed\n\
    Profiles.0.Group=cell\nFamilyInfo.ClassStretch=1.5\nStats.Fields=x0,depth,new\n\
    FamilyInfo.ReportX0=free_slots\nLimits.MaxAttempts=3\nUnheard.Of=[1\n";

#[test]
fn known_settings_are_read_and_unknown_ones_ignored() {
    let (settings, report_fields) = parse(ONE_CLASS).unwrap();
    assert_eq!(settings.classes[0].idempotency, Idempotency::WithKey(KeyScope::Cell));
    assert_eq!(settings.classes[0].objective_per_work, 1.5);
    assert_eq!(report_fields, [ReportField::FreeSlots, ReportField::Queued, ReportField::Other]);
    assert!(settings.tenants.is_empty());
}

#[test]
fn late_penalty_settings_are_read_and_optional() {
    let (settings, _) = parse(&format!("{ONE_CLASS}Goal.KeptPromises=0.35\nGoal.TailSlack=0.02\n")).unwrap();
    assert_eq!((settings.late_penalty_weight, settings.accepted_late_ratio), (0.35, 0.02));
    assert_eq!(parse(ONE_CLASS).unwrap().0.late_penalty_weight, 0.0);
    for invalid in ["Goal.KeptPromises=-1", "Goal.TailSlack=1.5", "Prices.Peer=inf"] {
        assert!(parse(&format!("{ONE_CLASS}{invalid}\n")).unwrap_err().to_string().starts_with("settings:"));
    }
}

#[test]
fn a_retry_budget_is_read_completely_or_is_an_error() {
    let retry_budget =
        "Invariants.SpareAttempts=2\nInvariants.ExtraRatio=0.05\nInvariants.RatioSpanUs=2000000";
    let rules = parse(&format!("{ONE_CLASS}{retry_budget}\nInvariants.SoftRemoval=true\n")).unwrap().0.rules;
    assert_eq!(rules.retry_budget, Some(RetryBudget { min_retries: 2.0, ratio: 0.05, window_us: 2_000_000 }));
    assert!(rules.soft_removal);
    let default_rules = parse(ONE_CLASS).unwrap().0.rules;
    assert_eq!((default_rules.retry_budget, default_rules.soft_removal), (None, false));
    let lines: Vec<&str> = retry_budget.lines().collect();
    let invalid = [
        lines[..2].join("\n"),
        lines[1..].join("\n"),
        retry_budget.replace("=2\n", "=-2\n"),
        retry_budget.replace("0.05", "nan"),
        retry_budget.replace("2000000", "0"),
        "Prices.Origin=-1".to_string(),
    ];
    for invalid in invalid {
        assert!(
            parse(&format!("{ONE_CLASS}{invalid}\n")).unwrap_err().to_string().starts_with("settings:"),
            "{invalid}"
        );
    }
}

#[test]
fn invalid_values_are_an_error() {
    for invalid in
        ["Siblings=two", "Limits.Peers=maybe", "Profiles.0.Group=row", "Zone=-1", "Prices.CrossZone=nan"]
    {
        let error = parse(&format!("{ONE_CLASS}{invalid}\n")).unwrap_err().to_string();
        assert!(error.starts_with("settings:"), "{error}");
    }
    assert!(parse("").unwrap_err().to_string().contains("class"));
}
