//! Majority votes: answers the vote requests of other nodes and collects votes for this one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use yuccapass_decisions::config::Document;
use yuccapass_decisions::quorum::{
    AttemptId, ListedVoter, OutcomeState, VoteKey, VoteReply, VoteRequest, Voter, VoterConfig,
    VoterList,
};
use yuccapass_peers::{PeerMessage, PeerTransport};
use yuccapass_types::{Clock, Deadline, NodeId, Revision, SortedMap};

use crate::fleet::Identity;

/// Timeout for the replies of panel members; allows for several round trips between regions.
pub(crate) const VOTE_TIMEOUT_MS: u64 = 500;

/// The voters of a configuration, with their peer addresses.
#[derive(Debug)]
pub(crate) struct VoterDirectory {
    pub(crate) list: VoterList,
    // The oldest revision with this list that this node has activated in sequence.
    since: Revision,
    addresses: SortedMap<NodeId, SocketAddr>,
}

impl VoterDirectory {
    fn new(document: &Document) -> Self {
        let mut listed = Vec::new();
        let mut replaced = Vec::new();
        let mut addresses = SortedMap::new();
        for zone in &document.zones {
            for voter in &zone.voters {
                listed.push(ListedVoter { node: voter.id.clone(), zone: zone.id.clone() });
                addresses.insert(voter.id.clone(), voter.address);
            }
            replaced.extend(
                zone.replaced_voters
                    .iter()
                    .map(|node| ListedVoter { node: node.clone(), zone: zone.id.clone() }),
            );
        }
        let list = VoterList::new(listed);
        let list = if replaced.is_empty() { list } else { list.with_replaced(replaced) };
        Self { list, since: document.revision, addresses }
    }

    /// Returns whether a node whose active configuration has this revision uses this list, if this
    /// node's own is at `newest`.
    fn is_used_at(&self, revision: Revision, newest: Revision) -> bool {
        (self.since..=newest).contains(&revision)
    }
}

/// Votes for other nodes as a local [`Voter`], and requests votes from other voters.
pub(crate) struct Votes {
    identity: Identity,
    voter: Voter,
    directory: Mutex<Arc<VoterDirectory>>,
    transport: Arc<dyn PeerTransport>,
    clock: Arc<dyn Clock>,
    next_attempt: AtomicU64,
}

impl Votes {
    pub(crate) fn new(
        identity: Identity,
        document: &Document,
        config: VoterConfig,
        transport: Arc<dyn PeerTransport>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let directory = VoterDirectory::new(document);
        let voter = Voter::new(identity.node.clone(), directory.list.clone(), config, clock.now());
        let directory = Mutex::new(Arc::new(directory));
        Self { identity, voter, directory, transport, clock, next_attempt: AtomicU64::new(0) }
    }

    /// Switches to the voters of the active configuration.
    pub(crate) fn update_voters(&self, document: &Document) {
        let mut directory = VoterDirectory::new(document);
        let mut current = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
        if current.list != directory.list {
            self.voter.replace_list(directory.list.clone(), self.clock.now());
        } else {
            directory.since = current.since;
        }
        *current = Arc::new(directory);
    }

    /// Records which of the other nodes use the present list, from the revisions of their active
    /// configurations; `newest` is this node's own.
    ///
    /// Without it, a voter that has joined a panel abstains until the list no longer names the
    /// voters that it replaced.
    pub(crate) fn record_revisions(&self, revisions: &[(NodeId, Revision)], newest: Revision) {
        let directory = self.directory();
        let now = self.clock.now();
        for (node, revision) in revisions {
            if directory.is_used_at(*revision, newest) {
                self.voter.record_list_in_use(node, directory.list.id(), now);
            }
        }
    }

    pub(crate) fn directory(&self) -> Arc<VoterDirectory> {
        Arc::clone(&self.directory.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns an attempt id that is unique across all nodes and restarts.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            number: self.next_attempt.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Handles a vote request with the local voter.
    pub(crate) fn handle_request(&self, request: &VoteRequest) -> VoteReply {
        self.voter.handle_request(request, self.clock.now())
    }

    /// Releases a vote of the local voter.
    pub(crate) fn release_local(&self, key: &VoteKey, attempt: &AttemptId) {
        self.voter.release(key, attempt, self.clock.now());
    }

    /// Records an outcome with the local voter.
    pub(crate) fn record_local(&self, key: &VoteKey, attempt: &AttemptId, outcome: OutcomeState) {
        self.voter.record(key, attempt, outcome, self.clock.now());
    }

    /// Drops the expired votes of the local voter.
    pub(crate) fn drop_expired(&self) {
        self.voter.drop_expired(self.clock.now());
    }

    /// Requests votes from panel members until `on_reply` returns false or all have replied.
    pub(crate) async fn collect(
        &self,
        request: &VoteRequest,
        nodes: &[NodeId],
        mut on_reply: impl FnMut(&NodeId, VoteReply) -> bool,
    ) {
        let directory = self.directory();
        let deadline = Deadline::after_ms(self.clock.now(), VOTE_TIMEOUT_MS);
        let requests =
            nodes.iter().map(|node| self.request_vote(&directory, node, request, deadline));
        let mut replies: FuturesUnordered<_> = requests.collect();
        while let Some(reply) = replies.next().await {
            if let Some((node, reply)) = reply
                && !on_reply(&node, reply)
            {
                return;
            }
        }
    }

    async fn request_vote(
        &self,
        directory: &VoterDirectory,
        node: &NodeId,
        request: &VoteRequest,
        deadline: Deadline,
    ) -> Option<(NodeId, VoteReply)> {
        if *node == self.identity.node {
            return Some((node.clone(), self.handle_request(request)));
        }
        let address = *directory.addresses.get(node)?;
        let message = PeerMessage::VoteRequest(request.clone());
        let reply = self.transport.call(address, message, deadline).await.ok()?;
        match reply.message {
            PeerMessage::VoteReply(vote) => Some((reply.sender.node, vote)),
            _ => None,
        }
    }

    /// Releases the votes for an attempt. A lost message only delays the next attempt.
    pub(crate) async fn release(&self, key: &VoteKey, attempt: &AttemptId, nodes: &[NodeId]) {
        self.release_local(key, attempt);
        let message = PeerMessage::VoteRelease { key: *key, attempt: attempt.clone() };
        self.send_to_others(nodes, &message).await;
    }

    /// Records an outcome with all panel members.
    pub(crate) async fn record(
        &self,
        key: &VoteKey,
        attempt: &AttemptId,
        outcome: OutcomeState,
        nodes: &[NodeId],
    ) {
        self.record_local(key, attempt, outcome.clone());
        let message = PeerMessage::Outcome { key: *key, attempt: attempt.clone(), outcome };
        self.send_to_others(nodes, &message).await;
    }

    /// Sends a message to all of `nodes` but this one.
    async fn send_to_others(&self, nodes: &[NodeId], message: &PeerMessage) {
        let directory = self.directory();
        for node in nodes.iter().filter(|node| **node != self.identity.node) {
            let Some(address) = directory.addresses.get(node) else { continue };
            if let Err(error) = self.transport.send(*address, message.clone()).await {
                log::debug!(node = node.as_str(); "cannot send to a panel member: {error}");
            }
        }
    }

    /// Sends a message to a voter and waits for the reply.
    pub(crate) async fn call_voter(
        &self,
        node: &NodeId,
        message: PeerMessage,
        deadline: Deadline,
    ) -> Option<PeerMessage> {
        let address = *self.directory().addresses.get(node)?;
        let reply = self.transport.call(address, message, deadline).await.ok()?;
        Some(reply.message)
    }
}
