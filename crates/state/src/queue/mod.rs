//! Waiting work: classes, teams and fair shares.
