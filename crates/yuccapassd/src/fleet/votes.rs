//! Majority votes of this node and for it.

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
use yuccapass_types::{Clock, Deadline, NodeId, SortedMap};

use crate::fleet::Identity;

/// How long panel members may take to answer: several round trips between regions.
pub(crate) const VOTE_TIMEOUT_MS: u64 = 500;

/// The voters of a configuration.
#[derive(Debug)]
pub(crate) struct VoterBook {
    pub(crate) list: VoterList,
    addresses: SortedMap<NodeId, SocketAddr>,
}

impl VoterBook {
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
        let list = if replaced.is_empty() { list } else { list.replacing(replaced) };
        Self { list, addresses }
    }
}

/// This node's votes, and the votes that it asks others for.
pub(crate) struct Votes {
    identity: Identity,
    voter: Voter,
    book: Mutex<Arc<VoterBook>>,
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
        let book = VoterBook::new(document);
        let voter = Voter::new(identity.node.clone(), book.list.clone(), config, clock.now());
        let book = Mutex::new(Arc::new(book));
        Self { identity, voter, book, transport, clock, next_attempt: AtomicU64::new(0) }
    }

    /// Takes the voters of a configuration that was put in force.
    pub(crate) fn adopt(&self, document: &Document) {
        let book = VoterBook::new(document);
        let mut present = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        if present.list != book.list {
            self.voter.adopt(book.list.clone(), self.clock.now());
        }
        *present = Arc::new(book);
    }

    pub(crate) fn book(&self) -> Arc<VoterBook> {
        Arc::clone(&self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns an id that no other attempt has.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            number: self.next_attempt.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Answers another node's request for a vote.
    pub(crate) fn answer(&self, ask: &VoteRequest) -> VoteReply {
        self.voter.handle_request(ask, self.clock.now())
    }

    pub(crate) fn release_own(&self, key: &VoteKey, attempt: &AttemptId) {
        self.voter.release(key, attempt, self.clock.now());
    }

    pub(crate) fn record_own(&self, key: &VoteKey, attempt: &AttemptId, outcome: OutcomeState) {
        self.voter.record(key, attempt, outcome, self.clock.now());
    }

    pub(crate) fn drop_expired(&self) {
        self.voter.drop_expired(self.clock.now());
    }

    /// Asks panel members for their votes until `take` returns false or all have answered.
    pub(crate) async fn gather(
        &self,
        ask: &VoteRequest,
        nodes: &[NodeId],
        mut take: impl FnMut(&NodeId, VoteReply) -> bool,
    ) {
        let book = self.book();
        let deadline = Deadline::after_ms(self.clock.now(), VOTE_TIMEOUT_MS);
        let asks = nodes.iter().map(|node| self.ask_one(&book, node, ask, deadline));
        let mut answers: FuturesUnordered<_> = asks.collect();
        while let Some(answer) = answers.next().await {
            if let Some((node, answer)) = answer
                && !take(&node, answer)
            {
                return;
            }
        }
    }

    async fn ask_one(
        &self,
        book: &VoterBook,
        node: &NodeId,
        ask: &VoteRequest,
        deadline: Deadline,
    ) -> Option<(NodeId, VoteReply)> {
        if *node == self.identity.node {
            return Some((node.clone(), self.answer(ask)));
        }
        let address = *book.addresses.get(node)?;
        let message = PeerMessage::VoteRequest(ask.clone());
        let received = self.transport.call(address, message, deadline).await.ok()?;
        match received.message {
            PeerMessage::VoteReply(answer) => Some((received.sender.node, answer)),
            _ => None,
        }
    }

    /// Withdraws votes; a lost message only delays the next attempt.
    pub(crate) async fn release(&self, key: &VoteKey, attempt: &AttemptId, nodes: &[NodeId]) {
        self.release_own(key, attempt);
        let message = PeerMessage::VoteRelease { key: *key, attempt: attempt.clone() };
        self.tell(nodes, &message).await;
    }

    /// Records an outcome with the panel.
    pub(crate) async fn record(
        &self,
        key: &VoteKey,
        attempt: &AttemptId,
        outcome: OutcomeState,
        nodes: &[NodeId],
    ) {
        self.record_own(key, attempt, outcome.clone());
        let message = PeerMessage::Outcome { key: *key, attempt: attempt.clone(), outcome };
        self.tell(nodes, &message).await;
    }

    async fn tell(&self, nodes: &[NodeId], message: &PeerMessage) {
        let book = self.book();
        for node in nodes.iter().filter(|node| **node != self.identity.node) {
            let Some(address) = book.addresses.get(node) else { continue };
            if let Err(error) = self.transport.send(*address, message.clone()).await {
                log::debug!(node = node.as_str(); "a panel member was not told: {error}");
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
        let address = *self.book().addresses.get(node)?;
        let received = self.transport.call(address, message, deadline).await.ok()?;
        Some(received.message)
    }
}
