/**
Virtual time: what is scheduled runs in order, and what promises await runs to its end before the next.
*/
import Queue from 'tinyqueue';
import * as utils from 'wagtailroute-utils';

/**
A clock that only moves when nothing is left to do.
*/
export type Clock = {
	readonly now: () => number;
	readonly schedule: (milliseconds: number, run: () => void) => utils.Teardown;
	readonly repeat: (milliseconds: number, run: () => void) => utils.Teardown;
	/**
	Runs everything up to a time.
	*/
	readonly runUntil: (at: number) => Promise<void>;
};

type Timer = {
	readonly at: number;
	/**
	Timers of the same time run in the order in which they were set.
	*/
	readonly order: number;
	readonly run: () => void;
	isCancelled: boolean;
};

/**
Creates a clock at time 0.
*/
export function createClock(): Clock {
	const timers = new Queue<Timer>([], (left, right) => left.at === right.at ? left.order - right.order : left.at - right.at);
	let time = 0;
	let count = 0;

	const schedule = (milliseconds: number, run: () => void): utils.Teardown => {
		count++;
		const timer: Timer = {
			at: time + Math.max(0, milliseconds), order: count, run, isCancelled: false,
		};
		timers.push(timer);
		return () => {
			timer.isCancelled = true;
		};
	};

	return {
		now: () => time,
		schedule,
		repeat: utils.createRepeat(schedule),
		async runUntil(at) {
			for (let next = timers.peek(); next !== undefined && next.at <= at; next = timers.peek()) {
				timers.pop();
				if (next.isCancelled) {
					continue;
				}

				time = next.at;
				next.run();
				// eslint-disable-next-line no-await-in-loop -- What follows from one event may set the next.
				await settle();
			}

			time = at;
		},
	};
}

/**
Lets all promise callbacks run that are due.
*/
async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
