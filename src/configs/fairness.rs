//! Settings of a pool's queue.

#[derive(Clone, Debug)]
pub struct FairnessSettings {
    pub queue_limit: usize,
    pub workspace_queue_limit: usize,
    /// Maximum number of workspaces per tier whose virtual time is remembered while they have no
    /// queued requests.
    pub idle_workspaces: usize,
}

impl Default for FairnessSettings {
    fn default() -> Self {
        Self {
            queue_limit: 10_000,
            workspace_queue_limit: 2_000,
            idle_workspaces: 4_096,
        }
    }
}
