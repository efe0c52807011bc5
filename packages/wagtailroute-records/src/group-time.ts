/**
Group time: the time by which a cell ends records and leases.

What can go wrong: a record that ends early lets a non-idempotent request run twice, and a lease that ends early lets two
hosts hold the same share. Both happen when a leader stamps commands by a wall clock that jumps, or when a new leader's
clock is ahead of the old one's. One would notice a burst of expiries right after a leader change. So a leader stamps
commands with the group time that it found when it took office, advanced by its monotonic clock, in steps of bounded
size. The state machine takes the largest stamp seen. Group time therefore never runs ahead of real elapsed time; it lags
by the time without a leader and by cut-off steps, which only makes records and leases last longer.
*/
import {MAX_STAMP_STEP_MILLISECONDS} from './constants.ts';

/**
The clock of one term of office of a leader.
*/
export type GroupClock = {
	/**
	Returns the stamp for a command, in ms of group time. `now` is the leader's monotonic clock in ms, `groupTime` that of
	its state machine: where another leader has stamped meanwhile, the clock goes on from there.
	*/
	readonly stamp: (now: number, groupTime?: number) => number;
};

/**
Creates the clock when a leader takes office: `groupTime` is that of its state machine, `now` its monotonic clock.
*/
export function createGroupClock({groupTime, now}: {readonly groupTime: number; readonly now: number}): GroupClock {
	let stamped = groupTime;
	let last = now;
	return {
		stamp(current, applied = stamped) {
			// The time since the last stamp is in the other leader's stamps already.
			const elapsed = applied > stamped ? 0 : current - last;
			const step = Math.min(Math.max(elapsed, 0), MAX_STAMP_STEP_MILLISECONDS);
			last = Math.max(last, current);
			stamped = Math.max(stamped, applied) + step;
			return stamped;
		},
	};
}
