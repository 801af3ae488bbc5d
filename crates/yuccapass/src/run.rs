//! Sends sentences and decides the exit code.

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

/// Pause between two questions about a rollout.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// How a run ends; the numbers are the exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Done {
    /// All is done.
    Yes = 0,
    /// A command was refused or failed.
    Refused = 1,
    /// The options or a sentence cannot be understood.
    Usage = 2,
    /// Another operator's change came first.
    Conflict = 3,
    /// Whether a command takes effect cannot be known yet.
    Unknown = 4,
    /// No node can be reached.
    Unreachable = 5,
}

impl From<Done> for ExitCode {
    fn from(done: Done) -> Self {
        Self::from(done as u8)
    }
}

impl Done {
    fn of_reply(reply: &CommandReply) -> Self {
        match reply {
            CommandReply::Answer(_) | CommandReply::Accepted(_) => Self::Yes,
            CommandReply::Refused(_) => Self::Refused,
            CommandReply::Conflict(_) => Self::Conflict,
            CommandReply::Unknown(_) => Self::Unknown,
        }
    }
}

/// Sends the sentences of one run.
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

    /// Sends sentences in order, up to the first one that is not done.
    pub(crate) async fn run(&mut self, sentences: &[Statement]) -> Done {
        let is_single = sentences.len() == 1;
        for (sentence, number) in sentences.iter().zip(1..) {
            let number = (!is_single).then_some(number);
            let done = self.run_one(sentence, number).await.unwrap_or_else(|error| {
                output::error(self.options.output, &error.to_string());
                Done::Refused
            });
            if done != Done::Yes {
                return done;
            }
        }
        Done::Yes
    }

    async fn run_one(&self, sentence: &Statement, number: Option<u32>) -> io::Result<Done> {
        Ok(match sentence {
            Statement::Help(topic) => {
                output::help(self.options.output, &help(topic.as_deref()));
                Done::Yes
            }
            Statement::Query(Query::Rollout(_)) => self.watch(sentence).await,
            Statement::Query(_) => self.send(&self.request(sentence, None), None).await,
            Statement::Change(_) => {
                let id = self.command_id(number)?;
                self.send(&self.request(sentence, Some(id)), None).await
            }
            Statement::AddNewKey(organisation) => self.add_new_key(organisation, number).await?,
        })
    }

    /// Makes a key, sends its hash and shows the key, also if the outcome is unknown.
    async fn add_new_key(
        &self,
        organisation: &OrganisationId,
        number: Option<u32>,
    ) -> io::Result<Done> {
        let key = secret::new_key()?;
        let sentence = format_smolstr!("add key {} to {organisation}", KeyHash::of_key(&key));
        let request = self.request(&sentence, Some(self.command_id(number)?));
        Ok(self.send(&request, Some(&key)).await)
    }

    async fn send(&self, request: &CommandRequest, new_key: Option<&str>) -> Done {
        match self.client.send(request).await {
            Ok(reply) => {
                let done = Done::of_reply(&reply);
                let may_have_effect = matches!(done, Done::Yes | Done::Unknown);
                let shown_key = new_key.filter(|_| may_have_effect && !request.dry_run);
                output::reply(self.options.output, request, &reply, shown_key);
                done
            }
            Err(error) => {
                output::error(self.options.output, &error.to_string());
                Done::Unreachable
            }
        }
    }

    /// Asks for the state of a rollout until it is finished, and shows each state that differs from
    /// the one before.
    async fn watch(&self, sentence: &Statement) -> Done {
        let request = self.request(sentence, None);
        let mut shown: Option<Table> = None;
        loop {
            let reply = match self.client.send(&request).await {
                Ok(reply) => reply,
                Err(error) => {
                    output::error(self.options.output, &error.to_string());
                    return Done::Unreachable;
                }
            };
            let CommandReply::Answer(table) = &reply else {
                output::reply(self.options.output, &request, &reply, None);
                return Done::of_reply(&reply);
            };
            if shown.as_ref() != Some(table) {
                output::reply(self.options.output, &request, &reply, None);
            }
            if table.finished {
                return Done::Yes;
            }
            shown = Some(table.clone());
            async_std::task::sleep(WATCH_INTERVAL).await;
        }
    }

    fn request(
        &self,
        sentence: &impl std::fmt::Display,
        command_id: Option<CommandId>,
    ) -> CommandRequest {
        CommandRequest {
            command: sentence.to_smolstr(),
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
