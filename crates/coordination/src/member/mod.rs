//! One node's part in ownership: renewal, takeover, handover, suspension.
