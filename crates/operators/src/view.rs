//! Answers to the queries that need only the configuration.

use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use yuccapass_decisions::config::{ActiveConfig, Document, Model, ZoneState};

use crate::handler::Table;
use crate::statement::{Filter, Subject};

/// Returns the rows of `subject` that match `filters`, or `None` if the subject is not part of the
/// configuration.
pub fn show_document(config: &ActiveConfig, subject: Subject, filters: &[Filter]) -> Option<Table> {
    let document = config.document();
    let mut table = match subject {
        Subject::Endpoints => endpoints(document),
        Subject::Organisations => organisations(document),
        Subject::Models => models(document),
        Subject::Zones => zones(document),
        Subject::Classes => classes(document),
        Subject::Services => services(document),
        Subject::Configuration => configuration(config),
        Subject::Nodes | Subject::Requests => return None,
    };
    table.apply_filters(filters);
    Some(table)
}

fn endpoints(document: &Document) -> Table {
    let columns = ["endpoint", "model", "zone", "address", "state", "cold requests"];
    let mut table = Table::new(document.revision, &columns);
    table.rows.extend(document.endpoints.iter().map(|endpoint| {
        vec![
            endpoint.id.to_smolstr(),
            endpoint.model.to_smolstr(),
            endpoint.zone.to_smolstr(),
            endpoint.address.to_smolstr(),
            SmolStr::new_static(if endpoint.leaving { "out" } else { "in" }),
            endpoint.cold_requests.to_smolstr(),
        ]
    }));
    table
}

fn organisations(document: &Document) -> Table {
    let columns = ["organisation", "share", "limit", "keys", "model", "service"];
    let mut table = Table::new(document.revision, &columns);
    table.rows.extend(document.organisations.iter().map(|organisation| {
        vec![
            organisation.id.to_smolstr(),
            organisation.share.to_smolstr(),
            organisation.limit_tokens_per_s.to_smolstr(),
            organisation.key_hashes.len().to_smolstr(),
            join(&organisation.models),
            join(&organisation.services),
        ]
    }));
    table
}

fn models(document: &Document) -> Table {
    let columns = ["model", "version", "adapter", "store", "swaps at most", "in zones"];
    let mut table = Table::new(document.revision, &columns);
    table.rows.extend(document.models.iter().map(|model| {
        vec![
            model.id.to_smolstr(),
            model.version.to_smolstr(),
            or_none(model.adapter.as_ref()),
            or_none(model.store.as_ref()),
            model.max_swapping_replicas.to_smolstr(),
            zone_exceptions(model),
        ]
    }));
    table
}

fn zone_exceptions(model: &Model) -> SmolStr {
    let versions =
        model.zone_versions.iter().map(|item| format_smolstr!("{}: {}", item.zone, item.version));
    let adapters = model
        .zone_adapters
        .iter()
        .map(|item| format_smolstr!("{}: adapter {}", item.zone, or_none(item.adapter.as_ref())));
    join(&versions.chain(adapters).collect::<Vec<_>>())
}

fn zones(document: &Document) -> Table {
    let mut table = Table::new(document.revision, &["zone", "region", "state", "voters"]);
    table.rows.extend(document.zones.iter().map(|zone| {
        let state = match zone.state {
            ZoneState::In => "in",
            ZoneState::Out => "out",
        };
        let voters: Vec<_> = zone.voters.iter().map(|voter| &voter.id).collect();
        vec![zone.id.to_smolstr(), zone.region.to_smolstr(), state.into(), join(&voters)]
    }));
    table
}

fn classes(document: &Document) -> Table {
    let mut table = Table::new(document.revision, &["class", "priority"]);
    let rows = document.classes.iter();
    table.rows.extend(rows.map(|class| vec![class.id.to_smolstr(), class.priority.to_smolstr()]));
    table
}

fn services(document: &Document) -> Table {
    let mut table = Table::new(document.revision, &["service", "zone", "addresses"]);
    table.rows.extend(document.services.iter().map(|service| {
        vec![service.id.to_smolstr(), service.zone.to_smolstr(), join(&service.addresses)]
    }));
    table
}

/// Lists the last commands, newest first.
fn configuration(config: &ActiveConfig) -> Table {
    let columns = ["revision", "command id", "command"];
    let mut table = Table::new(config.manifest().revision, &columns);
    table.rows.extend(config.manifest().commands.iter().rev().map(|command| {
        vec![command.revision.to_smolstr(), command.id.to_smolstr(), command.description.clone()]
    }));
    table
}

fn join(values: &[impl ToString]) -> SmolStr {
    values.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ").into()
}

fn or_none(value: Option<&impl ToSmolStr>) -> SmolStr {
    value.map_or_else(|| "none".into(), ToSmolStr::to_smolstr)
}
