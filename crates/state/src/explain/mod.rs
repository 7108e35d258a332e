//! Why a job waits, from the record of the decision itself.
