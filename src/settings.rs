//! Reads `path=value` lines, as a `hello` and a node's configuration carry them, into the module's settings.

use crate::api::{
    ClassSettings, Idempotency, KeyScope, LoadReport, RetryBudget, Rules, Settings, TenantSettings,
};
use std::collections::BTreeMap;

/// What a place in a load report means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Free slots.
    FreeSlots,
    /// Free memory.
    FreeMemory,
    /// Requests waiting.
    Queue,
    /// Requests held.
    InFlight,
    /// Something the module has no use for.
    Other,
}

impl ReportField {
    /// Puts the value of this place into a report; what is no number counts as not told.
    pub fn put(self, report: &mut LoadReport, value: f64) {
        let value = Some(value).filter(|v| v.is_finite());
        match self {
            ReportField::FreeSlots => report.free_slots = value,
            ReportField::FreeMemory => report.free_memory = value,
            ReportField::Queue => report.queued = value,
            ReportField::InFlight => report.in_flight = value,
            ReportField::Other => {}
        }
    }
}

/// The lines, by path.
pub struct KeyValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    /// Takes the lines apart; one without `=` is passed over.
    pub fn new(text: &'a str) -> Self {
        KeyValues(text.lines().filter_map(|l| l.split_once('=')).collect())
    }

    /// The value at this path; empty where there is none.
    pub fn text(&self, key: &str) -> &str {
        self.0.get(key).copied().unwrap_or("")
    }

    /// The number at this path.
    pub fn number(&self, key: &str, absent: f64) -> Result<f64, String> {
        match self.text(key) {
            "" => Ok(absent),
            v => match v.parse::<f64>() {
                Ok(x) if x.is_finite() => Ok(x),
                _ => Err(format!("settings: {key}={v} is not a number")),
            },
        }
    }

    /// The span or count at this path.
    pub fn span(&self, key: &str, absent: u64) -> Result<u64, String> {
        let x = self.number(key, absent as f64)?;
        if x < 0.0 {
            return Err(format!("settings: {key}={x} is below zero"));
        }
        Ok(x as u64)
    }

    /// The flag at this path.
    pub fn flag(&self, key: &str, absent: bool) -> Result<bool, String> {
        match self.text(key) {
            "" => Ok(absent),
            "true" => Ok(true),
            "false" => Ok(false),
            v => Err(format!("settings: {key}={v} is neither true nor false")),
        }
    }

    fn item(&self, key: &str, i: usize, absent: f64) -> Result<f64, String> {
        match self.text(key).split(',').nth(i).unwrap_or("") {
            "" => Ok(absent),
            v => v.parse::<f64>().map_err(|_| format!("settings: {key} holds {v}, not a number")),
        }
    }
}

fn idempotency(p: &KeyValues, at: &str) -> Result<Idempotency, String> {
    let group = match p.text(&format!("{at}.Group")) {
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        "all" | "" => KeyScope::Fleet,
        v => return Err(format!("settings: {at}.Group={v} is not known")),
    };
    match p.text(&format!("{at}.Semantics")) {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::WithKey(group)),
        "unsafe" | "" => Ok(Idempotency::NotIdempotent),
        v => Err(format!("settings: {at}.Semantics={v} is not known")),
    }
}

fn class(p: &KeyValues, i: usize) -> Result<ClassSettings, String> {
    let at = format!("Profiles.{i}");
    let kind = p.item("FamilyInfo.ClassKind", i, -1.0)?;
    let objective_per_work = match p.text("FamilyInfo.ClassStretch") {
        "" => p.number(&format!("{at}.AimStretch"), 0.0)?,
        _ => p.item("FamilyInfo.ClassStretch", i, 0.0)?,
    };
    Ok(ClassSettings {
        objective_us: p.span(&format!("{at}.AimUs"), 0)?,
        objective_per_work,
        deadline_us: p.span(&format!("{at}.DeadlineUs"), 0)?,
        priority_weight: p.number(&format!("{at}.Worth"), 1.0)?,
        late_weight: p.number(&format!("{at}.LateWorth"), 0.0)?,
        idempotency: idempotency(p, &at)?,
        deduplication_window_us: p.span(&format!("{at}.RepeatWindowUs"), 0)?,
        required_kind: if kind < 0.0 { None } else { Some(kind as u8) },
    })
}

