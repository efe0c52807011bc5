/**
Group time: the clock of a replica group, by which its records and leases expire.

A record that expires early lets a non-idempotent request run twice, and a lease that expires early lets two hosts use the
same share. Both happen when a leader stamps commands with a wall clock that jumps, or when the clock of a new leader is
ahead of the old leader's clock; the symptom is a burst of expiries right after a leader change. Therefore a leader starts
from the group time that its state machine has at the election, and advances it by its monotonic clock in steps of bounded
size. The state machine's group time is the largest stamp applied. Group time never runs ahead of real elapsed time. It lags
by the time without a leader and by the parts of steps beyond the bound, which only makes records and leases last longer.
*/
import {MAX_STAMP_STEP_MILLISECONDS} from './constants.ts';

/**
The clock of a leader.
*/
export type GroupClock = {
	/**
	Returns the stamp for a command, in ms of group time. `now` is the leader's monotonic clock in ms. `groupTime` is the
	current group time of its state machine: if another leader has stamped commands meanwhile, the clock continues from there.
	*/
	readonly stamp: (now: number, groupTime?: number) => number;
};

/**
Creates the clock of a newly elected leader. `groupTime` is the group time of its state machine, `now` its monotonic clock
in ms.
*/
export function createGroupClock({groupTime, now}: {readonly groupTime: number; readonly now: number}): GroupClock {
	let lastStamp = groupTime;
	let lastStampedAt = now;
	return {
		stamp(current, appliedGroupTime = lastStamp) {
			// The stamps of another leader already contain the time since this leader's previous stamp.
			const elapsed = appliedGroupTime > lastStamp ? 0 : current - lastStampedAt;
			const step = Math.min(Math.max(elapsed, 0), MAX_STAMP_STEP_MILLISECONDS);
			lastStampedAt = Math.max(lastStampedAt, current);
			lastStamp = Math.max(lastStamp, appliedGroupTime) + step;
			return lastStamp;
		},
	};
}
