//! Cache of prompt prefixes and its events.

use tidetrack_core::placement::ring_position_of;
use tidetrack_wire::caller::ChatRequest;

use super::{CacheEvent, Engine, State};

/// Number of prompt characters in one cached block.
const CACHE_BLOCK_CHARS: usize = 256;

impl Engine {
    /// Looks up the prompt in the cache block by block and stores the missing blocks. Returns the
    /// number of prompt tokens that were not cached.
    pub(super) fn prefill(&self, chat: &ChatRequest) -> u64 {
        let mut text = String::new();
        chat.messages.iter().for_each(|m| text.push_str(&m.content.to_string()));
        let chars: Vec<char> = text.chars().collect();
        let mut state = self.lock();
        let mut hash = 0u64;
        let mut computed_prompt_tokens = 0;
        for block in chars.chunks(CACHE_BLOCK_CHARS) {
            let text: String = block.iter().collect();
            hash = ring_position_of(format!("{hash}{text}").as_bytes());
            let tokens = (block.len() as u64).div_ceil(4);
            if state.cached_blocks.contains(&hash) {
                state.counts.cached_tokens += tokens;
            } else {
                computed_prompt_tokens += tokens;
                self.store_block(&mut state, hash);
            }
        }
        state.counts.computed_tokens += computed_prompt_tokens;
        computed_prompt_tokens
    }

    fn store_block(&self, state: &mut State, block: u64) {
        state.cache_order.push_back(block);
        state.cached_blocks.insert(block);
        self.record_event(state, block, true);
        while state.cache_order.len() > self.options.cache_blocks {
            if let Some(evicted) = state.cache_order.pop_front() {
                state.cached_blocks.remove(&evicted);
                self.record_event(state, evicted, false);
            }
        }
    }

    fn record_event(&self, state: &mut State, block: u64, stored: bool) {
        state.last_event_number += 1;
        let number = state.last_event_number;
        let is_lost = self.options.event_gap > 0 && number.is_multiple_of(self.options.event_gap);
        if !is_lost {
            state.cache_events.push_back(CacheEvent { number, block, stored });
        }
        while state.cache_events.len() > self.options.cache_blocks {
            state.cache_events.pop_front();
        }
    }
}