/// The ration of further attempts: stated in full or not at all.
fn retry_budget(p: &KeyValues) -> Result<Option<RetryBudget>, String> {
    let keys = ["SpareAttempts", "ExtraRatio", "RatioSpanUs"].map(|k| format!("Invariants.{k}"));
    let absent = keys.iter().filter(|k| p.text(k).is_empty()).collect::<Vec<_>>();
    match absent.as_slice() {
        [] => Ok(Some(RetryBudget {
            min_retries: p.number(&keys[0], 0.0)?,
            ratio: p.number(&keys[1], 0.0)?,
            window_us: p.span(&keys[2], 0)?,
        })),
        [_, _, _] => Ok(None),
        [k, ..] => Err(format!("settings: the ration of attempts lacks {k}")),
    }
}

/// Settings and the meaning of the load reports' places.
pub fn parse(text: &str) -> Result<(Settings, Vec<ReportField>), String> {
    read(&KeyValues::new(text))
}

/// As `parse`, from lines already taken apart.
pub fn read(p: &KeyValues) -> Result<(Settings, Vec<ReportField>), String> {
    let classes =
        (0..p.span("Profiles.count", 0)? as usize).map(|i| class(p, i)).collect::<Result<_, _>>()?;
    let tenant = |i: usize| -> Result<TenantSettings, String> {
        Ok(TenantSettings {
            quota_per_s: p.number(&format!("Parties.{i}.QuotaPerS"), 0.0)?,
            share: p.number(&format!("Parties.{i}.Share"), 0.0)?,
        })
    };
    let tenants = (0..p.span("Parties.count", 0)? as usize).map(tenant).collect::<Result<_, _>>()?;
    let retry_after =
        if p.flag("Limits.RetryAfter", false)? { p.span("Limits.MaxRetryAfterUs", 0)? } else { 0 };
    let meaning = |name: &str| match name {
        "x0" => p.text("FamilyInfo.ReportX0"),
        "x1" => p.text("FamilyInfo.ReportX1"),
        _ => "",
    };
    let field = |name: &str| match name {
        "depth" => ReportField::Queue,
        "concurrent" => ReportField::InFlight,
        _ => match meaning(name) {
            "free_slots" => ReportField::FreeSlots,
            "free_memory" => ReportField::FreeMemory,
            _ => ReportField::Other,
        },
    };
    let fields =
        p.text("Stats.Fields").split(',').filter(|s| !s.is_empty()).map(field).collect::<Vec<ReportField>>();
    let settings = Settings {
        classes,
        retired_classes: Vec::new(),
        tenants,
        dispatchers: p.span("Siblings", 1)?.max(1) as u32,
        ordinal: p.span("Ordinal", 0)? as u32,
        max_senders: 0, // the embedder's to say, as who the siblings are
        membership_epoch: 0,
        zone: p.span("Zone", 0)? as u8,
        max_attempts: p.span("Limits.MaxAttempts", 1)? as u32,
        can_cancel: p.flag("Limits.Cancelling", false)?,
        peer_messages: p.flag("Limits.Peers", false)?,
        max_retry_after_us: retry_after,
        unmarked_retries: !p.flag("ClientHabits.MarksRetry", true)?,
        can_probe: p.flag("Limits.Probes", false)?,
        reports_free_slots: fields.contains(&ReportField::FreeSlots),
        polls_endpoints: p.text("Discovery") == "ask",
        live_weights: p.text("Weights") == "live",
        acknowledges: false, // the embedder's to say
        reports_start: p.flag("FamilyInfo.TellsStart", false)?,
        progress_interval_us: p.span("FamilyInfo.ProgressUs", 0)?,
        cross_zone_price: p.number("Prices.CrossZone", 0.0)?,
        peer_price: p.number("Prices.Peer", 0.0)?,
        handshake_price: p.number("Prices.Handshake", 0.0)?,
        origin_price: p.number("Prices.Origin", 0.0)?,
        idle_timeout_us: p.span("Limits.ConnIdleUs", 0)?,
        accepted_late_ratio: p.number("Goal.TailSlack", 0.0)?,
        late_penalty_weight: p.number("Goal.KeptPromises", 0.0)?,
        worst_class_weight: p.number("Goal.WorstClass", 0.0)?,
        over_quota_weight: p.number("OverShareWorth", 1.0)?,
        clock_resolution_us: p.span("ResolutionUs", 1000)?.max(1),
        max_send_delay_us: 0, // the embedder's to say
        rules: Rules {
            poll_interval_us: p.span("Invariants.AskEveryUs", 10_000_000)?,
            cold_capacity_ratio: p.number("Invariants.ColdShare", 1.0)?,
            warm_up_us: p.span("Invariants.WarmUpUs", 0)?,
            overload_multiple: p.number("Invariants.FallMultiple", 1.0)?,
            overload_window_us: p.span("Invariants.FallUs", 0)?,
            retry_budget: retry_budget(p)?,
            soft_removal: p.flag("Invariants.SoftRemoval", false)?,
        },
    };
    settings.validate().map_err(|e| format!("settings: {e}"))?;
    Ok((settings, fields))
}

