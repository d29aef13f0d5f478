//! Jobs that run again: the newer job takes the key and the id of its push, and the older one keeps its answer for the other
//! ids.
//!
//! A client that pushed the older job hears of that run only, since the newer one was not begun for it. It takes part in the
//! newer one once it pushes its id again. The older job is given up with its last id: once its clients have read the answer, or
//! its time is up.

use super::job::{Job, JobNumber, PushedId};
use super::LeaseTable;

impl LeaseTable {
    /// Removes the ids of an ended job whose clients have read its answer, and the job with its last id.
    pub(super) fn drop_read_ids(&mut self, number: JobNumber) {
        self.retain_ids(number, |job, id| job.unread_by.contains(&id.jid));
    }

    /// Handles the acceptance of pushes of a job: their ids need the answers to older jobs no longer.
    pub(super) fn drop_older_answers(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let superseded = job.supersedes.take();
        let replaced: Vec<_> =
            job.ids.iter_mut().filter_map(|id| Some((id.jid.clone(), id.older_job.take()?))).collect();
        for (jid, older) in replaced {
            self.drop_id(older, &jid);
        }
        if let Some(older) = superseded {
            self.mark_superseded(older);
        }
    }

    /// Returns the ids and the key of a job that is removed without an accepted push to the older jobs that had them.
    pub(super) fn restore_older_job(&mut self, removed: &Job) {
        for PushedId { jid, older_job, .. } in &removed.ids {
            let older = older_job.filter(|older| self.jobs.get(older).is_some_and(|job| job.has_id(jid)));
            if let Some(older) = older {
                self.numbers_by_jid.insert(jid.clone(), older);
            }
        }
        if let Some(older) = removed.supersedes.filter(|older| self.jobs.contains_key(older)) {
            self.numbers_by_key.insert(removed.key.clone(), older);
        }
    }

    /// Whether the records of a job may be given up early once its clients have read the answer.
    pub(super) fn is_releasable(&self, job: &Job) -> bool {
        job.unread_by.is_empty() && (job.is_superseded || self.is_idempotent(job.key.class))
    }

    fn mark_superseded(&mut self, number: JobNumber) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.is_superseded = true;
        }
        self.drop_read_ids(number);
    }

    fn drop_id(&mut self, number: JobNumber, jid: &str) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.unread_by.remove(jid);
        }
        self.retain_ids(number, |_, id| id.jid != jid);
    }

    fn retain_ids(&mut self, number: JobNumber, is_kept: impl Fn(&Job, &PushedId) -> bool) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let (kept, dropped): (Vec<_>, Vec<_>) =
            std::mem::take(&mut job.ids).into_iter().partition(|id| is_kept(job, id));
        job.ids = kept;
        let is_empty = job.ids.is_empty();
        for id in dropped {
            self.forget_id(number, &id);
        }
        if is_empty {
            self.remove_job(number);
        }
    }
}
