//! What each team may use at once.