#[cfg(test)]
mod tests {
    use super::*;

    const ONE: &str = "Profiles.count=1\nProfiles.0.DeadlineUs=5000\nProfiles.0.Semantics=keyed\n\
        Profiles.0.Group=cell\nFamilyInfo.ClassStretch=1.5\nStats.Fields=x0,depth,new\n\
        FamilyInfo.ReportX0=free_slots\nLimits.MaxAttempts=3\nUnheard.Of=[1\n";

    #[test]
    fn reads_what_it_knows_and_skips_the_rest() {
        let (s, f) = parse(ONE).unwrap();
        assert_eq!(s.classes[0].idempotency, Idempotency::WithKey(KeyScope::Cell));
        assert_eq!(s.classes[0].objective_per_work, 1.5);
        assert_eq!(f, [ReportField::FreeSlots, ReportField::Queue, ReportField::Other]);
        assert!(s.tenants.is_empty());
    }

    #[test]
    fn reads_the_terms_of_the_tail_and_does_without_them() {
        let (s, _) = parse(&format!("{ONE}Goal.KeptPromises=0.35\nGoal.TailSlack=0.02\n")).unwrap();
        assert_eq!((s.late_penalty_weight, s.accepted_late_ratio), (0.35, 0.02));
        assert_eq!(parse(ONE).unwrap().0.late_penalty_weight, 0.0);
        for bad in ["Goal.KeptPromises=-1", "Goal.TailSlack=1.5", "Prices.Peer=inf"] {
            assert!(parse(&format!("{ONE}{bad}\n")).unwrap_err().starts_with("settings:"));
        }
    }

    #[test]
    fn reads_the_ration_of_attempts_in_full_or_not_at_all() {
        let ration = "Invariants.SpareAttempts=2\nInvariants.ExtraRatio=0.05\nInvariants.RatioSpanUs=2000000";
        let rules = parse(&format!("{ONE}{ration}\nInvariants.SoftRemoval=true\n")).unwrap().0.rules;
        assert_eq!(
            rules.retry_budget,
            Some(RetryBudget { min_retries: 2.0, ratio: 0.05, window_us: 2_000_000 })
        );
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
            assert!(parse(&format!("{ONE}{bad}\n")).unwrap_err().starts_with("settings:"), "{bad}");
        }
    }

    #[test]
    fn refuses_what_it_cannot_read() {
        for bad in
            ["Siblings=two", "Limits.Peers=maybe", "Profiles.0.Group=row", "Zone=-1", "Prices.CrossZone=nan"]
        {
            let err = parse(&format!("{ONE}{bad}\n")).unwrap_err();
            assert!(err.starts_with("settings:"), "{err}");
        }
        assert!(parse("").unwrap_err().contains("class"));
    }
}
