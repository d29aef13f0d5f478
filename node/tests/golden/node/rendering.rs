//! Settings as text whose keys are this file's own: it stays where an item of the code has another name. All fields are
//! taken apart one by one, so that none is left out.

use dispatch_policy::api::{
    ClassSettings, Idempotency, KeyScope, RetryBudget, Rules, Settings, TenantSettings,
};
use dispatch_policy::settings::ReportField;
use membership::file::FleetFile;
use molevale::names::Names;
use std::fmt::{Debug, Write};

fn put(out: &mut String, key: &str, value: &dyn Debug) {
    writeln!(out, "{key} = {value:?}").unwrap();
}

fn idempotency(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::WithKey(KeyScope::Fleet) => "keyed, all",
        Idempotency::WithKey(KeyScope::Zone) => "keyed, zone",
        Idempotency::WithKey(KeyScope::Cell) => "keyed, cell",
        Idempotency::NotIdempotent => "unsafe",
    }
}

fn class(out: &mut String, n: usize, class: &ClassSettings) {
    let ClassSettings {
        objective_us: aim_us,
        objective_per_work: stretch,
        deadline_us,
        priority_weight: worth,
        late_weight: late_worth,
        idempotency: effect,
        deduplication_window_us: repeat_window_us,
        required_kind: kind,
    } = class;
    let effect = idempotency(*effect);
    writeln!(
        out,
        "class {n}: aim {aim_us:?} stretch {stretch:?} deadline {deadline_us:?} worth {worth:?} late {late_worth:?} \
         effect {effect} window {repeat_window_us:?} kind {kind:?}"
    )
    .unwrap();
}

fn rules(out: &mut String, rules: &Rules) {
    let Rules {
        poll_interval_us: ask_every_us,
        cold_capacity_ratio: cold_share,
        warm_up_us,
        overload_multiple: fall_multiple,
        overload_window_us: fall_us,
        retry_budget: allowance,
        soft_removal,
    } = rules;
    put(out, "rules ask every us", ask_every_us);
    put(out, "rules cold share", cold_share);
    put(out, "rules warm up us", warm_up_us);
    put(out, "rules fall multiple", fall_multiple);
    put(out, "rules fall us", fall_us);
    put(out, "rules soft removal", soft_removal);
    match allowance {
        Some(RetryBudget { min_retries: spare, ratio, window_us: span_us }) => {
            writeln!(out, "rules allowance: spare {spare:?} ratio {ratio:?} span us {span_us:?}").unwrap();
        }
        None => writeln!(out, "rules allowance: none").unwrap(),
    }
}

/// The settings of the decision module.
pub fn settings(out: &mut String, settings: &Settings) {
    let Settings {
        classes,
        retired_classes: retired,
        tenants,
        dispatchers: siblings,
        ordinal,
        max_senders: most_senders,
        membership_epoch: order,
        zone,
        max_attempts,
        can_cancel: cancelling,
        peer_messages: peers,
        max_retry_after_us,
        unmarked_retries: unmarked_repeats,
        can_probe: probes,
        reports_free_slots: reports_free,
        polls_endpoints: list_asked,
        live_weights,
        acknowledges: tells_taken,
        reports_start: tells_start,
        progress_interval_us: progress_us,
        cross_zone_price,
        peer_message_price: peer_price,
        handshake_price,
        origin_fetch_price: origin_price,
        idle_timeout_us: conn_idle_us,
        late_penalty_weight: tail_weight,
        accepted_late_ratio: tail_slack,
        worst_class_weight,
        over_quota_weight: over_share_worth,
        clock_resolution_us: resolution_us,
        max_send_delay_us: lag_us,
        rules: figures,
    } = settings;
    classes.iter().enumerate().for_each(|(n, c)| class(out, n, c));
    for (n, TenantSettings { quota_per_s, share }) in tenants.iter().enumerate() {
        writeln!(out, "tenant {n}: quota {quota_per_s:?} share {share:?}").unwrap();
    }
    let all: [(&str, &dyn Debug); 29] = [
        ("retired", retired),
        ("siblings", siblings),
        ("ordinal", ordinal),
        ("most senders", most_senders),
        ("order", order),
        ("zone", zone),
        ("max attempts", max_attempts),
        ("cancelling", cancelling),
        ("peers", peers),
        ("max retry after us", max_retry_after_us),
        ("unmarked repeats", unmarked_repeats),
        ("probes", probes),
        ("reports free", reports_free),
        ("list asked", list_asked),
        ("live weights", live_weights),
        ("tells taken", tells_taken),
        ("tells start", tells_start),
        ("progress us", progress_us),
        ("cross zone price", cross_zone_price),
        ("peer price", peer_price),
        ("handshake price", handshake_price),
        ("origin price", origin_price),
        ("conn idle us", conn_idle_us),
        ("tail weight", tail_weight),
        ("tail slack", tail_slack),
        ("worst class weight", worst_class_weight),
        ("over share worth", over_share_worth),
        ("resolution us", resolution_us),
        ("lag us", lag_us),
    ];
    all.into_iter().for_each(|(key, value)| put(out, key, value));
    rules(out, figures);
}

fn field(field: ReportField) -> &'static str {
    match field {
        ReportField::FreeSlots => "free slots",
        ReportField::FreeMemory => "free memory",
        ReportField::Queued => "queue",
        ReportField::InFlight => "in flight",
        ReportField::Other => "other",
    }
}

/// The names and figures beside the module's settings.
pub fn names(out: &mut String, names: &Names) {
    let Names {
        classes,
        retired_classes: retired,
        previous_classes: continues,
        requires_idempotency_key: keyed,
        tenants,
        retired_tenants: gone_tenants,
        zones,
        kinds,
        report,
        connect_timeout,
        worker_idle_timeout: conn_idle,
        drain_grace,
        longest_deadline: longest,
    } = names;
    let report: Vec<String> = report.iter().map(|(name, f)| format!("{name}: {}", field(*f))).collect();
    let all: [(&str, &dyn Debug); 13] = [
        ("classes", classes),
        ("classes retired", retired),
        ("classes continue", continues),
        ("classes keyed", keyed),
        ("tenants", tenants),
        ("tenants gone", gone_tenants),
        ("zones", zones),
        ("kinds", kinds),
        ("report", &report),
        ("connect timeout", connect_timeout),
        ("conn idle", conn_idle),
        ("drain grace", drain_grace),
        ("longest", longest),
    ];
    all.into_iter().for_each(|(key, value)| put(out, key, value));
}

/// The operator's file of the talk between nodes.
pub fn fleet_file(out: &mut String, file: &FleetFile) {
    let FleetFile { fleet, listen, advertise, zone, key_file, seeds, timing, coordination } = file;
    let all: [(&str, &dyn Debug); 11] = [
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
    all.into_iter().for_each(|(key, value)| put(out, key, value));
    let Some(coordination) = coordination else { return writeln!(out, "duties: none").unwrap() };
    let all: [(&str, &dyn Debug); 6] = [
        ("duties state", &coordination.state_directory),
        ("duties voters", &coordination.voters),
        ("duties lease", &coordination.lease_duration),
        ("duties election", &coordination.election_timeout),
        ("duties lists", &coordination.list_broadcast),
        ("duties roll", &coordination.rolling_restart),
    ];
    all.into_iter().for_each(|(key, value)| put(out, key, value));
    for call in &coordination.scheduled_calls {
        writeln!(
            out,
            "duties call: {:?} at {:?} {:?} every {:?}",
            call.name, call.address, call.path, call.interval
        )
        .unwrap();
    }
}
