//! Renders settings as text with keys of its own, so that the recorded text stays the same when a field is renamed. Every
//! struct is destructured without `..`, so that no field is left out.

use dispatch_policy::api::{
    ClassSettings, Idempotency, KeyScope, RetryBudget, Rules, Settings, TenantSettings,
};
use dispatch_policy::settings::ReportField;
use membership::file::FleetFile;
use molevale::class_rules::ClassRules;
use molevale::names::Names;
use std::fmt::{Debug, Write};

fn write_field(out: &mut String, key: &str, value: &dyn Debug) {
    writeln!(out, "{key} = {value:?}").unwrap();
}

fn idempotency_key(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::WithKey(KeyScope::Fleet) => "keyed, all",
        Idempotency::WithKey(KeyScope::Zone) => "keyed, zone",
        Idempotency::WithKey(KeyScope::Cell) => "keyed, cell",
        Idempotency::NotIdempotent => "unsafe",
    }
}

fn write_class(out: &mut String, n: usize, class: &ClassSettings) {
    let ClassSettings {
        objective_us,
        objective_per_work,
        deadline_us,
        priority_weight,
        late_weight,
        idempotency,
        deduplication_window_us,
        required_kind,
    } = class;
    let idempotency = idempotency_key(*idempotency);
    writeln!(
        out,
        "class {n}: aim {objective_us:?} stretch {objective_per_work:?} deadline {deadline_us:?} worth {priority_weight:?} late {late_weight:?} \
         effect {idempotency} window {deduplication_window_us:?} kind {required_kind:?}"
    )
    .unwrap();
}

fn write_rules(out: &mut String, rules: &Rules) {
    let Rules {
        poll_interval_us,
        cold_capacity_ratio,
        warm_up_us,
        overload_multiple,
        overload_window_us,
        retry_budget,
        soft_removal,
    } = rules;
    write_field(out, "rules ask every us", poll_interval_us);
    write_field(out, "rules cold share", cold_capacity_ratio);
    write_field(out, "rules warm up us", warm_up_us);
    write_field(out, "rules fall multiple", overload_multiple);
    write_field(out, "rules fall us", overload_window_us);
    write_field(out, "rules soft removal", soft_removal);
    match retry_budget {
        Some(RetryBudget { min_retries, ratio, window_us }) => {
            writeln!(out, "rules allowance: spare {min_retries:?} ratio {ratio:?} span us {window_us:?}")
                .unwrap();
        }
        None => writeln!(out, "rules allowance: none").unwrap(),
    }
}

/// The settings of the decision module.
pub fn settings(out: &mut String, settings: &Settings) {
    let Settings {
        classes,
        retired_classes,
        tenants,
        dispatchers,
        ordinal,
        max_senders,
        membership_epoch,
        zone,
        max_attempts,
        can_cancel,
        peer_messages,
        max_retry_after_us,
        unmarked_retries,
        can_probe,
        reports_free_slots,
        polls_endpoints,
        live_weights,
        acknowledges,
        reports_start,
        progress_interval_us,
        cross_zone_price,
        peer_message_price,
        handshake_price,
        origin_fetch_price,
        idle_timeout_us,
        late_penalty_weight,
        accepted_late_ratio,
        worst_class_weight,
        over_quota_weight,
        clock_resolution_us,
        max_send_delay_us,
        rules,
    } = settings;
    classes.iter().enumerate().for_each(|(n, c)| write_class(out, n, c));
    for (n, TenantSettings { quota_per_s, share }) in tenants.iter().enumerate() {
        writeln!(out, "tenant {n}: quota {quota_per_s:?} share {share:?}").unwrap();
    }
    let fields: [(&str, &dyn Debug); 29] = [
        ("retired", retired_classes),
        ("siblings", dispatchers),
        ("ordinal", ordinal),
        ("most senders", max_senders),
        ("order", membership_epoch),
        ("zone", zone),
        ("max attempts", max_attempts),
        ("cancelling", can_cancel),
        ("peers", peer_messages),
        ("max retry after us", max_retry_after_us),
        ("unmarked repeats", unmarked_retries),
        ("probes", can_probe),
        ("reports free", reports_free_slots),
        ("list asked", polls_endpoints),
        ("live weights", live_weights),
        ("tells taken", acknowledges),
        ("tells start", reports_start),
        ("progress us", progress_interval_us),
        ("cross zone price", cross_zone_price),
        ("peer price", peer_message_price),
        ("handshake price", handshake_price),
        ("origin price", origin_fetch_price),
        ("conn idle us", idle_timeout_us),
        ("tail weight", late_penalty_weight),
        ("tail slack", accepted_late_ratio),
        ("worst class weight", worst_class_weight),
        ("over share worth", over_quota_weight),
        ("resolution us", clock_resolution_us),
        ("lag us", max_send_delay_us),
    ];
    fields.into_iter().for_each(|(key, value)| write_field(out, key, value));
    write_rules(out, rules);
}

