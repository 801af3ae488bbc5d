//! Voter lists and the selection of a key's panel from them.

use std::cmp::Reverse;

use yuccapass_types::{NodeId, ZoneId};

use super::key::{VoteKey, VoteKind};

/// Number of voters on a panel.
///
/// A majority is two, so a panel tolerates the failure of one voter, and each vote costs three
/// requests.
pub const PANEL_SIZE: usize = 3;

/// A node slot that may vote.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedVoter {
    /// The node slot.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
}

/// Identifies a voter list by a hash of its content.
///
/// The configuration revision would not do: most configuration changes leave the voters alone, and
/// a node that has just started cannot know which revision changed them last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct VoterListId(u64);

impl VoterListId {
    /// Creates an id from the number that a message carries.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The voters of a configuration and the voters that they replace.
///
/// The list includes the replaced voters because a process that restarts during a change must know
/// which panels may still elect an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoterList {
    id: VoterListId,
    voters: Vec<ListedVoter>,
    replaced: Option<Vec<ListedVoter>>,
}

impl VoterList {
    /// Creates a list that replaces no other; the order of the voters does not matter.
    pub fn new(voters: Vec<ListedVoter>) -> Self {
        let voters = sort_and_dedup(voters);
        Self { id: list_id(&voters, None), voters, replaced: None }
    }

    /// Returns this list as the replacement of `voters`.
    pub fn with_replaced(self, voters: Vec<ListedVoter>) -> Self {
        let replaced = sort_and_dedup(voters);
        let id = list_id(&self.voters, Some(&replaced));
        Self { id, voters: self.voters, replaced: Some(replaced) }
    }

    /// Returns the id of the list.
    pub fn id(&self) -> VoterListId {
        self.id
    }

    /// Returns the voters, sorted.
    pub fn voters(&self) -> &[ListedVoter] {
        &self.voters
    }

    /// Selects the panel of a ledger key, with voters from different zones if the list has them.
    pub fn ledger_panel(&self, key: &VoteKey) -> Panel {
        Panel { list: self.id, nodes: ledger_nodes(&self.voters, key) }
    }

    /// Selects the panel of a permit key within the endpoint's zone.
    pub fn permit_panel(&self, key: &VoteKey, zone: &ZoneId) -> Panel {
        Panel { list: self.id, nodes: permit_nodes(&self.voters, key, zone) }
    }

    /// Selects the panel of a key of either kind.
    pub(crate) fn panel(&self, key: &VoteKey, zone: &ZoneId) -> Panel {
        Panel { list: self.id, nodes: panel_nodes(&self.voters, key, zone) }
    }

    /// Selects the panel of a key from the replaced voters.
    pub(crate) fn replaced_panel(&self, key: &VoteKey, zone: &ZoneId) -> Option<Panel> {
        let replaced = self.replaced.as_ref()?;
        Some(Panel { list: self.id, nodes: panel_nodes(replaced, key, zone) })
    }

    /// Returns whether this list has the same voters as `other` or directly replaces them.
    pub(crate) fn follows(&self, other: &Self) -> bool {
        self.voters == other.voters || self.replaced.as_ref() == Some(&other.voters)
    }
}

/// The voters of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Panel {
    list: VoterListId,
    nodes: Vec<NodeId>,
}

impl Panel {
    /// Returns the id of the list that the panel was selected from.
    pub fn list(&self) -> VoterListId {
        self.list
    }

    /// Returns the node slots of the panel.
    pub fn nodes(&self) -> &[NodeId] {
        &self.nodes
    }

    /// Returns whether a node slot is on the panel.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// Returns the size of a majority; an empty panel never has one.
    pub fn majority(&self) -> usize {
        self.nodes.len() / 2 + 1
    }
}

/// Sorts voters by rendezvous hash, so that a change of the list moves few keys.
fn by_rendezvous_hash<'a>(
    key: &VoteKey,
    voters: impl Iterator<Item = &'a ListedVoter>,
) -> Vec<&'a ListedVoter> {
    let mut scored: Vec<([u8; 32], &ListedVoter)> =
        voters.map(|voter| (rendezvous_hash(key, &voter.node), voter)).collect();
    scored.sort_by_key(|&(score, _)| Reverse(score));
    scored.into_iter().map(|(_, voter)| voter).collect()
}

fn rendezvous_hash(key: &VoteKey, node: &NodeId) -> [u8; 32] {
    *blake3::keyed_hash(key.hash(), node.as_str().as_bytes()).as_bytes()
}

fn sort_and_dedup(mut voters: Vec<ListedVoter>) -> Vec<ListedVoter> {
    voters.sort();
    voters.dedup_by(|a, b| a.node == b.node);
    voters
}

fn panel_nodes(voters: &[ListedVoter], key: &VoteKey, zone: &ZoneId) -> Vec<NodeId> {
    match key.kind() {
        VoteKind::Ledger => ledger_nodes(voters, key),
        VoteKind::Permit => permit_nodes(voters, key, zone),
    }
}

fn ledger_nodes(voters: &[ListedVoter], key: &VoteKey) -> Vec<NodeId> {
    let ranked = by_rendezvous_hash(key, voters.iter());
    let mut chosen: Vec<&ListedVoter> = Vec::with_capacity(PANEL_SIZE);
    for &voter in &ranked {
        if chosen.len() < PANEL_SIZE && chosen.iter().all(|other| other.zone != voter.zone) {
            chosen.push(voter);
        }
    }
    for &voter in &ranked {
        if chosen.len() < PANEL_SIZE && !chosen.contains(&voter) {
            chosen.push(voter);
        }
    }
    chosen.into_iter().map(|voter| voter.node.clone()).collect()
}

fn permit_nodes(voters: &[ListedVoter], key: &VoteKey, zone: &ZoneId) -> Vec<NodeId> {
    let ranked = by_rendezvous_hash(key, voters.iter().filter(|voter| voter.zone == *zone));
    ranked.into_iter().take(PANEL_SIZE).map(|voter| voter.node.clone()).collect()
}

fn list_id(voters: &[ListedVoter], replaced: Option<&[ListedVoter]>) -> VoterListId {
    let mut hasher = blake3::Hasher::new();
    for list in [Some(voters), replaced].into_iter().flatten() {
        hasher.update(&(list.len() as u64).to_be_bytes());
        for voter in list {
            // Names cannot contain a zero byte, so a zero byte separates them.
            hasher.update(voter.node.as_str().as_bytes()).update(&[0]);
            hasher.update(voter.zone.as_str().as_bytes()).update(&[0]);
        }
    }
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    VoterListId(u64::from_be_bytes(first))
}
