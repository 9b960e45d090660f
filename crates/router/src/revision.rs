//! Order of what is read from the store.
//!
//! The store gives each change a revision. After a failure it may be restored from a copy that is
//! some seconds old: the changes since then are lost, and their revisions are given out again. The
//! store counts its restorations in an *era*, which all its answers report. Revisions of a later era
//! order after all revisions of an earlier one.
//!
//! An answer of an earlier era was sent before a restoration that this node already knows of, so
//! what it reports may be lost. Such an answer, and one whose era is missing or not valid, is
//! rejected as a whole.

use std::fmt;

/// Number of restorations of the store, from an initial value that the store chooses; zero for a
/// store that does not report eras.
pub type Era = u64;

/// Number of bits of a fencing token that hold the revision: enough for ten years of 3,000 changes a
/// second.
const TOKEN_REVISION_BITS: u32 = 40;
/// Eras from this one on are not valid, as they do not fit into a fencing token.
const ERA_LIMIT: Era = 1 << (u64::BITS - TOKEN_REVISION_BITS);

/// Revision of the store or of one record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Era of the answer that reported the revision.
    pub era: Era,
    /// Revision within the era.
    pub number: u64,
}

impl Revision {
    /// Returns the fencing token of a lease that was acquired by the write with this revision.
    ///
    /// Tokens order as their revisions do, so a token of an earlier era is never given out again.
    pub fn token(self) -> u64 {
        let number = self.number.min((1 << TOKEN_REVISION_BITS) - 1);
        (self.era << TOKEN_REVISION_BITS) | number
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.number)
    }
}

/// Era as an answer of the store reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// The answer reports no era.
    Missing,
    /// The era cannot be parsed.
    Invalid,
    /// The era.
    Era(Era),
}

/// Result of comparing an answer's era with the eras of earlier answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is of the era of earlier answers.
    Current(Era),
    /// The answer is the first, or of a later era: the store was restored since the last answer.
    Entered(Era),
    /// The answer must be ignored, for this reason.
    Rejected(&'static str),
}

/// Era of the store, as far as this node knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    era: Option<Era>,
}

impl Tracker {
    /// Compares the era that an answer reports with the known one, and keeps the later.
    pub fn observe(&mut self, report: Report) -> Verdict {
        let known = self.era.unwrap_or_default();
        let era = match report {
            Report::Era(era) if era < ERA_LIMIT => era,
            Report::Era(_) => return Verdict::Rejected("the era is too large"),
            Report::Invalid => return Verdict::Rejected("the era is not a number"),
            Report::Missing if known > 0 => return Verdict::Rejected("the era is missing"),
            Report::Missing => 0,
        };
        if era < known {
            return Verdict::Rejected("the era is older than that of an earlier answer");
        }
        match self.era.replace(era) {
            Some(known) if known == era => Verdict::Current(era),
            _ => Verdict::Entered(era),
        }
    }
}
