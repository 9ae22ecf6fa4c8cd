//! An engine's cache of prompt prefixes, and the events that tell of it.

use tidetrack_core::placement::ring_position_of;
use tidetrack_wire::caller::ChatRequest;

use super::{CacheEvent, Engine, State};

/// Characters of a prompt that make one cached block.
const BLOCK_CHARS: usize = 256;

impl Engine {
    /// Looks the prompt up in the cache block by block; gets the tokens to compute.
    pub(super) fn prefill(&self, chat: &ChatRequest) -> u64 {
        let mut text = String::new();
        chat.messages.iter().for_each(|m| text.push_str(&m.content.to_string()));
        let chars: Vec<char> = text.chars().collect();
        let mut state = self.lock();
        let mut hash = 0u64;
        let mut computed = 0;
        for block in chars.chunks(BLOCK_CHARS) {
            let text: String = block.iter().collect();
            hash = ring_position_of(format!("{hash}{text}").as_bytes());
            let tokens = (block.len() as u64).div_ceil(4);
            if state.cached.contains(&hash) {
                state.counts.cached_tokens += tokens;
            } else {
                computed += tokens;
                self.store_block(&mut state, hash);
            }
        }
        state.counts.computed_tokens += computed;
        computed
    }

    fn store_block(&self, state: &mut State, block: u64) {
        state.cache.push_back(block);
        state.cached.insert(block);
        self.tell(state, block, true);
        while state.cache.len() > self.options.cache_blocks {
            if let Some(old) = state.cache.pop_front() {
                state.cached.remove(&old);
                self.tell(state, old, false);
            }
        }
    }

    fn tell(&self, state: &mut State, block: u64, stored: bool) {
        state.event += 1;
        let number = state.event;
        let lost = self.options.event_gap > 0 && number.is_multiple_of(self.options.event_gap);
        if !lost {
            state.events.push_back(CacheEvent { number, block, stored });
        }
        while state.events.len() > self.options.cache_blocks {
            state.events.pop_front();
        }
    }
}
