//! Progress of a list that the store returns page by page.
//!
//! Each page has to lead to one that was not read before, and all pages together have a maximum size,
//! so that every list ends whatever the store returns.

use std::collections::HashSet;

use crate::codes::{Code, Executed};
use crate::errors::{Error, Result};
use crate::units::MemorySize;

/// Maximum size of a list, as a fraction of the host's memory.
const HOST_SHARE: f64 = 0.125;

/// Bytes that a page counts at least, which bounds the number of calls for a list of small pages.
const MIN_PAGE_BYTES: usize = 4 << 10;

/// Where a list continues after a page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NextPage {
    /// The page is the last one.
    #[default]
    None,
    /// Another page follows, after the object with this name.
    After(String),
    /// Another page follows, but no object of this one has a name that can be sent back to the store.
    Unknown,
}

/// Progress of one list.
#[derive(Debug)]
pub struct ListProgress {
    max_bytes: usize,
    bytes: usize,
    positions: HashSet<String>,
}

impl ListProgress {
    /// Creates the progress of a list on a host with this memory.
    pub fn new(memory: MemorySize) -> ListProgress {
        let max_bytes = (memory.bytes() * HOST_SHARE) as usize;
        ListProgress { max_bytes, bytes: 0, positions: HashSet::new() }
    }

    /// Records a page and returns the name after which the next page starts, or `None` after the last
    /// page. Fails with `PlatformDown` if the list does not advance, and with `ReplyTooLarge` if
    /// it is too large.
    pub fn record_page(&mut self, bytes: usize, next: NextPage) -> Result<Option<String>> {
        self.bytes = self.bytes.saturating_add(bytes.max(MIN_PAGE_BYTES));
        if self.bytes > self.max_bytes {
            let text = format!("the list is larger than {} bytes", self.max_bytes);
            return Err(Error::new(Code::ReplyTooLarge, text).with_executed(Executed::Unknown));
        }
        match next {
            NextPage::None => Ok(None),
            NextPage::After(name) if self.positions.insert(name.clone()) => Ok(Some(name)),
            NextPage::After(name) => Err(stuck_error(format!("it leads back to {name:?}"))),
            NextPage::Unknown => Err(stuck_error("a page has no name to continue from".into())),
        }
    }
}

fn stuck_error(reason: String) -> Error {
    let text = format!("the list does not advance: {reason}");
    Error::new(Code::PlatformDown, text).with_executed(Executed::Unknown)
}
