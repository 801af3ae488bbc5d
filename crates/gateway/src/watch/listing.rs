//! Lists of keys that are read page by page.

use yuccapass_platform::{
    Entry, Key, KeyRange, KeyValue, KeyValueClient, KeyValueRevision, PageCursor, PlatformError,
    RangeRequest,
};
use yuccapass_types::{Deadline, Instant};

use crate::state::Shared;

/// Timeout for reading one page. It does not apply to all pages together, because that time grows
/// with the deployment: with 3 s for all pages, 300 nodes with 3,000 endpoints never got past the
/// first pages.
pub(super) const PAGE_TIMEOUT_MS: u64 = 8_000;

/// Number of entries per page.
const PAGE_ENTRIES: u32 = 500;

/// A list of keys that is read page by page.
#[derive(Debug)]
pub(super) struct Listing {
    // When the first page was requested.
    pub(super) sent_at: Instant,
    // The revision of the first page: later pages may be newer, so a watch from there may repeat
    // changes that they already contain.
    pub(super) revision: KeyValueRevision,
    pub(super) entries: Vec<Entry>,
    // Timeout for reading one page.
    pub(super) page_timeout_ms: u64,
    next: Option<PageCursor>,
    has_first: bool,
}

impl Listing {
    pub(super) fn new(sent_at: Instant) -> Self {
        let (revision, entries) = (KeyValueRevision::default(), Vec::new());
        let page_timeout_ms = PAGE_TIMEOUT_MS;
        Self { sent_at, revision, entries, page_timeout_ms, next: None, has_first: false }
    }

    /// Reads the pages that are left. Starts over if they belong to another era than the first one.
    pub(super) async fn read(
        &mut self,
        shared: &Shared,
        reader: &KeyValueClient,
        prefix: &Key,
        may_be_stale: bool,
    ) -> Result<(), PlatformError> {
        while !self.has_first || self.next.is_some() {
            let request = RangeRequest {
                range: KeyRange::Prefix(prefix.clone()),
                start: self.next.clone(),
                limit: PAGE_ENTRIES,
                revision: None,
                may_be_stale,
            };
            let limit = Deadline::after_ms(shared.now(), self.page_timeout_ms);
            let page = reader.range(&request, limit).await?;
            if self.has_first && page.revision.era() != self.revision.era() {
                // The service came back from a copy between the pages, so they don't show one state.
                let page_timeout_ms = self.page_timeout_ms;
                *self = Self { page_timeout_ms, ..Self::new(shared.now()) };
                continue;
            }
            if !self.has_first {
                self.revision = page.revision;
                self.has_first = true;
            }
            self.entries.extend(page.entries);
            self.next = page.next;
        }
        Ok(())
    }
}

/// Reads all entries with a prefix.
pub(crate) async fn read_all(
    shared: &Shared,
    reader: &KeyValueClient,
    prefix: &Key,
    may_be_stale: bool,
) -> Result<Vec<Entry>, PlatformError> {
    let mut listing = Listing::new(shared.now());
    listing.read(shared, reader, prefix, may_be_stale).await?;
    Ok(listing.entries)
}
