//! Answers of a new version since all traffic moved to it.
//!
//! A version may be bad only at the load that all traffic brings. The counts of its sample would dilute what shows
//! then, and there is little time before the roll-out is completed, which cannot be taken back. So answers
//! are counted anew from the move on, by route and by group of endpoints, and the worst groups are left out: an endpoint
//! may fail for reasons of its own, and all of them get traffic at once.
//!
//! Streams are not counted: a failure comes sooner than a good answer, so within a second of the move most of what has
//! come of them are failures.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Share of the groups of endpoints that is left out, the worst ones.
const LEFT_OUT: f64 = 0.4;

/// Answers of a class of routes at a group of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Cell {
    route: u8,
    group: u8,
    all: u16,
    failed: u16,
}

/// Sums of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Answers {
    /// All answers.
    pub all: f32,
    /// Those that failed.
    pub failed: f32,
}

/// Counts of answers since the move.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Moved {
    cells: Vec<Cell>,
}

impl Moved {
    /// Counts an answer.
    pub fn add(&mut self, route: u8, group: u8, failed: bool) {
        let cell = self.cell(route, group);
        cell.all = cell.all.saturating_add(1);
        cell.failed = cell.failed.saturating_add(u16::from(failed));
    }

    /// Adds another host's counts.
    pub fn sum(&mut self, other: &Moved) {
        for of in &other.cells {
            let cell = self.cell(of.route, of.group);
            cell.all = cell.all.saturating_add(of.all);
            cell.failed = cell.failed.saturating_add(of.failed);
        }
    }

    /// Counts the groups of endpoints that answered.
    pub fn groups(&self) -> usize {
        self.shares().len()
    }

    /// Gets the counts without the worst groups of endpoints.
    pub fn without_worst(&self) -> Moved {
        let mut shares = self.shares();
        shares.sort_by(|a, b| a.1.total_cmp(&b.1));
        shares.truncate(shares.len() - left_out(shares.len()));
        let is_kept = |c: &&Cell| shares.iter().any(|(group, _)| *group == c.group);
        Moved { cells: self.cells.iter().filter(is_kept).copied().collect() }
    }

    /// Gets the answers on a class of routes.
    pub fn on_route(&self, route: u8) -> Answers {
        total_of(self.cells.iter().filter(|c| c.route == route))
    }

    /// Gets the answers on all routes.
    pub fn total(&self) -> Answers {
        total_of(&self.cells)
    }

    /// Gets the share of failed answers of each group of endpoints.
    fn shares(&self) -> Vec<(u8, f32)> {
        let groups: BTreeSet<u8> = self.cells.iter().map(|c| c.group).collect();
        let share = |group: u8| {
            let of = total_of(self.cells.iter().filter(|c| c.group == group));
            (group, of.failed / of.all.max(1.0))
        };
        groups.into_iter().map(share).collect()
    }

    fn cell(&mut self, route: u8, group: u8) -> &mut Cell {
        let is_cell = |c: &Cell| c.route == route && c.group == group;
        let at = self.cells.iter().position(is_cell).unwrap_or_else(|| {
            self.cells.push(Cell { route, group, all: 0, failed: 0 });
            self.cells.len() - 1
        });
        &mut self.cells[at]
    }
}

/// Gets how many of so many groups of endpoints are left out.
fn left_out(groups: usize) -> usize {
    match groups {
        0 | 1 => 0,
        _ => ((groups as f64 * LEFT_OUT) as usize).max(1),
    }
}

fn total_of<'a>(cells: impl IntoIterator<Item = &'a Cell>) -> Answers {
    cells.into_iter().fold(Answers::default(), |sum, cell| Answers {
        all: sum.all + f32::from(cell.all),
        failed: sum.failed + f32::from(cell.failed),
    })
}
