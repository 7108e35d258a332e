//! Divides what is to be sent into calls of a bounded size.

/// Divides items over calls, in order. An item that is larger than a call gets one of its own.
pub fn pack<T>(items: Vec<T>, call_bytes: usize, size_of: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut calls: Vec<Vec<T>> = Vec::new();
    let mut size = 0usize;
    for item in items {
        let item_size = size_of(&item);
        size = size.saturating_add(item_size);
        match calls.last_mut() {
            Some(call) if size <= call_bytes => call.push(item),
            _ => {
                size = item_size;
                calls.push(vec![item]);
            }
        }
    }
    calls
}
