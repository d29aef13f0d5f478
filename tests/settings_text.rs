//! Settings read from text.

use dispatch_policy::api::*;
use dispatch_policy::settings::*;

const ONE: &str = "Profiles.count=1\nProfiles.0.DeadlineUs=5000\nProfiles.0.Semantics=keyed\n\
    Profiles.0.Group=cell\nFamilyInfo.ClassStretch=1.5\nStats.Fields=x0,depth,new\n\
    FamilyInfo.ReportX0=free_slots\nLimits.MaxAttempts=3\nUnheard.Of=[1\n";

#[test]
fn reads_what_it_knows_and_skips_the_rest() {
    let (s, f) = parse(ONE).unwrap();
    assert_eq!(s.classes[0].idempotency, Idempotency::WithKey(KeyScope::Cell));
    assert_eq!(s.classes[0].objective_per_work, 1.5);
    assert_eq!(f, [ReportField::FreeSlots, ReportField::Queued, ReportField::Other]);
    assert!(s.tenants.is_empty());
}

#[test]
fn reads_the_terms_of_the_tail_and_does_without_them() {
    let (s, _) = parse(&format!("{ONE}Goal.KeptPromises=0.35\nGoal.TailSlack=0.02\n")).unwrap();
    assert_eq!((s.late_penalty_weight, s.accepted_late_ratio), (0.35, 0.02));
    assert_eq!(parse(ONE).unwrap().0.late_penalty_weight, 0.0);
    for bad in ["Goal.KeptPromises=-1", "Goal.TailSlack=1.5", "Prices.Peer=inf"] {
        assert!(parse(&format!("{ONE}{bad}\n")).unwrap_err().to_string().starts_with("settings:"));
    }
}

#[test]
fn reads_the_ration_of_attempts_in_full_or_not_at_all() {
    let ration = "Invariants.SpareAttempts=2\nInvariants.ExtraRatio=0.05\nInvariants.RatioSpanUs=2000000";
    let rules = parse(&format!("{ONE}{ration}\nInvariants.SoftRemoval=true\n")).unwrap().0.rules;
    assert_eq!(rules.retry_budget, Some(RetryBudget { min_retries: 2.0, ratio: 0.05, window_us: 2_000_000 }));
    assert!(rules.soft_removal);
    let absent = parse(ONE).unwrap().0.rules;
    assert_eq!((absent.retry_budget, absent.soft_removal), (None, false));
    let lines: Vec<&str> = ration.lines().collect();
    let bad = [
        lines[..2].join("\n"),
        lines[1..].join("\n"),
        ration.replace("=2\n", "=-2\n"),
        ration.replace("0.05", "nan"),
        ration.replace("2000000", "0"),
        "Prices.Origin=-1".to_string(),
    ];
    for bad in bad {
        assert!(parse(&format!("{ONE}{bad}\n")).unwrap_err().to_string().starts_with("settings:"), "{bad}");
    }
}

#[test]
fn refuses_what_it_cannot_read() {
    for bad in
        ["Siblings=two", "Limits.Peers=maybe", "Profiles.0.Group=row", "Zone=-1", "Prices.CrossZone=nan"]
    {
        let err = parse(&format!("{ONE}{bad}\n")).unwrap_err().to_string();
        assert!(err.starts_with("settings:"), "{err}");
    }
    assert!(parse("").unwrap_err().to_string().contains("class"));
}
