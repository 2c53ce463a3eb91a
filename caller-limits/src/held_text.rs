//! Text that stays in the account as long as anybody uses it.

use std::fmt;
use std::ops::Deref;
use std::rc::Rc;

use crate::memory_pool::MemoryHold;

struct TextParts {
    text: Box<str>,
    _hold: Option<MemoryHold>,
}

/// Shared text, with its memory.
#[derive(Clone)]
pub struct HeldText(Rc<TextParts>);

impl HeldText {
    /// Keeps as much of the memory of a body as the text that was read from it occupies.
    #[must_use]
    pub fn new(text: Box<str>, hold: MemoryHold) -> Self {
        hold.shrink(text.len());
        Self(Rc::new(TextParts {
            text,
            _hold: Some(hold),
        }))
    }
}

impl Deref for HeldText {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0.text
    }
}

impl<T: Into<Box<str>>> From<T> for HeldText {
    fn from(text: T) -> Self {
        Self(Rc::new(TextParts {
            text: text.into(),
            _hold: None,
        }))
    }
}

impl PartialEq for HeldText {
    fn eq(&self, other: &Self) -> bool {
        **self == **other
    }
}

impl Eq for HeldText {}

impl fmt::Debug for HeldText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&**self, formatter)
    }
}
