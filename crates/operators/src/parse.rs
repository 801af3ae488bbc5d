//! The parser of the command language.

use std::str::FromStr;

use pest::Parser;
use pest::iterators::Pair;
use smol_str::SmolStr;
use yuccapass_decisions::change::{ApprovalTarget, Change, TargetKind};
use yuccapass_decisions::config::{Endpoint, Voter, ZoneState};
use yuccapass_types::TokensPerSecond;

use crate::parse_error::ParseError;
use crate::statement::{Field, Filter, Query, Statement, Subject};

/// Longest accepted statement, in bytes; the longest one of the language has about 400.
pub const MAX_STATEMENT_BYTES: usize = 4_096;

/// Maximum number of conditions in a query, which is more than any list has columns.
const MAX_FILTERS: usize = 16;

mod grammar {
    #[derive(pest_derive::Parser)]
    #[grammar = "language.pest"]
    pub struct Language;
}

pub(crate) use grammar::{Language, Rule};

/// Parses a statement of the command language.
///
/// # Errors
///
/// Fails with the position of the first unexpected word and what was expected there.
///
/// # Examples
///
/// ```
/// use yuccapass_operators::{Statement, parse};
///
/// let statement = parse("take zone kamloops-yard out").unwrap();
/// assert_eq!(statement.to_string(), "take zone kamloops-yard out");
/// assert_eq!(parse("take zone kamloops-yard").unwrap_err().position(), 23);
/// ```
pub fn parse(text: &str) -> Result<Statement, ParseError> {
    // Checked before parsing, so that a long text takes neither time nor memory.
    if text.len() > MAX_STATEMENT_BYTES {
        return Err(ParseError::too_long(text.len(), MAX_STATEMENT_BYTES));
    }
    let mut pairs =
        Language::parse(Rule::statement, text).map_err(|error| ParseError::of_grammar(&error))?;
    let pair = pairs.next().ok_or_else(|| ParseError::new(0, "a command"))?;
    match pair.as_rule() {
        Rule::change => parse_change(pair),
        Rule::query => parse_query(pair).map(Statement::Query),
        Rule::watch => Ok(Statement::Query(Query::Rollout(Values::of(pair).next()?))),
        _ => Ok(Statement::Help(Values::of(pair).next_optional()?)),
    }
}

/// The values of a statement in order, without its keywords.
struct Values<'a> {
    pairs: Vec<Pair<'a, Rule>>,
    next: usize,
    end: usize,
}

impl<'a> Values<'a> {
    fn of(pair: Pair<'a, Rule>) -> Self {
        let end = pair.as_span().end();
        let pairs = pair.into_inner().filter(|inner| is_value(inner.as_rule())).collect();
        Self { pairs, next: 0, end }
    }

    fn next_pair(&mut self) -> Option<Pair<'a, Rule>> {
        let pair = self.pairs.get(self.next).cloned();
        self.next += 1;
        pair
    }

    fn next<T: FromStr<Err: std::fmt::Display>>(&mut self) -> Result<T, ParseError> {
        let end = self.end;
        self.next_optional()?.ok_or_else(|| ParseError::new(end, "a value"))
    }

    fn next_optional<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
    ) -> Result<Option<T>, ParseError> {
        let Some(pair) = self.next_pair() else { return Ok(None) };
        parse_value(&pair).map(Some)
    }

    fn has(&self, rule: Rule) -> bool {
        self.pairs.iter().any(|pair| pair.as_rule() == rule)
    }
}

fn is_value(rule: Rule) -> bool {
    matches!(
        rule,
        Rule::name
            | Rule::zone_name
            | Rule::number
            | Rule::signed_number
            | Rule::rate
            | Rule::key_hash
            | Rule::address
            | Rule::target
            | Rule::topic
            | Rule::fencing
    )
}

fn parse_value<T: FromStr<Err: std::fmt::Display>>(pair: &Pair<'_, Rule>) -> Result<T, ParseError> {
    let parsed = pair.as_str().parse::<T>();
    parsed.map_err(|error| ParseError::of_value(pair.as_span().start(), error))
}

fn parse_change(pair: Pair<'_, Rule>) -> Result<Statement, ParseError> {
    let end = pair.as_span().end();
    let inner = pair.into_inner().next().ok_or_else(|| ParseError::new(end, "a command"))?;
    let rule = inner.as_rule();
    let mut values = Values::of(inner);
    let change = match rule {
        Rule::add_key if !values.has(Rule::key_hash) => {
            return Ok(Statement::AddNewKey(values.next()?));
        }
        Rule::create_organisation
        | Rule::remove_organisation
        | Rule::set_share
        | Rule::set_limit
        | Rule::add_key
        | Rule::remove_key
        | Rule::approve_for
        | Rule::withdraw_from => parse_organisation_change(rule, &mut values)?,
        Rule::create_model
        | Rule::use_version
        | Rule::use_adapter
        | Rule::use_no_adapter
        | Rule::swap_replicas => parse_model_change(rule, &mut values)?,
        _ => parse_infrastructure_change(rule, &mut values)?,
    };
    Ok(Statement::Change(change))
}