fn report_field_key(field: ReportField) -> &'static str {
    match field {
        ReportField::FreeSlots => "free slots",
        ReportField::FreeMemory => "free memory",
        ReportField::Queued => "queue",
        ReportField::InFlight => "in flight",
        ReportField::Other => "other",
    }
}

/// The names and durations that the node keeps beside the settings of the decision module.
pub fn names(out: &mut String, names: &Names) {
    let Names {
        classes,
        retired_classes,
        inherits_from,
        class_rules,
        tenants,
        retired_tenants,
        zones,
        kinds,
        report,
        connect_timeout,
        worker_idle_timeout,
        drain_grace,
    } = names;
    let is_keyed = |rules: &ClassRules| matches!(rules.idempotency(), Idempotency::WithKey(_));
    let keyed: Vec<bool> = class_rules.iter().map(is_keyed).collect();
    let report: Vec<String> =
        report.iter().map(|(name, f)| format!("{name}: {}", report_field_key(*f))).collect();
    let sent: Vec<String> = class_rules.iter().map(|rules| serde_json::to_string(rules).unwrap()).collect();
    let fields: [(&str, &dyn Debug); 14] = [
        ("classes", classes),
        ("classes retired", retired_classes),
        ("classes continue", inherits_from),
        ("classes keyed", &keyed),
        ("classes as sent", &sent),
        ("tenants", tenants),
        ("tenants gone", retired_tenants),
        ("zones", zones),
        ("kinds", kinds),
        ("report", &report),
        ("connect timeout", connect_timeout),
        ("conn idle", worker_idle_timeout),
        ("drain grace", drain_grace),
        ("longest", &names.longest_open_deadline()),
    ];
    fields.into_iter().for_each(|(key, value)| write_field(out, key, value));
}

/// The operator's fleet file.
pub fn fleet_file(out: &mut String, file: &FleetFile) {
    let FleetFile { fleet, listen, advertise, zone, key_file, seeds, timing, coordination } = file;
    let fields: [(&str, &dyn Debug); 11] = [
        ("fleet", fleet),
        ("listen", listen),
        ("advertise", advertise),
        ("zone", zone),
        ("key file", key_file),
        ("seeds", seeds),
        ("probe", &timing.probe_interval),
        ("answer", &timing.probe_timeout),
        ("suspicion", &timing.suspicion_timeout),
        ("contact", &timing.reconnect_interval),
        ("forget", &timing.remove_after),
    ];
    fields.into_iter().for_each(|(key, value)| write_field(out, key, value));
    let Some(coordination) = coordination else { return writeln!(out, "duties: none").unwrap() };
    let fields: [(&str, &dyn Debug); 6] = [
        ("duties state", &coordination.state_directory),
        ("duties voters", &coordination.voters),
        ("duties lease", &coordination.lease_duration),
        ("duties election", &coordination.election_timeout),
        ("duties lists", &coordination.list_broadcast),
        ("duties roll", &coordination.rolling_restart),
    ];
    fields.into_iter().for_each(|(key, value)| write_field(out, key, value));
    for call in &coordination.scheduled_calls {
        writeln!(
            out,
            "duties call: {:?} at {:?} {:?} every {:?}",
            call.name, call.address, call.path, call.interval
        )
        .unwrap();
    }
}
