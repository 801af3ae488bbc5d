//! Executes statements and determines the exit status.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use smol_str::{ToSmolStr, format_smolstr};
use yuccapass_operators::{
    CommandClient, CommandReply, CommandRequest, Query, Statement, Table, help,
};
use yuccapass_types::{Clock, CommandId, KeyHash, OrganisationId};

use crate::options::Options;
use crate::output;
use crate::secret;

/// Interval between two queries of a rollout's state.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// The result of a run; the numbers are the exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// All statements succeeded.
    Success = 0,
    /// A command was refused or failed.
    Refused = 1,
    /// The options or a statement are not valid.
    Usage = 2,
    /// Another operator's change was accepted first.
    Conflict = 3,
    /// Whether a command takes effect is not known yet.
    Unknown = 4,
    /// No node can be reached.
    Unreachable = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

impl ExitStatus {
    fn of_reply(reply: &CommandReply) -> Self {
        match reply {
            CommandReply::Answer(_) | CommandReply::Accepted(_) => Self::Success,
            CommandReply::Refused(_) => Self::Refused,
            CommandReply::Conflict(_) => Self::Conflict,
            CommandReply::Unknown(_) => Self::Unknown,
        }
    }
}

/// Executes the statements of one run.
pub(crate) struct Session {
    options: Options,
    client: CommandClient,
}

impl Session {
    pub(crate) fn new(options: Options, clock: Arc<dyn Clock>) -> Self {
        let key = options.key.clone();
        let client = CommandClient::new(&options.nodes, key, options.timeout_ms, clock);
        Self { options, client }
    }

    /// Executes statements in order, up to the first one that does not succeed.
    pub(crate) async fn run(&mut self, statements: &[Statement]) -> ExitStatus {
        let is_single = statements.len() == 1;
        for (statement, number) in statements.iter().zip(1..) {
            let number = (!is_single).then_some(number);
            let status = self.run_one(statement, number).await.unwrap_or_else(|error| {
                output::error(self.options.output, &error.to_string());
                ExitStatus::Refused
            });
            if status != ExitStatus::Success {
                return status;
            }
        }
        ExitStatus::Success
    }

    async fn run_one(&self, statement: &Statement, number: Option<u32>) -> io::Result<ExitStatus> {
        Ok(match statement {
            Statement::Help(topic) => {
                output::help(self.options.output, &help(topic.as_deref()));
                ExitStatus::Success
            }
            Statement::Query(Query::Rollout(_)) => self.watch(statement).await,
            Statement::Query(_) => self.send(&self.request(statement, None), None).await,
            Statement::Change(_) => {
                let id = self.command_id(number)?;
                self.send(&self.request(statement, Some(id)), None).await
            }
            Statement::AddNewKey(organisation) => self.add_new_key(organisation, number).await?,
        })
    }

    /// Generates a key, sends its hash, and shows the key unless it certainly was not added.
    async fn add_new_key(
        &self,
        organisation: &OrganisationId,
        number: Option<u32>,
    ) -> io::Result<ExitStatus> {
        let key = secret::new_key()?;
        let statement = format_smolstr!("add key {} to {organisation}", KeyHash::of_key(&key));
        let request = self.request(&statement, Some(self.command_id(number)?));
        Ok(self.send(&request, Some(&key)).await)
    }

    async fn send(&self, request: &CommandRequest, new_key: Option<&str>) -> ExitStatus {
        match self.client.send(request).await {
            Ok(reply) => {
                let status = ExitStatus::of_reply(&reply);
                let may_have_effect = matches!(status, ExitStatus::Success | ExitStatus::Unknown);
                let shown_key = new_key.filter(|_| may_have_effect && !request.dry_run);
                output::reply(self.options.output, request, &reply, shown_key);
                status
            }
            Err(error) => {
                output::error(self.options.output, &error.to_string());
                ExitStatus::Unreachable
            }
        }
    }

    /// Queries the state of a rollout until it is finished, and shows each state that differs from
    /// the previous one.
    async fn watch(&self, statement: &Statement) -> ExitStatus {
        let request = self.request(statement, None);
        let mut shown: Option<Table> = None;
        loop {
            let reply = match self.client.send(&request).await {
                Ok(reply) => reply,
                Err(error) => {
                    output::error(self.options.output, &error.to_string());
                    return ExitStatus::Unreachable;
                }
            };
            let CommandReply::Answer(table) = &reply else {
                output::reply(self.options.output, &request, &reply, None);
                return ExitStatus::of_reply(&reply);
            };
            if shown.as_ref() != Some(table) {
                output::reply(self.options.output, &request, &reply, None);
            }
            if table.finished {
                return ExitStatus::Success;
            }
            shown = Some(table.clone());
            async_std::task::sleep(WATCH_INTERVAL).await;
        }
    }

    fn request(
        &self,
        statement: &impl std::fmt::Display,
        command_id: Option<CommandId>,
    ) -> CommandRequest {
        CommandRequest {
            command: statement.to_smolstr(),
            expected_revision: command_id.as_ref().and(self.options.expect_revision),
            command_id,
            dry_run: self.options.dry_run,
        }
    }

    fn command_id(&self, number: Option<u32>) -> io::Result<CommandId> {
        match (&self.options.command_id, number) {
            (None, _) => secret::new_command_id(),
            (Some(id), None) => Ok(id.clone()),
            (Some(id), Some(number)) => {
                let numbered = format_smolstr!("{id}-{number}");
                numbered.parse().map_err(|error| io::Error::other(format!("{error}")))
            }
        }
    }
}
