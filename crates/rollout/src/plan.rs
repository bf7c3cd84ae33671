//! The way from one step to what a document wants, such that no step contradicts the one before it: as the online
//! change of a schema goes through states that agree with both neighbours (Rae et al., F1, VLDB 2013).

use crate::document::{Careful, Document, Standing};
use crate::step::{Places, Step, Use};

/// The steps that lead from the one in force to what a document wants, the last of which does; none if nothing changes.
/// Each agrees with the one before.
pub fn plan(from: &Step, to: &Document) -> Vec<Step> {
    let wanted = Step::of(to);
    let mut steps = vec![from.clone()];
    let mut go = |change: &dyn Fn(&mut Step)| {
        let mut next = steps[steps.len() - 1].clone();
        change(&mut next);
        if next != steps[steps.len() - 1] {
            steps.push(next);
        }
    };
    // First of all, what the cut off may do becomes what is allowed all the way: who is cut off from here on does
    // no more than that.
    let careful = meet(from, &wanted);
    go(&|step| step.careful = careful.clone());
    // Workers are closed to those who lose them ...
    go(&|step| {
        for (worker, put) in &mut step.uses {
            if let Use::Own(tenant) = put {
                *put = match wanted.uses.get(worker) {
                    Some(Use::Own(new)) if new == tenant => continue,
                    // Another's next: nobody's in between.
                    Some(Use::Own(_) | Use::Reserved(_)) => Use::None(Standing::Cordoned),
                    Some(Use::None(standing)) => Use::None(standing.clone()),
                    None => Use::Reserved(tenant.clone()),
                };
            }
        }
    });
    // ... while places go through both sets, for the keys that move are sent by nobody in between ...
    let (Places::By(old) | Places::Both(_, old), Places::By(new) | Places::Both(_, new)) =
        (&from.places, &wanted.places);
    let moving = if old == new { wanted.places.clone() } else { Places::Both(old.clone(), new.clone()) };
    go(&|step| {
        step.places = moving.clone();
        step.uses = (wanted.uses.iter())
            .map(|(worker, put)| {
                let reserved = match (step.uses.get(worker), put) {
                    (Some(Use::Own(a)), Use::Own(b)) if a == b => put.clone(),
                    (_, Use::Own(tenant)) => Use::Reserved(tenant.clone()),
                    _ => put.clone(),
                };
                (worker.clone(), reserved)
            })
            .collect();
        // Limits and the rest change at once: with the same parts, any mix of old and new stays below the larger.
        step.quotas = wanted.quotas.clone();
        (step.attempts, step.retry_after_ms) = (wanted.attempts, wanted.retry_after_ms);
    });
    // ... and only then kept for those who have them from now on.
    go(&|step| (step.uses, step.places) = (wanted.uses.clone(), wanted.places.clone()));
    // Parts become smaller before there are more seats, and seats fewer before parts become larger.
    go(&|step| step.parts = step.parts.max(wanted.parts));
    go(&|step| step.seats = wanted.seats);
    go(&|step| step.parts = wanted.parts);
    go(&|step| step.careful = wanted.careful.clone());
    steps.split_off(1)
}

/// What a cut off scheduler may do that no step from one to the other forbids.
fn meet(from: &Step, to: &Step) -> Careful {
    let places = |step: &Step| match &step.places {
        Places::By(set) | Places::Both(_, set) => set.clone(),
    };
    let (old, new) = (places(from), places(to));
    let keeps_places = old.list == new.list && new.without.is_superset(&old.without);
    let workers = from.careful.workers.iter().filter(|worker| keeps_places && !to.uses.contains_key(*worker));
    // A part becomes smaller by there being more of them, and by its limit becoming lower.
    let fewer = f64::from(from.parts) / f64::from(from.parts.max(to.parts));
    let lower = |(tenant, quota): (&String, &f64)| match to.quotas.get(tenant) {
        Some(new) if new < quota => new / quota,
        _ => 1.0,
    };
    let share = from.quotas.iter().map(lower).fold(1.0, f64::min) * fewer;
    let share = share.min(from.careful.share);
    let others = keeps_places && to.uses.keys().all(|worker| from.uses.contains_key(worker));
    let unlimited = to.quotas.keys().all(|tenant| from.quotas.contains_key(tenant));
    Careful {
        share,
        workers: workers.cloned().collect(),
        others: from.careful.others && others,
        unlimited: from.careful.unlimited && unlimited,
    }
}