fn parse_organisation_change(rule: Rule, values: &mut Values<'_>) -> Result<Change, ParseError> {
    Ok(match rule {
        Rule::create_organisation => Change::CreateOrganisation {
            organisation: values.next()?,
            share: values.next()?,
            limit: values.next::<TokensPerSecond>()?,
        },
        Rule::remove_organisation => Change::RemoveOrganisation(values.next()?),
        Rule::set_share => Change::SetShare(values.next()?, values.next()?),
        Rule::set_limit => Change::SetLimit(values.next()?, values.next()?),
        Rule::approve_for => Change::Approve(values.next()?, parse_target(values)?),
        Rule::withdraw_from => Change::Withdraw(values.next()?, parse_target(values)?),
        _ => {
            let key = values.next()?;
            let organisation = values.next()?;
            match rule {
                Rule::add_key => Change::AddKey(organisation, key),
                _ => Change::RemoveKey(organisation, key),
            }
        }
    })
}

fn parse_target(values: &mut Values<'_>) -> Result<ApprovalTarget, ParseError> {
    let end = values.end;
    let missing = || ParseError::new(end, "the name of a model or service");
    let target = values.next_pair().ok_or_else(missing)?;
    let inner = target.into_inner().next().ok_or_else(missing)?;
    let kind = match inner.as_rule() {
        Rule::model_target => Some(TargetKind::Model),
        Rule::service_target => Some(TargetKind::Service),
        _ => return Ok(ApprovalTarget { kind: None, name: parse_value(&inner)? }),
    };
    Ok(ApprovalTarget { kind, name: Values::of(inner).next()? })
}

fn parse_model_change(rule: Rule, values: &mut Values<'_>) -> Result<Change, ParseError> {
    Ok(match rule {
        Rule::create_model => Change::CreateModel {
            model: values.next()?,
            version: values.next()?,
            store: values.next_optional()?,
        },
        Rule::swap_replicas => {
            let count = values.next()?;
            Change::SetMaxSwapping(values.next()?, count)
        }
        Rule::use_version => {
            let version = values.next()?;
            Change::UseVersion { version, model: values.next()?, zone: values.next_optional()? }
        }
        _ => {
            let adapter = match rule {
                Rule::use_adapter => Some(values.next()?),
                _ => None,
            };
            Change::UseAdapter { adapter, model: values.next()?, zone: values.next_optional()? }
        }
    })
}

/// Parses a change of zones, voters, endpoints or request classes.
fn parse_infrastructure_change(rule: Rule, values: &mut Values<'_>) -> Result<Change, ParseError> {
    Ok(match rule {
        Rule::create_zone => Change::CreateZone(values.next()?, values.next()?),
        Rule::take_zone => Change::SetZoneState(values.next()?, ZoneState::Out),
        Rule::bring_zone => Change::SetZoneState(values.next()?, ZoneState::In),
        Rule::add_voter => {
            let voter = Voter { id: values.next()?, address: values.next()? };
            Change::AddVoter(values.next()?, voter)
        }
        Rule::remove_voter => {
            let voter = values.next()?;
            Change::RemoveVoter(values.next()?, voter)
        }
        Rule::add_endpoint => Change::AddEndpoint(parse_endpoint(values)?),
        Rule::remove_endpoint => Change::RemoveEndpoint(values.next()?),
        Rule::take_endpoint => Change::SetEndpointLeaving(values.next()?, true),
        Rule::bring_endpoint => Change::SetEndpointLeaving(values.next()?, false),
        Rule::set_priority => Change::SetClass(values.next()?, values.next()?),
        Rule::remove_class => Change::RemoveClass(values.next()?),
        _ => return Err(ParseError::new(values.end, "a command")),
    })
}

fn parse_endpoint(values: &mut Values<'_>) -> Result<Endpoint, ParseError> {
    Ok(Endpoint {
        id: values.next()?,
        model: values.next()?,
        zone: values.next()?,
        address: values.next()?,
        cold_requests: values.next()?,
        checks_fencing: values.has(Rule::fencing),
        leaving: false,
    })
}

fn parse_query(pair: Pair<'_, Rule>) -> Result<Query, ParseError> {
    let end = pair.as_span().end();
    let mut subject = None;
    let mut filters = Vec::new();
    for inner in pair.into_inner() {
        match inner.as_rule() {
            Rule::subject => subject = Subject::from_word(inner.as_str()),
            Rule::filter => filters.push(parse_filter(inner, subject)?),
            _ => {}
        }
    }
    if filters.len() > MAX_FILTERS {
        return Err(ParseError::new(end, format!("at most {MAX_FILTERS} conditions")));
    }
    let subject = subject.ok_or_else(|| ParseError::new(end, "what to show"))?;
    Ok(Query::Show { subject, filters })
}

fn parse_filter(pair: Pair<'_, Rule>, subject: Option<Subject>) -> Result<Filter, ParseError> {
    let start = pair.as_span().start();
    let mut field = None;
    let mut value = SmolStr::default();
    for inner in pair.into_inner() {
        match inner.as_rule() {
            Rule::field => field = Field::from_word(inner.as_str()),
            Rule::name => value = SmolStr::new(inner.as_str()),
            _ => {}
        }
    }
    let fields = subject.map(Subject::fields).unwrap_or_default();
    match field {
        Some(field) if fields.contains(&field) => Ok(Filter { field, value }),
        _ => Err(ParseError::of_fields(start, fields)),
    }
}
