//! The texts of the `help` command.

use std::fmt::Write;

/// The help of one command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HelpEntry {
    /// The name of the command's rule in the grammar.
    pub rule: &'static str,
    /// The syntax of the command: words in capitals are placeholders, parts in brackets are
    /// optional.
    pub usage: &'static str,
    /// A description of the command.
    pub text: &'static str,
}

const fn entry(rule: &'static str, usage: &'static str, text: &'static str) -> HelpEntry {
    HelpEntry { rule, usage, text }
}

/// The help of all commands, in the order of the grammar.
pub const ENTRIES: &[HelpEntry] = &[
    entry(
        "create_organisation",
        "create organisation NAME with share NUMBER and limit NUMBER tokens/s",
        "Adds an organisation; it still needs a key and approvals.",
    ),
    entry("create_zone", "create zone NAME in region REGION", "Adds a zone that gets new work."),
    entry(
        "create_model",
        "create model NAME with version VERSION [and store STORE]",
        "Adds a model; one replica may swap weights at a time until you allow more.",
    ),
    entry(
        "remove_organisation",
        "remove organisation NAME",
        "Removes an organisation with its keys and approvals.",
    ),
    entry("remove_key", "remove key HASH from ORGANISATION", "Removes a key by its hash."),
    entry("remove_endpoint", "remove endpoint NAME", "Removes an endpoint."),
    entry("remove_class", "remove class NAME", "Removes a request class."),
    entry(
        "remove_voter",
        "remove voter NODE from zone ZONE",
        "Takes a node out of the majority votes.",
    ),
    entry(
        "add_key",
        "add key [HASH] to ORGANISATION",
        "Adds a key. Without a hash the tool makes a key, shows it once and sends only its hash.",
    ),
    entry(
        "add_endpoint",
        "add endpoint NAME of MODEL in zone ZONE at ADDRESS with NUMBER cold requests [and fencing]",
        "Adds an endpoint, which runs at most NUMBER requests at a time while it is cold.",
    ),
    entry(
        "add_voter",
        "add voter NODE at ADDRESS to zone ZONE",
        "Lets a node take part in majority votes.",
    ),
    entry(
        "set_share",
        "set share of ORGANISATION to NUMBER",
        "Sets the share of contended capacity.",
    ),
    entry(
        "set_limit",
        "set limit of ORGANISATION to NUMBER tokens/s",
        "Sets the limit in each zone, prompts and answers together.",
    ),
    entry(
        "set_priority",
        "set priority of class CLASS to NUMBER",
        "Adds a request class or sets its priority; larger runs first.",
    ),
    entry(
        "approve_for",
        "approve ORGANISATION for [model|service] NAME",
        "Lets an organisation use a model or a service.",
    ),
    entry("withdraw_from", "withdraw ORGANISATION from [model|service] NAME", "Ends an approval."),
    entry("take_zone", "take zone ZONE out", "Gives a zone no new work."),
    entry("take_endpoint", "take endpoint ENDPOINT out", "Gives an endpoint no new work."),
    entry("bring_zone", "bring zone ZONE back", "Gives a zone new work again."),
    entry("bring_endpoint", "bring endpoint ENDPOINT back", "Gives an endpoint new work again."),
    entry(
        "use_version",
        "use version VERSION of MODEL [in zone ZONE]",
        "Rolls a weight version out; without a zone everywhere, which ends exceptions of zones.",
    ),
    entry(
        "use_no_adapter",
        "use no adapter of MODEL [in zone ZONE]",
        "Uses the model without an adapter.",
    ),
    entry("use_adapter", "use adapter ADAPTER of MODEL [in zone ZONE]", "Rolls an adapter out."),
    entry(
        "swap_replicas",
        "swap at most NUMBER replicas of MODEL",
        "Bounds how many replicas swap weights at the same time.",
    ),
    entry(
        "query",
        "show SUBJECT [where FIELD is VALUE [and FIELD is VALUE ...]]",
        "Lists endpoints, nodes, organisations, models, requests, zones, classes, services or the \
         last changes of the configuration.",
    ),
    entry("watch", "watch rollout of MODEL", "Shows a rollout until it is finished."),
    entry("help", "help [WORD]", "Shows the commands, or those with a word such as `approve`."),
];

/// Returns the help of all commands, or of those whose syntax has the word `topic`.
pub fn help(topic: Option<&str>) -> String {
    let matches_topic = |entry: &&HelpEntry| {
        topic
            .is_none_or(|topic| entry.usage.split(' ').any(|word| word.eq_ignore_ascii_case(topic)))
    };
    let mut text = String::new();
    for entry in ENTRIES.iter().filter(matches_topic) {
        let _ = writeln!(text, "{}\n    {}", entry.usage, entry.text);
    }
    match (text.is_empty(), topic) {
        (true, Some(topic)) => {
            format!("There is no command with the word `{topic}`; `help` lists all.\n")
        }
        _ => text,
    }
}
